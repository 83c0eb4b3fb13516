package rlbapp

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
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
	originStartInterval = 50 * time.Millisecond  // until the records from before the start are merged
	originStoreSpacing  = 12 * time.Millisecond  // mean time between writes of all instances together
	originStorePause    = time.Second            // after a failed write
	originReadTimeout   = 300 * time.Millisecond
	originRetryDelay    = 250 * time.Millisecond
	originReadSpacing   = 50 * time.Millisecond // shortest time between the beginnings of two reads
	originWriteSpread   = 2 * time.Millisecond  // for each instance; they all store a new version at once
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
	storeNow    chan struct{}     // holds an element if a version waits to be stored
	readFailed  atomic.Bool       // a read of the records has failed since the start of the process
	resumable   atomic.Pointer[resumableStreams]

	departed departedRecords

	observed        *rlbdeployment.Config // latest one that observe has seen
	longestObserved time.Duration         // longest request under it

	mu       sync.Mutex // held while the objects are read, which takes no longer than originReadTimeout
	lastRead time.Time  // when the latest read began
	readDone bool       // it succeeded
}

func newStreamOrigins(a *app) *streamOrigins {
	o := &streamOrigins{Registry: rlborigin.New(a.now), app: a, now: a.now, storeNow: make(chan struct{}, 1)}
	empty, _ := o.Record(0) // not stored
	o.fingerprint = empty.Fingerprint
	return o
}

// run stores the origins when they change, until ctx ends.
func (o *streamOrigins) run(ctx context.Context) {
	for o.waitForWork(ctx) {
		if o.app.view.Snapshot().Config == nil {
			continue
		}
		serving, longest := o.observe()
		o.Expire()
		if !o.save(ctx) {
			rlbcommon.Sleep(ctx, originStorePause)
			continue
		}
		o.pruneDeparted(ctx, serving, longest)
	}
}

// waitForWork waits for the next interval, or until a version must be stored before streams
// may begin there. It returns false if ctx ends.
func (o *streamOrigins) waitForWork(ctx context.Context) bool {
	wait := o.storeInterval()
	if !o.Merged() {
		wait = originStartInterval // no stream may begin yet
	}
	interval := time.NewTimer(wait)
	defer interval.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-interval.C:
		return true
	case <-o.storeNow:
		spread := time.Duration(o.app.fleet.KnownInstances(o.now())-1) * originWriteSpread
		return rlbcommon.Sleep(ctx, time.Duration(rand.Int64N(int64(spread)+1)))
	}
}

// MayBegin reports whether a stream may begin at an origin: only once this instance has
// stored that version, so that an instance that has not heard of it cannot take a stream for
// one of another version. A process that could not read the records since its start, because
// the object API is away, cannot store any; it serves all the same.
func (o *streamOrigins) MayBegin(origin rlborigin.Origin) bool {
	if o.Registry.MayBegin(origin) || o.unreadable() {
		return true
	}
	select {
	case o.storeNow <- struct{}{}:
	default: // it is about to be stored
	}
	return false
}

// unreadable reports whether this process has tried to read the records and never could.
func (o *streamOrigins) unreadable() bool { return !o.Merged() && o.readFailed.Load() }

// storeInterval returns the interval between two writes of this instance. It grows with the
// fleet, as the rate of writes that the object API takes does not.
func (o *streamOrigins) storeInterval() time.Duration {
	return max(originStoreInterval, time.Duration(o.app.fleet.KnownInstances(o.now()))*originStoreSpacing)
}

// observe records which versions serve now. It returns them, and how long a request lasts at
// most.
func (o *streamOrigins) observe() (serving []rlborigin.Origin, longest time.Duration) {
	snapshot := o.app.view.Snapshot()
	if snapshot.Config == nil {
		return nil, 0
	}
	resumable := o.resumableOf(snapshot.Config)
	o.observeMoves(snapshot.Config, resumable.longest)
	serving = servingOrigins(snapshot, resumable.services)
	o.Observe(serving, resumable.longest)
	return serving, resumable.longest
}

// observeMoves records which services streams have moved between since the config that was
// observed before.
func (o *streamOrigins) observeMoves(config *rlbdeployment.Config, longest time.Duration) {
	before, longestBefore := o.observed, o.longestObserved
	o.observed, o.longestObserved = config, longest
	if before == nil || before == config {
		return
	}
	for _, m := range before.Moves(config, isResumable) {
		o.Moved(m.From, m.To, max(longest, longestBefore))
	}
}

