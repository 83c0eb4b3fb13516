package rlbfleet

import (
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbquarantine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbworld"
)

// AddStrike notes a strike and returns a channel that is closed once the
// controllers tell it, as they then tell every gateway.
func (f *Fleet) AddStrike(strike rlbworld.Strike) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.world.MergeStrike(strike)
	told, known := f.echoes[strike.StrikeKey]
	if !known {
		told = make(chan struct{})
		f.echoes[strike.StrikeKey] = told
	}
	return told
}

// echo closes the channels of strikes that a controller tells; f.mu is held.
func (f *Fleet) echo(strikes []rlbworld.Strike) {
	for _, s := range strikes {
		if told, waits := f.echoes[s.StrikeKey]; waits {
			close(told)
			delete(f.echoes, s.StrikeKey)
		}
	}
}

// strikes returns all strikes; f.mu is held.
func (f *Fleet) strikes() []rlbworld.Strike {
	all := make([]rlbworld.Strike, 0, f.world.Strikes().Len())
	f.world.Strikes().All(func(_ rlbworld.StrikeKey, s rlbworld.Strike) bool {
		all = append(all, s)
		return true
	})
	return all
}

// Strikes returns how many endpoints crashed under a request.
func (f *Fleet) Strikes(fingerprint uint64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.world.Strikes().Len() == 0 {
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
func (f *Fleet) Advance(fingerprint uint64, phase rlbworld.StrikePhase, runsOn string) []rlbworld.Strike {
	f.mu.Lock()
	defer f.mu.Unlock()
	var advanced []rlbworld.Strike
	for _, s := range f.strikes() {
		if s.Fingerprint != fingerprint || s.Phase >= phase {
			continue
		}
		s.Phase, s.RunsOn = phase, runsOn
		f.world.MergeStrike(s)
		advanced = append(advanced, s)
	}
	return advanced
}
