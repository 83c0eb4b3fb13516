package rlbapp

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// kindInstances is the kind of the objects by which instances find each other.
const kindInstances = "rlb-instances"

// Terms of finding the other instances.
const (
	callTimeout = time.Second
	retryPause  = 300 * time.Millisecond
	renewEvery  = 10 * time.Minute
	// looksUntilGone is how often a registration may be seen unchanged.
	looksUntilGone = 3
	lonely         = 5 * time.Second // between two reads of the list while nobody or not every domain is heard of
)

// registration is the value of an instance's object.
type registration struct {
	Address string `json:"address"`
	Domain  string `json:"failure_domain"`
	Renewal uint64 `json:"renewal"` // number of the write in this life, so that the object changes
}

// register makes this instance known, finds the others, and looks again while
// not all are heard of. It renews its object now and then.
func (a *app) register(ctx context.Context) {
	for ctx.Err() == nil && !a.registered(ctx, 0) {
		rlbcommon.Sleep(ctx, retryPause)
	}
	for ctx.Err() == nil && !a.found(ctx) {
		rlbcommon.Sleep(ctx, retryPause)
	}
	renewal, renewed := uint64(0), rlbclock.Now()
	for rlbcommon.Sleep(ctx, lonely) {
		now := rlbclock.Now()
		if a.fleet.Isolated(now) && a.scout() {
			a.found(ctx)
		}
		if now.Sub(renewed) > renewEvery && a.registered(ctx, renewal+1) {
			renewal, renewed = renewal+1, now
			a.collectGone(ctx)
		}
	}
}

func (a *app) registered(ctx context.Context, renewal uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(registration{a.address, a.domain, renewal})
	if err != nil {
		a.Log.WithError(err).Error("registration cannot be written")
		return true
	}
	key := rlbobject.Key{Kind: kindInstances, Name: a.name}
	_, err = a.api.Put(ctx, key, value, 0)
	if rlbobject.Is(err, rlbobject.KindConflict) {
		err = a.reregister(ctx, key, value)
	}
	if err != nil {
		a.Log.WithError(err).Warn("instance is not registered yet")
	}
	return err == nil
}

func (a *app) reregister(ctx context.Context, key rlbobject.Key, value []byte) error {
	old, err := a.api.Get(ctx, key)
	if err != nil || bytes.Equal(old.Value, value) {
		return err
	}
	_, err = a.api.Put(ctx, key, value, old.Version)
	return err
}

// collectGone deletes the objects of instances that have not renewed them since
// the last but one look. Only the holder of the lease does, so that it costs few
// calls.
func (a *app) collectGone(ctx context.Context) {
	if !a.holds() {
		a.registrations = nil
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := a.api.List(ctx, kindInstances)
	if err != nil {
		a.Log.WithError(err).Warn("other instances cannot be listed")
		return
	}
	looks := map[string]seen{}
	for _, o := range all.Objects {
		s := a.registrations[o.Name]
		if s.version != o.Version {
			s = seen{version: o.Version}
		}
		if s.looks++; s.looks > looksUntilGone {
			err := a.api.Delete(ctx, rlbobject.Key{Kind: kindInstances, Name: o.Name}, o.Version)
			a.Log.WithFields(log.Fields{"object": o.Name, "error": err}).Info("registration of an instance that is gone deleted")
			continue
		}
		looks[o.Name] = s
	}
	a.registrations = looks
}

// seen is a registration as the holder saw it.
type seen struct {
	version rlbobject.Version
	looks   int // in a row at this version
}

func (a *app) found(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := a.api.List(ctx, kindInstances)
	if err != nil {
		a.Log.WithError(err).Warn("other instances cannot be listed")
		return false
	}
	for _, o := range all.Objects {
		var r registration
		if err := json.Unmarshal(o.Value, &r); err != nil {
			a.Log.WithError(err).WithField("object", o.Name).Warn("registration of an instance cannot be read")
			continue
		}
		if r.Address != a.address {
			a.fleet.AddAddress(rlbclock.Now(), r.Address, r.Domain)
		}
	}
	return true
}
