package node

import (
	"context"
	"strings"
	"sync"
	"time"

	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/registrar"
)

const (
	// departureTimeout bounds the commit of a departure; endpoints try another node after 1 s.
	departureTimeout = 900 * time.Millisecond

	// departureBatchDelay collects the departures of endpoints that leave together into one log entry.
	departureBatchDelay = 10 * time.Millisecond

	// maxDepartureBatch bounds the departures in one log entry.
	maxDepartureBatch = 512

	// maxLoggedDepartures bounds the endpoints that a log line names.
	maxLoggedDepartures = 8
)

// departures commits departures of endpoints in batches.
type departures struct {
	commit func(ctx context.Context, list []registrar.Departure) error

	mu    sync.Mutex
	batch *departureBatch // that accepts departures; nil if there is none
}

type departureBatch struct {
	list []registrar.Departure
	done chan struct{} // closed when err is set
	err  error
}

// add commits a departure together with others.
func (q *departures) add(ctx context.Context, d registrar.Departure) error {
	q.mu.Lock()
	b := q.batch
	if b == nil {
		b = &departureBatch{done: make(chan struct{})}
		q.batch = b
		time.AfterFunc(departureBatchDelay, func() { q.flush(b) })
	}
	b.list = append(b.list, d)
	if len(b.list) >= maxDepartureBatch {
		q.batch = nil
	}
	q.mu.Unlock()
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return &UnavailableError{Reason: ctx.Err().Error()}
	}
}

func (q *departures) flush(b *departureBatch) {
	q.mu.Lock()
	if q.batch == b {
		q.batch = nil
	}
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), departureTimeout)
	defer cancel()
	b.err = q.commit(ctx, b.list)
	close(b.done)
}

// commitDeparture returns nil once a quorum of the control instances has stored the departure, so that no restart makes
// the fleet forget it.
func (f *fleet) commitDeparture(ctx context.Context, d registrar.Departure) error {
	if f.control.stateMachine.HasDeparted(d) {
		return nil
	}
	return f.departures.add(ctx, d)
}

// proposeDepartures commits a batch of departures and logs the result.
func (f *fleet) proposeDepartures(ctx context.Context, list []registrar.Departure) error {
	ids := make([]string, 0, maxLoggedDepartures)
	for _, d := range list[:min(len(list), maxLoggedDepartures)] {
		ids = append(ids, d.ID)
	}
	start := time.Now()
	if err := f.control.propose(ctx, fleetapplier.Command{Departures: list}); err != nil {
		f.log.failure("msg", "departures not acknowledged", "endpoints", len(list), "first", strings.Join(ids, ","),
			"err", err)
		return err
	}
	f.log.event("departures committed", "endpoints", len(list), "first", strings.Join(ids, ","),
		"ms", time.Since(start).Milliseconds())
	return nil
}

// recordDepartures applies departures from the log to the endpoints.
func (f *fleet) recordDepartures(list []registrar.Departure) {
	now := time.Now()
	var changed []registrar.Endpoint
	f.mu.Lock()
	for _, d := range list {
		if e, ok := f.endpoints.RecordDeparture(now, d); ok {
			changed = append(changed, e)
		}
	}
	f.mu.Unlock()
	if len(changed) > 0 {
		f.publishEndpoints(changed, "log")
	}
}
