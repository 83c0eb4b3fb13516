package rlbapp

import (
	"context"
	"slices"
	"sync"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
)

// differencesUntilQuery is how many comparisons in a row must find other entries before all
// are compared: a removal may be on its way.
const differencesUntilQuery = 3

// comparison counts the comparisons of entries with another instance that knows the same
// changes.
type comparison struct {
	mu          sync.Mutex
	differences int // in a row
}

// mustCompareAll records whether the entries of a view differ from those of another instance. It
// reports whether they have differed so often that they must be compared one by one.
func (c *comparison) mustCompareAll(view *rlbdiscovery.View, revision, fingerprint uint64) bool {
	own, ownRevision := view.Fingerprint()
	if fingerprint == 0 || own == 0 || uint64(ownRevision) != revision {
		return false // one of them knows newer changes, lacks some, or runs an earlier version
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if own == fingerprint {
		c.differences = 0
		return false
	}
	c.differences++
	if c.differences < differencesUntilQuery {
		return false
	}
	c.differences = 0
	return true
}

// readsEntries reports whether this instance reads the changes of the entries from the object
// API, so that none is missing.
func (c *catchUp) readsEntries() bool { return c.endpointWatcher.Available() }

// compareEntries compares the entries with those of another instance that knows the same
// changes. The list that this instance read at its start may have been old, and others
// may have started after what it lacks was removed.
func (c *catchUp) compareEntries(ctx context.Context, otherDomains bool) {
	from, fingerprint, found := c.comparisonSource(otherDomains)
	if !found || c.readsEntries() || !c.comparison.mustCompareAll(c.app.view, from.entryRevision, fingerprint) {
		return
	}
	c.startQuery(func() {
		ctx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		c.fetchKnown(ctx, from)
	})
}

// comparisonSource returns the instance to compare entries with, and their fingerprint: one of the
// domain that reads the object API, or else one of another domain, or else the first of
// the domain.
func (c *catchUp) comparisonSource(otherDomains bool) (from source, fingerprint uint64, found bool) {
	now := c.app.now()
	own := c.app.fleet.LiveDigests(now)
	at := slices.IndexFunc(own, func(d rlbpeer.Digest) bool { return d.APIAvailable })
	if at < 0 && otherDomains {
		for _, s := range c.app.fleet.LiveSummaries(now) {
			if !s.APIUnavailable {
				return source{s.From, s.Address, s.ConfigVersion, s.EntryRevision}, s.Fingerprint, true
			}
		}
	}
	if len(own) == 0 {
		return source{}, 0, false
	}
	d := own[max(at, 0)]
	return source{d.Name, d.Address, d.ConfigVersion, d.EntryRevision}, d.Fingerprint, true
}

// fetchKnown compares all entries with those of another instance, and drops those that it
// does not have.
func (c *catchUp) fetchKnown(ctx context.Context, from source) {
	a := c.app
	reply, err := c.query(ctx, from.address, rlbpeer.Query{Changes: &rlbpeer.ChangesQuery{Known: true}})
	if err != nil {
		a.Log.WithError(err).WithField("peer", from.name).Warn("failed to get the entries that another instance knows")
		return
	}
	if reply.EntryRevision == 0 {
		return // it runs an earlier version, or may lack entries
	}
	known := make(map[string]rlbobject.Version, len(reply.Known))
	for _, k := range reply.Known {
		known[k.Name] = rlbobject.Version(k.Version)
	}
	a.view.KeepKnown(known, rlbobject.Version(reply.EntryRevision), from.name)
}

// knownEntries answers another instance's query for all known entries.
func (a *app) knownEntries() rlbpeer.Reply {
	known, revision := a.view.Known()
	reply := rlbpeer.Reply{EntryRevision: uint64(revision)}
	for name, version := range known {
		reply.Known = append(reply.Known, rlbpeer.KnownVersion{Name: name, Version: uint64(version)})
	}
	return reply
}
