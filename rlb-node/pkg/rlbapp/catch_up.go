package rlbapp

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbleaving"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
)

// Limits of catching up with the other instances.
const (
	stepsUntilList       = 3                  // consecutive steps with a newer source before a list call is triggered
	stepsUntilQuery      = 2 * stepsUntilList // the same before a watcher queries the source, as the list did not help
	maxWatcherCandidates = 3                  // the instances of a domain that call the object API all the time while it is unavailable
	queryTimeout         = time.Second
	configReadDelay      = time.Second // after which an outdated config is read from the object API
	sourcePeer           = "another instance"
	behindPeers          = "other instances have newer objects"
)

// catchUp keeps the config and entries of an instance as new as those of the other
// instances: it watches the object API or gets changes from them.
type catchUp struct {
	app             *app
	query           func(ctx context.Context, address string, q rlbpeer.Query) (rlbpeer.Reply, error)
	configWatcher   *rlbdiscovery.Watcher
	endpointWatcher *rlbdiscovery.Watcher
	comparison      comparison
	reserve         reserveWatcher
	stepsBehind     int           // consecutive steps in which another instance was ahead of this watcher
	behindSince     time.Time     // start of the period in which others had a newer config than stuckVersion; zero: none
	stuckVersion    uint64        // config version in force at behindSince
	querying        chan struct{} // holds one element while a query for changes is in progress
}

func (a *app) newCatchUp() *catchUp {
	return &catchUp{
		app: a, query: a.link.Query, querying: make(chan struct{}, 1),
		configWatcher: &rlbdiscovery.Watcher{
			API: a.api, FirstAPI: a.staleAPI, Kind: rlbplatform.ObjectKindConfig, Sink: rlbdiscovery.ConfigSink{View: a.view, Name: rlbplatform.ConfigName},
			Log: a.Log, Now: a.now, Active: a.isWatcher,
		},
		endpointWatcher: &rlbdiscovery.Watcher{
			API: a.api, FirstAPI: a.staleAPI, Kind: rlbplatform.ObjectKindEndpoints, Sink: a.view, Log: a.Log, Now: a.now, Active: a.isWatcher, BatchDelay: rlbleaving.BatchDelay, TakenOver: a.limitGraces,
		},
	}
}

// unavailable reports whether the object API does not answer this instance.
func (c *catchUp) unavailable() bool {
	return c.configWatcher.Unavailable() || c.endpointWatcher.Unavailable()
}

// available reports whether the object API answers this instance.
func (c *catchUp) available() bool {
	return c.configWatcher.Available() || c.endpointWatcher.Available()
}

// unavailableEverywhere reports whether the object API is unavailable to all known
// instances: in each domain some instances call it, and none gets an answer.
func (c *catchUp) unavailableEverywhere() bool {
	now := c.app.now()
	if c.available() || c.app.fleet.APIAvailableInDomain(now) {
		return false
	}
	unavailable := c.unavailable() || slices.ContainsFunc(c.app.fleet.LiveDigests(now), func(d rlbpeer.Digest) bool { return d.APIUnavailable })
	return unavailable && c.app.fleet.APIUnavailableEverywhere(now)
}

// configCurrent reports whether no other instance is known to have a newer config, and the
// object API, if this instance calls it, answers it or another one of its domain.
func (c *catchUp) configCurrent() bool {
	now := c.app.now()
	if c.app.fleet.NewestConfig(now) > c.app.configVersion() {
		return false
	}
	return !c.configWatcher.Unavailable() || c.app.fleet.APIAvailableInDomain(now)
}

// isWatcher reports whether this instance watches the object API for its domain: it is
// one of the first maxWatcherCandidates instances by name, and the object API is
// unavailable to all instances before it. Leaving instances do not count, nor do silent ones.
// If it answers none of these, the others try in turn, see reserveWatcher.
// An instance that already watches goes on until the object API answers one before it.
func (a *app) isWatcher() bool {
	if !a.settled() {
		return false
	}
	now, watching := a.now(), a.catchUp.available()
	others := a.fleet.DigestsWithin(now, a.view.Budget().Silence())
	others = slices.DeleteFunc(others, func(d rlbpeer.Digest) bool { return d.Draining })
	before := slices.DeleteFunc(slices.Clone(others), func(d rlbpeer.Digest) bool { return d.Name > a.name })
	available := func(d rlbpeer.Digest) bool { return d.APIAvailable }
	unavailable := func(d rlbpeer.Digest) bool { return d.APIUnavailable }
	needed := slices.ContainsFunc(others, unavailable) && !slices.ContainsFunc(others, available)
	tries := a.catchUp.reserve.due(now, needed, len(before)-maxWatcherCandidates, len(others)+1)
	switch {
	case slices.ContainsFunc(before, available):
		return false
	case watching:
		return true
	case len(before) >= maxWatcherCandidates:
		return tries
	default:
		return !slices.ContainsFunc(before, func(d rlbpeer.Digest) bool { return !d.APIUnavailable })
	}
}

// limitGraces limits the grace periods of the entries that are missing as this instance takes
// over from another one, which may have been lost before it could tell of their removal.
func (a *app) limitGraces() {
	if heardAt := a.fleet.WatcherHeardAt(a.now()); !heardAt.IsZero() {
		a.view.LimitGraces(heardAt)
	}
}

// source is an instance from which a newer config or newer entries can be read.
type source struct {
	name          string
	address       string
	configVersion uint64
	entryRevision uint64
}

