package placer

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ChatKey identifies a chat for placement.
type Key uint64

// KeyOf hashes the parts that identify a chat; parts are length-prefixed so that they cannot run together.
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

// Pool is an immutable membership with the hashes of its members prepared; members are sorted by name.
type Pool struct {
	members []member
	uniform bool
}

// NewPool prepares a membership; duplicate names count once.
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

// Name returns the name of the i-th member.
func (p *Pool) Name(i int) string { return p.members[i].name }

// IndexOf returns the index of a member.
func (p *Pool) IndexOf(name string) (i int, ok bool) {
	return slices.BinarySearchFunc(p.members, name, func(m member, s string) int { return cmp.Compare(m.name, s) })
}

func (p *Pool) equal(q *Pool) bool { return slices.Equal(p.members, q.members) }

// score is monotone in the hash, so that members of equal weight have the same order in every view whether or
// not the view holds members of other weights.
func (p *Pool) score(key uint64, m *member) float64 {
	h := mix(key ^ m.hash)
	if p.uniform {
		return float64(h >> 11)
	}
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -m.weight / math.Log(u)
}

// mix is the finalizer of SplitMix64; the plain XOR of two hashes would keep the order of endpoints
// correlated between keys.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Subset holds the members of a pool that a workspace uses first.
type Subset struct {
	pool      *Pool
	workspace uint64
	in        []int32 // ascending
}

// All returns the subset that holds the whole pool.
func (p *Pool) All() *Subset { return p.Subset(0, len(p.members)) }

// Subset returns the size members that rank first for the workspace. A larger subset contains every smaller
// one, and a join or leave changes at most one member.
func (p *Pool) Subset(workspace Key, size int) *Subset {
	size = max(min(size, len(p.members)), min(1, len(p.members)))
	s := &Subset{pool: p, workspace: uint64(workspace), in: make([]int32, 0, size)}
	if size == len(p.members) {
		for i := range p.members {
			s.in = append(s.in, int32(i))
		}
		return s
	}
	var w MemberIterator
	w.load(p, uint64(workspace))
	for range size {
		i, _ := w.pop()
		s.in = append(s.in, i)
	}
	slices.Sort(s.in)
	return s
}

// Pool returns the pool of the subset.
func (s *Subset) Pool() *Pool { return s.pool }

// Size returns the number of members in the subset.
func (s *Subset) Size() int { return len(s.in) }

// First returns the member that ranks first for the key; ok is false for an empty pool.
func (s *Subset) Primary(key Key) (i int, ok bool) {
	best := -1
	var score float64
	for _, n := range s.in {
		m := &s.pool.members[n]
		v := s.pool.score(uint64(key), m)
		if best < 0 || v > score || (v == score && m.hash > s.pool.members[best].hash) {
			best, score = int(n), v
		}
	}
	return best, best >= 0
}

type scored struct {
	score float64
	hash  uint64
	index int32
}

func (a scored) before(b scored) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.hash > b.hash
}

// Walk yields the members of a pool: the workspace's subset in the order of a key, then the rest as overflow in the
// order of the workspace, so that its chats overflow to the same endpoints and need few copies of the shared prefix.
// The order is computed as far as it is read, and a reused walk allocates nothing.
type MemberIterator struct {
	subset   *Subset
	key      uint64
	heap     []scored
	overflow bool
}

// Start begins the order of a key.
func (w *MemberIterator) Reset(s *Subset, key Key) {
	w.subset, w.key, w.overflow = s, uint64(key), false
	w.heap = w.heap[:0]
	for _, i := range s.in {
		w.add(s.pool, i)
	}
	w.heapify()
}

// Next returns the index of the next member.
func (w *MemberIterator) Next() (i int, ok bool) {
	n, ok := w.pop()
	if !ok && !w.overflow {
		w.loadRest()
		n, ok = w.pop()
	}
	return int(n), ok
}

func (w *MemberIterator) load(p *Pool, key uint64) {
	w.key, w.heap = key, w.heap[:0]
	for i := range p.members {
		w.add(p, int32(i))
	}
	w.heapify()
}

func (w *MemberIterator) loadRest() {
	w.overflow = true
	w.key = w.subset.workspace
	in := w.subset.in
	for i := range w.subset.pool.members {
		if len(in) > 0 && in[0] == int32(i) {
			in = in[1:]
			continue
		}
		w.add(w.subset.pool, int32(i))
	}
	w.heapify()
}

func (w *MemberIterator) add(p *Pool, i int32) {
	m := &p.members[i]
	w.heap = append(w.heap, scored{score: p.score(w.key, m), hash: m.hash, index: i})
}

// The heap is written out because container/heap allocates for each element that it moves through an interface.
func (w *MemberIterator) heapify() {
	for i := len(w.heap)/2 - 1; i >= 0; i-- {
		w.down(i)
	}
}

func (w *MemberIterator) down(i int) {
	h := w.heap
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

func (w *MemberIterator) pop() (index int32, ok bool) {
	n := len(w.heap)
	if n == 0 {
		return 0, false
	}
	index = w.heap[0].index
	w.heap[0] = w.heap[n-1]
	w.heap = w.heap[:n-1]
	w.down(0)
	return index, true
}
