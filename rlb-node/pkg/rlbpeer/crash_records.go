package rlbpeer

import (
	"math"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcrash"
)

// CrashRecord is the evidence about a property of requests as encoded in digests and
// summaries. Receivers merge it into their own.
type CrashRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Kind     uint8
	ID       uint64
	Answered bool
	Crashes  []CrashAge
}

// CrashAge is a crash as encoded in digests and summaries.
type CrashAge struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID       uint64
	Endpoint uint64
	AgeMs    uint32 // when the message was sent, in milliseconds
	Refuted  bool
	// RanMs is how long the attempt that it cut off had been running, in milliseconds; 0: not
	// known.
	RanMs uint32
}

// NewCrashRecords converts records to the form in a message sent at now.
func NewCrashRecords(now time.Time, records []rlbcrash.Record) []CrashRecord {
	var all []CrashRecord
	for _, r := range records {
		encoded := CrashRecord{Kind: uint8(r.Property.Kind), ID: r.Property.ID, Answered: r.Answered}
		for _, c := range r.Crashes {
			age := min(max(now.Sub(c.At).Milliseconds(), 0), math.MaxUint32)
			encoded.Crashes = append(encoded.Crashes, CrashAge{ID: c.ID, Endpoint: c.Endpoint, AgeMs: uint32(age), Refuted: c.Refuted, RanMs: ranMs(c)})
		}
		all = append(all, encoded)
	}
	return all
}

// ranMs returns RanMs of a crash. An attempt that has begun runs for a millisecond at least.
func ranMs(c rlbcrash.Crash) uint32 {
	if c.Began.IsZero() {
		return 0
	}
	return uint32(min(max(c.At.Sub(c.Began).Milliseconds(), 1), math.MaxUint32))
}

// decodeCrash converts a crash of a message that was received at now.
func decodeCrash(now time.Time, c CrashAge) rlbcrash.Crash {
	decoded := rlbcrash.Crash{ID: c.ID, Endpoint: c.Endpoint, At: now.Add(-time.Duration(c.AgeMs) * time.Millisecond), Refuted: c.Refuted}
	if c.RanMs > 0 {
		decoded.Began = decoded.At.Add(-time.Duration(c.RanMs) * time.Millisecond)
	}
	return decoded
}

// decodeCrashRecords converts the records of a message that was received at now.
// Records of kinds that this version does not know are left out.
func decodeCrashRecords(now time.Time, records []CrashRecord) []rlbcrash.Record {
	var all []rlbcrash.Record
	for _, r := range records {
		kind := rlbcrash.Kind(r.Kind)
		if kind != rlbcrash.WholeRequest && kind != rlbcrash.PromptPart {
			continue
		}
		decoded := rlbcrash.Record{Property: rlbcrash.Property{Kind: kind, ID: r.ID}, Answered: r.Answered}
		for _, c := range r.Crashes {
			decoded.Crashes = append(decoded.Crashes, decodeCrash(now, c))
		}
		all = append(all, decoded)
	}
	return all
}
