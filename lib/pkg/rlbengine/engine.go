// Package rlbengine is the interface to a model engine's control side: its
// state and the orders it takes. Requests go to it over its OpenAI-style HTTP
// interface, see package rlbrelay.
//
// Protocol: GET /control/state; POST /control/orders with an Order, answered by
// 200 (accepted), 409 (fencing number too old) or 422 (refused).
package rlbengine

import (
	"context"
	"net/http"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// Phase is how far a model or adapter is on an engine.
type Phase string

// The phases.
const (
	PhaseLoading   Phase = "loading"
	PhaseReady     Phase = "ready"
	PhaseUnloading Phase = "unloading" // running requests end, memory is still used
)

// Resident is a model on an engine.
type Resident struct {
	Name    string        `json:"name" msgpack:"n"`
	Version string        `json:"version" msgpack:"v"`
	Phase   Phase         `json:"phase" msgpack:"p"`
	Memory  rlbunit.Bytes `json:"memory" msgpack:"m"`
}

// State is an engine's report. Incarnation changes with each start of the
// engine and rises; Sequence rises with each change of residents.
type State struct {
	ID          string        `json:"id" msgpack:"i"`
	Incarnation uint64        `json:"incarnation" msgpack:"c"`
	Sequence    uint64        `json:"sequence" msgpack:"s"`
	Report      uint64        `json:"report" msgpack:"n"` // number of this report, rises within an incarnation
	Fence       uint64        `json:"fence" msgpack:"f"`
	Memory      rlbunit.Bytes `json:"memory" msgpack:"m"`
	Residents   []Resident    `json:"residents" msgpack:"r"`
	Load        Load          `json:"load" msgpack:"l"`
	Draining    bool          `json:"draining,omitempty" msgpack:"d"`
}

// Load is the part of the report that changes with every request.
type Load struct {
	Running  int      `json:"running" msgpack:"r"`
	Waiting  int      `json:"waiting" msgpack:"w"`
	Slots    int      `json:"slots" msgpack:"s"`
	Adapters []string `json:"adapters,omitempty" msgpack:"a,omitempty"` // resident adapters, as name@version
}

// Used returns the memory of all residents.
func (s State) Used() rlbunit.Bytes {
	var used rlbunit.Bytes
	for _, r := range s.Residents {
		used += r.Memory
	}
	return used
}

// Action is what an order asks for.
type Action string

// The actions. Fence changes nothing but the engine's fencing number.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
	ActionFence  Action = "fence"
)

// Order asks an engine to change its residents.
type Order struct {
	ID      string        `json:"id"`
	Fence   uint64        `json:"fence"`
	Action  Action        `json:"action"`
	Name    string        `json:"name,omitempty"`
	Version string        `json:"version,omitempty"`
	Memory  rlbunit.Bytes `json:"memory,omitempty"`
}

// Engine is the control side of one engine.
type Engine interface {
	// State returns the engine's report.
	State(ctx context.Context) (State, error)
	// Order sends an order and returns the state after accepting it. After
	// KindUnknown the order may have taken effect or may still do so.
	Order(ctx context.Context, order Order) (State, error)
}

// Kind is the kind of a failure.
type Kind int

// The kinds of failures.
const (
	KindNotSent Kind = iota // no byte reached the engine
	KindFenced              // the engine has seen a higher fencing number
	KindRefused             // the engine refuses, for example for lack of memory
	KindUnknown             // no answer: the order may take effect, also later
)

// String names the kind.
func (k Kind) String() string {
	return [...]string{"not sent", "fenced", "refused", "outcome unknown"}[k]
}

// Error is this package's error.
type Error = rlberror.Error[Kind]

// Client is the control side of one engine over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client of the engine at address (IP:port) whose calls
// wait at most timeout. The HTTP client is shared between engines.
func NewClient(address string, client *http.Client, timeout time.Duration) *Client {
	return &Client{"http://" + address + "/control/", client, timeout}
}

// State implements Engine.
func (c *Client) State(ctx context.Context) (State, error) {
	return c.call(ctx, http.MethodGet, "state", nil)
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, order Order) (State, error) {
	return c.call(ctx, http.MethodPost, "orders", order)
}

func (c *Client) call(ctx context.Context, method, path string, in any) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var state State
	answer, err := rlbhttp.Call(ctx, c.http, method, c.base+path, in, &state)
	if err == nil {
		return state, nil
	}
	return state, rlberror.New(path, kindOf(answer.Status, err), err)
}

func kindOf(status int, err error) Kind {
	kind, _ := rlberror.KindOf[rlbhttp.Kind](err)
	switch {
	case kind == rlbhttp.KindNotSent:
		return KindNotSent
	case status == http.StatusConflict:
		return KindFenced
	case status == http.StatusUnprocessableEntity, status == http.StatusBadRequest:
		return KindRefused
	default:
		return KindUnknown
	}
}
