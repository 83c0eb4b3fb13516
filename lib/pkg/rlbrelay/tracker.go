package rlbrelay

import (
	"bytes"
	"strconv"
)

// Verdict says what to do with an event.
type Verdict int

// The verdicts. After Foreign, Gap and Malformed nothing more may be taken from
// the connection.
const (
	Forward   Verdict = iota // the next token
	Skip                     // the caller has it already, or a comment
	End                      // the end marker, in its place: forward it, the answer is whole
	Foreign                  // belongs to another request
	Gap                      // tokens before it are missing
	Malformed                // without a readable id
)

// String names the verdict.
func (v Verdict) String() string {
	return [...]string{"forward", "skip", "end", "foreign", "gap", "malformed"}[v]
}

var (
	endMarker  = []byte("[DONE]")
	documentID = []byte(`{"id":"`)
)

// Tracker follows one answer across the connections that bring it.
type Tracker struct {
	request []byte
	sent    uint64 // tokens that the caller has
	ended   bool
}

// NewTracker returns the tracker of a request's answer.
func NewTracker(request string) *Tracker { return &Tracker{request: []byte(request)} }

// Sent returns how many tokens the caller has.
func (t *Tracker) Sent() uint64 { return t.sent }

// Ended reports whether the answer is whole.
func (t *Tracker) Ended() bool { return t.ended }

// LastEventID returns the id of the last event that the caller has.
func (t *Tracker) LastEventID() string {
	return string(t.request) + "/" + strconv.FormatUint(t.sent, 10)
}

// Check says what to do with the next event and, for Forward and End, counts
// it as sent.
func (t *Tracker) Check(event Event) Verdict {
	if len(event.ID) == 0 && len(event.Data) == 0 {
		return Skip // a comment keeps the connection open
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
	return t.place(number, bytes.Equal(event.Data, endMarker))
}

func (t *Tracker) place(number uint64, end bool) Verdict {
	switch {
	case number <= t.sent:
		return Skip
	case number > t.sent+1:
		return Gap
	}
	if end {
		t.ended = true
		return End
	}
	t.sent = number
	return Forward
}

// foreignDocument reports whether the data names another request as its own.
func (t *Tracker) foreignDocument(data []byte) bool {
	rest, found := bytes.CutPrefix(data, documentID)
	if !found {
		return false
	}
	rest, found = bytes.CutPrefix(rest, t.request)
	return !found || len(rest) == 0 || rest[0] != '"'
}

func parseNumber(digits []byte) (uint64, bool) {
	const maxDigits = 18 // stays within uint64
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
