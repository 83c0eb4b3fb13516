package rlbclaim

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlblink"

// Methods of calls to a controller.
const (
	MethodClaim  rlblink.Method = "claim"
	MethodFinish rlblink.Method = "finish"
)

// Verb is the kind of an operation.
type Verb uint8

// Kinds of operations.
const (
	VerbClaim   Verb = iota // claims the key for a run
	VerbFinish              // records the answer of a run
	VerbRelease             // releases the key of a run that was abandoned before it was sent
)

// Operation is a request to a shard.
type Operation struct {
	Verb  Verb  `msgpack:"v"`
	Entry Entry `msgpack:"e"`
}

// Status is the status of an operation.
type Status uint8

// Statuses of an operation. After Unavailable the claim may still become recorded,
// but the run must not be sent.
const (
	Granted     Status = iota // the claim is recorded: the run may be sent
	Taken                     // another run, given in Entry, has claimed the key
	Mismatch                  // the key was used for a request with different content
	Recorded                  // the answer or the release is processed; it has no effect if the run does not hold the claim
	Unavailable               // not recorded
)

// String returns the name of the status.
func (s Status) String() string {
	return [...]string{"granted", "taken", "mismatch", "recorded", "unavailable"}[s]
}

// Result is the result of an operation.
type Result struct {
	Status Status `msgpack:"s"`
	Entry  Entry  `msgpack:"e"` // the run that has claimed the key
}
