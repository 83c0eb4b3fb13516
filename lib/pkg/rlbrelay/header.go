// Package rlbrelay reads the answers of endpoints: it checks that each answer
// belongs to its request and is whole, token by token. It does no network I/O.
//
// Protocol: an endpoint repeats the request's X-Request-Id. A stream is made of
// server-sent events; the id of each is REQUEST/N, with N rising by one from 1,
// and the last event's data is [DONE]. Last-Event-ID asks for the events after
// the one it names; X-Deterministic promises that any engine with the same
// version gives the same tokens.
package rlbrelay

// Headers towards endpoints.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderModel          = "X-Model"         // the model, when the request names an adapter
	HeaderVersion        = "X-Model-Version" // the version in force
	HeaderAdapter        = "X-Adapter"       // name@version
	HeaderPriority       = "X-Priority"      // lower goes first
	HeaderLastEventID    = "Last-Event-Id"
	HeaderDeterministic  = "X-Deterministic"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNotRun         = "X-Not-Run" // true: a plain service refused the request before running it
)