// findNewerSource returns an instance of the domain or, with otherDomains, also a
// delegate of another domain that has a newer config or newer entries.
func (c *catchUp) findNewerSource(otherDomains bool) (source, bool) {
	now, config, entries := c.app.now(), c.app.configVersion(), uint64(c.app.view.Revision())
	var all []source
	for _, d := range c.app.fleet.LiveDigests(now) {
		all = append(all, source{d.Name, d.Address, d.ConfigVersion, d.EntryRevision})
	}
	if otherDomains {
		for _, s := range c.app.fleet.LiveSummaries(now) {
			all = append(all, source{s.From, s.Address, s.ConfigVersion, s.EntryRevision})
		}
	}
	all = slices.DeleteFunc(all, func(s source) bool { return s.configVersion <= config && s.entryRevision <= entries })
	if len(all) == 0 {
		return source{}, false
	}
	return all[rand.IntN(len(all))], true // random, so that the instances of a domain do not all query the same one
}

// step gets newer configs and entries from other instances. A watcher to which the
// object API is available gets them from its own watches instead, and triggers a list
// call if these stay behind. If that does not help, the object API lacks them since it was
// restored from a copy, and the watcher gets them from other instances too.
func (c *catchUp) step(ctx context.Context) {
	watcher := c.app.isWatcher()
	from, found := c.findNewerSource(watcher)
	if !found {
		c.stepsBehind = 0
		c.behindSince = time.Time{}
		c.compareEntries(ctx, watcher)
		return
	}
	if !watcher && c.configOverdue(from) {
		go c.readConfig(ctx)
	}
	if watcher && !c.unavailable() && c.app.configVersion() > 0 {
		if c.stepsBehind++; c.stepsBehind%stepsUntilList == 0 {
			c.configWatcher.TriggerList(behindPeers)
			c.endpointWatcher.TriggerList(behindPeers)
		}
		if c.stepsBehind < stepsUntilQuery {
			return
		}
	}
	c.startQuery(func() { c.fetchChanges(ctx, from) })
}

// startQuery runs a query of another instance in the background, unless one is in progress.
func (c *catchUp) startQuery(query func()) {
	select {
	case c.querying <- struct{}{}:
		go func() {
			query()
			<-c.querying
		}()
	default:
	}
}

// configOverdue reports whether the config has been outdated for configReadDelay and
// must be read from the object API. It reports true once in each such period.
func (c *catchUp) configOverdue(from source) bool {
	now, version := c.app.now(), c.app.configVersion()
	if from.configVersion <= version || version != c.stuckVersion || c.behindSince.IsZero() {
		c.behindSince, c.stuckVersion = now, version
		return false
	}
	if now.Sub(c.behindSince) < configReadDelay {
		return false
	}
	c.behindSince = now
	return true
}

// fetchChanges gets newer configs and entries from another instance.
func (c *catchUp) fetchChanges(ctx context.Context, from source) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	a := c.app
	query := rlbpeer.ChangesQuery{ConfigVersion: a.configVersion(), EntryRevision: uint64(a.view.Revision())}
	reply, err := c.query(ctx, from.address, rlbpeer.Query{Changes: &query})
	if err != nil {
		a.Log.WithError(err).WithField("peer", from.name).Warn("failed to query another instance for changes")
		return
	}
	if len(reply.Config) > 0 {
		c.applyPeerConfig(reply.Config, from)
	}
	var objects, lapsed []rlbobject.Object
	for _, e := range reply.Entries {
		o := rlbobject.Object{Name: e.Name, Version: rlbobject.Version(e.Version), Value: e.Value, Deleted: e.Deleted}
		if e.Lapsed {
			lapsed = append(lapsed, o)
		} else {
			objects = append(objects, o)
		}
	}
	a.view.ApplyChanges(objects, false)
	a.view.ApplyChanges(lapsed, true)
	a.Log.WithFields(log.Fields{"peer": from.name, "entries": len(reply.Entries), "revision": a.view.Revision().String()}).Debug("applied changes from another instance")
	if c.readsEntries() || !c.comparison.mustCompareAll(a.view, reply.EntryRevision, reply.Fingerprint) {
		return
	}
	c.fetchKnown(ctx, from)
}

func (c *catchUp) applyPeerConfig(compressed []byte, from source) {
	value, err := rlbdiscovery.Decompress(compressed)
	if err != nil {
		c.app.Log.WithError(err).WithField("peer", from.name).Warn("failed to decompress the config from another instance")
		return
	}
	c.app.view.ApplyConfig(value, sourcePeer)
}

// readConfig reads the config from the object API, as it did not arrive from other
// instances in time.
func (c *catchUp) readConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	got, err := c.app.api.Get(ctx, rlbobject.Key{Kind: rlbplatform.ObjectKindConfig, Name: rlbplatform.ConfigName})
	if err != nil {
		c.app.Log.WithError(err).Warn("failed to read the config from the object API")
		return
	}
	c.app.view.ApplyConfig(got.Value, "object API")
}

// changesSince answers another instance's query for newer configs and entries.
func (a *app) changesSince(query rlbpeer.ChangesQuery) rlbpeer.Reply {
	changes := a.view.ChangesSince(query.ConfigVersion, rlbobject.Version(query.EntryRevision))
	fingerprint, revision := a.view.Fingerprint()
	reply := rlbpeer.Reply{Config: changes.Config, EntryRevision: uint64(revision), Fingerprint: fingerprint}
	add := func(objects []rlbobject.Object, lapsed bool) {
		for _, o := range objects {
			reply.Entries = append(reply.Entries, rlbpeer.Entry{Name: o.Name, Version: uint64(o.Version), Value: o.Value, Deleted: o.Deleted, Lapsed: lapsed})
		}
	}
	add(changes.Entries, false)
	add(changes.Lapsed, true)
	return reply
}

// configVersion returns the version of the config in force; 0: none.
func (a *app) configVersion() uint64 {
	if config := a.view.Snapshot().Config; config != nil {
		return config.Version
	}
	return 0
}
