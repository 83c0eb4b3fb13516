package rlbapp

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
)

// Terms of catching up with the others.
const (
	batchDelay           = 250 * time.Millisecond // of changes of entries
	sweepsUntilList      = 3                      // in a row in which another domain must know more before a list is read
	maxWatcherCandidates = 3                      // instances of a domain that call an object API that does not answer
	askTimeout           = time.Second
	configReadDelay      = time.Second // of a config being behind, after which the object API is asked
	sourcePeer           = "another instance"
)

// catchUp keeps an instance level with the others.
type catchUp struct {
	app             *app
	configWatcher   *rlbdiscovery.Watcher
	endpointWatcher *rlbdiscovery.Watcher
	sweepsBehind    int       // in a row in which others knew more than this scout
	behindSince     time.Time // since when others have a newer config and this one has stuckAt; zero: they have not
	stuckVersion    uint64
	asking          chan struct{}
}

func (a *app) newCatchUp() *catchUp {
	return &catchUp{
		app: a, asking: make(chan struct{}, 1),
		configWatcher: &rlbdiscovery.Watcher{
			API: a.api, Kind: rlbplatform.ObjectKindConfig, Sink: rlbdiscovery.ConfigSink{View: a.view, Name: rlbplatform.ConfigName},
			Log: a.Log, Now: rlbclock.Now, Active: a.isWatcher,
		},
		endpointWatcher: &rlbdiscovery.Watcher{
			API: a.api, Kind: rlbplatform.ObjectKindEndpoints, Sink: a.view, Log: a.Log, Now: rlbclock.Now, Active: a.isWatcher, BatchDelay: batchDelay,
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

// unavailableToAll reports whether the object API answers no instance that is known: some call
// it in each domain, and it answers none of them.
func (c *catchUp) unavailableToAll() bool {
	now := rlbclock.Now()
	if c.available() || c.app.fleet.APIAvailableInDomain(now) {
		return false
	}
	unavailable := c.unavailable() || slices.ContainsFunc(c.app.fleet.LiveDigests(now), func(d rlbpeer.Digest) bool { return d.APIUnavailable })
	return unavailable && c.app.fleet.APIUnavailableEverywhere(now)
}

// isWatcher reports whether this instance watches the object API for its domain: the
// first one that it answers, of a few that try.
func (a *app) isWatcher() bool {
	now, before := rlbclock.Now(), 0
	for _, d := range a.fleet.LiveDigests(now) {
		if d.Name < a.name && !d.Leaving {
			before++
		}
	}
	return before < maxWatcherCandidates && a.fleet.IsDelegate(now, func(d rlbpeer.Digest) bool { return !d.APIUnavailable && !d.Leaving })
}

// source is somebody who knows a config and entries.
type source struct {
	name    string
	address string
	config  uint64
	entries uint64
}

// findAhead returns an instance of the domain, or the first of another domain, that
// knows more than this one.
func (c *catchUp) findAhead(otherDomains bool) (source, bool) {
	now, config, entries := rlbclock.Now(), c.app.configVersion(), uint64(c.app.view.Revision())
	var all []source
	for _, d := range c.app.fleet.LiveDigests(now) {
		all = append(all, source{d.Name, d.Address, d.ConfigVersion, d.EntryRevision})
	}
	if otherDomains {
		for _, s := range c.app.fleet.LiveSummaries(now) {
			all = append(all, source{s.From, s.Address, s.ConfigVersion, s.EntryRevision})
		}
	}
	all = slices.DeleteFunc(all, func(s source) bool { return s.config <= config && s.entries <= entries })
	if len(all) == 0 {
		return source{}, false
	}
	return all[rand.IntN(len(all))], true // not all of a domain ask the same one
}

// sweep learns from others what they know more. A scout that the object API
// answers first gives its own watches the time to tell.
func (c *catchUp) sweep(ctx context.Context) {
	watcher := c.app.isWatcher()
	from, found := c.findAhead(watcher)
	if !found {
		c.sweepsBehind = 0
		c.behindSince = time.Time{}
		return
	}
	if !watcher && c.configOverdue(from) {
		go c.readConfig(ctx)
	}
	if watcher && !c.unavailable() && c.app.configVersion() > 0 {
		if c.sweepsBehind++; c.sweepsBehind%sweepsUntilList == 0 {
			c.configWatcher.TriggerList()
			c.endpointWatcher.TriggerList()
		}
		return
	}
	select {
	case c.asking <- struct{}{}:
		go func() {
			c.fetchChanges(ctx, from)
			<-c.asking
		}()
	default: // an answer is under way
	}
}

// configOverdue reports whether the config has been behind for so long that it is read
// from the object API, once each such span.
func (c *catchUp) configOverdue(from source) bool {
	now, version := rlbclock.Now(), c.app.configVersion()
	if from.config <= version || version != c.stuckVersion || c.behindSince.IsZero() {
		c.behindSince, c.stuckVersion = now, version
		return false
	}
	if now.Sub(c.behindSince) < configReadDelay {
		return false
	}
	c.behindSince = now
	return true
}

// fetchChanges asks another instance for what it knows more.
func (c *catchUp) fetchChanges(ctx context.Context, from source) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a := c.app
	question := rlbpeer.ChangesQuery{ConfigVersion: a.configVersion(), EntryRevision: uint64(a.view.Revision())}
	answer, err := a.link.Query(ctx, from.address, rlbpeer.Query{Changes: &question})
	if err != nil {
		a.Log.WithError(err).WithField("peer", from.name).Warn("another instance does not tell what it knows")
		return
	}
	if len(answer.Config) > 0 {
		c.applyPeerConfig(answer.Config, from)
	}
	var objects, lapsed []rlbobject.Object
	for _, e := range answer.Entries {
		o := rlbobject.Object{Name: e.Name, Version: rlbobject.Version(e.Version), Value: e.Value, Deleted: e.Deleted}
		if e.Lapsed {
			lapsed = append(lapsed, o)
		} else {
			objects = append(objects, o)
		}
	}
	a.view.ApplyChanges(objects, false)
	a.view.ApplyChanges(lapsed, true)
	a.Log.WithFields(log.Fields{"peer": from.name, "entries": len(answer.Entries), "revision": uint64(a.view.Revision())}).Debug("learnt from another instance")
}

func (c *catchUp) applyPeerConfig(compressed []byte, from source) {
	value, err := rlbdiscovery.Decompress(compressed)
	if err != nil {
		c.app.Log.WithError(err).WithField("peer", from.name).Warn("config of another instance cannot be read")
		return
	}
	c.app.view.ApplyConfig(value, sourcePeer)
}

// readConfig reads the config from the object API: the others do not tell it in time.
func (c *catchUp) readConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	got, err := c.app.api.Get(ctx, rlbobject.Key{Kind: rlbplatform.ObjectKindConfig, Name: rlbplatform.ConfigName})
	if err != nil {
		c.app.Log.WithError(err).Warn("config cannot be read")
		return
	}
	c.app.view.ApplyConfig(got.Value, "object API")
}

// changesSince answers another instance's question for what it does not know.
func (a *app) changesSince(question rlbpeer.ChangesQuery) rlbpeer.Reply {
	changes := a.view.ChangesSince(question.ConfigVersion, rlbobject.Version(question.EntryRevision))
	answer := rlbpeer.Reply{Config: changes.Config}
	add := func(objects []rlbobject.Object, lapsed bool) {
		for _, o := range objects {
			answer.Entries = append(answer.Entries, rlbpeer.Entry{Name: o.Name, Version: uint64(o.Version), Value: o.Value, Deleted: o.Deleted, Lapsed: lapsed})
		}
	}
	add(changes.Entries, false)
	add(changes.Lapsed, true)
	return answer
}

// configVersion returns the version in force; 0: none.
func (a *app) configVersion() uint64 {
	if config := a.view.Snapshot().Config; config != nil {
		return config.Version
	}
	return 0
}
