package arranger

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/summer"
)

const (
	// MaxParts bounds the parts that one router remembers; beyond it, unused ones are forgotten first.
	MaxParts = 1024

	// MaxCopies bounds the copies of one part.
	MaxCopies = 64

	// demandWindow is the time constant of the counts of requests for a part: copies follow demand that lasts longer
	// than a second.
	demandWindow = 3 * time.Second

	// partTTL is how long an unused part counts toward the memory that parts need.
	partTTL = 30 * time.Second

	// sumTTL is how long the sums of all routers are valid.
	sumTTL = 2 * time.Second

	// publishedCount and droppedCount are the own counts at which the demand for a part is published and no longer
	// published, and maxPublished bounds the published parts. The usual copies serve parts of lower demand.
	publishedCount = 1.2
	droppedCount   = 0.5
	maxPublished   = 64

	// sureCount is the own count from which a router assumes that the others have as many requests for a part: the sums
	// show a sudden demand only after about a second.
	sureCount = 2.3

	// sampleSize is the number of parts, those with the lowest keys, that all routers publish together to estimate the
	// number of all parts; its standard error is 18%.
	sampleSize = 32

	// usualCopies is the number of copies of each part while the memory suffices: one may refuse, restart or crash.
	usualCopies = 2

	// maxMemoryFraction is the fraction of the memory of all endpoints that the usual copies may take; running requests
	// and parts of single sessions need the rest.
	maxMemoryFraction = 0.5

	// loweringFactor is the fraction of the demand that added a copy below which the copy is given up.
	loweringFactor = 0.7
)

// Capacity describes the endpoints of a service.
type Capacity struct {
	Routers   int
	Endpoints int
	Tokens    float64 // that one endpoint caches; 0 means unknown
	PerCopy   float64 // requests in flight that one copy of a part serves within the load bound
	HoldTime  float64 // seconds that a request is in flight
}

// Change is a new number of copies of a part.
type Change struct {
	Part          placer.Key
	Before, After int
	PerSecond     float64 // requests of all routers
}

// Holder identifies an endpoint by its ID and start time.
type Holder struct {
	ID   string
	Born int64
}

type part struct {
	demandKey   string
	count       float64 // of requests of this router, at countedAt
	countedAt   time.Time
	tokens      int
	isPublished bool
	copies      int
	holder      Holder // that answered a prompt with the part last
}

// Arranger holds the parts of prompts for one service as one router knows them; it is not safe for concurrent use.
type Arranger struct {
	demandPrefix, samplePrefix string // of keys of sums

	parts    map[placer.Key]*part
	usual    int      // copies of a part of low demand
	capacity Capacity // at the last call of Arrange
	isShared bool     // whether sums of all routers were valid then

	published []*part      // buffer of publishDemand
	sampled   []placer.Key // published
	lowest    []placer.Key // buffer of publishSample
}

// New returns an arranger without parts for a service.
func New(service string) *Arranger {
	return &Arranger{demandPrefix: "part/demand/" + service + "/", samplePrefix: "part/sample/" + service + "/",
		parts: map[placer.Key]*part{}, usual: 1}
}

// Record counts a request of this router for a prompt whose last shared part has the key. It returns the number of
// copies of that part, and whether the demand for it asks for more than the usual ones.
func (a *Arranger) Record(now time.Time, l *summer.Ledger, key placer.Key, tokens int) (copies int,
	isHot bool) {
	p := a.parts[key]
	if p == nil {
		if len(a.parts) >= MaxParts {
			a.removeOldest(l)
		}
		p = &part{demandKey: keyName(a.demandPrefix, key)}
		p.copies, _ = a.copiesFor(p, l)
		a.parts[key] = p
	}
	p.count, p.countedAt, p.tokens = p.countAt(now)+1, now, tokens
	copies = p.copies
	if p.count >= sureCount {
		copies = max(copies, a.copiesAt(p.count*float64(a.capacity.Routers)/demandWindow.Seconds()))
	}
	return max(a.usual, copies), copies > usualCopies
}

func keyName(prefix string, key placer.Key) string { return prefix + fmt.Sprintf("%016x", uint64(key)) }

func (p *part) countAt(now time.Time) float64 {
	if p.count == 0 {
		return 0
	}
	return p.count * math.Exp(-now.Sub(p.countedAt).Seconds()/demandWindow.Seconds())
}

func (a *Arranger) removeOldest(l *summer.Ledger) {
	var oldest placer.Key
	var found *part
	for key, p := range a.parts {
		if found == nil || p.countedAt.Before(found.countedAt) || p.countedAt.Equal(found.countedAt) && key < oldest {
			oldest, found = key, p
		}
	}
	a.remove(l, oldest)
}

func (a *Arranger) remove(l *summer.Ledger, key placer.Key) {
	l.Set(a.parts[key].demandKey, 0)
	delete(a.parts, key)
}

// RecordAnswered records that an endpoint has begun to answer a prompt with the part, which it holds from then on.
func (a *Arranger) RecordAnswered(key placer.Key, h Holder) {
	if p := a.parts[key]; p != nil {
		p.holder = h
	}
}

// Holder returns the endpoint that last answered a prompt with the part to this router; the zero value if there is
// none.
func (a *Arranger) Holder(key placer.Key) Holder {
	if p := a.parts[key]; p != nil {
		return p.holder
	}
	return Holder{}
}

