package rlbfakeplatform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
)

// InstanceList is the instance list of the platform. Readers see changes after a
// configured lag.
type InstanceList struct {
	mu       sync.Mutex
	lag      time.Duration
	now      func() time.Time
	entries  map[string]rlbinstance.Instance
	revision uint64
	history  []listVersion
}

// listVersion is a version of the list with the time from which it holds.
type listVersion struct {
	from time.Time
	list rlbinstance.List
}

// NewInstanceList returns a list of the given instances.
func NewInstanceList(lag time.Duration, now func() time.Time, instances []rlbinstance.Instance) *InstanceList {
	l := &InstanceList{lag: lag, now: now, entries: map[string]rlbinstance.Instance{}}
	for _, instance := range instances {
		l.entries[instance.ID] = instance
	}
	l.appendVersion(time.Time{}) // the zero time: visible at once, whatever the lag
	return l
}

// ParseInstance parses id|type|address|control|failure_domain|role|fencing.
func ParseInstance(item string) (rlbinstance.Instance, bool) {
	fields := strings.Split(item, "|")
	const fieldCount = 7
	if len(fields) != fieldCount {
		return rlbinstance.Instance{}, false
	}
	return rlbinstance.Instance{
		ID: fields[0], Type: rlbinstance.Type(fields[1]), Address: fields[2], Control: fields[3],
		FailureDomain: fields[4], Role: fields[5], Fencing: fields[6] == "true",
	}, true
}

// Put adds or replaces an instance.
func (l *InstanceList) Put(instance rlbinstance.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[instance.ID] = instance
	l.appendVersion(l.now())
}

// Remove removes an instance.
func (l *InstanceList) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, id)
	l.appendVersion(l.now())
}

// List returns the version of the list that was current one lag before now. It
// drops older versions.
func (l *InstanceList) List() rlbinstance.List {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := l.now().Add(-l.lag)
	for i := len(l.history) - 1; i > 0; i-- {
		if !l.history[i].from.After(asOf) {
			l.history = l.history[i:]
			break
		}
	}
	return l.history[0].list
}

// appendVersion appends the current entries to the history. Except in the
// constructor, l.mu is held.
func (l *InstanceList) appendVersion(from time.Time) {
	l.revision++
	list := rlbinstance.List{Revision: l.revision}
	for _, instance := range l.entries {
		list.Instances = append(list.Instances, instance)
	}
	slices.SortFunc(list.Instances, func(a, b rlbinstance.Instance) int { return strings.Compare(a.ID, b.ID) })
	l.history = append(l.history, listVersion{from, list})
}

func (l *InstanceList) get(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.List()) }

func (l *InstanceList) put(w http.ResponseWriter, r *http.Request) {
	var instance rlbinstance.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Put(instance)
}

func (l *InstanceList) markLeaving(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	instance, found := l.entries[r.PathValue("id")]
	if !found {
		http.NotFound(w, r)
		return
	}
	instance.Leaving = true
	l.entries[instance.ID] = instance
	l.appendVersion(l.now())
}

func (l *InstanceList) remove(_ http.ResponseWriter, r *http.Request) { l.Remove(r.PathValue("id")) }
