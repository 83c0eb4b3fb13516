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

// An adapter fetch takes adapterFetchTime while at most maxFullSpeedFetches run, and
// proportionally longer beyond that.
const (
	adapterFetchTime    = 12 * time.Millisecond
	maxFullSpeedFetches = 64
	missingVersion      = "missing" // versions with this prefix are not in the store
)

// WeightOpts configure a weight store.
type WeightOpts struct {
	LoadsPerSecond float64
	LoadsAtOnce    int
	LoadTime       time.Duration // duration of a load at full speed
	ModelMemory    rlbunit.Bytes // memory of models whose name contains no size
}

// WeightStore limits the number of loads that start per second and the number that
// run at full speed. Beyond the latter, each load takes proportionally longer.
type WeightStore struct {
	opts      WeightOpts
	mu        sync.Mutex
	nextStart time.Time // when the next load may start
	loading   atomic.Int64
	fetching  atomic.Int64
	loads     atomic.Int64
}

// NewWeightStore returns a weight store.
func NewWeightStore(opts WeightOpts) *WeightStore { return &WeightStore{opts: opts} }

var sizeSuffix = regexp.MustCompile(`-(\d+)g$`)

// Memory returns the accelerator memory of a model: the size in a name such as
// draft-20g, or the default.
func (s *WeightStore) Memory(name string) rlbunit.Bytes {
	match := sizeSuffix.FindStringSubmatch(name)
	if match == nil {
		return s.opts.ModelMemory
	}
	n, _ := strconv.Atoi(match[1]) // cannot fail: the group matches digits only
	return rlbunit.Bytes(n) * rlbunit.GiB
}

func (s *WeightStore) manifest(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.PathValue("version"), missingVersion) {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, rlbweightstore.Manifest{Memory: s.Memory(r.PathValue("name"))})
}

// fetch answers once the load has finished.
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

// reserve returns the time at which a load requested at now may start.
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
