package rlbcaller

import (
	"sync"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
)

// maxReportedRefusals is how many refusals are told to operators between two reports. The
// log has them all.
const maxReportedRefusals = 50

// refusalLog keeps the refusals since the last report.
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
