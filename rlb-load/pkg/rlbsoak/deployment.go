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

// Sizes and timing of the deployment that the instances serve.
const (
	engineMemory  = 120_000.0 // megabytes: at most two of the models fit
	adapterSlots  = 3
	engineSlots   = 16
	plainSlots    = 6
	eventInterval = 15 * time.Millisecond
	plainWorkTime = 20 * time.Millisecond
	entryInterval = time.Second       // between renewals of an endpoint's entry
	entryExpiry   = 3 * entryInterval // time without a renewal after which an entry is removed
	drainTime     = 2 * time.Second   // a draining endpoint accepts requests for this long
	headerTimeout = 5 * time.Second
)

// modelSpecs are the models listed in the deployment's config.
var modelSpecs = []rlbfakedeployment.Spec{
	{Name: "draft-8g", WeightsMb: 72000, LoadS: 3, WarmS: 1, DiskS: 2, Adapters: 4, AdapterMb: 66},
	{Name: "plan-8g", WeightsMb: 72000, LoadS: 3, WarmS: 1, DiskS: 2, Adapters: 2, AdapterMb: 66},
	{Name: "ask-4g", WeightsMb: 42000, LoadS: 2, WarmS: 1, DiskS: 2, Adapters: 4, AdapterMb: 12},
}

// endpoint is one endpoint of the deployment, with its proxy and injected faults.
type endpoint struct {
	id        string
	replica   *rlbfakedeployment.Replica
	proxy     *proxy
	faultLock sync.Mutex // held by the fault that crashes or drains it

	disturbances
	mu                sync.Mutex
	state             string  // state in its entry; empty: no entry
	drains            spans   // each from the acknowledged draining entry until the endpoint is ready again
	statements        spans   // each from its first answer that states that the endpoint leaves until its end
	lossShare         float64 // share of answers dropped after the run
	failShare         float64 // share of requests answered with 500
	misdeliveredShare float64 // share of answers with the id of another request
	rng               *rand.Rand
}

// States of an endpoint's entry.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// corruptAnswer drops or replaces some answers. Their requests still count as run.
// Only answers of the plain service are misdelivered.
func (e *endpoint) corruptAnswer(w http.ResponseWriter, req *http.Request, _ int) bool {
	e.mu.Lock()
	draw, loss, fail, misdelivered := e.rng.Float64(), e.lossShare, e.failShare, e.misdeliveredShare
	e.mu.Unlock()
	switch {
	case draw < loss:
		panic(http.ErrAbortHandler)
	case draw < loss+fail:
		w.Header().Set("X-Server-Stamp", e.id+".1")
		w.WriteHeader(http.StatusInternalServerError)
		return true
	case draw < loss+fail+misdelivered && req.Header.Get("X-Model") == "":
		w.Header().Set("X-Request-Id", "another-request")
		w.Header().Set("X-Server-Stamp", e.id+".1")
		_, _ = fmt.Fprint(w, "the answer to another request") // the sender may have disconnected
		return true
	default:
		return false
	}
}

// setAnswerFaults sets the shares of answers that are dropped, failed or misdelivered.
func (e *endpoint) setAnswerFaults(loss, fail, misdelivered float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lossShare, e.failShare, e.misdeliveredShare = loss, fail, misdelivered
}

// drainStart returns when the drain that covers a moment began; zero if the
// endpoint was not draining then.
func (e *endpoint) drainStart(at time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, drain := range e.drains {
		if drain.overlaps(at, at.Add(1)) {
			return drain.from
		}
	}
	return time.Time{}
}

