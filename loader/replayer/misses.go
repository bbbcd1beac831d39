package replayer

import "time"

// cause says why a part of a prompt was not reused.
type missCause int

// Causes of lost tokens. The first that applies counts, so that the tokens of all causes add up to the loss.
const (
	// causeFirst is a shared prefix that no endpoint has cached yet or any more.
	causePrefixUncached missCause = iota
	// causePrefixMissed is a shared prefix that another endpoint with room has cached.
	causePrefixMisplaced
	// causePrefixSpilled is a shared prefix whose holders are all at the load bound.
	causePrefixOverflow
	// causeMissed is a chat that another endpoint with room has cached.
	causeChatMisplaced
	// causeSpilled is a chat whose holders are all at the load bound.
	causeChatOverflow
	// causeLeft is a chat whose last endpoint is away or has returned with an empty cache.
	causeChatEndpointLeft
	// causeEvicted is a chat that its last endpoint has evicted.
	causeChatEvicted
	numCauses
)

var missCauseNames = [numCauses]string{
	"prefixNowhere", "prefixMissed", "prefixSpilled", "chatMissed", "chatSpilled", "chatLeft", "chatEvicted",
}

// Losses are the tokens of prompts that were not reused, by cause.
type MissedTokens [numCauses]int64

type placement struct {
	endpoint int
	at       time.Duration
}

// lose counts the tokens of the request that its endpoint n has not cached; it is called before the caches change.
func (s *simulation) recordMisses(misses *MissedTokens, r *request, n int) {
	c := s.endpoints[n].cache
	if c.tokens(r.prefixKey()) == 0 {
		isCached, hasCapacity := s.findCached(r.prefixKey(), 0)
		switch {
		case hasCapacity:
			misses[causePrefixMisplaced] += int64(r.prefixTokens)
		case isCached:
			misses[causePrefixOverflow] += int64(r.prefixTokens)
		default:
			misses[causePrefixUncached] += int64(r.prefixTokens)
		}
	}
	cached := min(c.tokens(r.chatKey()), r.historyTokens)
	if missed := int64(r.historyTokens - cached); missed > 0 {
		misses[s.chatMissCause(r, cached)] += missed
	}
}

func (s *simulation) chatMissCause(r *request, cached int) missCause {
	isCached, hasCapacity := s.findCached(r.chatKey(), cached)
	last := s.lastPlacements[r.chat]
	e := &s.endpoints[last.endpoint]
	switch {
	case hasCapacity:
		return causeChatMisplaced
	case isCached:
		return causeChatOverflow
	case e.isAbsent || e.cacheClearedAt > last.at:
		return causeChatEndpointLeft
	default:
		return causeChatEvicted
	}
}

// holders reports whether present endpoints hold more than the given tokens of the key, and whether one of them
// has room.
func (s *simulation) findCached(key uint64, tokens int) (isCached, hasCapacity bool) {
	for i := range s.endpoints {
		if e := &s.endpoints[i]; !e.isAbsent && e.cache.tokens(key) > tokens {
			isCached, hasCapacity = true, hasCapacity || s.admits(i)
		}
	}
	return isCached, hasCapacity
}
