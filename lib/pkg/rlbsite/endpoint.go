package rlbsite

import (
	"slices"
	"time"
)

// Held is a model that an endpoint holds, with its adapters.
type Held struct {
	Model    string
	Adapters []string
}

// Endpoint is what an endpoint says of itself.
type Endpoint struct {
	ID       string
	Service  string
	Address  string // IP:port
	Domain   string
	Born     time.Time // start of this life, by the endpoint's clock
	Slots    int
	Leaving  bool // takes no new work
	Holds    []Held
	InMemory []string // models of which it has copies in host memory
	OnDisk   []string
}

// HoldsModel reports whether the endpoint holds a model.
func (e *Endpoint) HoldsModel(model string) bool {
	return slices.ContainsFunc(e.Holds, func(h Held) bool { return h.Model == model })
}

// HoldsAdapter reports whether the endpoint holds an adapter of a model.
func (e *Endpoint) HoldsAdapter(model, adapter string) bool {
	return slices.ContainsFunc(e.Holds, func(h Held) bool { return h.Model == model && slices.Contains(h.Adapters, adapter) })
}

// Near reports whether a model loads from a copy that the endpoint has itself,
// without the weight store.
func (e *Endpoint) Near(model string) bool {
	return slices.Contains(e.InMemory, model) || slices.Contains(e.OnDisk, model)
}

// SameLife reports whether two states are of one start of one endpoint.
func (e *Endpoint) SameLife(other *Endpoint) bool {
	return e.ID == other.ID && e.Born.Equal(other.Born)
}
