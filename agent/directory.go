package agent

import (
	"math/bits"
	"strings"
	"sync"
	"time"
)

// directoryLimit is the number of chats that one replica serves at design size: 14 million / 920.
const directoryCapacity = 15_000

// eventLag bounds the delay of the engine's cache events. An event about a chat that was used within it may
// be older than that use, so it changes nothing.
const maxEventDelay = 5 * time.Second

// maxNames bounds the names of endpoints in a directory, which live as long as the agent.
const maxEndpointNames = 4096

// directory remembers which chats the engine has cached, and where chats were served whose first candidate this
// endpoint is, in a list ordered by use. Hash chains through the entries replace a map, which would take 37 bytes for
// each chat on top of the entry's 32.
type directory struct {
	mu       sync.Mutex
	capacity int
	size     int
	buckets  []int32          // first entry of each hash chain; 0 ends a chain
	entries  []directoryEntry // entries[0] is the head of a ring ordered by use, newest first
	freeList int32
	epoch    time.Time
	// prefixes counts the cached chats with a prefix. Each use of a chat uses its prefix, so an engine that evicts the
	// least recently used has the prefix of every chat that it has.
	prefixCounts map[uint32]int32
	// successors holds for each entry the index in names of the endpoint that takes the chat when this one leaves.
	// Two bytes beside the entry keep it from growing by eight.
	successors      []uint16
	endpointNames   []string // of other endpoints; names[0] stands for an unknown one
	endpointIndexes map[string]uint16
}

type directoryEntry struct {
	key             uint64
	prefix          uint32 // end of the prefix's hash; 0 if unknown
	lastUsedSeconds uint32 // s since start
	prev, next      int32  // in the ring
	nextInBucket    int32  // in the bucket
	movedTo         uint16 // index of the endpoint that served the chat last, if not this one
	isCached        bool
}

func newDirectory(limit int) *directory {
	return &directory{
		capacity: limit, buckets: make([]int32, 1<<bits.Len(uint(limit))), entries: make([]directoryEntry, 1, limit+1),
		epoch: time.Now(), prefixCounts: map[uint32]int32{}, successors: make([]uint16, 1, limit+1), endpointNames: []string{""},
		endpointIndexes: map[string]uint16{},
	}
}

// bucket needs no further hash, because chat keys are hashes.
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

// drop removes an entry and puts it on the free list.
func (d *directory) remove(i int32) {
	d.unlink(i)
	d.setPrefix(i, 0)
	at := d.bucket(d.entries[i].key)
	for *at != i {
		at = &d.entries[*at].nextInBucket
	}
	*at = d.entries[i].nextInBucket
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
	at := d.bucket(key)
	d.entries[i], d.successors[i] = directoryEntry{key: key, nextInBucket: *at}, 0
	*at = i
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

// use makes the chat the newest entry.
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

// moved records that another endpoint served the chat.
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

// setSuccessor notes which endpoint takes the chat when this one leaves.
func (d *directory) setSuccessor(key uint64, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := d.find(key); i != 0 {
		d.successors[i] = d.internEndpoint(name)
	}
}

// indexOf returns the index of an endpoint's name; 0 if it is empty or the names are full.
func (d *directory) internEndpoint(name string) uint16 {
	n, ok := d.endpointIndexes[name]
	if !ok && name != "" && len(d.endpointNames) < maxEndpointNames {
		name = strings.Clone(name)
		n = uint16(len(d.endpointNames))
		d.endpointNames, d.endpointIndexes[name] = append(d.endpointNames, name), n
	}
	return n
}

// successor returns the endpoint that takes the chat; empty if it is unknown.
func (d *directory) successor(key uint64) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpointNames[d.successors[d.find(key)]]
}

func (d *directory) isCached(key uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[d.find(key)].isCached // entries[0] is not
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

// evicted applies a cache event, unless the chat was used too recently for the event to be about that use.
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

// cleared applies a late event that the engine's cache was cleared.
func (d *directory) applyClear(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := d.entries[0].prev; i != 0 && !d.isRecentlyUsed(i, now); i = d.entries[0].prev {
		d.remove(i)
	}
}

// reset forgets everything, when the engine has restarted.
func (d *directory) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.buckets)
	clear(d.prefixCounts)
	d.entries, d.successors, d.freeList, d.size = d.entries[:1], d.successors[:1], 0, 0
	d.entries[0] = directoryEntry{}
}

// recent returns the keys of the cached chats by last use, newest first.
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
