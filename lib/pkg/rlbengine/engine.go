// Package rlbengine provides the interface to the control API of a model engine:
// its state and its orders. Requests use the OpenAI-style HTTP API of the engine,
// see package rlbrelay.
//
// Protocol: GET /control/state; POST /control/orders with an Order, answered
// with 200 (accepted), 409 (outdated fencing number) or 422 (refused).
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

// Phase is the lifecycle phase of a model on an engine.
type Phase string

// Phases.
const (
	PhaseLoading   Phase = "loading"
	PhaseReady     Phase = "ready"
	PhaseUnloading Phase = "unloading" // running requests finish, memory is still in use
)

// Resident is a model on an engine, in any phase.
type Resident struct {
	Name    string        `json:"name" msgpack:"n"`
	Version string        `json:"version" msgpack:"v"`
	Phase   Phase         `json:"phase" msgpack:"p"`
	Memory  rlbunit.Bytes `json:"memory" msgpack:"m"`
}

// State is a report of an engine. Incarnation increases with each start of the
// engine; Sequence increases with each change of residents.
type State struct {
	ID          string        `json:"id" msgpack:"i"`
	Incarnation uint64        `json:"incarnation" msgpack:"c"`
	Sequence    uint64        `json:"sequence" msgpack:"s"`
	Report      uint64        `json:"report" msgpack:"n"` // number of this report, increases within an incarnation
	Fence       uint64        `json:"fence" msgpack:"f"`
	Memory      rlbunit.Bytes `json:"memory" msgpack:"m"`
	Residents   []Resident    `json:"residents" msgpack:"r"`
	Load        Load          `json:"load" msgpack:"l"`
	Draining    bool          `json:"draining,omitempty" msgpack:"d"`
}

// Load is the part of a report that changes with each request.
type Load struct {
	Running  int      `json:"running" msgpack:"r"`
	Waiting  int      `json:"waiting" msgpack:"w"`
	Slots    int      `json:"slots" msgpack:"s"`
	Adapters []string `json:"adapters,omitempty" msgpack:"a,omitempty"` // resident adapters as name@version
}

// Used returns the memory used by all residents.
func (s State) Used() rlbunit.Bytes {
	var used rlbunit.Bytes
	for _, r := range s.Residents {
		used += r.Memory
	}
	return used
}

// Action is the action of an order.
type Action string

// Actions. ActionFence only raises the fencing number of the engine.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
	ActionFence  Action = "fence"
)

// Order is an order to an engine to change its residents.
type Order struct {
	ID      string        `json:"id"`
	Fence   uint64        `json:"fence"`
	Action  Action        `json:"action"`
	Name    string        `json:"name,omitempty"`
	Version string        `json:"version,omitempty"`
	Memory  rlbunit.Bytes `json:"memory,omitempty"`
}

// Engine is the control API of an engine.
type Engine interface {
	// State returns the current report of the engine.
	State(ctx context.Context) (State, error)
	// Order sends an order and returns the state after it is accepted. After an
	// error of KindUnknown the order may have taken effect or may still do so.
	// Order calls permitted on an established connection, right before sending
	// the first byte; if it returns false, nothing is sent. The connection does not
	// outlive the engine's incarnation, so an order that is delayed at the sender
	// reaches the incarnation that it was meant for, or none.
	Order(ctx context.Context, order Order, permitted func() bool) (State, error)
}

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	KindNotSent Kind = iota // no byte reached the engine
	KindFenced              // the engine has received a higher fencing number
	KindRefused             // the engine refused the order, for example for lack of memory
	KindUnknown             // no response: the order may have taken effect or may still do so
)

// String returns the text of the kind for error messages.
func (k Kind) String() string {
	return [...]string{"not sent", "fenced", "refused", "outcome unknown"}[k]
}

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

// Client is an Engine over HTTP.
type Client struct {
	address string
	base    string
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client of the engine at address (IP:port) whose calls time
// out after timeout. Engines may share an HTTP client.
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

// Order implements Engine. It opens a new connection for each order, so that
// permitted is called while the connection is established.
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
		return state, rlberror.Newf("orders", KindNotSent, "no longer permitted")
	}
	return roundTrip(conn, request)
}

// roundTrip sends the request on conn and reads the response.
func roundTrip(conn net.Conn, request *http.Request) (State, error) {
	var state State
	if err := request.Write(conn); err != nil {
		return state, rlberror.New("orders", KindUnknown, err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return state, rlberror.New("orders", KindUnknown, err)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, rlbhttp.MaxBody))
	switch {
	case err != nil:
		return state, rlberror.New("orders", KindUnknown, err)
	case response.StatusCode != http.StatusOK:
		return state, rlberror.Newf("orders", kindOfStatus(response.StatusCode), "status %d: %s", response.StatusCode, bytes.TrimSpace(body))
	}
	if err := json.Unmarshal(body, &state); err != nil {
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
