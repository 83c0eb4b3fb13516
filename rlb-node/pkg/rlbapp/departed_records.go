package rlbapp

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborigin"
)

// departedMargin is added to the time for which streams can be taken up before a record is pruned.
const departedMargin = 500 * time.Millisecond

// departedRecords finds what instances that are gone for good have stored about versions that
// have left since. Until that is deleted with the registrations of these instances, half an
// hour later or more, streams that nobody remembers would count as of one of several versions.
//
// An instance that has heard of a new version earlier than this one must not lose it: only
// records that have not changed for longer than streams can be taken up are pruned, of versions
// that this process has not seen serve meanwhile.
type departedRecords struct {
	serving map[rlborigin.Origin]bool    // when it was looked at last; nil: this instance did not hold the lease
	seen    map[string]rlbobject.Version // records at the latest check, by instance
	lookAt  time.Time                    // next check that prunes nothing; zero: none is due
	pruneAt time.Time                    // next check that prunes; zero: none is due
}

// pruneDeparted prunes the records of departed instances. Only the lease holder does so, a
// while after versions have left or it has taken over, to save calls.
func (o *streamOrigins) pruneDeparted(ctx context.Context, serving []rlborigin.Origin, longest time.Duration) {
	d := &o.departed
	if !o.app.holdsLease() || !o.Merged() {
		*d = departedRecords{}
		return
	}
	now, settle := o.now(), 2*o.storeInterval() // by then live instances have stored what they know
	if d.versionLeft(serving) {
		d.lookAt, d.pruneAt = now.Add(settle), now.Add(settle+longest+departedMargin)
	}
	switch {
	case !d.lookAt.IsZero() && !now.Before(d.lookAt):
		d.lookAt = time.Time{}
		o.checkDeparted(ctx, false)
	case !d.pruneAt.IsZero() && !now.Before(d.pruneAt):
		d.pruneAt = time.Time{}
		if !o.checkDeparted(ctx, true) {
			d.pruneAt = now.Add(settle + longest + departedMargin)
		}
	}
}

// versionLeft reports whether an origin has stopped serving since the call before, or this is
// the first call.
func (d *departedRecords) versionLeft(serving []rlborigin.Origin) bool {
	before := d.serving
	d.serving = map[rlborigin.Origin]bool{}
	for _, origin := range serving {
		d.serving[origin] = true
	}
	for origin := range before {
		if !d.serving[origin] {
			return true
		}
	}
	return before == nil
}

// checkDeparted reads all records and, with prune, prunes those that have not changed since the
// check before. It reports false if there is something left to prune or it failed.
func (o *streamOrigins) checkDeparted(ctx context.Context, prune bool) (done bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := o.app.api.List(ctx, kindStreams)
	if err != nil {
		o.app.Log.WithError(err).Warn("failed to read where streams began")
		o.departed.serving = nil // as if this instance had taken over now
		return false
	}
	done = true
	before := o.departed.seen
	o.departed.seen = map[string]rlbobject.Version{}
	for _, stored := range all.Objects {
		o.departed.seen[stored.Name] = stored.Version
		if !prune || stored.Name == o.app.name {
			continue
		}
		if before[stored.Name] == stored.Version {
			o.pruneRecord(ctx, stored)
		} else if _, obsolete, err := o.Prune(stored.Value); err == nil && obsolete > 0 {
			done = false
		}
	}
	return done
}

// pruneRecord removes from a stored record what can no longer be taken up. A record that its
// instance changes at the same time stays.
func (o *streamOrigins) pruneRecord(ctx context.Context, stored rlbobject.Object) {
	pruned, removed, err := o.Prune(stored.Value)
	if err == nil && removed > 0 {
		_, err = o.app.api.Put(ctx, rlbobject.Key{Kind: kindStreams, Name: stored.Name}, pruned, stored.Version)
		o.app.Log.WithFields(log.Fields{"object": stored.Name, "versions": removed, "error": err}).Info("removing versions that have left from the record of a departed instance")
		return
	}
	if err != nil {
		o.app.Log.WithError(err).WithField("object", stored.Name).Warn("failed to decode where streams began")
	}
}
