package rlbcaller

import (
	"sync"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
)

// maxReportedRefusals is how many refusals one report to the controllers holds, for
// operators to see. The log has all of them.
const maxReportedRefusals = 50

// refusalLog holds the refusals since the last report.
type refusalLog struct {
	mu   sync.Mutex
	list []rlbfleetstate.Refusal
}

func (r *refusalLog) add(id, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.list) < maxReportedRefusals {
		r.list = append(r.list, rlbfleetstate.Refusal{RequestID: id, Text: text})
	}
}

func (r *refusalLog) collect() []rlbfleetstate.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.list
	r.list = nil
	return list
}
