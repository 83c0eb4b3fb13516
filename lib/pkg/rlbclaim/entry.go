// Package rlbclaim grants at most one run of a request that must run at most once. A
// claim of the idempotency key is written to the object API before the request is
// sent to an endpoint. Conditional writes ensure that no second run is granted, even
// if the runs go through different instances. It does no I/O.
package rlbclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/google/uuid"
)

// MaxStoredBody is the size limit in bytes of answer bodies that are stored for
// resends.
const MaxStoredBody = 4 << 10

// Key is the hash of an idempotency key.
type Key [16]byte

// HashKey returns the hash of a caller's idempotency key.
func HashKey(text string) Key {
	sum := sha256.Sum256([]byte(text))
	return Key(sum[:len(Key{})])
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Shard returns the shard of the key, from 0 to n-1.
func (k Key) Shard(n int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(n))
}

// KeyCreatedAt returns the creation time of a key that is a UUID of version 7; other
// keys have none.
func KeyCreatedAt(text string) (time.Time, bool) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}

// RunID identifies one run of a request at one gateway.
type RunID [16]byte

// NewRunID returns a random RunID.
func NewRunID() RunID { return RunID(uuid.New()) }

// Phase is the phase of a claimed run.
type Phase uint8

// Phases of a run.
const (
	Claimed  Phase = iota // not known to have ended: it may be waiting, running or lost
	Answered              // ran, and the answer to its caller is recorded
	Failed                // ran and failed, or its outcome is unknown
)

// Answer is the answer of a run, recorded for resends.
type Answer struct {
	Outcome     string `msgpack:"o"`
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t,omitempty"`
	Body        []byte `msgpack:"b,omitempty"`
	BodyHash    uint64 `msgpack:"d,omitempty"`
	Kept        bool   `msgpack:"k,omitempty"` // whether Body is stored
}

// Entry is the claim of one key.
type Entry struct {
	Key         Key    `msgpack:"k"`
	Run         RunID  `msgpack:"r"`
	Fingerprint uint64 `msgpack:"f"` // fingerprint of the request content
	Deadline    int64  `msgpack:"d"` // Unix time in seconds until which the entry is kept
	Phase       Phase  `msgpack:"p,omitempty"`
	Released    bool   `msgpack:"x,omitempty"` // the run was abandoned before it was sent
	Answer      Answer `msgpack:"a,omitempty"`
}
