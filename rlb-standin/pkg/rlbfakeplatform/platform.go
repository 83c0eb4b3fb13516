// Package rlbfakeplatform is a stand-in for the platform: the object API, the
// instance list and the weight store. It can inject faults into the object API.
package rlbfakeplatform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// Platform is the HTTP interface of the platform.
type Platform struct {
	objects   *rlbfake.Objects
	instances *InstanceList
	weights   *WeightStore
}

// New returns a platform of the given object API, instance list and weight store.
func New(objects *rlbfake.Objects, list *InstanceList, weights *WeightStore) *Platform {
	return &Platform{objects, list, weights}
}

// Handler returns the HTTP handler. The route under /fault sets the faults.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", p.get)
	mux.HandleFunc("PUT /objects/{kind}/{name}", p.put)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", p.delete)
	mux.HandleFunc("GET /objects/{kind}", p.changes)
	mux.HandleFunc("GET /instances", p.instances.get)
	mux.HandleFunc("PUT /instances/{id}/leaving", p.instances.markLeaving)
	mux.HandleFunc("PUT /instances/{id}", p.instances.put)
	mux.HandleFunc("DELETE /instances/{id}", p.instances.remove)
	mux.HandleFunc("GET /weights/{name}/{version}", p.weights.manifest)
	mux.HandleFunc("POST /weights/{name}/{version}", p.weights.fetch)
	mux.HandleFunc("POST /adapters/{name}/{version}", p.weights.fetchAdapter)
	mux.HandleFunc("PUT /fault/objects", p.setFault)
	mux.HandleFunc("GET /calls", p.calls)
	return mux
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	object, err := p.objects.Get(r.Context(), objectKey(r))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", rlbobject.FormatETag(object.Version))
	_, _ = w.Write(object.Value) // fails only if the caller disconnected
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := precondition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, int64(rlbobject.MaxValueBytes)+1))
	if err != nil {
		return // the caller disconnected while sending the body
	}
	version, err := p.objects.Put(r.Context(), objectKey(r), value, ifVersion)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", rlbobject.FormatETag(version))
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := precondition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.objects.Delete(r.Context(), objectKey(r), ifVersion); err != nil {
		writeError(w, err)
	}
}

func (p *Platform) changes(w http.ResponseWriter, r *http.Request) {
	changes, err := p.read(r)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, changes)
}

func (p *Platform) read(r *http.Request) (rlbobject.Changes, error) {
	query := r.URL.Query()
	if !query.Has("after") {
		return p.objects.List(r.Context(), r.PathValue("kind"))
	}
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64) // an invalid number returns all changes
	wait, _ := strconv.Atoi(query.Get("wait"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	return p.objects.Watch(r.Context(), r.PathValue("kind"), rlbobject.Version(after), deadline)
}

// ObjectFaults sets the faults of the object API.
type ObjectFaults struct {
	Down  bool                  `json:"down"`
	Delay time.Duration         `json:"delay"` // in nanoseconds
	Next  []rlbfake.ObjectFault `json:"next"`
}

func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var faults ObjectFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.objects.SetDown(faults.Down)
	p.objects.SetDelay(faults.Delay)
	p.objects.Inject(faults.Next...)
}

// Calls counts the calls to the object API.
type Calls struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

func (p *Platform) calls(w http.ResponseWriter, _ *http.Request) {
	reads, writes := p.objects.Calls()
	writeJSON(w, Calls{reads, writes})
}

func objectKey(r *http.Request) rlbobject.Key {
	return rlbobject.Key{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

var errNoPrecondition = errors.New("a write needs If-Match or If-None-Match: *")

// precondition returns the version required by the headers of a write; 0: the
// object must not exist.
func precondition(r *http.Request) (rlbobject.Version, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	tag := strings.Trim(r.Header.Get("If-Match"), `"`)
	if tag == "" {
		return 0, errNoPrecondition
	}
	version, err := strconv.ParseUint(tag, 10, 64)
	return rlbobject.Version(version), err
}

// writeError answers with the HTTP status of an object API error. Errors without a
// status, such as a lost answer, close the connection without an answer.
func writeError(w http.ResponseWriter, err error) {
	kind, _ := rlberror.KindOf[rlbobject.Kind](err)
	switch kind {
	case rlbobject.KindNotFound:
		http.Error(w, err.Error(), http.StatusNotFound)
	case rlbobject.KindConflict:
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case rlbobject.KindTooLarge:
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case rlbobject.KindUnavailable:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case rlbobject.KindExpired:
		http.Error(w, err.Error(), http.StatusGone)
	default:
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller disconnected
}
