package fakeengine

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in a block of the prefix cache.
const BlockTokens = 16

const maxEvents = 4096

// EventKind is the kind of a change to the prefix cache.
type EventKind string

// Kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
	EventCleared EventKind = "cleared"
)

// Event is a change of the prefix cache; a gap in the sequence numbers means lost events.
type Event struct {
	Seq  uint64    `json:"seq"`
	Kind EventKind `json:"kind"`
	// Chat is empty for EventCleared.
	Chat string `json:"chat,omitempty"`

	at time.Time
}

type block struct {
	hash uint64
	chat string
}

// cache is an LRU prefix cache; the key of a block is the hash of all tokens up to its end.
type cache struct {
	capacity int
	eventGap int
	blocks   map[uint64]*list.Element
	lru      *list.List // most recently used first
	chats    map[string][]uint64
	events   []Event
	seq      uint64
}

func newCache(size, gap int) *cache {
	return &cache{
		capacity: size, eventGap: gap, blocks: map[uint64]*list.Element{}, lru: list.New(), chats: map[string][]uint64{},
	}
}

// blockHashes returns the hash of each full block; it covers all tokens up to the end of the block.
func blockHashes(tokens []string) (hashes []uint64) {
	d := xxhash.New()
	for i, t := range tokens {
		_, _ = d.WriteString(t)
		_, _ = d.Write([]byte{0})
		if (i+1)%BlockTokens == 0 {
			hashes = append(hashes, d.Sum64())
		}
	}
	return hashes
}

// match returns the number of leading tokens that are cached, and marks their blocks as used.
func (c *cache) match(hashes []uint64) (tokens int) {
	for _, h := range hashes {
		el, ok := c.blocks[h]
		if !ok {
			break
		}
		c.lru.MoveToFront(el)
		tokens += BlockTokens
	}
	return tokens
}

func (c *cache) store(now time.Time, chat string, hashes []uint64) {
	// The first block becomes the most recently used one, so that eviction shortens a prefix from its end.
	for i := len(hashes) - 1; i >= 0; i-- {
		if el, ok := c.blocks[hashes[i]]; ok {
			c.lru.MoveToFront(el)
			continue
		}
		c.blocks[hashes[i]] = c.lru.PushFront(block{hash: hashes[i], chat: chat})
	}
	if chat != "" && len(hashes) > 0 {
		c.chats[chat] = hashes
		c.appendEvent(now, EventStored, chat)
	}
	for c.lru.Len() > c.capacity {
		b, _ := c.lru.Remove(c.lru.Back()).(block)
		delete(c.blocks, b.hash)
		if _, ok := c.chats[b.chat]; ok {
			delete(c.chats, b.chat)
			c.appendEvent(now, EventRemoved, b.chat)
		}
	}
}

func (c *cache) reset() {
	clear(c.blocks)
	clear(c.chats)
	c.lru.Init()
}

// clear resets the cache and records an event.
func (c *cache) clear(now time.Time) {
	c.reset()
	c.appendEvent(now, EventCleared, "")
}

// appendEvent records an event, unless it is one of the events that the configuration drops.
func (c *cache) appendEvent(now time.Time, kind EventKind, chat string) {
	c.seq++
	if c.eventGap > 0 && c.seq%uint64(c.eventGap) == 0 {
		return
	}
	if len(c.events) == maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, Event{Seq: c.seq, Kind: kind, Chat: chat, at: now})
}

func (c *cache) eventsAfter(seq uint64, until time.Time) []Event {
	list := []Event{}
	for _, e := range c.events {
		if e.Seq > seq && !e.at.After(until) {
			list = append(list, e)
		}
	}
	return list
}
