package rlbfakeengine

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// prefixBytes is how much of a body the cache looks at.
const prefixBytes = 512

// hitShare is the share of a prompt's prefill that is left after a hit.
const hitShare = 0.1

// prefixCache holds the beginnings of the latest prompts.
type prefixCache struct {
	mu    sync.Mutex
	limit int
	order *list.List // of uint64, the latest used first
	known map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), known: map[uint64]*list.Element{}}
}

// use notes a prompt and reports whether its beginning was cached.
func (c *prefixCache) use(body []byte) bool {
	if c.limit == 0 {
		return false
	}
	key := xxhash.Sum64(body[:min(len(body), prefixBytes)])
	c.mu.Lock()
	defer c.mu.Unlock()
	if element, hit := c.known[key]; hit {
		c.order.MoveToFront(element)
		return true
	}
	c.known[key] = c.order.PushFront(key)
	if c.order.Len() > c.limit {
		oldest := c.order.Back()
		delete(c.known, c.order.Remove(oldest).(uint64))
	}
	return false
}
