// Package rlblink is the protocol between the system's own processes. A client
// (a gateway or a controller) subscribes to a controller, which tells it what
// changed in its world at a fixed interval; an update, even an empty one, is
// also the heartbeat. The client reports its own rows and may make calls.
package rlblink

import (
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbwire"
)

// The types of messages.
const (
	TypeHello    rlbwire.Type = iota + 1 // client to server: Hello
	TypeUpdate                           // server to client: rlbfleetstate.Update
	TypeReport                           // client to server: rlbfleetstate.Update
	TypeCall                             // client to server: Call
	TypeResponse                         // server to client: the call's answer
	TypeError                            // server to client: Refusal
)

// Protocol is the number of this protocol's version.
const Protocol = 1

// Hello opens a link.
type Hello struct {
	Protocol int                   `msgpack:"p"`
	Node     rlbfleetstate.NodeKey `msgpack:"n"`
	Scope    rlbfleetstate.Scope   `msgpack:"s"`
}

// Method names a call.
type Method string

// Call is a question to the server.
type Call struct {
	Method Method `msgpack:"m"`
	Body   []byte `msgpack:"b"` // msgpack
}

// ErrorResponse is the answer to a call that the server did not carry out.
type ErrorResponse struct {
	Message string `msgpack:"m"`
}

// Kind is the kind of a failure.
type Kind int

// The kinds of failures.
const (
	KindNoLink  Kind = iota // no controller is linked: the call was not sent
	KindUnknown             // no answer: the call may have taken effect
	KindRefused             // the server did not carry the call out
	KindEncoding
)

// String names the kind.
func (k Kind) String() string {
	return [...]string{"no link", "no answer", "refused", "bad encoding"}[k]
}

// Error is this package's error.
type Error = rlberror.Error[Kind]
