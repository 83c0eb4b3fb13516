package rlbquota

import "time"

// recentSlots is the number of parts in which a recentSum forgets.
const recentSlots = 8

// recentSum is the sum of the amounts of the last silenceTime.
type recentSum struct {
	slots  [recentSlots + 1]float64 // by number modulo their count
	newest int64                    // number of the slot of the latest amount
}

// slot returns the number of the slot of a time.
func (s *recentSum) slot(now time.Time) int64 {
	return now.UnixNano() / int64(silenceTime/recentSlots)
}

// advance empties the slots whose amounts are no longer recent.
func (s *recentSum) advance(now time.Time) {
	slot := s.slot(now)
	if slot-s.newest > int64(len(s.slots)) {
		s.newest = slot - int64(len(s.slots))
	}
	for s.newest < slot {
		s.newest++
		s.slots[s.newest%int64(len(s.slots))] = 0
	}
}

func (s *recentSum) add(now time.Time, amount float64) {
	s.advance(now)
	s.slots[s.newest%int64(len(s.slots))] += amount
}

func (s *recentSum) total(now time.Time) float64 {
	s.advance(now)
	sum := 0.0
	for _, amount := range s.slots {
		sum += amount
	}
	return sum
}
