package router

import (
	"context"
	"sync"
)

// calls lets identical requests under one key at this router share one run.
type flightGroup struct {
	wg      sync.WaitGroup
	mu      sync.Mutex
	flights map[string]*flight
}

type flight struct {
	done   chan struct{}
	result operationResult
}

func newFlightGroup() *flightGroup { return &flightGroup{flights: map[string]*flight{}} }

// do returns the result of the run under the key; it starts one if there is none. The run goes on when the caller
// leaves, because a cancelled operation would have an unknown outcome. started tells whether run was started.
func (c *flightGroup) do(ctx context.Context, key string, run func() operationResult) (r operationResult, started bool, err error) {
	c.mu.Lock()
	s := c.flights[key]
	if s == nil {
		s = &flight{done: make(chan struct{})}
		c.flights[key] = s
		started = true
		c.wg.Go(func() {
			s.result = run()
			c.mu.Lock()
			delete(c.flights, key)
			c.mu.Unlock()
			close(s.done)
		})
	}
	c.mu.Unlock()
	select {
	case <-s.done:
		return s.result, started, nil
	case <-ctx.Done():
		return operationResult{}, started, ctx.Err()
	}
}
