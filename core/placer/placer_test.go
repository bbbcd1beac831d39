package placer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newTestPool(n int) *Pool {
	list := make([]Endpoint, n)
	for i := range list {
		list[i].Name = fmt.Sprintf("endpoint-%d", i)
	}
	return NewPool(list)
}

func rankedNames(s *Subset, key Key) []string {
	var it MemberIterator
	it.Reset(s, key)
	var names []string
	for i, ok := it.Next(); ok; i, ok = it.Next() {
		names = append(names, s.pool.Name(i))
	}
	return names
}

func without(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
}

// Guards against a ranking that depends on other members: a membership without one member must rank the others
// in the same order, so that a join or leave moves only the keys of that member.
func TestOrderIsTheSameInViewsThatDifferByOneMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 2, 30, rapid.ID).Draw(t, "names")
		list := make([]Endpoint, len(names))
		for i, n := range names {
			list[i] = Endpoint{Name: n, Weight: float64(rapid.IntRange(0, 4).Draw(t, "weight"))}
		}
		key := Key(rapid.Uint64().Draw(t, "key"))
		removed := rapid.IntRange(0, len(list)-1).Draw(t, "gone")
		full := rankedNames(NewPool(list).All(), key)
		reduced := rankedNames(NewPool(slices.Delete(slices.Clone(list), removed, removed+1)).All(), key)
		assert.DeepEqual(t, reduced, without(full, names[removed]))
		assert.Equal(t, len(full), len(list))
	})
}

// Guards against a subset that is replaced when its size or the membership changes, which would move many chats.
func TestSubsetsAreNestedAndChangeByOneMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "members")
		size := rapid.IntRange(1, n-1).Draw(t, "size")
		ws := Key(rapid.Uint64().Draw(t, "workspace"))
		p, q := newTestPool(n), newTestPool(n+1)
		small, large, joined := p.Subset(ws, size), p.Subset(ws, size+1), q.Subset(ws, size)
		changed := 0
		for _, i := range small.indexes {
			assert.Assert(t, slices.Contains(large.indexes, i))
			m, _ := q.IndexOf(p.Name(int(i)))
			if !slices.Contains(joined.indexes, int32(m)) {
				changed++
			}
		}
		assert.Assert(t, changed <= 1)
		key := Key(rapid.Uint64().Draw(t, "key"))
		got := rankedNames(small, key)
		assert.Equal(t, len(got), n)
		for i, name := range got {
			m, _ := p.IndexOf(name)
			assert.Equal(t, i < size, slices.Contains(small.indexes, int32(m)))
		}
		assert.DeepEqual(t, got[size:], rankedNames(small, key+1)[size:]) // all keys have the same overflow order
		m, _ := p.IndexOf(got[size])
		assert.Assert(t, slices.Contains(large.indexes, int32(m)), "subset does not grow by its first overflow member")
	})
}

// Guards against a share of keys that is not proportional to the weight.
func TestKeyShareIsProportionalToWeight(t *testing.T) {
	p := NewPool([]Endpoint{{Name: "a", Weight: 1}, {Name: "b", Weight: 2}, {Name: "c", Weight: 5}})
	const keys = 40_000
	count := make([]int, p.Len())
	for k := range keys {
		i, _ := p.All().Primary(KeyOf(fmt.Sprint(k)))
		count[i]++
	}
	for i, want := range []float64{1. / 8, 2. / 8, 5. / 8} {
		assert.Assert(t, math.Abs(float64(count[i])/keys-want) < 0.01, "member %d is primary for %d keys", i, count[i])
	}
}

// Guards against the loss of cached context after a join, and against a flapping endpoint that evicts older memberships
// from the history.
func TestReturningChatIsFirstOfferedToItsFormerFirst(t *testing.T) {
	former, current := newTestPool(10), newTestPool(11)
	var h *History
	h = h.Push(newTestPool(9)).Push(former)
	for range 10 {
		h = h.Push(current).Push(former)
	}
	h = h.Push(current)
	assert.Equal(t, len(h.pools), 3)
	subsets := h.Subsets(0, 11)
	moved := 0
	for k := range 1000 {
		key := KeyOf(fmt.Sprint(k))
		before, _ := former.All().Primary(key)
		after, _ := current.All().Primary(key)
		var it CandidateIterator
		it.Reset(subsets, key, NeedChat)
		first, _ := it.Next()
		if former.Name(before) != current.Name(after) {
			moved++
			assert.Equal(t, current.Name(first.Index), former.Name(before))
			assert.Equal(t, first.Need, NeedChat)
		}
		var unconditional []string
		for c, ok := it.Next(); ok; c, ok = it.Next() {
			if c.Need == NeedNothing {
				unconditional = append(unconditional, current.Name(c.Index))
			}
		}
		assert.DeepEqual(t, unconditional, rankedNames(subsets[0], key))
		it.Reset(subsets, key, NeedNothing)
		first, _ = it.Next()
		assert.DeepEqual(t, first, Candidate{Index: after})
	}
	assert.Assert(t, moved > 50 && moved < 150, "%d of 1000 keys moved", moved)
}

// historyMachine is a state machine in which endpoints join, leave and flap in any order.
type historyMachine struct {
	present map[string]bool
	history *History
}

