package replayer

import (
	"container/list"
	"time"
)

// cache is a prefix cache with a capacity in tokens and LRU eviction. A key stands for a shared prefix or for the part
// of a chat after its shared prefix.
type cache struct {
	capacity  int
	used      int
	recency   *list.List // most recently used first
	items     map[uint64]*list.Element
	evictedAt map[uint64]time.Duration
}

type cacheItem struct {
	key    uint64
	tokens int
}

func newCache(capacity int) *cache {
	return &cache{
		capacity: capacity, recency: list.New(), items: map[uint64]*list.Element{}, evictedAt: map[uint64]time.Duration{},
	}
}

func (c *cache) tokens(key uint64) int {
	if e := c.items[key]; e != nil {
		return e.Value.(*cacheItem).tokens
	}
	return 0
}

func (c *cache) add(now time.Duration, key uint64, tokens int) {
	delete(c.evictedAt, key)
	if e := c.items[key]; e != nil {
		item := e.Value.(*cacheItem)
		c.used += tokens - item.tokens
		item.tokens = tokens
		c.recency.MoveToFront(e)
	} else {
		c.items[key] = c.recency.PushFront(&cacheItem{key: key, tokens: tokens})
		c.used += tokens
	}
	for c.used > c.capacity {
		e := c.recency.Back()
		item := e.Value.(*cacheItem)
		c.recency.Remove(e)
		delete(c.items, item.key)
		c.evictedAt[item.key] = now
		c.used -= item.tokens
	}
}

// isListed reports whether the agent's directory lists the key, which it does until the eviction event arrives.
func (c *cache) isListed(key uint64, now, lag time.Duration) bool {
	at, ok := c.evictedAt[key]
	return c.items[key] != nil || ok && now-at < lag
}

// reusableTokens returns the number of cached tokens of the request's prompt. Those of the chat count only if its
// shared prefix is cached, too.
func (c *cache) reusableTokens(r *request) int {
	n := c.tokens(r.prefixKey())
	if n == 0 {
		return 0
	}
	return n + min(c.tokens(r.chatKey()), r.historyTokens)
}
