package rlbapp

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcrash"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// crashCausesKey is the object with the properties of requests that are refused, so that
// they are still known after a restart of all instances.
var crashCausesKey = rlbobject.Key{Kind: "rlb-crash-causes", Name: "refused"}

// crashStoreInterval is the interval between two checks whether the object must be written.
const crashStoreInterval = 500 * time.Millisecond

// storedCause is the stored evidence against a property of requests.
type storedCause struct {
	Kind     rlbcrash.Kind `json:"kind"`
	ID       uint64        `json:"id"`
	Answered bool          `json:"answered"`
	Crashes  []storedCrash `json:"crashes"`
}

// storedCrash is a crash. Its time is relative, as clocks of processes differ.
type storedCrash struct {
	ID           uint64 `json:"id"`
	Endpoint     uint64 `json:"endpoint"`
	MsBeforeLast int64  `json:"ms_before_last"`   // milliseconds before the latest crash of the property
	RanMs        int64  `json:"ran_ms,omitempty"` // milliseconds for which the attempt had been running; 0: not known
}

// crashStore keeps the refused properties in the object API. Only the lease holder writes.
type crashStore struct {
	app     *app
	stored  []rlbcrash.Property // in the object as this instance knows it
	version rlbobject.Version   // of the object; 0: not known or no object
	era     uint64              // of the object API when the object was read
}

// run loads the stored properties and then writes them when they change, until ctx ends. They
// are read up to date: after a restart of all instances nobody knows what an older read lacks.
func (s *crashStore) run(ctx context.Context) {
	for ctx.Err() == nil && !s.load(ctx, s.app.api) {
		rlbcommon.Sleep(ctx, retryDelay)
	}
	for rlbcommon.Sleep(ctx, crashStoreInterval) {
		s.saveChanges(ctx)
	}
}

// load merges the stored evidence into that of this instance. Its crashes count from now
// on. It reports whether the object could be read or does not exist.
func (s *crashStore) load(ctx context.Context, api rlbobject.API) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	era := s.app.era()
	causes, err := s.read(ctx, api)
	if err != nil {
		s.app.Log.WithError(err).Warn("failed to read which requests crash endpoints")
		return false
	}
	now := s.app.now()
	var records []rlbcrash.Record
	s.stored = nil
	for _, c := range causes {
		r := rlbcrash.Record{Property: rlbcrash.Property{Kind: c.Kind, ID: c.ID}, Answered: c.Answered}
		for _, crash := range c.Crashes {
			at := now.Add(-time.Duration(crash.MsBeforeLast) * time.Millisecond)
			loaded := rlbcrash.Crash{ID: crash.ID, Endpoint: crash.Endpoint, At: at}
			if crash.RanMs > 0 {
				loaded.Began = at.Add(-time.Duration(crash.RanMs) * time.Millisecond)
			}
			r.Crashes = append(r.Crashes, loaded)
		}
		records = append(records, r)
		s.stored = append(s.stored, r.Property)
	}
	s.era = era
	s.app.crashes.Merge(records)
	s.app.Log.WithField("properties", len(records)).Info("loaded which requests crash endpoints")
	return true
}

// read returns the stored causes and sets the version.
func (s *crashStore) read(ctx context.Context, api rlbobject.API) ([]storedCause, error) {
	o, err := api.Get(ctx, crashCausesKey)
	if rlbobject.Is(err, rlbobject.KindNotFound) {
		s.version = o.Version
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	s.version = o.Version
	var causes []storedCause
	if err := json.Unmarshal(o.Value, &causes); err != nil {
		s.app.Log.WithError(err).Warn("failed to decode which requests crash endpoints; the object is replaced at the next change")
		return nil, nil
	}
	return causes, nil
}

// saveChanges writes the object if this instance holds the lease and other properties are
// refused than the object contains.
func (s *crashStore) saveChanges(ctx context.Context) {
	if !s.app.holdsLease() {
		return
	}
	if s.era != s.app.era() && !s.load(ctx, s.app.api) { // a restore may have lost what is stored
		return
	}
	records := s.app.crashes.RefusedRecords()
	var properties []rlbcrash.Property
	for _, r := range records {
		properties = append(properties, r.Property)
	}
	if slices.Equal(properties, s.stored) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(encodeCauses(records))
	if err != nil {
		s.app.Log.WithError(err).Error("failed to encode which requests crash endpoints")
		return
	}
	version, err := s.app.api.Put(ctx, crashCausesKey, value, s.version)
	if err != nil {
		s.app.Log.WithError(err).Warn("failed to store which requests crash endpoints")
		s.refreshVersion(ctx)
		return
	}
	s.version, s.stored = version, properties
	s.app.Log.WithField("properties", len(properties)).Info("stored which requests crash endpoints")
}

// refreshVersion reads the version of the object after a failed write: another lease
// holder has written it, or the write took effect without an answer.
func (s *crashStore) refreshVersion(ctx context.Context) {
	if _, err := s.read(ctx, s.app.api); err != nil {
		s.app.Log.WithError(err).Warn("failed to read which requests crash endpoints")
	}
}

func encodeCauses(records []rlbcrash.Record) []storedCause {
	causes := []storedCause{}
	for _, r := range records {
		c := storedCause{Kind: r.Property.Kind, ID: r.Property.ID, Answered: r.Answered}
		last := r.Crashes[len(r.Crashes)-1].At
		for _, crash := range r.Crashes {
			if !crash.Refuted {
				stored := storedCrash{ID: crash.ID, Endpoint: crash.Endpoint, MsBeforeLast: last.Sub(crash.At).Milliseconds()}
				if !crash.Began.IsZero() {
					stored.RanMs = max(crash.At.Sub(crash.Began).Milliseconds(), 1)
				}
				c.Crashes = append(c.Crashes, stored)
			}
		}
		causes = append(causes, c)
	}
	return causes
}
