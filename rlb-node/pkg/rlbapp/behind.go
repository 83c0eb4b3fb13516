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
	gatherPeriod = 250 * time.Millisecond // of changes of entries
	nudgeSweeps  = 3                      // in a row in which another domain must know more before a list is read
	triers       = 3                      // instances of a domain that call an object API that does not answer
	askTimeout   = time.Second
	fetchAfter   = time.Second // of a config being behind, after which the object API is asked
	peerConfig   = "another instance"
)

// catcher keeps an instance level with the others.
type catcher struct {
	app       *app
	config    *rlbdiscovery.Watcher
	endpoints *rlbdiscovery.Watcher
	sweeps    int       // in a row in which others knew more than this scout
	behind    time.Time // since when others have a newer config and this one has stuckAt; zero: they have not
	stuckAt   uint64
	asking    chan struct{}
}

func (a *app) newCatcher() *catcher {
	return &catcher{
		app: a, asking: make(chan struct{}, 1),
		config: &rlbdiscovery.Watcher{
			API: a.api, Kind: rlbplatform.ObjectKindConfig, Sink: rlbdiscovery.ConfigSink{View: a.view, Name: rlbplatform.ConfigName},
			Log: a.Log, Now: rlbclock.Now, Scout: a.scout,
		},
		endpoints: &rlbdiscovery.Watcher{
			API: a.api, Kind: rlbplatform.ObjectKindEndpoints, Sink: a.view, Log: a.Log, Now: rlbclock.Now, Scout: a.scout, Gather: gatherPeriod,
		},
	}
}

// lost reports whether the object API does not answer this instance.
func (c *catcher) lost() bool { return c.config.Lost() || c.endpoints.Lost() }

// answered reports whether the object API answers this instance.
func (c *catcher) answered() bool { return c.config.Answers() || c.endpoints.Answers() }

// away reports whether the object API answers no instance that is known: some call
// it in each domain, and it answers none of them.
func (c *catcher) away() bool {
	now := rlbclock.Now()
	if c.answered() || c.app.fleet.APIAvailableInDomain(now) {
		return false
	}
	lost := c.lost() || slices.ContainsFunc(c.app.fleet.LiveDigests(now), func(d rlbpeer.Digest) bool { return d.APIUnavailable })
	return lost && c.app.fleet.APIUnavailableEverywhere(now)
}

// scout reports whether this instance watches the object API for its domain: the
// first one that it answers, of a few that try.
func (a *app) scout() bool {
	now, before := rlbclock.Now(), 0
	for _, d := range a.fleet.LiveDigests(now) {
		if d.Name < a.name && !d.Leaving {
			before++
		}
	}
	return before < triers && a.fleet.IsDelegate(now, func(d rlbpeer.Digest) bool { return !d.APIUnavailable && !d.Leaving })
}

// source is somebody who knows a config and entries.
type source struct {
	name    string
	address string
	config  uint64
	entries uint64
}

// ahead returns an instance of the domain, or the first of another domain, that
// knows more than this one.
func (c *catcher) ahead(far bool) (source, bool) {
	now, config, entries := rlbclock.Now(), c.app.configVersion(), uint64(c.app.view.Revision())
	var all []source
	for _, d := range c.app.fleet.LiveDigests(now) {
		all = append(all, source{d.Name, d.Address, d.ConfigVersion, d.EntryRevision})
	}
	if far {
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
func (c *catcher) sweep(ctx context.Context) {
	scout := c.app.scout()
	from, found := c.ahead(scout)
	if !found {
		c.sweeps = 0
		c.behind = time.Time{}
		return
	}
	if !scout && c.overdue(from) {
		go c.fetch(ctx)
	}
	if scout && !c.lost() && c.app.configVersion() > 0 {
		if c.sweeps++; c.sweeps%nudgeSweeps == 0 {
			c.config.Nudge()
			c.endpoints.Nudge()
		}
		return
	}
	select {
	case c.asking <- struct{}{}:
		go func() {
			c.learn(ctx, from)
			<-c.asking
		}()
	default: // an answer is under way
	}
}

// overdue reports whether the config has been behind for so long that it is read
// from the object API, once each such span.
func (c *catcher) overdue(from source) bool {
	now, version := rlbclock.Now(), c.app.configVersion()
	if from.config <= version || version != c.stuckAt || c.behind.IsZero() {
		c.behind, c.stuckAt = now, version
		return false
	}
	if now.Sub(c.behind) < fetchAfter {
		return false
	}
	c.behind = now
	return true
}

// learn asks another instance for what it knows more.
func (c *catcher) learn(ctx context.Context, from source) {
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
		c.takeConfig(answer.Config, from)
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

func (c *catcher) takeConfig(compressed []byte, from source) {
	value, err := rlbdiscovery.Expand(compressed)
	if err != nil {
		c.app.Log.WithError(err).WithField("peer", from.name).Warn("config of another instance cannot be read")
		return
	}
	c.app.view.ApplyConfig(value, peerConfig)
}

// fetch reads the config from the object API: the others do not tell it in time.
func (c *catcher) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	got, err := c.app.api.Get(ctx, rlbobject.Key{Kind: rlbplatform.ObjectKindConfig, Name: rlbplatform.ConfigName})
	if err != nil {
		c.app.Log.WithError(err).Warn("config cannot be read")
		return
	}
	c.app.view.ApplyConfig(got.Value, "object API")
}

// known answers another instance's question for what it does not know.
func (a *app) known(q rlbpeer.ChangesQuery) rlbpeer.Reply {
	known := a.view.Known(q.ConfigVersion, rlbobject.Version(q.EntryRevision))
	answer := rlbpeer.Reply{Config: known.Config}
	tell := func(objects []rlbobject.Object, lapsed bool) {
		for _, o := range objects {
			answer.Entries = append(answer.Entries, rlbpeer.Entry{Name: o.Name, Version: uint64(o.Version), Value: o.Value, Deleted: o.Deleted, Lapsed: lapsed})
		}
	}
	tell(known.Entries, false)
	tell(known.Lapsed, true)
	return answer
}

// configVersion returns the version in force; 0: none.
func (a *app) configVersion() uint64 {
	if config := a.view.Snapshot().Config; config != nil {
		return config.Version
	}
	return 0
}
