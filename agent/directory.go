package agent

import (
	"math/bits"
	"strings"
	"sync"
	"time"
)

// directoryCapacity is the number of chats per endpoint at the design size: 14 million chats / 920 endpoints.
const directoryCapacity = 15_000

// maxEventDelay is the upper limit of the delay of an engine's cache events. An event about a chat that was used within
// that time may be older than the use, so it is ignored.
const maxEventDelay = 5 * time.Second

// maxEndpointNames limits the endpoint names in a directory, which are kept until the agent ends.
const maxEndpointNames = 4096

// directory is an LRU list of the chats that the engine has cached, and of chats whose primary is this endpoint but
// which another endpoint has served. It chains entries per hash bucket, because a map would take 37 bytes per chat in
// addition to the entry's 32.
type directory struct {
	mu       sync.Mutex
	capacity int
	size     int
	buckets  []int32          // first entry of each hash chain; 0 ends a chain
	entries  []directoryEntry // entries[0] is the sentinel of the LRU ring, most recently used first
	freeList int32            // first unused entry; 0 if none
	epoch    time.Time
	// prefixCounts is the number of cached chats per prefix. Each use of a chat also uses its prefix, so an engine with
	// LRU eviction has cached the prefix of every chat that it has cached.
	prefixCounts map[uint32]int32
	// successors holds, for each entry, the index of the endpoint that becomes the primary when this one leaves.
	// As a field, the two bytes would enlarge the entry by eight because of alignment.
	successors      []uint16
	endpointNames   []string // endpointNames[0] is empty and means unknown
	endpointIndexes map[string]uint16
}

type directoryEntry struct {
	key             uint64
	prefix          uint32 // low 32 bits of the prefix key; 0 if unknown
	lastUsedSeconds uint32 // since epoch
	prev, next      int32  // in the LRU ring; next also links the free list
	nextInBucket    int32
	movedTo         uint16 // index of the endpoint that served the chat last, if not this one
	isCached        bool
}

func newDirectory(capacity int) *directory {
	return &directory{
		capacity: capacity, buckets: make([]int32, 1<<bits.Len(uint(capacity))),
		entries: make([]directoryEntry, 1, capacity+1), epoch: time.Now(), prefixCounts: map[uint32]int32{},
		successors: make([]uint16, 1, capacity+1), endpointNames: []string{""}, endpointIndexes: map[string]uint16{},
	}
}

// bucket returns the head of the chain for a key. It does not hash the key, because chat keys are hashes.
func (d *directory) bucket(key uint64) *int32 {
	return &d.buckets[(key^key>>32)&uint64(len(d.buckets)-1)]
}

func (d *directory) find(key uint64) int32 {
	i := *d.bucket(key)
	for i != 0 && d.entries[i].key != key {
		i = d.entries[i].nextInBucket
	}
	return i
}

func (d *directory) unlink(i int32) {
	e := d.entries[i]
	d.entries[e.prev].next, d.entries[e.next].prev = e.next, e.prev
}

func (d *directory) linkFront(i int32) {
	first := d.entries[0].next
	d.entries[i].prev, d.entries[i].next = 0, first
	d.entries[first].prev, d.entries[0].next = i, i
}

// remove deletes an entry and adds it to the free list.
func (d *directory) remove(i int32) {
	d.unlink(i)
	d.setPrefix(i, 0)
	link := d.bucket(d.entries[i].key)
	for *link != i {
		link = &d.entries[*link].nextInBucket
	}
	*link = d.entries[i].nextInBucket
	d.entries[i].next, d.freeList = d.freeList, i
	d.size--
}

func (d *directory) setPrefix(i int32, prefix uint32) {
	e := &d.entries[i]
	if e.prefix != 0 {
		if d.prefixCounts[e.prefix]--; d.prefixCounts[e.prefix] == 0 {
			delete(d.prefixCounts, e.prefix)
		}
	}
	if e.prefix = prefix; prefix != 0 {
		d.prefixCounts[prefix]++
	}
}

