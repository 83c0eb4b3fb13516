package rlbbalancer

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// tie is random, so that equal endpoints share the work.
const tie = 2 * time.Millisecond

// enoughDoubts is how many other instances must have met an endpoint's failures
// for it to be passed over here: one alone may have met its own link's.
const enoughDoubts = 2

// Requirements describes the endpoint that a request needs.
type Requirements struct {
	Domain    string                             // of this instance
	Model     string                             // with its adapter, as MODEL/ADAPTER; empty: of a plain service
	Urgent    bool                               // of the most urgent rank
	Fits      func(*rlbdeployment.Endpoint) bool // whether the endpoint can run it
	OtherLoad func(id string) Load               // the other instances' load on an endpoint
}

// Choice is an endpoint with what is expected of it.
type Choice struct {
	Endpoint  *rlbdeployment.Endpoint // nil: none fits
	Wait      time.Duration           // until the answer begins
	Unhealthy bool                    // its latest answers were bad
}

// Pick returns the best of the endpoints that fit. Endpoints whose latest
// answers were bad are taken only if there are no others.
func (t *Balancer) Pick(now time.Time, all []*rlbdeployment.Endpoint, w Requirements) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best Choice
	var bestCost time.Duration
	for _, e := range all {
		if e.Draining || !w.Fits(e) {
			continue
		}
		r := t.row(e)
		load := r.load().Add(w.OtherLoad(e.ID))
		place := t.place(e, w.Model != "")
		c := Choice{Endpoint: e, Wait: load.Wait(place, w.Urgent), Unhealthy: r.doubtful(now) || load.FailureReports >= enoughDoubts || now.Before(r.closed[w.Model])}
		cost := load.Cost(place, e.Domain == w.Domain) + rand.N(tie)
		if best.Endpoint == nil || best.Unhealthy && !c.Unhealthy || best.Unhealthy == c.Unhealthy && cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}
