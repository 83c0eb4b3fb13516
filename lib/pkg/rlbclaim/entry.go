// Package rlbclaim decides who may run a request that must run at most once.
// A claim on its idempotency key is written to the object API before the
// request is sent to an endpoint; conditional writes keep two runs from both
// being granted, whichever instances they go through. It does no I/O.
package rlbclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/google/uuid"
)

// MaxStoredBody is the longest answer body that is kept for a resend.
const MaxStoredBody = 4 << 10

// Key is the hash of an idempotency key.
type Key [16]byte

// HashKey returns the hash of an idempotency key as the caller sent it.
func HashKey(text string) Key {
	sum := sha256.Sum256([]byte(text))
	return Key(sum[:len(Key{})])
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Shard returns which of n shards the key belongs to.
func (k Key) Shard(n int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(n))
}

// KeyCreatedAt returns when a caller made its key, if the key is a UUID of version 7,
// which carries its time.
func KeyCreatedAt(text string) (time.Time, bool) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}

// RunID names one run of a request at one gateway.
type RunID [16]byte

// NewRunID returns a new run's name.
func NewRunID() RunID { return RunID(uuid.New()) }

// Phase is how far a claimed run is.
type Phase uint8

// The phases.
const (
	Claimed  Phase = iota // it may run, may be running, or may have been lost
	Answered              // it ran and its caller's answer is known
	Failed                // it ran and failed, or its outcome is unknown
)

// Answer is the answer of a run, for a resend.
type Answer struct {
	Outcome     string `msgpack:"o"`
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t,omitempty"`
	Body        []byte `msgpack:"b,omitempty"`
	Digest      uint64 `msgpack:"d,omitempty"` // of the body
	Kept        bool   `msgpack:"k,omitempty"` // whether Body is kept
}

// Entry is the claim on one key.
type Entry struct {
	Key         Key    `msgpack:"k"`
	Run         RunID  `msgpack:"r"`
	Fingerprint uint64 `msgpack:"f"` // of the request's content
	Deadline    int64  `msgpack:"d"` // Unix time in seconds until which the entry is kept
	Phase       Phase  `msgpack:"p,omitempty"`
	Released    bool   `msgpack:"x,omitempty"` // the run was given up before it was sent
	Answer      Answer `msgpack:"a,omitempty"`
}
