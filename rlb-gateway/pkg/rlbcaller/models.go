package rlbcaller

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbfleet"
)

// modelEntry is one model or adapter in the answer to GET /v1/models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Version string `json:"version"`
	Parent  string `json:"parent,omitempty"` // base model; empty unless an adapter
	Ready   bool   `json:"ready"`
}

// modelList is the body of the answer to GET /v1/models.
type modelList struct {
	Object      string       `json:"object"`
	NoteVersion uint64       `json:"note_version"`
	Data        []modelEntry `json:"data"`
}

// listModels lists the models and then the adapters of the release note in force,
// each sorted by name.
func (s *Server) listModels(w http.ResponseWriter, _ *http.Request) {
	routes := s.Fleet.Routes()
	note := routes.Note()
	list := modelList{Object: "list", NoteVersion: note.Version, Data: []modelEntry{}}
	for _, name := range slices.Sorted(maps.Keys(note.Models)) {
		m := note.Models[name]
		list.Data = append(list.Data, modelEntry{name, "model", m.Version, "", hasEndpoints(routes, m)})
	}
	for _, name := range slices.Sorted(maps.Keys(note.Adapters)) {
		a := note.Adapters[name]
		parent := note.Models[a.Model]
		list.Data = append(list.Data, modelEntry{name, "model", a.Version, a.Model, hasEndpoints(routes, parent)})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// hasEndpoints reports whether any endpoint serves the model, in whatever version.
func hasEndpoints(routes *rlbfleet.Routes, m rlbnote.Model) bool {
	endpoints, _ := routes.Model(m.Name, m.Version)
	return len(endpoints) > 0
}
