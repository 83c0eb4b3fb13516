package rlbbalancer

import (
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbpace"
)

// paceInterval is the time between two comparisons of the endpoints of a service. It is that
// between two digests.
const paceInterval = 250 * time.Millisecond

// servicePace is the usual time of a decoding step in a service.
type servicePace struct {
	usualStep   time.Duration // median over the endpoints; 0: not known
	nextCompare time.Time
}

// RecordGap records the gap between two events of a stream, each of which holds eventTokens
// tokens.
func (b *Balancer) RecordGap(now time.Time, e *rlbdeployment.Endpoint, gap time.Duration, eventTokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.statsOf(e).step.Record(now, gap, eventTokens)
}

// learnPace takes over what other instances report about the steps of a service's endpoints,
// and compares the endpoints with each other. b.mu is held.
func (b *Balancer) learnPace(now time.Time, all []*rlbdeployment.Endpoint, otherLoad func(id string) Load) {
	if len(all) == 0 {
		return
	}
	pace := b.paces[all[0].Service]
	if pace == nil {
		pace = &servicePace{}
		b.paces[all[0].Service] = pace
	}
	if now.Before(pace.nextCompare) {
		return
	}
	pace.nextCompare = now.Add(paceInterval)
	var steps []time.Duration
	for _, e := range all {
		s := b.statsOf(e)
		if reported := otherLoad(e.ID).Steps.Mean(); reported > 0 {
			s.peerStep = reported
		}
		if step := s.stepTime(); step > 0 {
			steps = append(steps, step)
		}
	}
	if len(steps) == 0 {
		return
	}
	slices.Sort(steps)
	pace.usualStep = steps[len(steps)/2]
}

// SlowEndpoints returns the number of endpoints that are slower than is usual in their service.
func (b *Balancer) SlowEndpoints() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	slow := 0
	for _, s := range b.stats {
		if pace := b.paces[s.service]; pace != nil && rlbpace.Speed(s.stepTime(), pace.usualStep) < 1 {
			slow++
		}
	}
	return slow
}

// speed returns how fast an endpoint is compared to its service. b.mu is held.
func (b *Balancer) speed(e *rlbdeployment.Endpoint) float64 {
	pace := b.paces[e.Service]
	if pace == nil {
		return 1
	}
	return rlbpace.Speed(b.statsOf(e).stepTime(), pace.usualStep)
}

// stepTime returns the time of a decoding step at the endpoint, or 0 if it is not known. Several
// instances together have seen more events than this one alone.
func (s *endpointStats) stepTime() time.Duration {
	if s.peerStep > 0 {
		return s.peerStep
	}
	return s.step.Step()
}
