package rlbsoak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
)

// Sizes and terms of the site that the instances serve.
const (
	engineMemory = 120_000.0 // megabytes: two of the site's models fit, not three
	adapterSlots = 3
	engineSlots  = 16
	plainSlots   = 6
	eventStep    = 15 * time.Millisecond
	plainWork    = 20 * time.Millisecond
	beat         = time.Second     // between two entries of an endpoint
	lapse        = 3 * beat        // without an entry, after which it is removed
	drainTime    = 2 * time.Second // that a leaving endpoint serves on
	headerWait   = 5 * time.Second
)

// modelSpecs are the models that the site's config lists.
var modelSpecs = []rlbfakedeployment.Spec{
	{Name: "draft-8g", WeightsMb: 72000, LoadS: 3, WarmS: 1, DiskS: 2, Adapters: 4, AdapterMb: 66},
	{Name: "plan-8g", WeightsMb: 72000, LoadS: 3, WarmS: 1, DiskS: 2, Adapters: 2, AdapterMb: 66},
	{Name: "ask-4g", WeightsMb: 42000, LoadS: 2, WarmS: 1, DiskS: 2, Adapters: 4, AdapterMb: 12},
}

// endpoint is a row of the table of endpoints.
type endpoint struct {
	id      string
	replica *rlbfakedeployment.Replica
	proxy   *proxy
	handled sync.Mutex // held by the trouble that takes it away

	disturbances
	mu      sync.Mutex
	state   string  // as its entry says; empty: it has none
	leaves  spans   // from the acknowledged word that it leaves until it is back
	lose    float64 // share of answers that are lost after the run
	fail    float64 // share of requests that fail
	crossed float64 // share of answers that bear another request's id
	draw    *rand.Rand
}

// States of an endpoint's entry.
const (
	stateReady   = "ready"
	stateLeaving = "draining"
)

// answer spoils some answers; the request runs all the same.
func (e *endpoint) answer(w http.ResponseWriter, req *http.Request, _ int) bool {
	e.mu.Lock()
	draw, lose, fail, crossed := e.draw.Float64(), e.lose, e.fail, e.crossed
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

// spoil sets the shares of answers that are spoilt.
func (e *endpoint) spoil(lose, fail, crossed float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lose, e.fail, e.crossed = lose, fail, crossed
}

// left returns since when the endpoint was leaving at a moment; zero: it was not.
func (e *endpoint) left(at time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, one := range e.leaves {
		if one.touches(at, at.Add(1)) {
			return one.from
		}
	}
	return time.Time{}
}

// set changes the entry's state; empty: the entry is removed.
func (e *endpoint) set(store *rlbfakedeployment.Store, state string) {
	if state == "" {
		store.Remove("servers", e.id)
	} else {
		store.Set("servers", e.id, e.replica.Entry(state))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch last := len(e.leaves) - 1; {
	case e.state == stateReady && state == stateLeaving:
		e.leaves = append(e.leaves, span{from: time.Now()})
	case state == stateReady && last >= 0 && e.leaves[last].to.IsZero():
		e.leaves[last].to = time.Now()
	}
	e.state = state
}

func (e *endpoint) present() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// site is the deployment behind the instances: store, endpoints and operator.
type site struct {
	store     *rlbfakedeployment.Store
	engines   []*endpoint
	plain     []*endpoint
	closers   []func()
	storeWide disturbances // of the store as a whole

	mu      sync.Mutex
	version uint64
	acked   map[uint64]time.Time // when the store had each version
}

// newSite serves a site on the ports from first on; it returns the next free port.
func newSite(host string, first int, domains []string, engines, plains int, seed uint64) (*site, int, error) {
	s := &site{store: rlbfakedeployment.NewStore(), acked: map[uint64]time.Time{}}
	port := first
	if err := s.serve(at(host, port), s.store); err != nil {
		return nil, 0, err
	}
	s.publish()
	specs := map[string]rlbfakedeployment.Spec{}
	for _, m := range modelSpecs {
		specs[m.Name] = m
	}
	for n := range engines + plains {
		domain, service, slots := domains[n%len(domains)], "planner", engineSlots
		if n >= engines {
			service, slots = "dispatch", plainSlots
		}
		front, back := at(host, port+1), at(host, port+2)
		port += 2
		e := &endpoint{id: fmt.Sprintf("%s-%d", service, n+1), draw: rand.New(rand.NewPCG(seed, uint64(n)))}
		e.replica = rlbfakedeployment.NewReplica(rlbfakedeployment.ReplicaOpts{
			ID: e.id, Service: service, Domain: domain, Slots: slots, MemoryMb: engineMemory, Adapters: adapterSlots,
			Models: specs, Fencing: true, Step: eventStep, PlainDuration: plainWork, Address: front, Loaded: firstModels(n, engines),
		})
		e.replica.Intercept = e.answer
		if err := s.serve(back, e.replica); err != nil {
			return nil, 0, err
		}
		p, closeProxy, err := newProxy(front, back, false)
		if err != nil {
			return nil, 0, err
		}
		s.closers = append(s.closers, closeProxy)
		e.proxy = p
		e.set(s.store, stateReady)
		if n < engines {
			s.engines = append(s.engines, e)
		} else {
			s.plain = append(s.plain, e)
		}
	}
	return s, port + 1, nil
}

// firstModels returns what engine n of so many holds at the start.
func firstModels(n, engines int) []string {
	if n >= engines {
		return nil
	}
	return []string{modelSpecs[n%len(modelSpecs)].Name}
}

func at(host string, port int) string { return net.JoinHostPort(host, fmt.Sprint(port)) }

func (s *site) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerWait}
	s.closers = append(s.closers, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err) // the soak cannot go on without its site
		}
	}()
	return nil
}

func (s *site) close() {
	for _, done := range s.closers {
		done()
	}
}

func (s *site) endpoints() []*endpoint {
	return append(append([]*endpoint{}, s.engines...), s.plain...)
}

// publish writes the next version of the config: it adds a route, and drops the
// one that was added by the version before the last.
func (s *site) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	var more []string
	for v := max(s.version, 2) - 1; v <= s.version; v++ {
		more = append(more, probePath(v))
	}
	s.store.Set("config", "main", rlbfakedeployment.Config(rlbfakedeployment.ConfigOpts{Version: s.version, MemoryMb: engineMemory, AdapterSlots: adapterSlots, ExtraPaths: more}))
	s.acked[s.version] = time.Now()
}

// probePath is the prefix of the route that a version adds.
func probePath(version uint64) string { return fmt.Sprintf("/probe-%d/", version) }

// newest returns the newest version of the config, and when the store had it.
func (s *site) newest() (uint64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.acked[s.version]
}

// refresh writes the entries of all endpoints that have one: as they are now.
func (s *site) refresh() {
	for _, e := range s.endpoints() {
		if state := e.present(); state != "" {
			e.set(s.store, state)
		}
	}
}
