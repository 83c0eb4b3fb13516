package rlbapp

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborigin"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
)

// kindStreams is the kind of the objects in which instances store where streams began, one
// object an instance.
const kindStreams = "rlb-streams"

// Timing of storing and reading the origins of streams.
const (
	originStoreInterval = 400 * time.Millisecond // shortest
	originStoreSpacing  = 12 * time.Millisecond  // mean time between writes of all instances together
	originStorePause    = time.Second            // after a failed write
	originReadTimeout   = 300 * time.Millisecond
	originRetryDelay    = 250 * time.Millisecond
	// originWait is how long a request that takes up a stream waits for the instance that
	// relayed its beginning to store it.
	originWait = originStoreInterval + originReadTimeout
)

// streamOrigins keeps the origins of streams, those of other instances by way of the object
// API. It implements rlbproxy.Origins.
type streamOrigins struct {
	*rlborigin.Registry
	app         *app
	now         func() time.Time
	version     rlbobject.Version // of this instance's object; 0: not known or no object
	fingerprint uint64            // of the record in it
	era         uint64            // of the object API when it was written

	mu       sync.Mutex // held while the objects are read
	lastRead time.Time  // when the latest successful read began
}

func newStreamOrigins(a *app) *streamOrigins {
	o := &streamOrigins{Registry: rlborigin.New(rlbclock.Now), app: a, now: rlbclock.Now}
	_, o.fingerprint, _ = o.Record() // an empty record is not stored
	return o
}

// run stores the origins when they change, until ctx ends.
func (o *streamOrigins) run(ctx context.Context) {
	for rlbcommon.Sleep(ctx, o.storeInterval()) {
		o.observe()
		o.Expire()
		if !o.save(ctx) {
			rlbcommon.Sleep(ctx, originStorePause)
		}
	}
}

// storeInterval returns the interval between two writes of this instance. It grows with the
// fleet, as the rate of writes that the object API takes does not.
func (o *streamOrigins) storeInterval() time.Duration {
	return max(originStoreInterval, time.Duration(o.app.fleet.KnownInstances(o.now()))*originStoreSpacing)
}

// observe records which versions serve now.
func (o *streamOrigins) observe() {
	snapshot := o.app.view.Snapshot()
	if snapshot.Config == nil {
		return
	}
	services, longest := resumableServices(snapshot.Config)
	o.Observe(servingOrigins(snapshot, services), longest)
}

// resumableServices returns the services of routes whose streams may be taken up again, and
// the longest time that a request of these routes may last.
func resumableServices(config *rlbdeployment.Config) (services map[string]bool, longest time.Duration) {
	services = map[string]bool{}
	for route := range config.AllRoutes() {
		if route.Kind != rlbdeployment.KindStream || !route.Resumable {
			continue
		}
		longest = max(longest, route.Timeout)
		for _, share := range route.Shares {
			services[share.Service] = true
		}
	}
	return services, longest
}

func servingOrigins(snapshot *rlbdiscovery.Snapshot, services map[string]bool) []rlborigin.Origin {
	var serving []rlborigin.Origin
	for service := range services {
		seen := map[string]bool{}
		for _, e := range snapshot.ByService[service] {
			if !seen[e.SoftwareVersion] {
				seen[e.SoftwareVersion] = true
				serving = append(serving, rlborigin.Origin{Service: service, Version: e.SoftwareVersion})
			}
		}
	}
	return serving
}

// save writes this instance's object if its content would change, or if a restore may have
// lost it. What the object API has is read before the first write, so that what a
// predecessor stored is kept. It reports false if that failed.
func (o *streamOrigins) save(ctx context.Context) bool {
	value, fingerprint, err := o.Record()
	if err != nil {
		o.app.Log.WithError(err).Error("failed to encode where streams began")
		return false
	}
	era := o.app.era()
	if fingerprint == o.fingerprint && (era == o.era || !o.version.Exists()) {
		return true
	}
	if !o.Complete() {
		return o.read(ctx, o.now()) // the next call writes
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := o.app.api.Put(ctx, o.key(), value, o.version)
	if err != nil {
		o.app.Log.WithError(err).Info("failed to store where streams began; trying again")
		return o.refreshVersion(ctx)
	}
	o.version, o.fingerprint, o.era = version, fingerprint, era
	return true
}

func (o *streamOrigins) key() rlbobject.Key {
	return rlbobject.Key{Kind: kindStreams, Name: o.app.name}
}

// refreshVersion reads the version of this instance's object after a failed write: a
// predecessor has written it, or the write took effect without an answer. It reports
// whether it could be read.
func (o *streamOrigins) refreshVersion(ctx context.Context) bool {
	got, err := o.app.api.Get(ctx, o.key())
	if err != nil && !rlbobject.Is(err, rlbobject.KindNotFound) {
		return false
	}
	o.version = got.Version
	return true
}

// Find returns the version that began the stream of a request, see rlborigin.Registry.Check.
// If this instance does not know it, it reads what the others have stored.
func (o *streamOrigins) Find(ctx context.Context, service, request string) (version string, verdict rlborigin.Verdict) {
	for giveUp := o.now().Add(originWait); ; {
		asked := o.now()
		version, verdict = o.Check(service, request)
		if verdict != rlborigin.Unknown || !asked.Before(giveUp) || !o.read(ctx, asked) {
			return version, verdict
		}
		version, verdict = o.Check(service, request)
		if verdict != rlborigin.Unknown || !rlbcommon.Sleep(ctx, originRetryDelay) {
			return version, verdict
		}
	}
}

// read merges what the instances have stored, unless a read has begun since asked. It
// reports whether that is done.
func (o *streamOrigins) read(ctx context.Context, asked time.Time) bool {
	config := o.app.view.Snapshot().Config
	if config == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lastRead.After(asked) {
		return true
	}
	began := o.now()
	ctx, cancel := context.WithTimeout(ctx, originReadTimeout)
	defer cancel()
	all, err := o.app.api.List(ctx, kindStreams)
	if err != nil {
		o.app.Log.WithError(err).Warn("failed to read where streams began")
		return false
	}
	_, longest := resumableServices(config)
	for _, stored := range all.Objects {
		if err := o.Merge(stored.Value, stored.Name == o.app.name, longest); err != nil {
			o.app.Log.WithError(err).WithField("object", stored.Name).Warn("failed to decode where streams began")
		}
	}
	o.MarkComplete()
	o.lastRead = began
	return true
}
