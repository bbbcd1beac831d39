package fakeengine

import (
	"context"
	"time"
)

// Stats are counts since New; they survive crashes.
type Stats struct {
	// Started counts all requests that reached the engine while it was up and had its model.
	Started        int `json:"started"`
	PromptTokens   int `json:"promptTokens"` // of requests that reached prefill
	CachedTokens   int `json:"cachedTokens"`
	ComputedTokens int `json:"computedTokens"`
	// InFlight and PeakInFlight count running and waiting requests.
	InFlight     int `json:"inFlight"`
	PeakInFlight int `json:"peakInFlight"`
	Running      int `json:"running"`
	// Overloads counts the requests that a cold engine got beyond what it bears.
	Overloads       int  `json:"overloads"`
	Completions     int  `json:"completions"`
	Cancelled       int  `json:"cancelled"`
	Crashes         int  `json:"crashes"`
	Commands        int  `json:"commands"`
	CommandsRefused int  `json:"commandsRefused"`
	Cold            bool `json:"cold"`
}

type batchWaiter struct {
	priority   int
	admitted   chan struct{}
	isAdmitted bool
}

type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// enter counts a request, and waits for a place in the batch; lower priorities go first.
func (e *Engine) acquireSlot(ctx context.Context, priority int) (leave func(completed bool), err error) {
	t := &batchWaiter{priority: priority, admitted: make(chan struct{})}
	e.mu.Lock()
	e.stats.Started++
	e.stats.InFlight++
	e.stats.PeakInFlight = max(e.stats.PeakInFlight, e.stats.InFlight)
	if e.isCold() && e.stats.InFlight > e.coldCapacity() {
		e.stats.Overloads++
	}
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].priority > priority {
		i--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = t
	e.fillBatch()
	e.mu.Unlock()
	life := e.processContext()
	select {
	case <-t.admitted:
		return func(completed bool) { e.releaseSlot(life, t, completed) }, nil
	case <-ctx.Done():
		e.releaseSlot(life, t, false)
		return nil, ctx.Err()
	}
}

func (e *Engine) fillBatch() {
	for len(e.waiting) > 0 && e.stats.Running < e.cfg.MaxBatch {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		t.isAdmitted = true
		e.stats.Running++
		close(t.admitted)
	}
	e.loadSamples = append(e.loadSamples, loadSample{at: time.Now(), running: e.stats.Running, waiting: len(e.waiting)})
	if len(e.loadSamples) > maxEvents {
		e.loadSamples = append(e.loadSamples[:0], e.loadSamples[maxEvents/2:]...)
	}
}

func (e *Engine) releaseSlot(life context.Context, t *batchWaiter, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.InFlight--
	if t.isAdmitted {
		e.stats.Running--
	} else {
		for i, other := range e.waiting {
			if other == t {
				e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
				break
			}
		}
	}
	switch {
	case completed:
		e.stats.Completions++
		e.completionsSinceCold++
	case life.Err() == nil:
		e.stats.Cancelled++
	}
	e.fillBatch()
}

func (e *Engine) isCold() bool { return e.completionsSinceCold < e.cfg.ColdCompletions }

func (e *Engine) coldCapacity() int { return e.cfg.ColdCapacity + e.completionsSinceCold }

// slowdown multiplies times: cold, and collapsed while a cold engine holds more than it bears.
func (e *Engine) slowdown() float64 {
	switch {
	case !e.isCold():
		return 1
	case e.stats.InFlight > e.coldCapacity():
		return e.cfg.ColdFactor * coldOverloadFactor
	default:
		return e.cfg.ColdFactor
	}
}

func (e *Engine) tokenGap() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := 1 + e.cfg.BatchSlope*float64(e.stats.Running-1)
	return time.Duration(float64(e.cfg.TokenGap) * batch * e.slowdown())
}

// prefill returns the time until the first token and the number of cached prompt tokens, and counts them.
func (e *Engine) prefill(hashes []uint64, tokens int) (wait time.Duration, cached int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached = e.cache.match(hashes)
	e.stats.PromptTokens += tokens
	e.stats.CachedTokens += cached
	e.stats.ComputedTokens += tokens - cached
	wait = e.cfg.FirstToken + time.Duration(tokens-cached)*e.cfg.PrefillPerToken
	return time.Duration(float64(wait) * e.slowdown()), cached
}

// lagging returns the newest sample that is at least LoadLag old.
func (e *Engine) laggedSample(now time.Time) (s loadSample) {
	for i := len(e.loadSamples) - 1; i >= 0; i-- {
		if now.Sub(e.loadSamples[i].at) >= e.cfg.LoadLag {
			return e.loadSamples[i]
		}
	}
	return loadSample{}
}
