package placer

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Key is the hash by which members of a pool are ranked, such as that of a chat or a workspace.
type Key uint64

// KeyOf hashes the parts of an identity; each part is length-prefixed, so that ("ab", "c") and ("a", "bc") differ.
func KeyOf(parts ...string) Key {
	d := xxhash.New()
	var n [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(n[:], uint64(len(p)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(p)
	}
	return Key(d.Sum64())
}

// Endpoint is one member of a pool; a weight of 0 counts as 1.
type Endpoint struct {
	Name   string
	Weight float64
}

type member struct {
	name   string
	hash   uint64
	weight float64
}

// Pool is an immutable membership with precomputed hashes; members are sorted by name.
type Pool struct {
	members []member
	uniform bool
}

// NewPool returns the pool of the endpoints; duplicate names are dropped.
func NewPool(endpoints []Endpoint) *Pool {
	p := &Pool{members: make([]member, 0, len(endpoints)), uniform: true}
	for _, e := range endpoints {
		w := e.Weight
		if w <= 0 {
			w = 1
		}
		p.members = append(p.members, member{name: e.Name, hash: xxhash.Sum64String(e.Name), weight: w})
	}
	slices.SortFunc(p.members, func(a, b member) int { return cmp.Compare(a.name, b.name) })
	p.members = slices.CompactFunc(p.members, func(a, b member) bool { return a.name == b.name })
	for _, m := range p.members {
		p.uniform = p.uniform && m.weight == 1
	}
	return p
}

// Len returns the number of members.
func (p *Pool) Len() int { return len(p.members) }

// Name returns the name of the member at index i.
func (p *Pool) Name(i int) string { return p.members[i].name }

// IndexOf returns the index of the named member.
func (p *Pool) IndexOf(name string) (i int, ok bool) {
	return slices.BinarySearchFunc(p.members, name, func(m member, s string) int { return cmp.Compare(m.name, s) })
}

func (p *Pool) equal(q *Pool) bool { return slices.Equal(p.members, q.members) }

// score is monotonic in the hash in both branches, so that members of equal weight rank alike whether or not the pool
// also contains members of other weights.
func (p *Pool) score(key uint64, m *member) float64 {
	h := mix(key ^ m.hash)
	if p.uniform {
		return float64(h >> 11)
	}
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -m.weight / math.Log(u)
}

// mix is the finalizer of SplitMix64; with the plain XOR of two hashes, the rankings of different keys would be
// correlated.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Subset is the part of a pool that a workspace uses before the other members.
type Subset struct {
	pool      *Pool
	workspace uint64
	indexes   []int32 // ascending
}

// All returns the subset of all members.
func (p *Pool) All() *Subset { return p.Subset(0, len(p.members)) }

// Subset returns the size highest-ranked members for the workspace. A larger subset contains every smaller one, and
// a join or leave replaces at most one member.
func (p *Pool) Subset(workspace Key, size int) *Subset {
	size = max(min(size, len(p.members)), min(1, len(p.members)))
	s := &Subset{pool: p, workspace: uint64(workspace), indexes: make([]int32, 0, size)}
	if size == len(p.members) {
		for i := range p.members {
			s.indexes = append(s.indexes, int32(i))
		}
		return s
	}
	var it MemberIterator
	it.resetToPool(p, uint64(workspace))
	for range size {
		i, _ := it.pop()
		s.indexes = append(s.indexes, i)
	}
	slices.Sort(s.indexes)
	return s
}

// Pool returns the pool of the subset.
func (s *Subset) Pool() *Pool { return s.pool }

// Size returns the number of members in the subset.
func (s *Subset) Size() int { return len(s.indexes) }

// Primary returns the index of the highest-ranked member for the key; ok is false for an empty pool.
func (s *Subset) Primary(key Key) (i int, ok bool) {
	best := -1
	var score float64
	for _, n := range s.indexes {
		m := &s.pool.members[n]
		v := s.pool.score(uint64(key), m)
		if best < 0 || v > score || (v == score && m.hash > s.pool.members[best].hash) {
			best, score = int(n), v
		}
	}
	return best, best >= 0
}

type scoredMember struct {
	score float64
	hash  uint64
	index int32
}

func (a scoredMember) before(b scoredMember) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.hash > b.hash
}

// MemberIterator yields the workspace's subset of a pool in the key's ranking, then the other members in the
// workspace's ranking, so that its chats overflow to the same endpoints and few of them cache the shared prefix. The
// ranking is computed lazily, and a reused iterator does not allocate.
type MemberIterator struct {
	subset     *Subset
	key        uint64
	heap       []scoredMember
	inOverflow bool
}

// Reset starts the iteration for a key.
func (it *MemberIterator) Reset(s *Subset, key Key) {
	it.subset, it.key, it.inOverflow = s, uint64(key), false
	it.heap = it.heap[:0]
	for _, i := range s.indexes {
		it.push(s.pool, i)
	}
	it.heapify()
}

// Next returns the index of the next member.
func (it *MemberIterator) Next() (i int, ok bool) {
	n, ok := it.pop()
	if !ok && !it.inOverflow {
		it.addOverflow()
		n, ok = it.pop()
	}
	return int(n), ok
}

func (it *MemberIterator) resetToPool(p *Pool, key uint64) {
	it.key, it.heap = key, it.heap[:0]
	for i := range p.members {
		it.push(p, int32(i))
	}
	it.heapify()
}

func (it *MemberIterator) addOverflow() {
	it.inOverflow = true
	it.key = it.subset.workspace
	subset := it.subset.indexes
	for i := range it.subset.pool.members {
		if len(subset) > 0 && subset[0] == int32(i) {
			subset = subset[1:]
			continue
		}
		it.push(it.subset.pool, int32(i))
	}
	it.heapify()
}

func (it *MemberIterator) push(p *Pool, i int32) {
	m := &p.members[i]
	it.heap = append(it.heap, scoredMember{score: p.score(it.key, m), hash: m.hash, index: i})
}

// heapify does not use container/heap, which allocates for each element that it passes through an interface.
func (it *MemberIterator) heapify() {
	for i := len(it.heap)/2 - 1; i >= 0; i-- {
		it.siftDown(i)
	}
}

func (it *MemberIterator) siftDown(i int) {
	h := it.heap
	for {
		c := 2*i + 1
		if c >= len(h) {
			return
		}
		if c+1 < len(h) && h[c+1].before(h[c]) {
			c++
		}
		if !h[c].before(h[i]) {
			return
		}
		h[i], h[c] = h[c], h[i]
		i = c
	}
}

func (it *MemberIterator) pop() (index int32, ok bool) {
	n := len(it.heap)
	if n == 0 {
		return 0, false
	}
	index = it.heap[0].index
	it.heap[0] = it.heap[n-1]
	it.heap = it.heap[:n-1]
	it.siftDown(0)
	return index, true
}
