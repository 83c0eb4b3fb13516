package rlbrelay

import (
	"bytes"
	"strconv"
)

// Verdict is the result of checking an event.
type Verdict int

// Verdicts on an event. After Foreign, Gap and Malformed the connection must not be
// read any further.
const (
	Forward   Verdict = iota // the next token: forward it
	Skip                     // a comment, or already sent to the caller
	End                      // the end marker after the last token: forward it, the answer is complete
	Foreign                  // belongs to another request
	Gap                      // tokens before it are missing
	Malformed                // no valid id
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"forward", "skip", "end", "foreign", "gap", "malformed"}[v]
}

var (
	endMarker  = []byte("[DONE]")
	documentID = []byte(`{"id":"`)
)

// Tracker tracks the progress of one answer across connections.
type Tracker struct {
	request   []byte
	forwarded uint64 // tokens sent to the caller
	ended     bool
}

// NewTracker returns a tracker for the answer to a request.
func NewTracker(request string) *Tracker { return &Tracker{request: []byte(request)} }

// Sent returns the number of tokens sent to the caller.
func (t *Tracker) Sent() uint64 { return t.forwarded }

// Ended reports whether the answer is complete.
func (t *Tracker) Ended() bool { return t.ended }

// LastEventID returns the id of the last event sent to the caller.
func (t *Tracker) LastEventID() string {
	return string(t.request) + "/" + strconv.FormatUint(t.forwarded, 10)
}

// Check returns the verdict on the next event and, for Forward and End, counts it as
// sent.
func (t *Tracker) Check(event Event) Verdict {
	if len(event.ID) == 0 && len(event.Data) == 0 {
		return Skip // a comment, sent to keep the connection open
	}
	slash := bytes.LastIndexByte(event.ID, '/')
	if slash < 0 {
		return Malformed
	}
	if !bytes.Equal(event.ID[:slash], t.request) || t.foreignDocument(event.Data) {
		return Foreign
	}
	number, ok := parseNumber(event.ID[slash+1:])
	if !ok {
		return Malformed
	}
	return t.checkNumber(number, bytes.Equal(event.Data, endMarker))
}

// checkNumber returns the verdict on an event of the request by its number.
func (t *Tracker) checkNumber(number uint64, end bool) Verdict {
	switch {
	case number <= t.forwarded:
		return Skip
	case number > t.forwarded+1:
		return Gap
	}
	if end {
		t.ended = true
		return End
	}
	t.forwarded = number
	return Forward
}

// foreignDocument reports whether the data is a document with the id of another
// request.
func (t *Tracker) foreignDocument(data []byte) bool {
	rest, found := bytes.CutPrefix(data, documentID)
	if !found {
		return false
	}
	rest, found = bytes.CutPrefix(rest, t.request)
	return !found || len(rest) == 0 || rest[0] != '"'
}

func parseNumber(digits []byte) (uint64, bool) {
	const maxDigits = 18 // any number of 18 digits fits in uint64
	if len(digits) == 0 || len(digits) > maxDigits {
		return 0, false
	}
	var n uint64
	for _, d := range digits {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = n*10 + uint64(d-'0')
	}
	return n, true
}
