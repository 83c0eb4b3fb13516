package rlbsoak

import (
	"net/http"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakesite"
	. "github.com/smartystreets/goconvey/convey"
)

// fixture is a soak without processes.
type fixture struct {
	*soak
	instance *instance
	endpoint *endpoint
	origin   time.Time
}

func newFixture() *fixture {
	zero := time.Unix(1000, 0)
	r := &fixture{
		soak:     &soak{violations: map[string]int{}, began: zero, deployment: &deployment{}},
		instance: &instance{name: "node-1", incarnation: 1}, endpoint: &endpoint{id: "e1"}, origin: zero,
	}
	return r
}

func (r *fixture) at(seconds float64) time.Time {
	return r.origin.Add(time.Duration(seconds * float64(time.Second)))
}

func (r *fixture) exchange(k requestKind, status int) exchange {
	return exchange{id: "x", kind: k, instance: r.instance, began: r.at(10), ended: r.at(10.2), status: status}
}

func (r *fixture) run(from, to float64) endpointRun {
	run := rlbfakesite.Run{ID: "x", Began: r.at(from)}
	if to > 0 {
		run.Ended = r.at(to)
	}
	return endpointRun{run, r.endpoint}
}

func shouldReport(r *fixture, kinds ...string) {
	for _, kind := range kinds {
		So(r.violations, ShouldContainKey, kind)
	}
	So(r.violations, ShouldHaveLength, len(kinds))
}

func TestJudge(t *testing.T) {
	Convey("Given a request and what ran", t, func() {
		r := newFixture()
		Convey("one run and one whole answer keep all promises", func() {
			r.checkExchange(r.exchange(kindNonIdempotent, http.StatusOK), []endpointRun{r.run(10, 10.1)})
			shouldReport(r)
		})
		Convey("a second run of one that may run once is found, of a read it is not", func() {
			r.checkExchange(r.exchange(kindRead, http.StatusOK), []endpointRun{r.run(10, 10.05), r.run(10.1, 10.15)})
			shouldReport(r)
			r.checkExchange(r.exchange(kindNonIdempotent, http.StatusOK), []endpointRun{r.run(10, 10.05), r.run(10.1, 10.15)})
			shouldReport(r, "twice")
		})
		Convey("a refusal after a run is found, a failure is not", func() {
			r.checkExchange(r.exchange(kindNonIdempotent, http.StatusBadGateway), []endpointRun{r.run(10, 10.1)})
			shouldReport(r)
			r.checkExchange(r.exchange(kindNonIdempotent, http.StatusServiceUnavailable), []endpointRun{r.run(10, 10.1)})
			shouldReport(r, "not-run")
		})
		Convey("a listed route that is denied is found", func() {
			r.checkExchange(r.exchange(kindRead, http.StatusNotFound), nil)
			shouldReport(r, "denied")
		})
		Convey("an answer that is not the request's own is found", func() {
			x := r.exchange(kindRead, http.StatusOK)
			x.problem = "body of another"
			r.checkExchange(x, nil)
			shouldReport(r, "answer")
		})
		Convey("a cut of a request that ran is found, unless something else was the cause", func() {
			x := r.exchange(kindNonIdempotent, 0)
			x.cut = true
			r.checkExchange(x, nil)
			shouldReport(r)
			r.endpoint.disturb(r.at(8), r.at(8.5))
			r.checkExchange(x, []endpointRun{r.run(10, 10.1)})
			shouldReport(r)
			r.endpoint.disturbed = nil
			r.instance.shutdowns = spans{{from: r.at(9)}}
			r.instance.incarnation++ // it has been started again since
			r.checkExchange(x, []endpointRun{r.run(10, 10.1)})
			shouldReport(r, "lost")
		})
		Convey("an answer later than the time limit is found, unless the instance was paused", func() {
			x := r.exchange(kindNonIdempotent, http.StatusOK)
			x.ended = x.began.Add(x.kind.timeout() + 2*answerSlack)
			r.instance.disturb(r.at(9.5), r.at(9.6))
			r.checkExchange(x, nil)
			shouldReport(r)
			r.instance.disturbed = nil
			r.checkExchange(x, nil)
			shouldReport(r, "late")
		})
		Convey("two runs of a stream at once are found, one after the other are not", func() {
			r.checkExchange(r.exchange(kindStream, http.StatusOK), []endpointRun{r.run(10, 10.3), r.run(10.4, 11)})
			shouldReport(r)
			r.checkExchange(r.exchange(kindStream, http.StatusOK), []endpointRun{r.run(10, 11), r.run(10.4, 11)})
			shouldReport(r, "two-runs")
		})
		Convey("work for an endpoint that left is found after its time", func() {
			r.endpoint.drains = spans{{r.at(7), r.at(12)}} // it is back since
			r.checkExchange(r.exchange(kindNonIdempotent, http.StatusOK), []endpointRun{r.run(8.9, 9)})
			shouldReport(r)
			r.checkExchange(r.exchange(kindNonIdempotent, http.StatusOK), []endpointRun{r.run(10, 10.1)})
			shouldReport(r, "leaving")
		})
		Convey("what the machine did not run in time is nobody's fault", func() {
			x := r.exchange(kindNonIdempotent, http.StatusOK)
			x.ended = x.began.Add(x.kind.timeout() + 2*answerSlack)
			r.stalls = spans{{r.at(9.8), r.at(10.1)}}
			r.checkExchange(x, nil)
			shouldReport(r)
		})
	})
}