func (d *directory) add(key uint64) (i int32) {
	if d.size == d.capacity {
		d.remove(d.entries[0].prev)
	}
	if i = d.freeList; i != 0 {
		d.freeList = d.entries[i].next
	} else {
		d.entries = append(d.entries, directoryEntry{})
		d.successors = append(d.successors, 0)
		i = int32(len(d.entries) - 1)
	}
	head := d.bucket(key)
	d.entries[i], d.successors[i] = directoryEntry{key: key, nextInBucket: *head}, 0
	*head = i
	d.size++
	return i
}

// touch records a use of the chat; prefix is 0 if unknown.
func (d *directory) touch(key, prefix uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.upsertFront(key, now)
	if prefix != 0 {
		d.setPrefix(i, uint32(prefix))
	}
	d.entries[i].isCached, d.entries[i].movedTo = true, 0
}

// upsertFront moves the entry of a chat to the front, or adds one there.
func (d *directory) upsertFront(key uint64, now time.Time) (i int32) {
	if i = d.find(key); i == 0 {
		i = d.add(key)
	} else {
		d.unlink(i)
	}
	d.entries[i].lastUsedSeconds = uint32(now.Sub(d.epoch) / time.Second)
	d.linkFront(i)
	return i
}

// recordMove records that another endpoint has served the chat.
func (d *directory) recordMove(key uint64, endpoint string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.internEndpoint(endpoint); n > 0 {
		d.entries[d.upsertFront(key, now)].movedTo = n
	}
}

// movedTo returns the endpoint that served the chat last; empty if unknown or this one.
func (d *directory) movedTo(key uint64, now time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.find(key)
	if i == 0 || d.entries[i].movedTo == 0 {
		return ""
	}
	return d.endpointNames[d.entries[d.upsertFront(key, now)].movedTo]
}

// setSuccessor records which endpoint becomes the primary of the chat when this one leaves.
func (d *directory) setSuccessor(key uint64, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := d.find(key); i != 0 {
		d.successors[i] = d.internEndpoint(name)
	}
}

// internEndpoint returns the index of an endpoint name and adds the name if it is new; 0 if the name is empty or
// maxEndpointNames is reached.
func (d *directory) internEndpoint(name string) uint16 {
	n, ok := d.endpointIndexes[name]
	if !ok && name != "" && len(d.endpointNames) < maxEndpointNames {
		name = strings.Clone(name)
		n = uint16(len(d.endpointNames))
		d.endpointNames, d.endpointIndexes[name] = append(d.endpointNames, name), n
	}
	return n
}

// successor returns the endpoint recorded by setSuccessor; empty if unknown.
func (d *directory) successor(key uint64) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpointNames[d.successors[d.find(key)]]
}

func (d *directory) isCached(key uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[d.find(key)].isCached // entries[0] is never cached
}

func (d *directory) hasPrefix(prefix uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.prefixCounts[uint32(prefix)] > 0
}

func (d *directory) isRecentlyUsed(i int32, now time.Time) bool {
	used := d.epoch.Add(time.Duration(d.entries[i].lastUsedSeconds) * time.Second)
	return now.Sub(used) < maxEventDelay+time.Second
}

// applyEviction applies an eviction event of the engine, unless the event may be older than the last use of the chat.
func (d *directory) applyEviction(key uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.find(key)
	switch {
	case i == 0 || d.isRecentlyUsed(i, now):
	case d.entries[i].movedTo != 0:
		d.setPrefix(i, 0)
		d.entries[i].isCached = false
	default:
		d.remove(i)
	}
}

// applyClear applies a clear event of the engine, except to chats whose last use may be newer than the event.
func (d *directory) applyClear(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := d.entries[0].prev; i != 0 && !d.isRecentlyUsed(i, now); i = d.entries[0].prev {
		d.remove(i)
	}
}

// reset deletes all entries after a restart of the engine or a load of a model.
func (d *directory) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.buckets)
	clear(d.prefixCounts)
	d.entries, d.successors, d.freeList, d.size = d.entries[:1], d.successors[:1], 0, 0
	d.entries[0] = directoryEntry{}
}

// cachedKeys returns the keys of the cached chats, most recently used first.
func (d *directory) cachedKeys() []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	keys := make([]uint64, 0, d.size)
	for i := d.entries[0].next; i != 0; i = d.entries[i].next {
		if d.entries[i].isCached {
			keys = append(keys, d.entries[i].key)
		}
	}
	return keys
}
