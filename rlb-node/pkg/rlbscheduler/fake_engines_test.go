package rlbscheduler

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// fakeEngines is a strict fake of the endpoints' control interface. It fails the test
// if an endpoint is overcommitted.
type fakeEngines struct {
	mu         sync.Mutex
	t          *testing.T
	endpoints  map[string]*fakeEndpoint
	orders     []string        // "endpoint order model/adapter verdict"
	orderDelay time.Duration   // delay before each order takes effect and is answered
	unanswered int             // number of orders still to be dropped without effect or answer
	dark       map[string]bool // endpoints that do not answer
	// duringOrder is called while an order to an endpoint is in flight; nil: nothing.
	duringOrder func(endpoint string)
}

type fakeEndpoint struct {
	sequence uint64
	fence    uint64
	models   map[string]map[string]bool
	loading  string
	loadedAt time.Time
}

func (e *fakeEngines) finishLoad(ep *fakeEndpoint) {
	if ep.loading != "" && !time.Now().Before(ep.loadedAt) {
		ep.models[ep.loading], ep.loading = map[string]bool{}, ""
	}
}

func (e *fakeEngines) SendOrder(_ context.Context, to *rlbdeployment.Endpoint, o rlbdeployment.Order) (rlbdeployment.Verdict, error) {
	if e.duringOrder != nil {
		e.duringOrder(to.ID)
	}
	time.Sleep(e.orderDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.endpoints[to.ID]
	e.finishLoad(ep)
	verdict := e.apply(ep, o)
	e.orders = append(e.orders, to.ID+" "+o.Action.String()+" "+o.Model+"/"+o.Adapter+" "+verdict.String())
	if verdict == rlbdeployment.VerdictUnknown {
		return verdict, errors.New("no answer")
	}
	return verdict, nil
}

func (e *fakeEngines) apply(ep *fakeEndpoint, o rlbdeployment.Order) rlbdeployment.Verdict {
	switch {
	case e.unanswered > 0:
		e.unanswered--
		return rlbdeployment.VerdictUnknown
	case o.Fence < ep.fence:
		return rlbdeployment.VerdictFenced
	case ep.loading != "" || o.Sequence != ep.sequence:
		return rlbdeployment.VerdictConflict
	}
	ep.fence = o.Fence
	ep.sequence++
	switch {
	case o.Adapter != "" && o.Action == rlbdeployment.ActionLoad:
		ep.models[o.Model][o.Adapter] = true
	case o.Adapter != "":
		delete(ep.models[o.Model], o.Adapter)
		return rlbdeployment.VerdictNoChange
	case o.Action == rlbdeployment.ActionUnload:
		delete(ep.models, o.Model)
	default:
		ep.loading, ep.loadedAt = o.Model, time.Now().Add(8*time.Second)
	}
	e.checkCapacity(ep)
	return rlbdeployment.VerdictAccepted
}

func (e *fakeEngines) checkCapacity(ep *fakeEndpoint) {
	models, adapters := len(ep.models), 0
	if ep.loading != "" {
		models++
	}
	for _, held := range ep.models {
		adapters += len(held)
	}
	if models > 2 || adapters > 2 {
		e.t.Errorf("overcommitted: %d models, %d adapters", models, adapters)
	}
}

func (e *fakeEngines) ReadReport(ctx context.Context, of *rlbdeployment.Endpoint) (rlbdeployment.Report, error) {
	if e.isDark(of.ID) {
		<-ctx.Done()
		return rlbdeployment.Report{}, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.endpoints[of.ID]
	e.finishLoad(ep)
	r := rlbdeployment.Report{Sequence: ep.sequence, Busy: ep.loading != ""}
	for name, adapters := range ep.models {
		h := rlbdeployment.LoadedModel{Model: name}
		for a := range adapters {
			h.Adapters = append(h.Adapters, a)
		}
		r.LoadedModels = append(r.LoadedModels, h)
	}
	return r, nil
}

func (e *fakeEngines) isDark(endpoint string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dark[endpoint]
}

// setDark makes an endpoint answer no calls for its report, or answer them again.
func (e *fakeEngines) setDark(endpoint string, dark bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dark = map[string]bool{endpoint: dark}
}

// allOrders returns the orders received so far.
func (e *fakeEngines) allOrders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// dropOrders makes the next n orders have no effect and get no answer.
func (e *fakeEngines) dropOrders(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unanswered = n
}

// count returns the number of orders that equal line.
func (e *fakeEngines) count(line string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, order := range e.orders {
		if order == line {
			n++
		}
	}
	return n
}
