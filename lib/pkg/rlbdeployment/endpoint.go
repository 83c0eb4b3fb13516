package rlbdeployment

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// LoadedModel is a model loaded on an endpoint, with its loaded adapters.
type LoadedModel struct {
	Model    string
	Adapters []string
}

// Endpoint is the entry that an endpoint publishes.
type Endpoint struct {
	ID           string
	Service      string
	Address      string // IP:port
	Domain       string
	StartedAt    time.Time // start of the incarnation, by the endpoint's clock
	Slots        int
	Draining     bool // accepts no new requests
	LoadedModels []LoadedModel
	InMemory     []string // models with a copy in host memory
	OnDisk       []string // models with a copy on disk
	// SoftwareVersion is the version of the endpoint's software. Versions have no order.
	SoftwareVersion string
}

// HasModel reports whether a model is loaded.
func (e *Endpoint) HasModel(model string) bool {
	return slices.ContainsFunc(e.LoadedModels, func(m LoadedModel) bool { return m.Model == model })
}

// HasAdapter reports whether an adapter of a model is loaded.
func (e *Endpoint) HasAdapter(model, adapter string) bool {
	return slices.ContainsFunc(e.LoadedModels, func(m LoadedModel) bool { return m.Model == model && slices.Contains(m.Adapters, adapter) })
}

// HasLocalCopy reports whether the endpoint can load a model from its own memory or
// disk, without the weight store.
func (e *Endpoint) HasLocalCopy(model string) bool {
	return slices.Contains(e.InMemory, model) || slices.Contains(e.OnDisk, model)
}

// SameIncarnation reports whether both entries are of the same incarnation of the
// same endpoint.
func (e *Endpoint) SameIncarnation(other *Endpoint) bool {
	return e.ID == other.ID && e.StartedAt.Equal(other.StartedAt)
}

// IncarnationKey returns a number that identifies the incarnation of the endpoint in
// messages between instances, a hash of its ID and start.
func (e *Endpoint) IncarnationKey() uint64 {
	return xxhash.Sum64String(e.ID + "/" + strconv.FormatInt(e.StartedAt.UnixMilli(), 10))
}

// ModelKey returns a number that identifies a model on the incarnation of the endpoint in
// messages between instances.
func (e *Endpoint) ModelKey(model string) uint64 {
	return xxhash.Sum64String(e.ID + "/" + strconv.FormatInt(e.StartedAt.UnixMilli(), 10) + "/" + model)
}
