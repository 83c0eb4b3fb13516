// Package rlbengine is the interface to a model engine's control side: its
// state and the orders it takes. Requests go to it over its OpenAI-style HTTP
// interface, see package rlbrelay.
//
// Protocol: GET /control/state; POST /control/orders with an Order, answered by
// 200 (accepted), 409 (fencing number too old) or 422 (refused).
package rlbengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
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
	// KindUnknown the order may have taken effect or may still do so. Permitted
	// is asked once the connection stands and right before the first byte; if
	// it says no, nothing is sent. So an order that its sender held back for
	// long meets the engine's life that it was meant for, or none.
	Order(ctx context.Context, order Order, permitted func() bool) (State, error)
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
	address string
	base    string
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client of the engine at address (IP:port) whose calls
// wait at most timeout. The HTTP client is shared between engines.
func NewClient(address string, client *http.Client, timeout time.Duration) *Client {
	return &Client{address, "http://" + address + "/control/", client, timeout}
}

// State implements Engine.
func (c *Client) State(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var state State
	if _, err := rlbhttp.Call(ctx, c.http, http.MethodGet, c.base+"state", nil, &state); err != nil {
		return state, rlberror.New("state", KindUnknown, err)
	}
	return state, nil
}

// Order implements Engine, on a connection of its own.
func (c *Client) Order(ctx context.Context, order Order, permitted func() bool) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var state State
	dialer := net.Dialer{}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return state, rlberror.New("orders", KindNotSent, err)
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	body, err := json.Marshal(order)
	if err != nil {
		return state, rlberror.New("orders", KindNotSent, err)
	}
	request, err := http.NewRequest(http.MethodPost, c.base+"orders", bytes.NewReader(body))
	if err != nil {
		return state, rlberror.New("orders", KindNotSent, err)
	}
	if !permitted() {
		return state, rlberror.Newf("orders", KindNotSent, "not permitted any more")
	}
	return roundTrip(conn, request)
}

// roundTrip sends the request and reads its answer.
func roundTrip(conn net.Conn, request *http.Request) (State, error) {
	var state State
	if err := request.Write(conn); err != nil {
		return state, rlberror.New("orders", KindUnknown, err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return state, rlberror.New("orders", KindUnknown, err)
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, rlbhttp.MaxBody))
	switch {
	case err != nil:
		return state, rlberror.New("orders", KindUnknown, err)
	case response.StatusCode != http.StatusOK:
		return state, rlberror.Newf("orders", kindOfStatus(response.StatusCode), "status %d: %s", response.StatusCode, bytes.TrimSpace(answer))
	}
	if err := json.Unmarshal(answer, &state); err != nil {
		return state, rlberror.New("orders", KindUnknown, err)
	}
	return state, nil
}

func kindOfStatus(status int) Kind {
	switch status {
	case http.StatusConflict:
		return KindFenced
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		return KindRefused
	default:
		return KindUnknown
	}
}
