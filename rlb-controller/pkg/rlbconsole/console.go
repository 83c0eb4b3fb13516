// Package rlbconsole is the HTTP API of a controller for operators: release
// notes, status, events, snapshots, error budget burn and metrics.
package rlbconsole

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbburn"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlboperator"
	"github.com/rhubarblb/rhubarblb/rlb-controller/pkg/rlbcontrol"
)

// defaultHistory is the number of notes that the history returns without a valid n.
const defaultHistory = 20

// Console serves the operator API of one controller.
type Console struct {
	controller *rlbcontrol.Controller
	metrics    metrics.Registry
}

// New returns the console of a controller; registry is what /metrics shows.
func New(controller *rlbcontrol.Controller, registry metrics.Registry) *Console {
	return &Console{controller, registry}
}

// Handler returns the handler of all operator paths.
func (c *Console) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /operator/note", c.publish)
	mux.HandleFunc("POST /operator/note/validate", c.validate)
	mux.HandleFunc("GET /operator/note", c.note)
	mux.HandleFunc("GET /operator/note/history", c.history)
	mux.HandleFunc("GET /operator/status", c.status)
	mux.HandleFunc("GET /operator/explain", c.explain)
	mux.HandleFunc("GET /operator/snapshot", c.snapshot)
	mux.HandleFunc("GET /operator/burn", c.burn)
	mux.HandleFunc("GET /metrics", c.showMetrics)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	return mux
}

func (c *Console) publish(w http.ResponseWriter, r *http.Request) {
	note, ok := readNote(w, r)
	if !ok {
		return
	}
	record, err := c.controller.Publish(r.Context(), note)
	if err != nil {
		reject(w, err)
		return
	}
	writeJSON(w, http.StatusOK, rlboperator.PublishResult(record))
}

func (c *Console) validate(w http.ResponseWriter, r *http.Request) {
	note, ok := readNote(w, r)
	if !ok {
		return
	}
	if note.ID == "" {
		note.ID = "validate"
	}
	before, after, err := c.controller.Validate(r.Context(), note)
	if err != nil {
		reject(w, err)
		return
	}
	writeJSON(w, http.StatusOK, rlboperator.ValidateResult{Base: before.Version, Differences: rlbnote.Diff(before, after)})
}

func readNote(w http.ResponseWriter, r *http.Request) (rlbnote.Note, bool) {
	text, err := io.ReadAll(io.LimitReader(r.Body, int64(rlbnote.MaxBytes)+1))
	if err != nil {
		return rlbnote.Note{}, false // the operator disconnected during the call
	}
	name := r.Header.Get(rlboperator.HeaderNoteName)
	if name == "" {
		name = "note"
	}
	note, err := rlbnote.Parse(name, text)
	if err != nil {
		reject(w, err)
		return note, false
	}
	if note.ID == "" {
		note.ID = r.Header.Get(rlboperator.HeaderNoteID)
	}
	return note, true
}

// reject answers with the kind of the failure, the version in force and the
// notes accepted since the note's base, so that the operator can correct the
// note and publish it again.
func reject(w http.ResponseWriter, err error) {
	rejection := rlboperator.Rejection{Problem: err.Error(), Kind: rlboperator.KindInvalid}
	status := http.StatusUnprocessableEntity
	var publishErr *rlbcontrol.PublishError
	if errors.As(err, &publishErr) {
		rejection.Current = publishErr.Current
		for _, p := range publishErr.Since {
			rejection.Since = append(rejection.Since, rlboperator.HistoryEntry(p))
		}
	}
	var noteErr *rlbnote.Error
	switch {
	case publishErr != nil && publishErr.OutcomeUnknown:
		rejection.Kind, status = rlboperator.KindUnknown, http.StatusGatewayTimeout
	case rlbnote.Is(err, rlbnote.KindStale):
		rejection.Kind, status = rlboperator.KindStale, http.StatusConflict
	case rlbnote.Is(err, rlbnote.KindInfeasible):
		rejection.Kind = rlboperator.KindInfeasible
	case !errors.As(err, &noteErr):
		rejection.Kind, status = rlboperator.KindUnavailable, http.StatusServiceUnavailable
	}
	writeJSON(w, status, rejection)
}

func (c *Console) note(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.controller.Note())
}

func (c *Console) history(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("n"))
	if err != nil || n < 1 {
		n = defaultHistory
	}
	past, err := c.controller.History(r.Context(), n)
	if err != nil {
		reject(w, err)
		return
	}
	all := []rlboperator.HistoryEntry{}
	for _, p := range past {
		all = append(all, rlboperator.HistoryEntry(p))
	}
	writeJSON(w, http.StatusOK, all)
}

func (c *Console) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.controller.Status())
}

func (c *Console) explain(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, c.controller.Explain(r.URL.Query().Get("about")))
}

func (c *Console) burn(w http.ResponseWriter, _ *http.Request) {
	reports := c.controller.Burn()
	if reports == nil {
		reports = []rlbburn.Report{}
	}
	writeJSON(w, http.StatusOK, reports)
}

func (c *Console) snapshot(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.controller.Snapshot())
}

func (c *Console) showMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(c.metrics, w)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only when the operator has disconnected
}