// isResumable reports whether the answers of a route are streams that callers may take up again.
func isResumable(r *rlbdeployment.Route) bool {
	return r.Kind == rlbdeployment.KindStream && r.Resumable
}

// learn remembers streams that other instances have begun to relay.
func (o *streamOrigins) learn(announcements []rlborigin.Announcement) {
	if config := o.app.view.Snapshot().Config; config != nil && len(announcements) > 0 {
		o.Learn(announcements, o.resumableOf(config).longest)
	}
}

// resumableStreams is what a config says about streams that may be taken up again.
type resumableStreams struct {
	config   *rlbdeployment.Config
	services map[string]bool // of the routes of these streams
	longest  time.Duration   // that a request of these routes may last
}

// resumableOf returns what a config says about streams that may be taken up again. It is
// worked out once for each config, which may have many routes.
func (o *streamOrigins) resumableOf(config *rlbdeployment.Config) *resumableStreams {
	if latest := o.resumable.Load(); latest != nil && latest.config == config {
		return latest
	}
	found := &resumableStreams{config: config, services: map[string]bool{}}
	for route := range config.AllRoutes() {
		if !isResumable(route) {
			continue
		}
		found.longest = max(found.longest, route.Timeout)
		for _, share := range route.Shares {
			found.services[share.Service] = true
		}
	}
	o.resumable.Store(found)
	return found
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
	if !o.Merged() && !o.read(ctx, o.now()) {
		return false
	}
	record, err := o.Record(o.app.era())
	if err != nil {
		o.app.Log.WithError(err).Error("failed to encode where streams began")
		return false
	}
	if record.Fingerprint == o.fingerprint {
		return true
	}
	o.Storing(record)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := o.app.api.Put(ctx, o.key(), record.Value, o.version)
	if err != nil {
		o.app.Log.WithError(err).Info("failed to store where streams began; trying again")
		return o.refreshVersion(ctx)
	}
	o.Stored(record)
	o.version, o.fingerprint = version, record.Fingerprint
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
// If this instance does not remember the stream, it reads what all have stored since: what it
// has not heard of is not absent.
func (o *streamOrigins) Find(ctx context.Context, service, request string) (version string, verdict rlborigin.Verdict) {
	for giveUp := o.now().Add(originWait); ; {
		if _, known := o.Lookup(request); known {
			return o.Check(service, request)
		}
		asked := o.now()
		if !o.read(ctx, asked) {
			return "", rlborigin.Unknown
		}
		version, verdict = o.Check(service, request)
		o.app.Log.WithFields(log.Fields{"request": request, "service": service, "verdict": verdict.String(), "software": version}).Info("looked for the origin of a stream that is not remembered in what all instances have stored")
		if verdict != rlborigin.Unknown || !asked.Before(giveUp) || !rlbcommon.Sleep(ctx, originRetryDelay) {
			return version, verdict
		}
	}
}

// read merges what the instances have stored, unless a read has begun since asked. It
// reports whether that is done. Concurrent callers share a read, whether it succeeds or not.
func (o *streamOrigins) read(ctx context.Context, asked time.Time) bool {
	config := o.app.view.Snapshot().Config
	if config == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lastRead.After(asked) {
		return o.readDone
	}
	rlbcommon.Sleep(ctx, originReadSpacing-o.now().Sub(o.lastRead))
	o.lastRead = o.now()
	o.readDone = o.readAll(context.WithoutCancel(ctx), config)
	if !o.readDone {
		o.readFailed.Store(true)
	}
	return o.readDone
}

// readAll reads and merges the records of all instances. o.mu is held.
func (o *streamOrigins) readAll(ctx context.Context, config *rlbdeployment.Config) bool {
	ctx, cancel := context.WithTimeout(ctx, originReadTimeout)
	defer cancel()
	all, err := o.app.api.List(ctx, kindStreams)
	if err != nil {
		o.app.Log.WithError(err).Warn("failed to read where streams began")
		return false
	}
	var records []rlborigin.StoredRecord
	for _, stored := range all.Objects {
		records = append(records, rlborigin.StoredRecord{Value: stored.Value, Own: stored.Name == o.app.name})
	}
	for range all.Undecodable {
		records = append(records, rlborigin.StoredRecord{}) // of an unknown content
	}
	if err := o.Merge(records, all.Revision.Era(), o.resumableOf(config).longest); err != nil {
		o.app.Log.WithError(err).Warn("failed to decode where streams began")
	}
	return true
}
