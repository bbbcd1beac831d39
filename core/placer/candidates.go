package placer

import "slices"

// probeDepth is the number of highest-ranked endpoints that are probed for cached context before a request is placed
// without it. A chat whose primary was full at an earlier turn is cached at one of the next ones; one or two round
// trips of milliseconds cost less than recomputing thousands of tokens. See docs/decisions/placement.md.
const probeDepth = 3

// Need is the condition under which an endpoint accepts a request.
type Need uint8

const (
	// NeedNothing requires only that the load bound admits the request.
	NeedNothing Need = iota
	// NeedPrefix requires that the shared prefix is cached and that the load is below the mean, which reserves the
	// capacity between the mean and the load bound for returning chats.
	NeedPrefix
	// NeedChat requires that the chat is cached.
	NeedChat
)

// PrefixState is the state that an endpoint reported when it refused a request because of its Need, from least to
// most suitable for the request.
type PrefixState uint8

const (
	// PrefixNotCached means that the shared prefix is not cached, or that the state is unknown.
	PrefixNotCached PrefixState = iota
	// PrefixCached means that the shared prefix is cached.
	PrefixCached
	// PrefixCachedLowLoad means that the shared prefix is cached and the load is below the mean.
	PrefixCachedLowLoad
)

// Candidate is an endpoint to send the request to; Index is its index in the current membership.
type Candidate struct {
	Index int
	Need  Need
}

// CandidateIterator yields the candidates for one request. The zero value is ready for Reset, and a reused iterator
// does not allocate.
type CandidateIterator struct {
	members   MemberIterator
	need      Need
	probes    []int
	nextProbe int
	lookahead []lookaheadEntry // highest-ranked members, already read from members
	prefix    PrefixState      // of the lookahead entries that Next currently yields
	nextEntry int
}

type lookaheadEntry struct {
	index  int
	prefix PrefixState
}

// Reset starts the iteration for a key; the subsets are those of the workspace, newest membership first. With NeedChat
// the former primaries and the highest-ranked members are probed, with NeedPrefix only the highest-ranked members. All
// members then follow without a condition: first the highest-ranked ones, by the PrefixState they reported, then the
// others in ranking order.
func (it *CandidateIterator) Reset(subsets []*Subset, key Key, need Need) {
	it.members.Reset(subsets[0], key)
	if subsets[0].pool.Len() < 2 {
		need = NeedNothing
	}
	it.need, it.probes, it.nextProbe, it.lookahead = need, it.probes[:0], 0, it.lookahead[:0]
	it.prefix, it.nextEntry = PrefixCachedLowLoad, 0
	depth := 2 // Successor needs two
	if need != NeedNothing {
		depth = probeDepth
	}
	if need == NeedChat {
		it.probes = FormerPrimaries(subsets, key, it.probes)
	}
	formerCount := len(it.probes)
	for range depth {
		i, ok := it.members.Next()
		if !ok {
			return
		}
		it.lookahead = append(it.lookahead, lookaheadEntry{index: i})
		if need != NeedNothing && !slices.Contains(it.probes[:formerCount], i) {
			it.probes = append(it.probes, i)
		}
	}
}

// Successor returns the highest-ranked member other than the given one, which becomes the primary when that one leaves.
// A member that then joins the workspace's subset may rank higher; probing probeDepth members covers that.
func (it *CandidateIterator) Successor(index int) (i int, ok bool) {
	for _, e := range it.lookahead {
		if e.index != index {
			return e.index, true
		}
	}
	return 0, false
}

// Primary returns the highest-ranked member of the current membership; ok is false for NeedNothing.
func (it *CandidateIterator) Primary() (index int, ok bool) {
	if it.need == NeedNothing || len(it.lookahead) == 0 {
		return 0, false
	}
	return it.lookahead[0].index, true
}

// Prioritize makes an endpoint the next candidate of a returning chat, unless it was probed already.
func (it *CandidateIterator) Prioritize(index int) {
	if it.need != NeedChat || slices.Contains(it.probes[:it.nextProbe], index) {
		return
	}
	if i := slices.Index(it.probes[it.nextProbe:], index); i >= 0 {
		it.probes = slices.Delete(it.probes, it.nextProbe+i, it.nextProbe+i+1)
	}
	it.probes = slices.Insert(it.probes, it.nextProbe, index)
}

// RecordRefusal records the state of a candidate that refused the request because of its Need.
func (it *CandidateIterator) RecordRefusal(index int, state PrefixState) {
	for i := range it.lookahead {
		if it.lookahead[i].index == index {
			it.lookahead[i].prefix = state
		}
	}
}

// Next returns the next candidate; ok is false after the last.
func (it *CandidateIterator) Next() (c Candidate, ok bool) {
	if it.nextProbe < len(it.probes) {
		it.nextProbe++
		return Candidate{Index: it.probes[it.nextProbe-1], Need: it.need}, true
	}
	for ; ; it.prefix, it.nextEntry = it.prefix-1, 0 {
		for it.nextEntry < len(it.lookahead) {
			e := it.lookahead[it.nextEntry]
			it.nextEntry++
			if e.prefix == it.prefix {
				return Candidate{Index: e.index}, true
			}
		}
		if it.prefix == PrefixNotCached {
			break
		}
	}
	i, ok := it.members.Next()
	return Candidate{Index: i}, ok
}
