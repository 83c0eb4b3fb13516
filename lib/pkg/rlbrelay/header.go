// Package rlbrelay reads the answers of endpoints and checks, token by token, that
// each answer belongs to its request and is complete. It does no network I/O.
//
// Protocol: an endpoint returns the X-Request-Id of the request. A stream consists
// of server-sent events with the ids REQUEST/1, REQUEST/2 and so on; the data of the
// last event is [DONE]. Last-Event-ID requests the events after the given one.
// X-Deterministic guarantees that all engines with the same model version produce
// the same tokens.
package rlbrelay

// Headers of requests to endpoints and of their answers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderModel          = "X-Model"         // the model, if the request names an adapter
	HeaderVersion        = "X-Model-Version" // the version in force
	HeaderAdapter        = "X-Adapter"       // name@version
	HeaderPriority       = "X-Priority"      // lower values run first
	HeaderLastEventID    = "Last-Event-Id"
	HeaderDeterministic  = "X-Deterministic"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNotRun         = "X-Not-Run" // true if a plain service refused the request before running it
)