func (m *historyMachine) toggleEndpoint(t *rapid.T) {
	name := fmt.Sprintf("e%d", rapid.IntRange(0, 7).Draw(t, "endpoint"))
	m.present[name] = !m.present[name]
	m.pushMembership()
}

func (m *historyMachine) pushMembership() {
	var list []Endpoint
	for name, ok := range m.present {
		if ok {
			list = append(list, Endpoint{Name: name})
		}
	}
	m.history = m.history.Push(NewPool(list))
}

func (m *historyMachine) check(t *rapid.T) {
	assert.Assert(t, len(m.history.pools) <= maxMemberships)
	pool := m.history.Current()
	key := Key(rapid.Uint64().Draw(t, "key"))
	subsets := m.history.Subsets(1, rapid.IntRange(1, 8).Draw(t, "size"))
	var it CandidateIterator
	it.Reset(subsets, key, Need(rapid.IntRange(0, 2).Draw(t, "need")))
	probed, placed, prioritized := map[int]bool{}, map[int]bool{}, 0
	for c, ok := it.Next(); ok; c, ok = it.Next() {
		yielded := placed
		if c.Need != NeedNothing {
			yielded = probed
			it.RecordRefusal(c.Index, PrefixState(rapid.IntRange(0, 2).Draw(t, "rank")))
			it.Prioritize(rapid.IntRange(0, pool.Len()-1).Draw(t, "hint"))
			prioritized++
		}
		assert.Assert(t, !yielded[c.Index], "member yielded twice")
		assert.Assert(t, m.present[pool.Name(c.Index)], "yielded an endpoint that left")
		yielded[c.Index] = true
	}
	assert.Equal(t, len(placed), pool.Len())
	assert.Assert(t, len(probed) <= maxMemberships-1+probeDepth+prioritized)
}

// Guards against candidates that omit a member, repeat one or include one that left, after any sequence of joins,
// leaves and flaps.
func TestCandidatesCoverTheMembershipAfterAnyChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &historyMachine{present: map[string]bool{}}
		m.pushMembership()
		t.Repeat(map[string]func(*rapid.T){"toggle": m.toggleEndpoint, "": m.check})
	})
}

// Guards against requests to endpoints that recently failed or refused, and against exclusions that never end.
func TestTrackerObservationsExpire(t *testing.T) {
	start := time.Unix(100, 0)
	at := start.Add
	tr := NewTracker()
	assert.Equal(t, tr.MeanLoad(start), 0.0)
	tr.RecordUnreachable(start, "a")
	assert.Assert(t, tr.IsExcluded(at(999*time.Millisecond), "a"))
	assert.Assert(t, !tr.IsExcluded(at(time.Second), "a"))
	tr.RecordUnreachable(at(time.Second), "a")
	assert.Assert(t, tr.IsExcluded(at(2900*time.Millisecond), "a"))
	tr.RecordLoad(at(2900*time.Millisecond), "a", 4)
	assert.Assert(t, !tr.IsExcluded(at(2900*time.Millisecond), "a"))
	tr.RecordLoad(at(2900*time.Millisecond), "b", 2)
	assert.Equal(t, tr.MeanLoad(at(3*time.Second)), 3.0)
	assert.Equal(t, tr.MeanLoad(at(3200*time.Millisecond)), 0.0)
	tr.RecordFull(start, "b")
	assert.Assert(t, tr.IsFull(at(249*time.Millisecond), "b"))
	assert.Assert(t, !tr.IsFull(at(250*time.Millisecond), "b"))
	tr.Retain(NewPool([]Endpoint{{Name: "a"}}))
	assert.Equal(t, len(tr.endpoints), 1)
}

// Guards against a subset that changes its size with every small change of the workspace's share of the load.
func TestSubsetSizeFollowsTheShareWithHysteresis(t *testing.T) {
	now := time.Unix(100, 0)
	z := NewSizer()
	assert.Equal(t, z.Size(now, "unknown", 100), minSubsetSize)
	for range 90 {
		z.Observe(now, "large", 1)
	}
	for range 10 {
		z.Observe(now, "small", 1)
	}
	assert.Equal(t, z.Size(now, "large", 100), 100)
	assert.Equal(t, z.Size(now, "small", 100), 24)
	z.Observe(now, "large", 10)
	assert.Equal(t, z.Size(now, "small", 100), 24)
	z.Observe(now, "large", 100)
	assert.Equal(t, z.Size(now, "small", 100), 12)
	z.Prune(now.Add(time.Hour))
	assert.Equal(t, len(z.workspaces), 0)
}

func BenchmarkMemberIterator(b *testing.B) {
	for _, n := range []int{10, 100, 920} {
		p := newTestPool(n)
		for _, c := range []struct {
			name   string
			subset *Subset
			read   int
		}{{"whole/first", p.All(), 1}, {"whole/all", p.All(), n}, {"subset12/first", p.Subset(7, 12), 1}} {
			b.Run(fmt.Sprintf("%d/%s", n, c.name), func(b *testing.B) {
				var it MemberIterator
				key := Key(1)
				b.ReportAllocs()
				for b.Loop() {
					key++
					it.Reset(c.subset, key)
					for range c.read {
						it.Next()
					}
				}
			})
		}
	}
}
