package rlbdeployment

import "slices"

// Move says that requests which went to one service under a config go to another one under
// the next.
type Move struct{ From, To string }

// Moves returns the moves of the requests of some routes from a config to the next one, each
// once. A route moves as its services change, as one with a longer prefix takes a part of its
// paths, and as it is removed and its paths fall to one with a shorter prefix.
func (c *Config) Moves(next *Config, concerns func(*Route) bool) []Move {
	var all []Move
	add := func(before, after *Route) {
		if !concerns(before) || !concerns(after) {
			return
		}
		for _, m := range movesBetween(before, after) {
			if !slices.Contains(all, m) {
				all = append(all, m)
			}
		}
	}
	for before := range c.AllRoutes() {
		if after, found := next.Route(before.Host, before.PathPrefix); found {
			add(before, after)
		}
	}
	for after := range next.AllRoutes() {
		if before, found := c.Route(after.Host, after.PathPrefix); found && before.PathPrefix != after.PathPrefix {
			add(before, after)
		}
	}
	return all
}

// movesBetween returns the moves if requests of one route go to another one. As shares are
// drawn anew if they change, any request may then move.
func movesBetween(before, after *Route) []Move {
	if slices.Equal(before.Shares, after.Shares) {
		return nil
	}
	var all []Move
	for _, from := range before.Shares {
		for _, to := range after.Shares {
			if from.Service != to.Service {
				all = append(all, Move{from.Service, to.Service})
			}
		}
	}
	return all
}
