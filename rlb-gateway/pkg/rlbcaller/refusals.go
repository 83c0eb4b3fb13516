package rlbcaller

import (
	"sync"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
)

// maxTold is how many refusals are told to operators between two reports. The
// log has them all.
const maxTold = 50

// refusals keeps the refusals since the last report.
type refusals struct {
	mu   sync.Mutex
	list []rlbfleetstate.Refusal
}

func (r *refusals) add(id, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.list) < maxTold {
		r.list = append(r.list, rlbfleetstate.Refusal{RequestID: id, Text: text})
	}
}

func (r *refusals) take() []rlbfleetstate.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.list
	r.list = nil
	return list
}
