package rlbdeployment

// priorityRange holds the most and the least urgent priority of some routes.
type priorityRange struct{ most, least int }

// addPriority adds the priority of a route to the ranges of its services.
func (c *Config) addPriority(r *Route) {
	for _, share := range r.Shares {
		known, found := c.priorities[share.Service]
		if !found {
			known = priorityRange{r.Priority, r.Priority}
		}
		c.priorities[share.Service] = priorityRange{min(known.most, r.Priority), max(known.least, r.Priority)}
	}
}

// IntermediatePriority reports whether the service has routes that are more urgent than a
// priority and others that are less urgent.
func (c *Config) IntermediatePriority(service string, priority int) bool {
	known, found := c.priorities[service]
	return found && known.most < priority && priority < known.least
}
