// Package rlblink implements the protocol between gateways and controllers. A
// client (a gateway or a controller) subscribes to a controller, which sends the
// changes of its fleet state at a fixed interval. An update, even an empty one, is
// also the heartbeat. The client reports the rows it collects and can make calls.
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
	TypeResponse                         // server to client: the response to a call
	TypeError                            // server to client: ErrorResponse
)

// Protocol is the version of the protocol.
const Protocol = 1

// Hello opens a link.
type Hello struct {
	Protocol int                      `msgpack:"p"`
	Process  rlbfleetstate.ProcessKey `msgpack:"n"`
	Scope    rlbfleetstate.Scope      `msgpack:"s"`
}

// Method is the name of a method that a server offers.
type Method string

// Call is a call of a method of the server.
type Call struct {
	Method Method `msgpack:"m"`
	Body   []byte `msgpack:"b"` // parameters, encoded as msgpack
}

// ErrorResponse is the response to a call that the server did not carry out.
type ErrorResponse struct {
	Message string `msgpack:"m"`
}

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	KindNoLink   Kind = iota // no link, or too many pending calls: the call was not sent
	KindUnknown              // no response: the call may have taken effect
	KindRefused              // the server did not carry out the call
	KindEncoding             // the parameters cannot be encoded
)

// String returns the text of the kind for error messages.
func (k Kind) String() string {
	return [...]string{"no link", "no answer", "refused", "bad encoding"}[k]
}

// Error is the error type of this package.
type Error = rlberror.Error[Kind]
