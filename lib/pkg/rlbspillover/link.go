package rlbspillover

import "time"

// delayWeight is the weight of the latest connection in the delay of a link.
const delayWeight = 0.1

// fullUntil is the part of the limit of a link up to which its traffic limits nothing.
const fullUntil = 0.5

// link is what is known of the way to another failure domain.
type link struct {
	delay time.Duration // to open a connection, a moving average; 0: unknown
	rate  float64       // traffic of the domain there and back, in bytes a second
}

// freeShare returns the part of the requests that the link has room for: all while the rate is
// well below its limit, none at the limit.
func (l link) freeShare(limit float64) float64 {
	if limit <= 0 {
		return 1
	}
	return min(max((1-l.rate/limit)/(1-fullUntil), 0), 1)
}

// SetRate sets the traffic between the own domain and another one, in bytes a second.
func (c *Controller) SetRate(domain string, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[domain]
	l.rate = rate
	c.links[domain] = l
}

// RecordDelay records how long it took to open a connection to another domain.
func (c *Controller) RecordDelay(domain string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[domain]
	if l.delay == 0 {
		l.delay = took
	} else {
		l.delay += time.Duration(delayWeight * float64(took-l.delay))
	}
	c.links[domain] = l
}

// Delay returns how long it takes to open a connection to another domain; 0: unknown.
func (c *Controller) Delay(domain string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[domain].delay
}
