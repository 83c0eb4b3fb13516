// Package rlbfakedeployment is a stand-in for a deployment of the users' platform,
// for tests and trials: its object store, and replicas of services. It uses the
// platform's names on the wire; in the product only package rlbplatform uses them.
package rlbfakedeployment

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and paths of the store.
const (
	pageSize     = 50 // objects in one answer to a list call
	maxWatchWait = 30 * time.Second
	pathPrefix   = "/-/objects/"
	headerEra    = "Store-Era"
)

// Metadata identifies an object and its revision and tracks its deletion.
type Metadata struct {
	Name       string
	Revision   uint64
	CreatedRev uint64
	Finalizers []string
	Deleting   bool
}

// Object is an object of the store.
type Object struct {
	Metadata Metadata
	Spec     json.RawMessage
	Status   json.RawMessage
}

type event struct {
	Object  Object
	Deleted bool
	kind    string
}

// Store is the object store. Refuse, LoseAnswers, Compact and Restore inject faults.
type Store struct {
	mu                sync.Mutex
	era               uint64 // one more than the number of restores
	revision          uint64
	compactedRevision uint64 // the history up to this revision is dropped
	objects           map[string]map[string]Object
	events            []event
	changed           chan struct{}
	refuseStatus      int // answer to every call; 0: calls are served
	answersToLose     int // number of writes to apply without an answer
	calls             int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{era: 1, revision: 1, objects: map[string]map[string]Object{}, changed: make(chan struct{})}
}

// Refuse makes the store answer every call with an HTTP status; 0 ends this.
func (s *Store) Refuse(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseStatus = status
}

// LoseAnswers makes the store apply the next n writes without answering them.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Compact drops the history of changes. Watches from an older revision end with
// status 410 Gone.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.events = s.revision, nil
	s.notifyWatchers()
}

// Copy is a copy of the objects of a store.
type Copy struct {
	revision uint64
	objects  map[string]map[string]Object
}

// Copy returns a copy of the objects.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, cloneObjects(s.objects)}
}

// Restore replaces the objects and the revision by those of a copy. Watches from a later
// revision end with status 410 Gone.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects = c.revision, cloneObjects(c.objects)
	s.compactedRevision = min(s.compactedRevision, s.revision)
	s.events = slices.DeleteFunc(s.events, func(e event) bool { return e.Object.Metadata.Revision > s.revision })
	s.notifyWatchers()
}

func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	cloned := map[string]map[string]Object{}
	for kind, byName := range objects {
		cloned[kind] = maps.Clone(byName)
	}
	return cloned
}

// Calls returns the number of calls received so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Set writes an object without a precondition.
func (s *Store) Set(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // spec is a fixture of a test
	}
	s.SetRaw(kind, name, raw)
}

// SetRaw writes an object with a spec that need not be valid.
func (s *Store) SetRaw(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, Object{Metadata: Metadata{Name: name}, Spec: spec})
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object under the next revision; s.mu is held.
func (s *Store) put(kind string, o Object) Object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.revision++
	o.Metadata.Revision = s.revision
	o.Metadata.CreatedRev = cmp.Or(s.objects[kind][o.Metadata.Name].Metadata.CreatedRev, s.revision)
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.events = append(s.events, event{Object: o, kind: kind})
	s.notifyWatchers()
	return o
}

func (s *Store) remove(kind, name string) {
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.events = append(s.events, event{Object: o, Deleted: true, kind: kind})
	s.notifyWatchers()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	refuse := s.refuseStatus
	w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if refuse != 0 {
		w.WriteHeader(refuse)
		return
	}
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, pathPrefix), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && named:
		s.get(w, kind, name)
	case r.Method == http.MethodGet && query.Get("Watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, query.Get("after"))
	case named:
		s.write(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageSize
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "HasMore": more, "CurrentRev": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		gone := after < s.compactedRevision || after > s.revision
		events, revision, changed := s.eventsAfter(kind, after), s.revision, s.changed
		w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "CurrentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": []event{}, "CurrentRev": revision})
			return
		}
	}
}

func (s *Store) eventsAfter(kind string, after uint64) []event {
	var events []event
	for _, e := range s.events {
		if e.kind == kind && e.Object.Metadata.Revision > after {
			events = append(events, e)
		}
	}
	return events
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var given Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&given); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	condition := given.Metadata.Revision
	if text := r.URL.Query().Get("Revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	name, status := strings.CutSuffix(name, "/status")
	s.mu.Lock()
	defer s.mu.Unlock()
	current, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && found, found && condition != 0 && condition != current.Metadata.Revision:
		writeJSON(w, http.StatusConflict, current)
		return
	case r.Method != http.MethodPost && !found:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	next := s.applyWrite(kind, name, current, given, r.Method, status)
	if s.answersToLose > 0 {
		s.answersToLose--
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	writeJSON(w, http.StatusOK, next)
}

// applyWrite applies a write and returns the resulting object. A PUT that changes
// nothing creates no revision.
func (s *Store) applyWrite(kind, name string, current, given Object, method string, status bool) Object {
	next := current
	next.Metadata.Name = name
	switch {
	case method == http.MethodDelete && len(current.Metadata.Finalizers) > 0:
		next.Metadata.Deleting = true
	case method == http.MethodDelete:
		s.remove(kind, name)
		return current
	case status:
		next.Status = given.Status
	default:
		next.Spec, next.Metadata.Finalizers = given.Spec, given.Metadata.Finalizers
	}
	if method == http.MethodPut && string(next.Spec) == string(current.Spec) && string(next.Status) == string(current.Status) &&
		slices.Equal(next.Metadata.Finalizers, current.Metadata.Finalizers) {
		return current
	}
	return s.put(kind, next)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller disconnected
}
