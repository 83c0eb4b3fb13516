// Package rlbmembership decides which of the system's own instances are alive and
// who of them does what, by rendezvous hashing: when an instance comes or goes,
// only its own share moves. It does no I/O.
package rlbmembership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score is the weight of a member for a key.
func score(key, member string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key) // a hash takes every write
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Owner returns the member that a key belongs to; empty if there is none.
func Owner(key string, members []string) string {
	best, highest := "", uint64(0)
	for _, m := range members {
		if s := score(key, m); best == "" || s > highest || s == highest && m < best {
			best, highest = m, s
		}
	}
	return best
}

// Rank returns how many members come before member for a key, or -1 if it is
// not among them.
func Rank(key, member string, members []string) int {
	if !slices.Contains(members, member) {
		return -1
	}
	own, rank := score(key, member), 0
	for _, m := range members {
		if s := score(key, m); s > own || s == own && m < member {
			rank++
		}
	}
	return rank
}

// Ordered returns the members by their rank for a key.
func Ordered(key string, members []string) []string {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b string) int {
		if c := cmp.Compare(score(key, b), score(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ordered
}
