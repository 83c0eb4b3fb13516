package rlbsoak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakesite"
)

// Sizes and terms of the site that the instances serve.
const (
	engineMemory  = 120_000.0 // megabytes: two of the site's models fit, not three
	adapterSlots  = 3
	engineSlots   = 16
	plainSlots    = 6
	eventInterval = 15 * time.Millisecond
	plainWorkTime = 20 * time.Millisecond
	entryInterval = time.Second       // between two entries of an endpoint
	entryExpiry   = 3 * entryInterval // without an entry, after which it is removed
	drainTime     = 2 * time.Second   // that a leaving endpoint serves on
	headerTimeout = 5 * time.Second
)

// modelSpecs are the models that the site's config lists.
var modelSpecs = []rlbfakesite.Spec{
	{Name: "draft-8g", WeightsMb: 72000, LoadS: 3, WarmS: 1, DiskS: 2, Adapters: 4, AdapterMb: 66},
	{Name: "plan-8g", WeightsMb: 72000, LoadS: 3, WarmS: 1, DiskS: 2, Adapters: 2, AdapterMb: 66},
	{Name: "ask-4g", WeightsMb: 42000, LoadS: 2, WarmS: 1, DiskS: 2, Adapters: 4, AdapterMb: 12},
}

// endpoint is a row of the table of endpoints.
type endpoint struct {
	id        string
	replica   *rlbfakesite.Replica
	proxy     *proxy
	faultLock sync.Mutex // held by the trouble that takes it away

	disturbances
	mu                sync.Mutex
	state             string  // as its entry says; empty: it has none
	drains            spans   // from the acknowledged word that it leaves until it is back
	lossShare         float64 // share of answers that are lost after the run
	failShare         float64 // share of requests that fail
	misdeliveredShare float64 // share of answers that bear another request's id
	rng               *rand.Rand
}

// States of an endpoint's entry.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// corruptAnswer spoils some answers; the request runs all the same.
func (e *endpoint) corruptAnswer(w http.ResponseWriter, req *http.Request, _ int) bool {
	e.mu.Lock()
	draw, lose, fail, crossed := e.rng.Float64(), e.lossShare, e.failShare, e.misdeliveredShare
	e.mu.Unlock()
	switch {
	case draw < lose:
		panic(http.ErrAbortHandler)
	case draw < lose+fail:
		w.Header().Set("X-Server-Stamp", e.id+".1")
		w.WriteHeader(http.StatusInternalServerError)
		return true
	case draw < lose+fail+crossed && req.Header.Get("X-Model") == "":
		w.Header().Set("X-Request-Id", "another-request")
		w.Header().Set("X-Server-Stamp", e.id+".1")
		_, _ = fmt.Fprint(w, "the answer to another request") // the sender may have left
		return true
	default:
		return false
	}
}

// setAnswerFaults sets the shares of answers that are spoilt.
func (e *endpoint) setAnswerFaults(lose, fail, crossed float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lossShare, e.failShare, e.misdeliveredShare = lose, fail, crossed
}

// drainStart returns since when the endpoint was leaving at a moment; zero: it was not.
func (e *endpoint) drainStart(at time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, one := range e.drains {
		if one.overlaps(at, at.Add(1)) {
			return one.from
		}
	}
	return time.Time{}
}

