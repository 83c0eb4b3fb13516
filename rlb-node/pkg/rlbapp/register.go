package rlbapp

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

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
	lonely      = 5 * time.Second // between two reads of the list while nobody or not every domain is heard of
)

// registration is the value of an instance's object.
type registration struct {
	Address string `json:"address"`
	Domain  string `json:"failure_domain"`
}

// register makes this instance known, finds the others, and looks again while
// there are none.
func (a *app) register(ctx context.Context) {
	for ctx.Err() == nil && !a.registered(ctx) {
		rlbcommon.Sleep(ctx, retryPause)
	}
	for ctx.Err() == nil && !a.found(ctx) {
		rlbcommon.Sleep(ctx, retryPause)
	}
	for rlbcommon.Sleep(ctx, lonely) {
		if a.fleet.Alone(rlbclock.Now()) && a.scout() {
			a.found(ctx)
		}
	}
}

func (a *app) registered(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(registration{a.address, a.domain})
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
			a.fleet.Tell(rlbclock.Now(), r.Address, r.Domain)
		}
	}
	return true
}
