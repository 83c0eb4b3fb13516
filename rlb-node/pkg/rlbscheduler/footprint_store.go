package rlbscheduler

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// footprintsKey is the object in which the lease holder stores the earlier footprints of models:
// a process that starts after a config has changed them cannot know them otherwise.
var footprintsKey = rlbobject.Key{Kind: "rlb-footprints", Name: "earlier"}

// storedFootprint is the earlier footprint of a model as it is stored. Which endpoints hold the
// model with it is not: all that hold it may.
type storedFootprint struct {
	Service string        `json:"service"`
	Model   string        `json:"model"`
	Memory  rlbunit.Bytes `json:"memory"`
	Adapter rlbunit.Bytes `json:"adapter,omitempty"`
}

// footprintStore keeps the earlier footprints in the object API. Only the lease holder uses it.
type footprintStore struct {
	scheduler *Scheduler
	loaded    atomic.Uint64 // fencing number with which the object was read last
	stored    []storedFootprint
	version   rlbobject.Version // of the object; 0: not known or no object
}

// run reads the object when this instance takes over the lease, and writes it when footprints
// change, until ctx ends.
func (s *footprintStore) run(ctx context.Context) {
	for rlbcommon.Sleep(ctx, tickInterval) {
		fence := s.scheduler.Fence()
		switch {
		case fence == 0:
		case s.loaded.Load() != fence:
			s.load(ctx, fence)
		case !slices.Equal(s.scheduler.footprints.report(), s.stored):
			s.save(ctx)
		}
	}
}

// loadedWith reports whether the object was read since this instance holds the lease with a
// fencing number. Until then it orders no loads.
func (s *footprintStore) loadedWith(fence uint64) bool { return fence > 0 && s.loaded.Load() == fence }

func (s *footprintStore) load(ctx context.Context, fence uint64) {
	if !s.read(ctx) {
		return
	}
	s.scheduler.footprints.merge(s.stored, s.scheduler.now())
	s.loaded.Store(fence)
}

// read reads the object. It reports whether it could be read or does not exist.
func (s *footprintStore) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, apiCallTimeout)
	defer cancel()
	got, err := s.scheduler.API.Get(ctx, footprintsKey)
	s.version, s.stored = got.Version, nil
	if rlbobject.Is(err, rlbobject.KindNotFound) {
		return true
	}
	if err == nil {
		err = json.Unmarshal(got.Value, &s.stored)
	}
	if err != nil {
		s.scheduler.log.WithError(err).Warn("failed to read the memory that models took under earlier configs")
	}
	return err == nil
}

func (s *footprintStore) save(ctx context.Context) {
	report := s.scheduler.footprints.report()
	value, err := json.Marshal(report)
	if err != nil {
		s.scheduler.log.WithError(err).Error("failed to encode the memory that models took under earlier configs")
		return
	}
	call, cancel := context.WithTimeout(ctx, apiCallTimeout)
	defer cancel()
	version, err := s.scheduler.API.Put(call, footprintsKey, value, s.version)
	if err != nil {
		s.scheduler.log.WithError(err).Warn("failed to store the memory that models took under earlier configs")
		s.read(ctx) // another holder has written it, or the write took effect without an answer
		return
	}
	s.version, s.stored = version, report
	s.scheduler.log.WithFields(log.Fields{"models": len(report)}).Info("stored the memory that models took under earlier configs")
}

// report returns what to store, sorted.
func (f *footprints) report() []storedFootprint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []storedFootprint
	for of, known := range f.earlier {
		all = append(all, storedFootprint{of.service, of.model, known.model, known.adapter})
	}
	slices.SortFunc(all, func(a, b storedFootprint) int {
		if a.Service+"/"+a.Model < b.Service+"/"+b.Model {
			return -1
		}
		return 1
	})
	return all
}

// merge adds what is stored, unless this process has seen the change itself.
func (f *footprints) merge(stored []storedFootprint, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range stored {
		of := serviceModel{s.Service, s.Model}
		if known := f.earlier[of]; known == nil || known.largest(footprint{s.Memory, s.Adapter}) != known.footprint {
			f.record(of, footprint{s.Memory, s.Adapter}, now)
		}
	}
}
