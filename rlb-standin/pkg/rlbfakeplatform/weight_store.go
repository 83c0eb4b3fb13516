package rlbfakeplatform

import (
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbweightstore"
)

// Adapter fetches take about this long while no more than adapterSlots run.
const (
	adapterFetchTime    = 12 * time.Millisecond
	maxFullSpeedFetches = 64
	missingVersion      = "missing" // a version of this name is not in the store
)

// WeightOpts are the limits of a weight store.
type WeightOpts struct {
	LoadsPerSecond float64
	LoadsAtOnce    int
	LoadTime       time.Duration // of one load at full speed
	ModelMemory    rlbunit.Bytes // of a model whose name states none
}

// WeightStore limits how many loads start each second and how many run at full
// speed; beyond that each takes proportionally longer.
type WeightStore struct {
	opts      WeightOpts
	mu        sync.Mutex
	nextStart time.Time // when the next load may start
	loading   atomic.Int64
	fetching  atomic.Int64
	loads     atomic.Int64
}

// NewWeightStore returns a store with the given limits.
func NewWeightStore(opts WeightOpts) *WeightStore { return &WeightStore{opts: opts} }

var sizeSuffix = regexp.MustCompile(`-(\d+)g$`)

// Memory returns the accelerator memory of a model, stated by a name such as
// draft-20g.
func (s *WeightStore) Memory(name string) rlbunit.Bytes {
	match := sizeSuffix.FindStringSubmatch(name)
	if match == nil {
		return s.opts.ModelMemory
	}
	n, _ := strconv.Atoi(match[1]) // digits by the expression
	return rlbunit.Bytes(n) * rlbunit.GiB
}

func (s *WeightStore) manifest(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.PathValue("version"), missingVersion) {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, rlbweightstore.Manifest{Memory: s.Memory(r.PathValue("name"))})
}

// fetch answers when the load is done.
func (s *WeightStore) fetch(w http.ResponseWriter, r *http.Request) {
	if !rlbcommon.Sleep(r.Context(), time.Until(s.reserve(time.Now()))) {
		return
	}
	running := s.loading.Add(1)
	defer s.loading.Add(-1)
	slowdown := max(1, float64(running)/float64(s.opts.LoadsAtOnce))
	rlbcommon.Sleep(r.Context(), time.Duration(float64(s.opts.LoadTime)*slowdown))
	s.loads.Add(1)
	writeJSON(w, rlbweightstore.Manifest{Memory: s.Memory(r.PathValue("name"))})
}

// reserve returns when a load that asks at now may start.
func (s *WeightStore) reserve(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := now
	if s.nextStart.After(now) {
		start = s.nextStart
	}
	s.nextStart = start.Add(time.Duration(float64(time.Second) / s.opts.LoadsPerSecond))
	return start
}

func (s *WeightStore) fetchAdapter(w http.ResponseWriter, r *http.Request) {
	running := s.fetching.Add(1)
	defer s.fetching.Add(-1)
	slowdown := max(1, float64(running)/maxFullSpeedFetches)
	rlbcommon.Sleep(r.Context(), time.Duration(float64(adapterFetchTime)*slowdown))
	writeJSON(w, rlbweightstore.Manifest{})
}
