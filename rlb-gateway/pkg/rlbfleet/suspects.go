package rlbfleet

import (
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbquarantine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
)

// AddStrike notes a strike and returns a channel that is closed once the
// controllers tell it, as they then tell every gateway.
func (f *Fleet) AddStrike(strike rlbfleetstate.Crash) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.world.MergeCrash(strike)
	told, known := f.echoes[strike.CrashKey]
	if !known {
		told = make(chan struct{})
		f.echoes[strike.CrashKey] = told
	}
	return told
}

// echo closes the channels of strikes that a controller tells; f.mu is held.
func (f *Fleet) echo(strikes []rlbfleetstate.Crash) {
	for _, s := range strikes {
		if told, waits := f.echoes[s.CrashKey]; waits {
			close(told)
			delete(f.echoes, s.CrashKey)
		}
	}
}

// strikes returns all strikes; f.mu is held.
func (f *Fleet) strikes() []rlbfleetstate.Crash {
	all := make([]rlbfleetstate.Crash, 0, f.world.Crashes().Len())
	f.world.Crashes().All(func(_ rlbfleetstate.CrashKey, s rlbfleetstate.Crash) bool {
		all = append(all, s)
		return true
	})
	return all
}

// Strikes returns how many endpoints crashed under a request.
func (f *Fleet) Strikes(fingerprint uint64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.world.Crashes().Len() == 0 {
		return 0
	}
	return rlbquarantine.CountCrashes(f.strikes(), fingerprint, f.now())
}

// Turn returns the endpoint on which a suspect may run now, or nil if it must
// wait.
func (f *Fleet) Turn(fingerprint uint64, model string) *rlbroute.Endpoint {
	routes := f.Routes()
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := func(model string) (ids []string) {
		for _, e := range routes.Candidates(model) {
			ids = append(ids, e.ID())
		}
		return ids
	}
	id, ok := rlbquarantine.AssignSlot(f.strikes(), rlbquarantine.Request{Fingerprint: fingerprint, Model: model}, candidates, f.now())
	if !ok {
		return nil
	}
	return f.endpoints[id]
}

// Advance moves a request's strikes to a phase and returns them for the fleet.
func (f *Fleet) Advance(fingerprint uint64, phase rlbfleetstate.QuarantinePhase, runsOn string) []rlbfleetstate.Crash {
	f.mu.Lock()
	defer f.mu.Unlock()
	var advanced []rlbfleetstate.Crash
	for _, s := range f.strikes() {
		if s.Fingerprint != fingerprint || s.Phase >= phase {
			continue
		}
		s.Phase, s.RunsOn = phase, runsOn
		f.world.MergeCrash(s)
		advanced = append(advanced, s)
	}
	return advanced
}
