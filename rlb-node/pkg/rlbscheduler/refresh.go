package rlbscheduler

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
)

// Limits of reading reports for a plan.
const (
	// reportWait is how long a plan waits for reports. Endpoints that answer later are
	// frozen in it.
	reportWait           = 50 * time.Millisecond
	maxConcurrentReports = 32
	// promptReport is how long a call counts as one of maxConcurrentReports. Endpoints that
	// do not answer must not keep a plan from reading the reports of the others.
	promptReport = 10 * time.Millisecond
)

// refreshStates reads the reports of the endpoints whose state is not known, at the same
// time, so that endpoints that do not answer delay neither the others nor the plan. It
// returns when all have answered, or after reportWait while the rest goes on.
func (s *Scheduler) refreshStates(ctx context.Context, snapshot *rlbdiscovery.Snapshot, states []*endpointState) {
	slots := make(chan struct{}, maxConcurrentReports)
	var group sync.WaitGroup
	for _, state := range states {
		if s.needsReport(snapshot, state) {
			group.Go(func() { s.readReport(ctx, state, slots) })
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		group.Wait()
	}()
	select {
	case <-done:
	case <-time.After(reportWait):
	}
}

// needsReport applies the endpoint's entry and reports whether its state is not known. An
// endpoint with a call in flight needs none now.
func (s *Scheduler) needsReport(snapshot *rlbdiscovery.Snapshot, state *endpointState) bool {
	entry := snapshot.ByID[state.incarnation.ID]
	if entry == nil || !state.mu.TryLock() {
		return false
	}
	defer state.mu.Unlock()
	state.applyEntry(entry)
	if state.overdue(s.now()) {
		state.known = false
	}
	return !state.known && !s.now().Before(state.pausedUntil)
}

// readReport reads the report of an endpoint once a slot is free.
func (s *Scheduler) readReport(ctx context.Context, state *endpointState, slots chan struct{}) {
	slots <- struct{}{}
	late := time.AfterFunc(promptReport, func() { <-slots })
	defer func() {
		if late.Stop() {
			<-slots
		}
	}()
	if !state.mu.TryLock() {
		return
	}
	defer state.mu.Unlock()
	s.refreshState(ctx, state)
}
