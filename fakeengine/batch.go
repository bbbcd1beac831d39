package fakeengine

import (
	"context"
	"time"
)

// Stats holds counts since New; crashes do not reset them.
type Stats struct {
	// Started counts the requests that arrived while the engine was up and had a model loaded.
	Started        int `json:"started"`
	PromptTokens   int `json:"promptTokens"` // of requests that reached prefill
	CachedTokens   int `json:"cachedTokens"`
	ComputedTokens int `json:"computedTokens"`
	// InFlight and PeakInFlight count running and waiting requests.
	InFlight     int `json:"inFlight"`
	PeakInFlight int `json:"peakInFlight"`
	Running      int `json:"running"`
	// Overloads counts the requests that arrived while a cold engine was at its cold capacity.
	Overloads       int  `json:"overloads"`
	Completions     int  `json:"completions"`
	Cancelled       int  `json:"cancelled"`
	Crashes         int  `json:"crashes"`
	Commands        int  `json:"commands"`
	CommandsRefused int  `json:"commandsRefused"`
	Cold            bool `json:"cold"`
	// TurnedAway counts the requests above Config.MaxInFlight.
	TurnedAway int `json:"turnedAway"`
}

// batchWaiter is a request that waits for a slot in the batch or has one.
type batchWaiter struct {
	priority   int
	admitted   chan struct{}
	isAdmitted bool
}

// loadSample is the number of running and waiting requests at one time.
type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// hasRoom reports whether one more request may be in flight, and counts those that may not.
func (e *Engine) hasRoom() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.MaxInFlight == 0 || e.stats.InFlight < e.cfg.MaxInFlight {
		return true
	}
	e.stats.TurnedAway++
	return false
}

// acquireSlot counts a request and waits for a slot in the batch; lower values of priority are admitted first.
func (e *Engine) acquireSlot(ctx context.Context, priority int) (release func(completed bool), err error) {
	waiter := &batchWaiter{priority: priority, admitted: make(chan struct{})}
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
	e.waiting[i] = waiter
	e.fillBatch()
	e.mu.Unlock()
	processCtx := e.processContext()
	select {
	case <-waiter.admitted:
		return func(completed bool) { e.releaseSlot(processCtx, waiter, completed) }, nil
	case <-ctx.Done():
		e.releaseSlot(processCtx, waiter, false)
		return nil, ctx.Err()
	}
}

// fillBatch admits waiting requests to free slots and records a load sample.
func (e *Engine) fillBatch() {
	for len(e.waiting) > 0 && e.stats.Running < e.cfg.MaxBatch {
		waiter := e.waiting[0]
		e.waiting = e.waiting[1:]
		waiter.isAdmitted = true
		e.stats.Running++
		close(waiter.admitted)
	}
	e.loadSamples = append(e.loadSamples, loadSample{at: time.Now(), running: e.stats.Running, waiting: len(e.waiting)})
	if len(e.loadSamples) > maxEvents {
		e.loadSamples = append(e.loadSamples[:0], e.loadSamples[maxEvents/2:]...)
	}
}

func (e *Engine) releaseSlot(processCtx context.Context, waiter *batchWaiter, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.InFlight--
	if waiter.isAdmitted {
		e.stats.Running--
	} else {
		for i, other := range e.waiting {
			if other == waiter {
				e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
				break
			}
		}
	}
	switch {
	case completed:
		e.stats.Completions++
		e.completionsSinceCold++
	case processCtx.Err() == nil:
		e.stats.Cancelled++
	}
	e.fillBatch()
}

func (e *Engine) isCold() bool { return e.completionsSinceCold < e.cfg.ColdCompletions }

func (e *Engine) coldCapacity() int { return e.cfg.ColdCapacity + e.completionsSinceCold }

// slowdown returns the factor for all times; it is larger than 1 while the engine is cold, most of all if overloaded.
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
	batchFactor := 1 + e.cfg.BatchSlope*float64(e.stats.Running-1)
	return time.Duration(float64(e.cfg.TokenGap) * batchFactor * e.slowdown())
}

// prefill returns the time to the first token and the number of cached prompt tokens, and updates the token counts.
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

// laggedSample returns the latest sample that is at least LoadLag old.
func (e *Engine) laggedSample(now time.Time) (s loadSample) {
	for i := len(e.loadSamples) - 1; i >= 0; i-- {
		if now.Sub(e.loadSamples[i].at) >= e.cfg.LoadLag {
			return e.loadSamples[i]
		}
	}
	return loadSample{}
}
