// Package rlbmembership decides which instances of the system are live and which
// tasks are assigned to each of them. It uses rendezvous hashing: when an instance
// joins or leaves, only its own share moves. It does no I/O.
package rlbmembership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score returns the rendezvous score of a member for a key.
func score(key, member string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Owner returns the member with the highest score for a key; empty if there are no
// members.
func Owner(key string, members []string) string {
	best, highest := "", uint64(0)
	for _, m := range members {
		if s := score(key, m); best == "" || s > highest || s == highest && m < best {
			best, highest = m, s
		}
	}
	return best
}

// Rank returns the position of member among the members ordered by score for a key,
// or -1 if it is not one of them.
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

// Ordered returns the members by decreasing score for a key.
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
