package rlbapp

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// countedObjects counts the calls to an object API by operation and kind: each call has a
// price, whatever it is for.
type countedObjects struct {
	rlbobject.API
	registry metrics.Registry
	prefix   string // of the operations in the names of the counters
}

func (c countedObjects) count(operation, kind string) {
	metrics.GetOrRegisterCounter("object_calls_"+c.prefix+operation+"_"+kind, c.registry).Inc(1)
}

// Get implements rlbobject.API.
func (c countedObjects) Get(ctx context.Context, key rlbobject.Key) (rlbobject.Object, error) {
	c.count("get", key.Kind)
	return c.API.Get(ctx, key)
}

// Put implements rlbobject.API.
func (c countedObjects) Put(ctx context.Context, key rlbobject.Key, value []byte, expected rlbobject.Version) (rlbobject.Version, error) {
	c.count("put", key.Kind)
	return c.API.Put(ctx, key, value, expected)
}

// Delete implements rlbobject.API.
func (c countedObjects) Delete(ctx context.Context, key rlbobject.Key, expected rlbobject.Version) error {
	c.count("delete", key.Kind)
	return c.API.Delete(ctx, key, expected)
}

// List implements rlbobject.API.
func (c countedObjects) List(ctx context.Context, kind string) (rlbobject.Changes, error) {
	c.count("list", kind)
	return c.API.List(ctx, kind)
}

// Watch implements rlbobject.API.
func (c countedObjects) Watch(ctx context.Context, kind string, after rlbobject.Version, deadline time.Time) (rlbobject.Changes, error) {
	c.count("watch", kind)
	return c.API.Watch(ctx, kind, after, deadline)
}
