package rlbapp

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbview"
)

// Terms of catching up with the others.
const (
	gatherPeriod = 250 * time.Millisecond // of changes of entries
	configSweeps = 2                      // in which others must know more before a list is read
	entrySweeps  = 3
	scouts       = 3 // instances whose watches wait only shortly
	askTimeout   = 500 * time.Millisecond
	peerConfig   = "another instance"
)

// behind follows whether others know more than a watch has told.
type behind struct {
	watcher *rlbview.Watcher
	ahead   func(rlbpeer.Digest) bool
	needed  int // sweeps in a row
	sweeps  int // so far
}

// watchers returns the watches of this instance.
func (a *app) watchers() []*behind {
	config := &rlbview.Watcher{
		API: a.api, Kind: rlbplatform.KindConfig, Sink: rlbview.ConfigSink{View: a.view, Name: rlbplatform.ConfigName},
		Log: a.Log, Now: rlbclock.Now, Scout: a.scout,
	}
	endpoints := &rlbview.Watcher{
		API: a.api, Kind: rlbplatform.KindEndpoints, Sink: a.view, Log: a.Log, Now: rlbclock.Now, Scout: a.scout, Gather: gatherPeriod,
	}
	return []*behind{
		{watcher: config, needed: configSweeps, ahead: func(d rlbpeer.Digest) bool {
			present := a.view.Snapshot().Config
			return present == nil && d.Config > 0 || present != nil && d.Config > present.Version
		}},
		{watcher: endpoints, needed: entrySweeps, ahead: func(d rlbpeer.Digest) bool { return d.Entries > uint64(a.view.Revision()) }},
	}
}

// scout reports whether this instance is among the first of the live ones that
// the object API answers.
func (a *app) scout() bool {
	before := 0
	for _, peer := range a.fleet.Live(rlbclock.Now()) {
		if peer.Name < a.name && !peer.Lost && !peer.Leaving {
			before++
		}
	}
	return before < scouts
}

// catchUp has lists read whose watches tell nothing though others know more: a
// connection may have gone silent. Where the object API does not answer, the
// others are asked.
func (a *app) catchUp(ctx context.Context) {
	live := a.fleet.Live(rlbclock.Now())
	for _, b := range a.behind {
		peer, found := first(live, b.ahead)
		if !found {
			b.sweeps = 0
			continue
		}
		b.sweeps++
		switch {
		case b.sweeps%b.needed != 0:
		case b.watcher.Lost():
			go a.learn(ctx, peer)
		default:
			b.watcher.Nudge()
		}
	}
}

func first(all []rlbpeer.Digest, fits func(rlbpeer.Digest) bool) (rlbpeer.Digest, bool) {
	for _, d := range all {
		if fits(d) {
			return d, true
		}
	}
	return rlbpeer.Digest{}, false
}

// learn asks another instance for the config and the entries.
func (a *app) learn(ctx context.Context, peer rlbpeer.Digest) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := a.link.Ask(ctx, peer.Address, rlbpeer.Question{Known: true})
	if err != nil {
		a.Log.WithError(err).WithField("peer", peer.Name).Warn("another instance does not tell what it knows")
		return
	}
	if len(answer.Config) > 0 {
		a.view.TakeConfig(answer.Config, peerConfig)
	}
	objects := make([]rlbobject.Object, 0, len(answer.Entries))
	for _, e := range answer.Entries {
		objects = append(objects, rlbobject.Object{Name: e.Name, Version: rlbobject.Version(e.Version), Value: e.Value})
	}
	a.view.Change(objects, false) // nothing is dropped by it
	a.Log.WithFields(log.Fields{"peer": peer.Name, "entries": len(objects)}).Info("learnt from another instance")
}
