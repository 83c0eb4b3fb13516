package rlbfakeengine

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// prefixBytes is how much of a body the cache looks at.
const prefixBytes = 512

// cachedPrefillShare is the share of a prompt's prefill that is left after a hit.
const cachedPrefillShare = 0.1

// prefixCache holds the beginnings of the latest prompts.
type prefixCache struct {
	mu       sync.Mutex
	capacity int
	recency  *list.List // of uint64, the latest used first
	entries  map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{capacity: limit, recency: list.New(), entries: map[uint64]*list.Element{}}
}

// use notes a prompt and reports whether its beginning was cached.
func (c *prefixCache) use(body []byte) bool {
	if c.capacity == 0 {
		return false
	}
	key := xxhash.Sum64(body[:min(len(body), prefixBytes)])
	c.mu.Lock()
	defer c.mu.Unlock()
	if element, hit := c.entries[key]; hit {
		c.recency.MoveToFront(element)
		return true
	}
	c.entries[key] = c.recency.PushFront(key)
	if c.recency.Len() > c.capacity {
		oldest := c.recency.Back()
		delete(c.entries, c.recency.Remove(oldest).(uint64))
	}
	return false
}
