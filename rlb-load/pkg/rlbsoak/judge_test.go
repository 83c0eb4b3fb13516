package rlbsoak

import (
	"net/http"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
	. "github.com/smartystreets/goconvey/convey"
)

// rig is a soak without processes.
type rig struct {
	*soak
	node *instance
	end  *endpoint
	zero time.Time
}

func newRig() *rig {
	zero := time.Unix(1000, 0)
	r := &rig{
		soak: &soak{broken: map[string]int{}, began: zero, site: &site{}},
		node: &instance{name: "node-1", life: 1}, end: &endpoint{id: "e1"}, zero: zero,
	}
	return r
}

func (r *rig) at(seconds float64) time.Time {
	return r.zero.Add(time.Duration(seconds * float64(time.Second)))
}

func (r *rig) send(k kind, status int) send {
	return send{id: "x", kind: k, to: r.node, began: r.at(10), ended: r.at(10.2), status: status}
}

func (r *rig) run(from, to float64) ran {
	run := rlbfakedeployment.Run{ID: "x", Began: r.at(from)}
	if to > 0 {
		run.Ended = r.at(to)
	}
	return ran{run, r.end}
}

func shouldFind(r *rig, kinds ...string) {
	for _, kind := range kinds {
		So(r.broken, ShouldContainKey, kind)
	}
	So(r.broken, ShouldHaveLength, len(kinds))
}

func TestJudge(t *testing.T) {
	Convey("Given a request and what ran", t, func() {
		r := newRig()
		Convey("one run and one whole answer keep all promises", func() {
			r.judgeSend(r.send(kindOnce, http.StatusOK), []ran{r.run(10, 10.1)})
			shouldFind(r)
		})
		Convey("a second run of one that may run once is found, of a read it is not", func() {
			r.judgeSend(r.send(kindRead, http.StatusOK), []ran{r.run(10, 10.05), r.run(10.1, 10.15)})
			shouldFind(r)
			r.judgeSend(r.send(kindOnce, http.StatusOK), []ran{r.run(10, 10.05), r.run(10.1, 10.15)})
			shouldFind(r, "twice")
		})
		Convey("a refusal after a run is found, a failure is not", func() {
			r.judgeSend(r.send(kindOnce, http.StatusBadGateway), []ran{r.run(10, 10.1)})
			shouldFind(r)
			r.judgeSend(r.send(kindOnce, http.StatusServiceUnavailable), []ran{r.run(10, 10.1)})
			shouldFind(r, "not-run")
		})
		Convey("a listed route that is denied is found", func() {
			r.judgeSend(r.send(kindRead, http.StatusNotFound), nil)
			shouldFind(r, "denied")
		})
		Convey("an answer that is not the request's own is found", func() {
			x := r.send(kindRead, http.StatusOK)
			x.problem = "body of another"
			r.judgeSend(x, nil)
			shouldFind(r, "answer")
		})
		Convey("a cut of a request that ran is found, unless something else was the cause", func() {
			x := r.send(kindOnce, 0)
			x.cut = true
			r.judgeSend(x, nil)
			shouldFind(r)
			r.end.hurts(r.at(8), r.at(8.5))
			r.judgeSend(x, []ran{r.run(10, 10.1)})
			shouldFind(r)
			r.end.hurt = nil
			r.node.leaves = spans{{from: r.at(9)}}
			r.node.life++ // it has been started again since
			r.judgeSend(x, []ran{r.run(10, 10.1)})
			shouldFind(r, "lost")
		})
		Convey("an answer later than the time limit is found, unless the instance was paused", func() {
			x := r.send(kindOnce, http.StatusOK)
			x.ended = x.began.Add(x.kind.timeout() + 2*answerSlack)
			r.node.hurts(r.at(9.5), r.at(9.6))
			r.judgeSend(x, nil)
			shouldFind(r)
			r.node.hurt = nil
			r.judgeSend(x, nil)
			shouldFind(r, "late")
		})
		Convey("two runs of a stream at once are found, one after the other are not", func() {
			r.judgeSend(r.send(kindStream, http.StatusOK), []ran{r.run(10, 10.3), r.run(10.4, 11)})
			shouldFind(r)
			r.judgeSend(r.send(kindStream, http.StatusOK), []ran{r.run(10, 11), r.run(10.4, 11)})
			shouldFind(r, "two-runs")
		})
		Convey("work for an endpoint that left is found after its time", func() {
			r.end.leaves = spans{{r.at(7), r.at(12)}} // it is back since
			r.judgeSend(r.send(kindOnce, http.StatusOK), []ran{r.run(8.9, 9)})
			shouldFind(r)
			r.judgeSend(r.send(kindOnce, http.StatusOK), []ran{r.run(10, 10.1)})
			shouldFind(r, "leaving")
		})
		Convey("what the machine did not run in time is nobody's fault", func() {
			x := r.send(kindOnce, http.StatusOK)
			x.ended = x.began.Add(x.kind.timeout() + 2*answerSlack)
			r.stalls = spans{{r.at(9.8), r.at(10.1)}}
			r.judgeSend(x, nil)
			shouldFind(r)
		})
	})
}
