package replayer

import "time"

// missCause is the reason why a part of a prompt was not reused.
type missCause int

// Causes of missed tokens. Only the first that applies counts, so that the counts add up to all missed tokens.
const (
	// causePrefixUncached is a shared prefix that no present endpoint has cached.
	causePrefixUncached missCause = iota
	// causePrefixMisplaced is a shared prefix that another endpoint below the load bound has cached.
	causePrefixMisplaced
	// causePrefixOverflow is a shared prefix that only endpoints at the load bound have cached.
	causePrefixOverflow
	// causeChatMisplaced is a chat of which another endpoint below the load bound has cached more.
	causeChatMisplaced
	// causeChatOverflow is a chat of which only endpoints at the load bound have cached more.
	causeChatOverflow
	// causeChatEndpointLeft is a chat whose last endpoint is absent or has rejoined with an empty cache.
	causeChatEndpointLeft
	// causeChatEvicted is a chat that its last endpoint has evicted.
	causeChatEvicted
	numCauses
)

var missCauseNames = [numCauses]string{
	"prefixNowhere", "prefixMissed", "prefixSpilled", "chatMissed", "chatSpilled", "chatLeft", "chatEvicted",
}

// MissedTokens is the number of prompt tokens that were not reused, by cause.
type MissedTokens [numCauses]int64

type placement struct {
	endpoint int
	at       time.Duration
}

// recordMisses counts the tokens of the request that endpoint n has not cached; it must be called before the request
// changes the cache.
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

// findCached reports whether a present endpoint has cached more than the given tokens of the key, and whether one of
// these endpoints is below the load bound.
func (s *simulation) findCached(key uint64, tokens int) (isCached, hasCapacity bool) {
	for i := range s.endpoints {
		if e := &s.endpoints[i]; !e.isAbsent && e.cache.tokens(key) > tokens {
			isCached, hasCapacity = true, hasCapacity || s.admits(i)
		}
	}
	return isCached, hasCapacity
}
