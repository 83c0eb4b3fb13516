package rlbcontrol

import (
	"fmt"
	"strings"
	"time"
)

// maxEvents is the number of events that a journal keeps.
const maxEvents = 4096

// Event is a decision or change that operators can query with rlbctl explain.
type Event struct {
	Time    time.Time `json:"time"`
	Subject string    `json:"subject"` // such as endpoint/p3, model/draft, lease/seeb
	Text    string    `json:"text"`
}

// journal keeps the latest events, from which operators see why the controller
// made a decision. It is guarded by Controller.mu.
type journal struct {
	events []Event // a ring buffer once it holds maxEvents
	next   int
}

func (j *journal) add(at time.Time, subject, format string, args ...any) {
	e := Event{at, subject, fmt.Sprintf(format, args...)}
	if len(j.events) < maxEvents {
		j.events = append(j.events, e)
		return
	}
	j.events[j.next] = e
	j.next = (j.next + 1) % maxEvents
}

// about returns the events whose subject or text contains word, oldest first.
func (j *journal) about(word string) []Event {
	found := []Event{}
	for i := range j.events {
		e := j.events[(j.next+i)%len(j.events)]
		if strings.Contains(e.Subject, word) || strings.Contains(e.Text, word) {
			found = append(found, e)
		}
	}
	return found
}
