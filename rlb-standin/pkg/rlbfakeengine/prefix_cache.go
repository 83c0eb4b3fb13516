package rlbfakeengine

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// prefixBytes is the length of the prefix of a body that is hashed.
const prefixBytes = 512

// cachedPrefillShare is the share of the prefill time that remains after a cache hit.
const cachedPrefillShare = 0.1

// prefixCache is an LRU cache of the hashes of prompt prefixes.
type prefixCache struct {
	mu       sync.Mutex
	capacity int
	recency  *list.List // of uint64 hashes, most recently used first
	entries  map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), entries: map[uint64]*list.Element{}}
}

// use adds the prefix of a body and reports whether it was already cached.
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
