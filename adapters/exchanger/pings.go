package exchanger

import (
	"sync"
	"time"
)

const (
	// maxSentPings is the number of pings whose time a subscriber keeps; an instance refers to one of the last two.
	maxSentPings = 8

	// maxAfterPing bounds the time between a ping and a confirmation, so that a malformed one does not overflow.
	maxAfterPing = time.Hour
)

// sentPings holds when a subscriber sent its last pings. The hello of the subscription is ping 0.
type sentPings struct {
	mu    sync.Mutex
	count uint64
	times [maxSentPings]time.Time
}

// add records a ping that is about to be sent and returns its number.
func (p *sentPings) add(now time.Time) (number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	number = p.count
	p.times[number%maxSentPings] = now
	p.count++
	return number
}

// sentAt returns when a ping was sent; ok is false for one that is unknown or too old.
func (p *sentPings) sentAt(number uint64) (at time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if number >= p.count || p.count-number > maxSentPings {
		return time.Time{}, false
	}
	return p.times[number%maxSentPings], true
}

// receivedPing is the last ping that an instance has received from a subscriber.
type receivedPing struct {
	number uint64
	at     time.Time
}