// setState changes the entry's state; empty: the entry is removed.
func (e *endpoint) setState(store *rlbfakesite.Store, state string) {
	if state == "" {
		store.Remove("servers", e.id)
	} else {
		store.Set("servers", e.id, e.replica.Entry(state))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch last := len(e.drains) - 1; {
	case e.state == stateReady && state == stateDraining:
		e.drains = append(e.drains, span{from: time.Now()})
	case state == stateReady && last >= 0 && e.drains[last].to.IsZero():
		e.drains[last].to = time.Now()
	}
	e.state = state
}

func (e *endpoint) currentState() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// deployment is the deployment behind the instances: store, endpoints and operator.
type deployment struct {
	store             *rlbfakesite.Store
	engines           []*endpoint
	plain             []*endpoint
	closers           []func()
	storeDisturbances disturbances // of the store as a whole

	mu             sync.Mutex
	configVersion  uint64
	acknowledgedAt map[uint64]time.Time // when the store had each version
}

// newDeployment serves a site on the ports from first on; it returns the next free port.
func newDeployment(host string, first int, domains []string, engines, plains int, seed uint64) (*deployment, int, error) {
	s := &deployment{store: rlbfakesite.NewStore(), acknowledgedAt: map[uint64]time.Time{}}
	port := first
	if err := s.serve(address(host, port), s.store); err != nil {
		return nil, 0, err
	}
	s.publishConfig()
	specs := map[string]rlbfakesite.Spec{}
	for _, m := range modelSpecs {
		specs[m.Name] = m
	}
	for n := range engines + plains {
		domain, service, slots := domains[n%len(domains)], "planner", engineSlots
		if n >= engines {
			service, slots = "dispatch", plainSlots
		}
		front, back := address(host, port+1), address(host, port+2)
		port += 2
		e := &endpoint{id: fmt.Sprintf("%s-%d", service, n+1), rng: rand.New(rand.NewPCG(seed, uint64(n)))}
		e.replica = rlbfakesite.NewReplica(rlbfakesite.ReplicaOpts{
			ID: e.id, Service: service, Domain: domain, Slots: slots, MemoryMb: engineMemory, Adapters: adapterSlots,
			Models: specs, Fencing: true, Step: eventInterval, Work: plainWorkTime, Address: front, Holds: initialModels(n, engines),
		})
		e.replica.Answer = e.corruptAnswer
		if err := s.serve(back, e.replica); err != nil {
			return nil, 0, err
		}
		p, closeProxy, err := newProxy(front, back, false)
		if err != nil {
			return nil, 0, err
		}
		s.closers = append(s.closers, closeProxy)
		e.proxy = p
		e.setState(s.store, stateReady)
		if n < engines {
			s.engines = append(s.engines, e)
		} else {
			s.plain = append(s.plain, e)
		}
	}
	return s, port + 1, nil
}

// initialModels returns what engine n of so many holds at the start.
func initialModels(n, engines int) []string {
	if n >= engines {
		return nil
	}
	return []string{modelSpecs[n%len(modelSpecs)].Name}
}

func address(host string, port int) string { return net.JoinHostPort(host, fmt.Sprint(port)) }

func (s *deployment) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.closers = append(s.closers, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err) // the soak cannot go on without its site
		}
	}()
	return nil
}

func (s *deployment) close() {
	for _, done := range s.closers {
		done()
	}
}

func (s *deployment) endpoints() []*endpoint {
	return append(append([]*endpoint{}, s.engines...), s.plain...)
}

// publishConfig writes the next version of the config: it adds a route, and drops the
// one that was added by the version before the last.
func (s *deployment) publishConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion++
	var more []string
	for v := max(s.configVersion, 2) - 1; v <= s.configVersion; v++ {
		more = append(more, probePath(v))
	}
	s.store.Set("config", "main", rlbfakesite.Config(rlbfakesite.ConfigOpts{Version: s.configVersion, MemoryMb: engineMemory, AdapterSlots: adapterSlots, More: more}))
	s.acknowledgedAt[s.configVersion] = time.Now()
}

// probePath is the prefix of the route that a version adds.
func probePath(version uint64) string { return fmt.Sprintf("/probe-%d/", version) }

// newestConfig returns the newest version of the config, and when the store had it.
func (s *deployment) newestConfig() (uint64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configVersion, s.acknowledgedAt[s.configVersion]
}

// refresh writes the entries of all endpoints that have one: as they are now.
func (s *deployment) refresh() {
	for _, e := range s.endpoints() {
		if state := e.currentState(); state != "" {
			e.setState(s.store, state)
		}
	}
}
