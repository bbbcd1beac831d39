package placer

import "slices"

// probeDepth is how many candidates are asked for what a request needs before it is placed anywhere. A chat whose
// first candidate was full at an earlier turn has its context at one of the next ones; one or two round trips of
// milliseconds cost less than computing thousands of tokens again. docs/decisions/placement.md has the figures.
const probeDepth = 3

// Need is what an endpoint must have to take a request.
type Need uint8

const (
	// NeedNothing admits a request wherever the load bound does.
	NeedNothing Need = iota
	// NeedPrefix means that the endpoint has cached the shared prefix and is loaded below the mean. New chats leave
	// the rest of the load bound to chats that return.
	NeedPrefix
	// NeedChat means that the endpoint has cached the chat.
	NeedChat
)

// Rank is what an endpoint that refused for its need said about itself, from the worst place for the request to
// the best.
type PrefixState uint8

const (
	// RankNone means that the shared prefix is not cached, or that nothing is known.
	PrefixNotCached PrefixState = iota
	// RankPrefix means that the shared prefix is cached.
	PrefixCached
	// RankPrefixAndRoom means that the shared prefix is cached and the load is below the mean.
	PrefixCachedLowLoad
)

// Candidate is one endpoint to ask; Index is its index in the current membership.
type Candidate struct {
	Index int
	Need  Need
}

// Plan is the sequence of candidates of one request. The zero value is ready for Start, and a reused plan
// allocates nothing.
type CandidateIterator struct {
	walk   MemberIterator
	need   Need
	probes []int
	probe  int
	ahead  []place     // read from the walk for the probes
	rank   PrefixState // of the places that are offered now
	place  int
}

type place struct {
	index int
	rank  PrefixState
}

// Start begins the candidates of a key. The subsets are those of the workspace, newest membership first. Need is
// what the chat looks for first: a chat that returns is offered to its former first candidates and to the first
// ones of the current order only if it is cached there, a new chat to the first ones only if they have the shared
// prefix and room. Then the request is placed at any endpoint, in order of rank.
func (p *CandidateIterator) Reset(subsets []*Subset, key Key, need Need) {
	p.walk.Reset(subsets[0], key)
	if subsets[0].pool.Len() < 2 {
		need = NeedNothing
	}
	p.need, p.probes, p.probe, p.ahead = need, p.probes[:0], 0, p.ahead[:0]
	p.rank, p.place = PrefixCachedLowLoad, 0
	depth := 2 // for Successor
	if need != NeedNothing {
		depth = probeDepth
	}
	if need == NeedChat {
		p.probes = FormerPrimaries(subsets, key, p.probes)
	}
	formers := len(p.probes)
	for range depth {
		i, ok := p.walk.Next()
		if !ok {
			return
		}
		p.ahead = append(p.ahead, place{index: i})
		if need != NeedNothing && !slices.Contains(p.probes[:formers], i) {
			p.probes = append(p.probes, i)
		}
	}
}

// Successor returns the first member of the current order other than the one given, which is the one that is asked
// first when that one has left. A member that then joins the workspace's subset may come before it; probeDepth covers
// that.
func (p *CandidateIterator) Successor(index int) (i int, ok bool) {
	for _, at := range p.ahead {
		if at.index != index {
			return at.index, true
		}
	}
	return 0, false
}

// Home returns the first candidate of the current order; ok is false if the request needs nothing.
func (p *CandidateIterator) Primary() (index int, ok bool) {
	if p.need == NeedNothing || len(p.ahead) == 0 {
		return 0, false
	}
	return p.ahead[0].index, true
}

// Hint makes an endpoint the next candidate of a chat that returns, unless it was asked already.
func (p *CandidateIterator) Prioritize(index int) {
	if p.need != NeedChat || slices.Contains(p.probes[:p.probe], index) {
		return
	}
	if i := slices.Index(p.probes[p.probe:], index); i >= 0 {
		p.probes = slices.Delete(p.probes, p.probe+i, p.probe+i+1)
	}
	p.probes = slices.Insert(p.probes, p.probe, index)
}

// Refused records the rank of a candidate that lacks what the request needs.
func (p *CandidateIterator) RecordRefusal(index int, r PrefixState) {
	for i := range p.ahead {
		if p.ahead[i].index == index {
			p.ahead[i].rank = r
		}
	}
}

// Next returns the next candidate; ok is false after the last one.
func (p *CandidateIterator) Next() (c Candidate, ok bool) {
	if p.probe < len(p.probes) {
		p.probe++
		return Candidate{Index: p.probes[p.probe-1], Need: p.need}, true
	}
	for ; ; p.rank, p.place = p.rank-1, 0 {
		for p.place < len(p.ahead) {
			at := p.ahead[p.place]
			p.place++
			if at.rank == p.rank {
				return Candidate{Index: at.index}, true
			}
		}
		if p.rank == PrefixNotCached {
			break
		}
	}
	i, ok := p.walk.Next()
	return Candidate{Index: i}, ok
}
