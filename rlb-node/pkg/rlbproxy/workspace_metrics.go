package rlbproxy

import (
	"net/http"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// maxMeteredWorkspaces limits the workspaces with metrics of their own; the others share
// those of otherWorkspaces.
const (
	maxMeteredWorkspaces = 1024
	otherWorkspaces      = "(others)"
)

// workspaceMetrics holds the metrics of the workspaces. It is safe for concurrent use.
type workspaceMetrics struct {
	registry     metrics.Registry
	unidentified metrics.Counter // requests that need a key and have no known one

	mu     sync.Mutex
	byName map[string]*workspaceCounters
}

// workspaceCounters count the requests of one workspace.
type workspaceCounters struct {
	asked     metrics.Counter
	admitted  metrics.Counter // within its quota
	overQuota metrics.Counter
	notRun    metrics.Counter // admitted, but refused for another reason
	failed    metrics.Counter // admitted, but their answer is lost or their endpoint failed
}

func newWorkspaceMetrics(registry metrics.Registry) *workspaceMetrics {
	return &workspaceMetrics{
		registry: registry, byName: map[string]*workspaceCounters{},
		unidentified: metrics.GetOrRegisterCounter("workspace_unidentified", registry),
	}
}

// of returns the counters of the workspace of an identified request.
func (m *workspaceMetrics) of(req *request) *workspaceCounters {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := req.workspace.Name()
	if m.byName[name] == nil && len(m.byName) >= maxMeteredWorkspaces {
		name = otherWorkspaces
	}
	counters := m.byName[name]
	if counters == nil {
		counters = m.newCounters(name)
		m.byName[name] = counters
	}
	return counters
}

func (m *workspaceMetrics) newCounters(name string) *workspaceCounters {
	counter := func(what string) metrics.Counter {
		return metrics.GetOrRegisterCounter("workspace_"+what+"_"+name, m.registry)
	}
	return &workspaceCounters{
		asked: counter("asked"), admitted: counter("admitted"),
		overQuota: counter("over_quota"), notRun: counter("not_run"), failed: counter("failed"),
	}
}

// refused counts a request that this instance answered with an error of its own.
func (m *workspaceMetrics) refused(req *request, r *refusal) {
	switch {
	case r.status == http.StatusUnauthorized:
		m.unidentified.Inc(1)
	case !req.identified:
	case r.status == http.StatusTooManyRequests:
		m.of(req).overQuota.Inc(1)
	case r.notRun():
		m.of(req).notRun.Inc(1)
	default:
		m.of(req).failed.Inc(1)
	}
}
