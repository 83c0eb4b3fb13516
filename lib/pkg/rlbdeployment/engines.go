package rlbdeployment

import (
	"context"
	"time"
)

// Action is what an order asks for.
type Action int

// The actions.
const (
	ActionLoad Action = iota
	ActionUnload
)

// String returns the action's word.
func (a Action) String() string { return [...]string{"load", "unload"}[a] }

// Order changes what an endpoint holds. The endpoint carries it out only if it
// has accepted Sequence orders before: so of two orders with one sequence at
// most one takes effect, however late.
type Order struct {
	Action   Action
	Model    string
	Adapter  string // empty: the model itself
	Sequence uint64
	Holder   string
	Fence    uint64
}

// Verdict is what became of an order.
type Verdict int

// The verdicts.
const (
	VerdictAccepted      Verdict = iota // it is being carried out
	VerdictNoChange                     // what it asks for is so already
	VerdictConflict                     // another order is in progress, or the sequence differs
	VerdictFenced                       // the endpoint has seen a higher fencing number
	VerdictWrongEndpoint                // another endpoint has the address
	VerdictInvalid                      // the order is not understood
	VerdictNotSent                      // it did not reach the endpoint
	VerdictUnknown                      // no answer: it may still take effect
)

// String names the verdict.
func (v Verdict) String() string {
	return [...]string{"accepted", "holds already", "conflict", "fenced", "other endpoint", "invalid", "not sent", "unknown"}[v]
}

// Report is an endpoint's state some hundred milliseconds ago.
type Report struct {
	StartedAt    time.Time
	Sequence     uint64
	Busy         bool
	LoadedModels []LoadedModel
	InMemory     []string
	OnDisk       []string
	Fetching     []string // adapters being fetched, as MODEL/ADAPTER
}

// EngineControl is the control side of the endpoints that hold models.
type EngineControl interface {
	// SendOrder sends an order. Errors come with the verdict that they mean.
	SendOrder(ctx context.Context, to *Endpoint, order Order) (Verdict, error)
	// ReadReport reads an endpoint's state.
	ReadReport(ctx context.Context, of *Endpoint) (Report, error)
}
