// Package rlbpace estimates how fast each endpoint with a model engine works, from the
// gaps between the events of its streams. It does no I/O.
package rlbpace

import "time"

// Parameters of the estimate of a step time.
const (
	// firstSteps is the number of events over which the estimate follows the average, before it
	// moves by a fixed part of itself.
	firstSteps = 8
	// stepGain is the part of itself by which the estimate moves with each event.
	stepGain = 0.02
	// freshFor is how long after its latest event an estimate is used before those of other
	// instances.
	freshFor = 5 * time.Second
)

// StepTime tracks the median time that an engine takes for one decoding step. A median
// stays at the time of a plain step as long as most steps prefill no prompt, so that it
// tells a slow engine from a loaded one. The zero value has seen no events.
type StepTime struct {
	step       time.Duration
	events     int
	freshUntil time.Time
}

// Record adds the gap between two events of a stream; each event holds stride tokens, one
// for each step.
func (s *StepTime) Record(now time.Time, gap time.Duration, stride int) {
	step := gap / time.Duration(max(stride, 1))
	s.events++
	s.freshUntil = now.Add(freshFor)
	switch {
	case s.events <= firstSteps:
		s.step += (step - s.step) / time.Duration(s.events)
	case step < s.step:
		s.step -= time.Duration(stepGain * float64(s.step))
	default:
		s.step += time.Duration(stepGain * float64(s.step))
	}
}

// Step returns the estimate; 0 before firstSteps events.
func (s *StepTime) Step() time.Duration {
	if s.events < firstSteps {
		return 0
	}
	return s.step
}

// Fresh returns the estimate if it rests on events of the last seconds, otherwise 0.
func (s *StepTime) Fresh(now time.Time) time.Duration {
	if now.After(s.freshUntil) {
		return 0
	}
	return s.Step()
}
