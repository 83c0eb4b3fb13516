package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata is the metadata of an object of the platform's store.
type metadata struct {
	Name       string
	Revision   uint64
	CreatedRev uint64
	Finalizers []string
	Deleting   bool
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage
	Status   json.RawMessage
}

type event struct {
	Object  object
	Deleted bool
	kind    string
	at      uint64
	time    time.Time
}

// store is the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// asOf returns the store as it was at a time, for reads that may return data that is seconds old.
func (s *store) asOf(at time.Time) *store {
	old := newStore()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.events {
		if e.time.After(at) {
			break
		}
		if old.objects[e.kind] == nil {
			old.objects[e.kind] = map[string]object{}
		}
		if old.objects[e.kind][e.Object.Metadata.Name] = e.Object; e.Deleted {
			delete(old.objects[e.kind], e.Object.Metadata.Name)
		}
		old.revision = e.at
	}
	return old
}

// set writes an object as the operator or a replica does. A write that changes nothing does
// not raise the revision.
func (s *store) set(kind, name string, value any) {
	spec, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.objects[kind][name]
	if known && bytes.Equal(old.Spec, spec) {
		return
	}
	o := object{Metadata: metadata{Name: name, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if known {
		o.Metadata.CreatedRev = old.Metadata.CreatedRev
	}
	s.put(kind, o)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, known := s.objects[kind][name]; known {
		s.drop(kind, o)
	}
}

// put stores an object at the next revision. s.mu is held.
func (s *store) put(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.publish(event{Object: o, kind: kind, at: s.revision})
	return o
}

// drop removes an object at the next revision. s.mu is held.
func (s *store) drop(kind string, o object) {
	s.revision++
	delete(s.objects[kind], o.Metadata.Name)
	s.publish(event{Object: o, Deleted: true, kind: kind, at: s.revision})
}

func (s *store) publish(e event) {
	e.time = time.Now()
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/-/objects/")
	kind, name, _ := strings.Cut(path, "/")
	name = strings.TrimSuffix(name, "/status")
	w.Header().Set("Store-Era", "1")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, known := s.objects[kind][name]
	s.mu.Unlock()
	if !known {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, o)
}

const pageObjects = 500

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	var items []object
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > pageObjects
	if more {
		items = items[:pageObjects]
	}
	if items == nil {
		items = []object{}
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "CurrentRev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.at > from {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "CurrentRev": revision})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in object
	if r.Method != http.MethodDelete {
		if err := json.Unmarshal(body, &in); err != nil {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	expected := in.Metadata.Revision
	if text := r.URL.Query().Get("Revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && known:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPost:
		in.Metadata.Name, in.Metadata.CreatedRev = name, 0
		reply(w, http.StatusCreated, s.put(kind, in))
	case !known:
		reply(w, http.StatusNotFound, map[string]any{})
	case expected != 0 && expected != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		s.drop(kind, old)
		reply(w, http.StatusOK, old)
	case bytes.Equal(in.Spec, old.Spec):
		reply(w, http.StatusOK, old)
	default:
		old.Spec = in.Spec
		reply(w, http.StatusOK, s.put(kind, old))
	}
}