// setState writes the endpoint's entry with a state; an empty state removes it.
func (e *endpoint) setState(store *rlbfakedeployment.Store, state string) {
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

// deployment is what the instances run against: object store, endpoints and configs.
type deployment struct {
	store             *rlbfakedeployment.Store
	engines           []*endpoint
	plain             []*endpoint
	closers           []func()
	storeDisturbances disturbances // faults of the store that affect all instances

	mu             sync.Mutex
	configVersion  uint64
	acknowledgedAt map[uint64]time.Time // by config version
}

// newDeployment serves a deployment on consecutive ports beginning with first, and
// returns the next free port.
func newDeployment(host string, first int, domains []string, engines, plains int, seed uint64) (*deployment, int, error) {
	d := &deployment{store: rlbfakedeployment.NewStore(), acknowledgedAt: map[uint64]time.Time{}}
	port := first
	if err := d.serve(address(host, port), d.store); err != nil {
		return nil, 0, err
	}
	d.publishConfig()
	specs := map[string]rlbfakedeployment.Spec{}
	for _, m := range modelSpecs {
		specs[m.Name] = m
	}
	for n := range engines + plains {
		domain, service, slots := domains[n%len(domains)], "planner", engineSlots
		if n >= engines {
			service, slots = "dispatch", plainSlots
		}
		proxyAddress, replicaAddress := address(host, port+1), address(host, port+2)
		port += 2
		e := &endpoint{id: fmt.Sprintf("%s-%d", service, n+1), rng: rand.New(rand.NewPCG(seed, uint64(n)))}
		e.replica = rlbfakedeployment.NewReplica(rlbfakedeployment.ReplicaOpts{
			ID: e.id, Service: service, Domain: domain, Slots: slots, MemoryMb: engineMemory, Adapters: adapterSlots,
			Models: specs, Fencing: true, Step: eventInterval, PlainDuration: plainWorkTime, Address: proxyAddress, Loaded: initialModels(n, engines),
		})
		e.replica.Intercept = e.corruptAnswer
		if err := d.serve(replicaAddress, e.replica); err != nil {
			return nil, 0, err
		}
		p, closeProxy, err := newProxy(proxyAddress, replicaAddress, false)
		if err != nil {
			return nil, 0, err
		}
		d.closers = append(d.closers, closeProxy)
		e.proxy = p
		e.setState(d.store, stateReady)
		if n < engines {
			d.engines = append(d.engines, e)
		} else {
			d.plain = append(d.plain, e)
		}
	}
	return d, port + 1, nil
}

// initialModels returns the models loaded on engine n at the start.
func initialModels(n, engines int) []string {
	if n >= engines {
		return nil
	}
	return []string{modelSpecs[n%len(modelSpecs)].Name}
}

func address(host string, port int) string { return net.JoinHostPort(host, fmt.Sprint(port)) }

func (d *deployment) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	d.closers = append(d.closers, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err) // the soak cannot continue without its deployment
		}
	}()
	return nil
}

func (d *deployment) close() {
	for _, closer := range d.closers {
		closer()
	}
}

func (d *deployment) endpoints() []*endpoint {
	return append(append([]*endpoint{}, d.engines...), d.plain...)
}

// publishConfig writes the next version of the config. Each version adds a probe
// route and keeps only that of the previous version.
func (d *deployment) publishConfig() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configVersion++
	d.writeConfig()
	d.acknowledgedAt[d.configVersion] = time.Now()
}

// restore replaces the objects of the store by those of a copy. The operator writes its
// config again at once; endpoints write their entries again at the next refresh.
func (d *deployment) restore(older rlbfakedeployment.Copy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.Restore(older)
	d.writeConfig()
}

// writeConfig writes the current version of the config. d.mu is held.
func (d *deployment) writeConfig() {
	var probes []string
	for v := max(d.configVersion, 2) - 1; v <= d.configVersion; v++ {
		probes = append(probes, probePath(v))
	}
	d.store.Set("config", "main", rlbfakedeployment.Config(rlbfakedeployment.ConfigOpts{
		Version: d.configVersion, MemoryMb: engineMemory, AdapterSlots: adapterSlots, ExtraPaths: probes, Workspaces: workspaces,
	}))
}

// probePath is the path prefix of the route added by a config version.
func probePath(version uint64) string { return fmt.Sprintf("/probe-%d/", version) }

// newestConfig returns the newest config version and when the store acknowledged it.
func (d *deployment) newestConfig() (uint64, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configVersion, d.acknowledgedAt[d.configVersion]
}

// removeEntries removes the entries of endpoints that have left, as the platform does after
// it was restored from a copy that has them.
func (d *deployment) removeEntries() {
	for _, e := range d.endpoints() {
		if e.currentState() == "" {
			e.setState(d.store, "")
		}
	}
}

// refresh rewrites the entries of all endpoints that have one, with their current
// state.
func (d *deployment) refresh() {
	for _, e := range d.endpoints() {
		if state := e.currentState(); state != "" {
			e.setState(d.store, state)
		}
	}
}