// Arrange publishes the own demand and derives the numbers of copies from the demand of all routers. The copies of a
// part are at the first endpoints of its ranking, so that routers with different sums differ in the last copies only.
// It returns the changes of parts whose demand asks for more than the usual copies, in the order of their demand.
func (a *Arranger) Arrange(now time.Time, l *summer.Ledger, c Capacity) (changes []Change) {
	age, known := l.Age(now)
	a.capacity, a.isShared = c, known && age <= sumTTL
	for key, p := range a.parts {
		if now.Sub(p.countedAt) > partTTL {
			a.remove(l, key)
		}
	}
	a.publishDemand(now, l)
	a.usual = a.usualCopies(a.publishSample(l))
	for key, p := range a.parts {
		copies, rate := a.copiesFor(p, l)
		if before, after := max(a.usual, p.copies), max(a.usual, copies); before != after {
			changes = append(changes, Change{Part: key, Before: before, After: after, PerSecond: rate})
		}
		p.copies = copies
	}
	slices.SortFunc(changes, func(x, y Change) int {
		return cmp.Or(cmp.Compare(y.PerSecond, x.PerSecond), cmp.Compare(x.Part, y.Part))
	})
	return changes
}

// publishDemand publishes the counts of the parts for which this router has the most requests.
func (a *Arranger) publishDemand(now time.Time, l *summer.Ledger) {
	a.published = a.published[:0]
	for _, p := range a.parts {
		n := p.countAt(now)
		if n >= publishedCount || p.isPublished && n >= droppedCount {
			a.published = append(a.published, p)
		}
		p.isPublished = false
		l.Set(p.demandKey, 0)
	}
	slices.SortFunc(a.published, func(x, y *part) int {
		return cmp.Or(cmp.Compare(y.countAt(now), x.countAt(now)), cmp.Compare(x.demandKey, y.demandKey))
	})
	for _, p := range a.published[:min(len(a.published), maxPublished)] {
		p.isPublished = true
		l.Set(p.demandKey, p.countAt(now))
	}
}

// publishSample publishes the parts of this router that are among the sampleSize lowest ones of all routers, and
// returns the estimated number of parts that all routers together use.
func (a *Arranger) publishSample(l *summer.Ledger) (parts float64) {
	a.lowest = a.lowest[:0]
	for key := range a.parts {
		a.lowest = append(a.lowest, key)
	}
	if a.isShared {
		for _, name := range l.Keys(a.samplePrefix) {
			if n, err := strconv.ParseUint(name[len(a.samplePrefix):], 16, 64); err == nil {
				a.lowest = append(a.lowest, placer.Key(n))
			}
		}
	}
	slices.Sort(a.lowest)
	a.lowest = slices.Compact(a.lowest)
	parts = float64(len(a.lowest))
	if len(a.lowest) >= sampleSize {
		a.lowest = a.lowest[:sampleSize]
		parts = (sampleSize - 1) * math.MaxUint64 / max(1, float64(a.lowest[sampleSize-1]))
	}
	for _, key := range a.sampled {
		if _, found := slices.BinarySearch(a.lowest, key); !found {
			l.Set(keyName(a.samplePrefix, key), 0)
		}
	}
	a.sampled = a.sampled[:0]
	for _, key := range a.lowest {
		if a.parts[key] != nil {
			a.sampled = append(a.sampled, key)
			l.Set(keyName(a.samplePrefix, key), 1)
		}
	}
	return parts
}

// usualCopies returns the number of copies of each part for which the memory of all endpoints suffices. Without sums
// of the other routers the number of their parts is unknown; there is one copy then, at the first endpoint of the
// ranking.
func (a *Arranger) usualCopies(parts float64) int {
	c := a.capacity
	if len(a.parts) == 0 || c.Endpoints < usualCopies || c.Routers > 1 && !a.isShared {
		return 1
	}
	tokens := 0
	for _, p := range a.parts {
		tokens += p.tokens
	}
	available := maxMemoryFraction * c.Tokens * float64(c.Endpoints)
	if a.usual == 1 {
		available *= loweringFactor
	}
	if needed := usualCopies * parts * float64(tokens) / float64(len(a.parts)); c.Tokens > 0 && needed > available {
		return 1
	}
	return usualCopies
}

// copiesFor returns the number of copies that the demand for a part asks for, and the demand.
func (a *Arranger) copiesFor(p *part, l *summer.Ledger) (copies int, perSecond float64) {
	count := l.Own(p.demandKey) * float64(a.capacity.Routers)
	if a.isShared {
		count = l.Total(p.demandKey)
	}
	perSecond = count / demandWindow.Seconds()
	copies = a.copiesAt(perSecond)
	if copies < p.copies {
		copies = min(p.copies, a.copiesAt(perSecond/loweringFactor))
	}
	return copies, perSecond
}

// copiesAt returns the number of copies that serve requests at a rate.
func (a *Arranger) copiesAt(perSecond float64) int {
	c := &a.capacity
	if !(c.PerCopy > 0) {
		return 1
	}
	copies := math.Ceil(min(perSecond*c.HoldTime/c.PerCopy, MaxCopies))
	return max(1, min(int(copies), c.Endpoints))
}

// Summary describes an arrangement.
type Summary struct {
	Parts     int // that this router knows
	Usual     int // copies of each part of low demand
	Extended  int // parts with more copies
	MaxCopies int // of one part
}

// Summary returns the arrangement as of the last call of Arrange.
func (a *Arranger) Summary() Summary {
	s := Summary{Parts: len(a.parts), Usual: a.usual, MaxCopies: a.usual}
	for _, p := range a.parts {
		if p.copies > a.usual {
			s.Extended++
			s.MaxCopies = max(s.MaxCopies, p.copies)
		}
	}
	return s
}
