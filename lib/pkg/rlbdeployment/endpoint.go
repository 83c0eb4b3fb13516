package rlbdeployment

import (
	"slices"
	"time"
)

// LoadedModel is a model that an endpoint holds, with its adapters.
type LoadedModel struct {
	Model    string
	Adapters []string
}

// Endpoint is what an endpoint says of itself.
type Endpoint struct {
	ID           string
	Service      string
	Address      string // IP:port
	Domain       string
	StartedAt    time.Time // start of this life, by the endpoint's clock
	Slots        int
	Draining     bool // takes no new work
	LoadedModels []LoadedModel
	InMemory     []string // models of which it has copies in host memory
	OnDisk       []string
}

// HasModel reports whether the endpoint holds a model.
func (e *Endpoint) HasModel(model string) bool {
	return slices.ContainsFunc(e.LoadedModels, func(h LoadedModel) bool { return h.Model == model })
}

// HasAdapter reports whether the endpoint holds an adapter of a model.
func (e *Endpoint) HasAdapter(model, adapter string) bool {
	return slices.ContainsFunc(e.LoadedModels, func(h LoadedModel) bool { return h.Model == model && slices.Contains(h.Adapters, adapter) })
}

// HasLocalCopy reports whether a model loads from a copy that the endpoint has itself,
// without the weight store.
func (e *Endpoint) HasLocalCopy(model string) bool {
	return slices.Contains(e.InMemory, model) || slices.Contains(e.OnDisk, model)
}

// SameIncarnation reports whether two states are of one start of one endpoint.
func (e *Endpoint) SameIncarnation(other *Endpoint) bool {
	return e.ID == other.ID && e.StartedAt.Equal(other.StartedAt)
}
