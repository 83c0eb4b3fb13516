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
	origin := time.Unix(1000, 0)
	f := &fixture{
		soak:     &soak{violations: map[string]int{}, began: origin, deployment: &deployment{}},
		instance: &instance{name: "node-1", incarnation: 1}, endpoint: &endpoint{id: "e1"}, origin: origin,
	}
	return f
}

func (f *fixture) at(seconds float64) time.Time {
	return f.origin.Add(time.Duration(seconds * float64(time.Second)))
}

func (f *fixture) exchange(k requestKind, status int) exchange {
	return exchange{id: "x", kind: k, instance: f.instance, began: f.at(10), ended: f.at(10.2), status: status}
}

func (f *fixture) run(from, to float64) endpointRun {
	run := rlbfakedeployment.Run{ID: "x", Began: f.at(from)}
	if to > 0 {
		run.Ended = f.at(to)
	}
	return endpointRun{run, f.endpoint}
}

func shouldReport(f *fixture, kinds ...string) {
	for _, kind := range kinds {
		So(f.violations, ShouldContainKey, kind)
	}
	So(f.violations, ShouldHaveLength, len(kinds))
}

func TestCheckExchange(t *testing.T) {
	Convey("Given a request and its runs", t, func() {
		f := newFixture()
		Convey("one run and one complete answer violate nothing", func() {
			f.checkExchange(f.exchange(kindNonIdempotent, http.StatusOK), []endpointRun{f.run(10, 10.1)})
			shouldReport(f)
		})
		Convey("a second run of a non-idempotent request is reported, of a read it is not", func() {
			f.checkExchange(f.exchange(kindRead, http.StatusOK), []endpointRun{f.run(10, 10.05), f.run(10.1, 10.15)})
			shouldReport(f)
			f.checkExchange(f.exchange(kindNonIdempotent, http.StatusOK), []endpointRun{f.run(10, 10.05), f.run(10.1, 10.15)})
			shouldReport(f, "twice")
		})
		Convey("a not-run refusal after a run is reported, a failure is not", func() {
			f.checkExchange(f.exchange(kindNonIdempotent, http.StatusBadGateway), []endpointRun{f.run(10, 10.1)})
			shouldReport(f)
			f.checkExchange(f.exchange(kindNonIdempotent, http.StatusServiceUnavailable), []endpointRun{f.run(10, 10.1)})
			shouldReport(f, "not-run")
		})
		Convey("a 404 for a listed route is reported", func() {
			f.checkExchange(f.exchange(kindRead, http.StatusNotFound), nil)
			shouldReport(f, "denied")
		})
		Convey("the answer to another request is reported", func() {
			x := f.exchange(kindRead, http.StatusOK)
			x.problem = "body of another"
			f.checkExchange(x, nil)
			shouldReport(f, "answer")
		})
		Convey("a truncated answer to a request that ran is reported, unless the endpoint was disturbed", func() {
			x := f.exchange(kindNonIdempotent, 0)
			x.cut = true
			f.checkExchange(x, nil)
			shouldReport(f)
			f.endpoint.disturb(f.at(8), f.at(8.5))
			f.checkExchange(x, []endpointRun{f.run(10, 10.1)})
			shouldReport(f)
			f.endpoint.disturbed = nil
			f.instance.shutdowns = spans{{from: f.at(9)}}
			f.instance.incarnation++ // restarted since
			f.checkExchange(x, []endpointRun{f.run(10, 10.1)})
			shouldReport(f, "lost")
		})
		Convey("an answer after the time limit is reported, unless the instance was disturbed", func() {
			x := f.exchange(kindNonIdempotent, http.StatusOK)
			x.ended = x.began.Add(x.kind.timeout() + 2*answerSlack)
			f.instance.disturb(f.at(9.5), f.at(9.6))
			f.checkExchange(x, nil)
			shouldReport(f)
			f.instance.disturbed = nil
			f.checkExchange(x, nil)
			shouldReport(f, "late")
		})
		Convey("overlapping runs of a stream are reported, consecutive runs are not", func() {
			f.checkExchange(f.exchange(kindStream, http.StatusOK), []endpointRun{f.run(10, 10.3), f.run(10.4, 11)})
			shouldReport(f)
			f.checkExchange(f.exchange(kindStream, http.StatusOK), []endpointRun{f.run(10, 11), f.run(10.4, 11)})
			shouldReport(f, "two-runs")
		})
		Convey("a run at a draining endpoint is reported once its drain time has passed", func() {
			f.endpoint.drains = spans{{f.at(7), f.at(12)}} // ready again since
			f.checkExchange(f.exchange(kindNonIdempotent, http.StatusOK), []endpointRun{f.run(8.9, 9)})
			shouldReport(f)
			f.checkExchange(f.exchange(kindNonIdempotent, http.StatusOK), []endpointRun{f.run(10, 10.1)})
			shouldReport(f, "leaving")
		})
		Convey("a late answer is not reported while the soak process itself was stalled", func() {
			x := f.exchange(kindNonIdempotent, http.StatusOK)
			x.ended = x.began.Add(x.kind.timeout() + 2*answerSlack)
			f.stalls = spans{{f.at(9.8), f.at(10.1)}}
			f.checkExchange(x, nil)
			shouldReport(f)
		})
	})
}
