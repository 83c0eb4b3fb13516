package rlbfleet

import (
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbquarantine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
)

// AddCrash adds a crash record and returns a channel that is closed once a controller
// publishes the record, which it does to every gateway.
func (f *Fleet) AddCrash(crash rlbfleetstate.Crash) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
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
		f.state.MergeCrash(crash)
		advanced = append(advanced, crash)
	}
	return advanced
}
