package rlbdeployment

import (
	"context"
	"time"
)

// Action is the action of an order.
type Action int

// Actions of an order.
const (
	ActionLoad Action = iota
	ActionUnload
)

// String returns the name of the action.
func (a Action) String() string { return [...]string{"load", "unload"}[a] }

// Order loads or unloads a model or adapter on an endpoint. The endpoint carries it
// out only if it has accepted exactly Sequence orders before. Of two orders with the
// same sequence therefore at most one takes effect, no matter how late they arrive.
type Order struct {
	Action   Action
	Model    string
	Adapter  string // empty for the model itself
	Sequence uint64
	Holder   string
	Fence    uint64 // fencing number of the holder's lease
}

// Verdict is the result of an order.
type Verdict int

// Results of an order.
const (
	VerdictAccepted      Verdict = iota // the endpoint is carrying it out
	VerdictNoChange                     // the requested state is already reached
	VerdictConflict                     // another order is in progress, or the sequence does not match
	VerdictFenced                       // the endpoint has received a higher fencing number
	VerdictWrongEndpoint                // the address belongs to another endpoint
	VerdictInvalid                      // the endpoint rejects the order as invalid
	VerdictNotSent                      // it did not reach the endpoint
	VerdictUnknown                      // no answer: the order may still take effect
)

// String returns a description of the verdict.
func (v Verdict) String() string {
	return [...]string{"accepted", "holds already", "conflict", "fenced", "other endpoint", "invalid", "not sent", "unknown"}[v]
}

// Report is the state that an endpoint reports. It is some hundred milliseconds old.
type Report struct {
	StartedAt    time.Time
	Sequence     uint64
	Busy         bool
	LoadedModels []LoadedModel
	InMemory     []string
	OnDisk       []string
	Fetching     []string // adapters, as MODEL/ADAPTER
}

// EngineControl sends orders to endpoints with model engines and reads their state.
type EngineControl interface {
	// SendOrder sends an order. An error is returned together with its verdict.
	SendOrder(ctx context.Context, to *Endpoint, order Order) (Verdict, error)
	// ReadReport reads the state of an endpoint.
	ReadReport(ctx context.Context, of *Endpoint) (Report, error)
}
