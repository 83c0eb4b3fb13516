package rlbfleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcrash"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbquarantine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
)

// AddCrash adds a crash record and returns a channel that is closed once a controller
// publishes the record, which it does to every gateway.
func (f *Fleet) AddCrash(crash rlbfleetstate.Crash) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learnFromCrashes([]rlbfleetstate.Crash{crash})
	f.state.MergeCrash(crash)
	published, known := f.unpublishedCrashes[crash.CrashKey]
	if !known {
		published = make(chan struct{})
		f.unpublishedCrashes[crash.CrashKey] = published
	}
	return published
}

// confirmPublished closes the channels of crash records that a controller published.
// f.mu must be held.
func (f *Fleet) confirmPublished(crashes []rlbfleetstate.Crash) {
	for _, crash := range crashes {
		if published, waiting := f.unpublishedCrashes[crash.CrashKey]; waiting {
			close(published)
			delete(f.unpublishedCrashes, crash.CrashKey)
		}
	}
}

// learnFromCrashes updates the evidence about prompt parts from crash records that are
// new or newer than the known ones. f.mu must be held.
func (f *Fleet) learnFromCrashes(crashes []rlbfleetstate.Crash) {
	for _, crash := range crashes {
		if known, found := f.state.Crashes().Get(crash.CrashKey); found && !crash.Newer(known) {
			continue
		}
		if crash.Phase == rlbfleetstate.QuarantineCleared {
			f.RecordAnswer(crash.Model, crash.Parts)
			continue
		}
		endpoint := xxhash.Sum64String(crash.Endpoint) ^ crash.Incarnation
		for _, p := range partProperties(crash.Parts) {
			f.crashCauses.RecordCrash(p, endpoint, endpoint, time.Time{})
		}
	}
}

// RecordAnswer records that an endpoint has answered a request for the model whose prompt
// has the parts.
func (f *Fleet) RecordAnswer(model string, parts []uint64) {
	f.crashCauses.RecordAnswer(model, partProperties(parts))
}

// answeredPartInterval is the time between two records of one answered part.
const answeredPartInterval = 10 * time.Second

// TakeAnsweredParts returns records for the controllers that tell the other gateways which
// parts of the prompts of crashed requests are in answered requests too. Such a record is
// a cleared one without an endpoint.
func (f *Fleet) TakeAnsweredParts() []rlbfleetstate.Crash {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var answered []rlbfleetstate.Crash
	for _, crash := range f.crashes() {
		if crash.Phase == rlbfleetstate.QuarantineCleared {
			continue
		}
		for _, p := range partProperties(crash.Parts) {
			if !f.crashCauses.Refutes(p) || now.Before(f.nextAnsweredPart[p.ID]) {
				continue
			}
			f.nextAnsweredPart[p.ID] = now.Add(answeredPartInterval)
			answered = append(answered, rlbfleetstate.Crash{
				CrashKey: rlbfleetstate.CrashKey{Fingerprint: p.ID}, Model: crash.Model, Parts: []uint64{p.ID},
				Deadline: now.Add(rlbquarantine.CrashTTL).Unix(), Phase: rlbfleetstate.QuarantineCleared,
			})
		}
	}
	for part, next := range f.nextAnsweredPart {
		if now.After(next) {
			delete(f.nextAnsweredPart, part)
		}
	}
	return answered
}

// CrashingPart returns the part of a prompt because of which a request for the model must
// not run, as requests with it crash endpoints, and until when. It returns false if there
// is none.
func (f *Fleet) CrashingPart(model string, parts []uint64) (part uint64, until time.Time, found bool) {
	allowed, cause, until := f.crashCauses.Check(model, partProperties(parts))
	return cause.ID, until, !allowed
}

func partProperties(parts []uint64) []rlbcrash.Property {
	var all []rlbcrash.Property
	for _, part := range parts {
		all = append(all, rlbcrash.Property{Kind: rlbcrash.PromptPart, ID: part})
	}
	return all
}

// crashes returns all crash records. f.mu must be held.
func (f *Fleet) crashes() []rlbfleetstate.Crash {
	all := make([]rlbfleetstate.Crash, 0, f.state.Crashes().Len())
	f.state.Crashes().All(func(_ rlbfleetstate.CrashKey, crash rlbfleetstate.Crash) bool {
		all = append(all, crash)
		return true
	})
	return all
}

// CountCrashes returns the number of crash records of a request that are neither
// cleared nor expired.
func (f *Fleet) CountCrashes(fingerprint uint64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Crashes().Len() == 0 {
		return 0
	}
	return rlbquarantine.CountCrashes(f.crashes(), fingerprint, f.now())
}

// QuarantineSlot returns the endpoint on which a quarantined request may run now, or
// nil if it must wait.
func (f *Fleet) QuarantineSlot(fingerprint uint64, model string) *rlbroute.Endpoint {
	routes := f.Routes()
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := func(model string) (ids []string) {
		for _, e := range routes.Candidates(model) {
			ids = append(ids, e.ID())
		}
		return ids
	}
	id, ok := rlbquarantine.AssignSlot(f.crashes(), rlbquarantine.Request{Fingerprint: fingerprint, Model: model}, candidates, f.now())
	if !ok {
		return nil
	}
	return f.endpoints[id]
}

// AdvanceQuarantine moves the crash records of a request to a later phase and returns
// the changed ones, to be sent to the controllers.
func (f *Fleet) AdvanceQuarantine(fingerprint uint64, phase rlbfleetstate.QuarantinePhase, runsOn string) []rlbfleetstate.Crash {
	f.mu.Lock()
	defer f.mu.Unlock()
	var advanced []rlbfleetstate.Crash
	for _, crash := range f.crashes() {
		if crash.Fingerprint != fingerprint || crash.Phase >= phase {
			continue
		}
		crash.Phase, crash.RunsOn = phase, runsOn
		f.learnFromCrashes([]rlbfleetstate.Crash{crash})
		f.state.MergeCrash(crash)
		advanced = append(advanced, crash)
	}
	return advanced
}
