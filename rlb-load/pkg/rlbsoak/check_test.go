package rlbsoak

import (
	"net/http"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
	. "github.com/smartystreets/goconvey/convey"
)

// fixture is a soak without processes, with one instance and one endpoint.
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
	run := rlbfakedeployment.Run{ID: "x", Began: r.at(from)}
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

func TestCheckExchange(t *testing.T) {
	Convey("Given a request and its runs", t, func() {
		r := newFixture()
		Convey("one run and one complete answer violate nothing", func() {
			r.checkExchange(r.exchange(kindNonIdempotent, http.StatusOK), []endpointRun{r.run(10, 10.1)})
			shouldReport(r)
		})
		Convey("a second run of a non-idempotent request is reported, of a read it is not", func() {
			r.checkExchange(r.exchange(kindRead, http.StatusOK), []endpointRun{r.run(10, 10.05), r.run(10.1, 10.15)})
			shouldReport(r)
			r.checkExchange(r.exchange(kindNonIdempotent, http.StatusOK), []endpointRun{r.run(10, 10.05), r.run(10.1, 10.15)})
			shouldReport(r, "twice")
		})
		Convey("a not-run refusal after a run is reported, a failure is not", func() {
			r.checkExchange(r.exchange(kindNonIdempotent, http.StatusBadGateway), []endpointRun{r.run(10, 10.1)})
			shouldReport(r)
			r.checkExchange(r.exchange(kindNonIdempotent, http.StatusServiceUnavailable), []endpointRun{r.run(10, 10.1)})
			shouldReport(r, "not-run")
		})
		Convey("a 404 for a listed route is reported", func() {
			r.checkExchange(r.exchange(kindRead, http.StatusNotFound), nil)
			shouldReport(r, "denied")
		})
		Convey("the answer to another request is reported", func() {
			x := r.exchange(kindRead, http.StatusOK)
			x.problem = "body of another"
			r.checkExchange(x, nil)
			shouldReport(r, "answer")
		})
		Convey("a truncated answer to a request that ran is reported, unless the endpoint was disturbed", func() {
			x := r.exchange(kindNonIdempotent, 0)
			x.cut = true
			r.checkExchange(x, nil)
			shouldReport(r)
			r.endpoint.disturb(r.at(8), r.at(8.5))
			r.checkExchange(x, []endpointRun{r.run(10, 10.1)})
			shouldReport(r)
			r.endpoint.disturbed = nil
			r.instance.shutdowns = spans{{from: r.at(9)}}
			r.instance.incarnation++ // restarted since
			r.checkExchange(x, []endpointRun{r.run(10, 10.1)})
			shouldReport(r, "lost")
		})
		Convey("an answer after the time limit is reported, unless the instance was disturbed", func() {
			x := r.exchange(kindNonIdempotent, http.StatusOK)
			x.ended = x.began.Add(x.kind.timeout() + 2*answerSlack)
			r.instance.disturb(r.at(9.5), r.at(9.6))
			r.checkExchange(x, nil)
			shouldReport(r)
			r.instance.disturbed = nil
			r.checkExchange(x, nil)
			shouldReport(r, "late")
		})
		Convey("overlapping runs of a stream are reported, consecutive runs are not", func() {
			r.checkExchange(r.exchange(kindStream, http.StatusOK), []endpointRun{r.run(10, 10.3), r.run(10.4, 11)})
			shouldReport(r)
			r.checkExchange(r.exchange(kindStream, http.StatusOK), []endpointRun{r.run(10, 11), r.run(10.4, 11)})
			shouldReport(r, "two-runs")
		})
		Convey("a run at a draining endpoint is reported once its drain time has passed", func() {
			r.endpoint.drains = spans{{r.at(7), r.at(12)}} // ready again since
			r.checkExchange(r.exchange(kindNonIdempotent, http.StatusOK), []endpointRun{r.run(8.9, 9)})
			shouldReport(r)
			r.checkExchange(r.exchange(kindNonIdempotent, http.StatusOK), []endpointRun{r.run(10, 10.1)})
			shouldReport(r, "leaving")
		})
		Convey("a late answer is not reported while the soak process itself was stalled", func() {
			x := r.exchange(kindNonIdempotent, http.StatusOK)
			x.ended = x.began.Add(x.kind.timeout() + 2*answerSlack)
			r.stalls = spans{{r.at(9.8), r.at(10.1)}}
			r.checkExchange(x, nil)
			shouldReport(r)
		})
	})
}
