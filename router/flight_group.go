package router

import (
	"context"
	"sync"
)

// flightGroup lets concurrent identical requests under one key share one run at this router.
type flightGroup struct {
	wg      sync.WaitGroup
	mu      sync.Mutex
	flights map[string]*flight
}

// flight is a run in progress.
type flight struct {
	done   chan struct{}
	result operationResult
}

func newFlightGroup() *flightGroup { return &flightGroup{flights: map[string]*flight{}} }

// do returns the result of the run under the key; started is true if this call started it. The run continues when the
// caller disconnects, because a cancelled operation would have an unknown outcome.
func (g *flightGroup) do(
	ctx context.Context, key string, run func() operationResult,
) (result operationResult, started bool, err error) {
	g.mu.Lock()
	f := g.flights[key]
	if f == nil {
		f = &flight{done: make(chan struct{})}
		g.flights[key] = f
		started = true
		g.wg.Go(func() {
			f.result = run()
			g.mu.Lock()
			delete(g.flights, key)
			g.mu.Unlock()
			close(f.done)
		})
	}
	g.mu.Unlock()
	select {
	case <-f.done:
		return f.result, started, nil
	case <-ctx.Done():
		return operationResult{}, started, ctx.Err()
	}
}
