package rlbclaim

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlblink"

// The methods of calls to a controller.
const (
	MethodClaim  rlblink.Method = "claim"
	MethodFinish rlblink.Method = "finish"
)

// Verb is what an operation asks.
type Verb uint8

// The verbs.
const (
	VerbClaim   Verb = iota // may this run be sent?
	VerbFinish              // the run ended with this answer
	VerbRelease             // the run was given up before it was sent
)

// Operation is a question to a shard.
type Operation struct {
	Verb  Verb  `msgpack:"v"`
	Entry Entry `msgpack:"e"`
}

// Status is what a shard answers.
type Status uint8

// The statuses. After Unavailable the claim may still be recorded; the run must
// not be sent.
const (
	Granted     Status = iota // recorded: the run may be sent
	Taken                     // another run has the key: see Entry
	Mismatch                  // the key belongs to a request with other content
	Recorded                  // the answer or the release is recorded
	Unavailable               // not recorded
)

// String names the status.
func (s Status) String() string {
	return [...]string{"granted", "taken", "mismatch", "recorded", "unavailable"}[s]
}

// Result is the answer to an operation.
type Result struct {
	Status Status `msgpack:"s"`
	Entry  Entry  `msgpack:"e"` // of the run that has the key
}
