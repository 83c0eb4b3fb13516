package rlbpace

import "time"

// Limits of a speed.
const (
	minSpeed = 0.25
	maxSpeed = 4.0
	// noSpread is the deviation from the mean of the service below which endpoints count as
	// equally fast: load and chance alone change the time of a step as much.
	noSpread = 0.15
)

// Reports sums the step times of one endpoint that several instances have seen.
type Reports struct {
	Sum   time.Duration
	Count int
}

// Add returns the sum of two sets of reports.
func (r Reports) Add(other Reports) Reports { return Reports{r.Sum + other.Sum, r.Count + other.Count} }

// Mean returns the mean step time, or 0 without reports.
func (r Reports) Mean() time.Duration {
	if r.Count == 0 {
		return 0
	}
	return r.Sum / time.Duration(r.Count)
}

// Speed returns how fast an endpoint is compared to its service, from the time that a step
// takes there and the usual one in the service. 1 means the same speed, 2 twice as fast. It is 1
// if one of the times is 0, which means unknown.
func Speed(step, usual time.Duration) float64 {
	if step <= 0 || usual <= 0 {
		return 1
	}
	speed := float64(usual) / float64(step)
	if speed > 1-noSpread && speed < 1+noSpread {
		return 1
	}
	return min(max(speed, minSpeed), maxSpeed)
}
