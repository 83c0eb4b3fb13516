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

// kindInstances is the kind of the objects with which instances register.
const kindInstances = "rlb-instances"

// Timing of registration and of the discovery of other instances.
const (
	callTimeout   = time.Second
	retryDelay    = 300 * time.Millisecond
	renewInterval = 10 * time.Minute
	// maxUnchangedLists is how many consecutive lists may show a registration
	// unchanged before it is deleted.
	maxUnchangedLists    = 3
	isolatedPollInterval = 5 * time.Second // interval of list calls while the instance is isolated
)

// registration is the stored value of an instance's object.
type registration struct {
	Address string `json:"address"`
	Domain  string `json:"failure_domain"`
	Renewal uint64 `json:"renewal"` // number of the renewal by this process; it makes each renewal change the object
}

// ownRegistration is the state of this instance's registration.
type ownRegistration struct {
	renewal uint64 // number of the latest renewal
	renewed time.Time
	era     uint64 // of the object API at the latest renewal
}

// register registers this instance and discovers the others. A watcher repeats the
// discovery while it is isolated, that is while it receives from no other instance or
// no longer from every domain.
func (a *app) register(ctx context.Context) {
	stored := a.registerAtStart(ctx)
	own := ownRegistration{stored.Renewal, rlbclock.Now(), a.era()}
	for rlbcommon.Sleep(ctx, isolatedPollInterval) {
		if a.fleet.Isolated(rlbclock.Now()) && a.isWatcher() {
			a.discoverPeers(ctx, a.api)
		}
		a.keepRegistered(ctx, &own)
	}
}

// keepRegistered renews the registration periodically, and after a restore of the object
// API, which may have lost it.
func (a *app) keepRegistered(ctx context.Context, own *ownRegistration) {
	now, era := rlbclock.Now(), a.era()
	if now.Sub(own.renewed) <= renewInterval && own.era == era {
		return
	}
	if a.writeRegistration(ctx, own.renewal+1) {
		*own = ownRegistration{own.renewal + 1, now, era}
		a.deleteStaleRegistrations(ctx)
	}
}

// registerAtStart discovers the other instances and makes sure that this one is registered.
// After a restart at the same address that takes a single cheap call. It returns the
// registration of an earlier process, if there was one.
func (a *app) registerAtStart(ctx context.Context) registration {
	var stored registration
	retryUntilDone(ctx, func() (done bool) {
		stored, done = a.discoverPeers(ctx, a.staleAPI)
		return done
	})
	if stored.Address == a.address && stored.Domain == a.domain {
		return stored
	}
	retryUntilDone(ctx, func() bool { return a.writeRegistration(ctx, 0) })
	retryUntilDone(ctx, func() bool {
		_, done := a.discoverPeers(ctx, a.api)
		return done
	})
	return registration{}
}

// retryUntilDone calls f until it reports that it is done, or ctx ends.
func retryUntilDone(ctx context.Context, f func() (done bool)) {
	for ctx.Err() == nil && !f() {
		rlbcommon.Sleep(ctx, retryDelay)
	}
}

// writeRegistration writes this instance's object. It reports whether no retry is
// needed.
func (a *app) writeRegistration(ctx context.Context, renewal uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(registration{a.address, a.domain, renewal})
	if err != nil {
		a.Log.WithError(err).Error("failed to encode the registration")
		return true
	}
	key := rlbobject.Key{Kind: kindInstances, Name: a.name}
	_, err = a.api.Put(ctx, key, value, 0)
	if rlbobject.Is(err, rlbobject.KindConflict) {
		err = a.overwriteRegistration(ctx, key, value)
	}
	if err != nil {
		a.Log.WithError(err).Warn("registration of the instance failed")
	}
	return err == nil
}

// overwriteRegistration replaces an object that an earlier process of the same name
// left, or that an earlier write created.
func (a *app) overwriteRegistration(ctx context.Context, key rlbobject.Key, value []byte) error {
	old, err := a.api.Get(ctx, key)
	if err != nil || bytes.Equal(old.Value, value) {
		return err
	}
	_, err = a.api.Put(ctx, key, value, old.Version)
	return err
}

// deleteStaleRegistrations deletes the objects of instances that did not renew them
// over maxUnchangedLists lists. Only the lease holder does so, to save calls.
func (a *app) deleteStaleRegistrations(ctx context.Context) {
	if !a.holdsLease() {
		a.registrations = nil
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := a.api.List(ctx, kindInstances)
	if err != nil {
		a.Log.WithError(err).Warn("failed to list the other instances")
		return
	}
	observed := map[string]observedRegistration{}
	for _, o := range all.Objects {
		s := a.registrations[o.Name]
		if s.version != o.Version {
			s = observedRegistration{version: o.Version}
		}
		if s.unchangedLists++; s.unchangedLists > maxUnchangedLists {
			err := a.api.Delete(ctx, rlbobject.Key{Kind: kindInstances, Name: o.Name}, o.Version)
			a.Log.WithFields(log.Fields{"object": o.Name, "error": err}).Info("deleting the registration of a departed instance")
			a.deleteStreams(ctx, o.Name)
			continue
		}
		observed[o.Name] = s
	}
	a.registrations = observed
}

// deleteStreams deletes what a departed instance stored about its streams.
func (a *app) deleteStreams(ctx context.Context, instance string) {
	key := rlbobject.Key{Kind: kindStreams, Name: instance}
	stored, err := a.api.Get(ctx, key)
	if err == nil {
		err = a.api.Delete(ctx, key, stored.Version)
	}
	if err != nil && !rlbobject.Is(err, rlbobject.KindNotFound) {
		a.Log.WithError(err).WithField("object", instance).Warn("failed to delete the streams of a departed instance")
	}
}

// observedRegistration is the version of a registration in the lists that the lease
// holder read.
type observedRegistration struct {
	version        rlbobject.Version
	unchangedLists int // consecutive lists with this version
}

// discoverPeers adds the addresses of registered instances to the fleet. It returns the
// registration of this instance, if there is one, and whether the list could be read.
func (a *app) discoverPeers(ctx context.Context, api rlbobject.API) (own registration, done bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := api.List(ctx, kindInstances)
	if err != nil {
		a.Log.WithError(err).Warn("failed to list the other instances")
		return registration{}, false
	}
	first := true
	for _, o := range all.Objects {
		var r registration
		if err := json.Unmarshal(o.Value, &r); err != nil {
			a.Log.WithError(err).WithField("object", o.Name).Warn("failed to decode the registration of an instance")
			continue
		}
		if o.Name == a.name {
			own = r
		}
		if r.Address != a.address {
			a.fleet.AddAddress(rlbclock.Now(), r.Address, r.Domain)
			first = first && (r.Domain != a.domain || o.Name > a.name)
		}
	}
	a.firstRegistered.Store(first && own.Address == a.address)
	return own, true
}
