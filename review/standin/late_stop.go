package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["lateStop"] = lateStop }

// lateStop stops one machine with SIGTERM while clients use their open connections: a stream that is sent some more than
// 3 s after the SIGTERM is accepted, passed on, and then broken off within the grace time.
func lateStop(ctx context.Context, rec *record, trouble bool) (breaks []string, err error) {
	const (
		pieces   = 30
		interval = 200 * time.Millisecond // within gapAimMs
	)
	f, err := startFleet(rec, 3, 0)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	if err := f.configure(ctx, labelsConfig); err != nil {
		return nil, err
	}
	handle := func(r *run) bool {
		n := pieces
		if strings.HasSuffix(r.request.RequestURI, "/short") {
			n = 1
		}
		if !r.streamHead() {
			return false
		}
		for i := 1; i <= n; i++ {
			if !r.chunk(event(i, r.replica.id)) {
				rec.printf("replica %s was cut off in request %s after event %d", r.replica.id, r.id, i-1)
				return false
			}
			if i < n {
				time.Sleep(interval)
			}
		}
		return r.endChunks()
	}
	for i := range 3 {
		p, err := startReplica(f, fmt.Sprintf("i-model-%d", i+1), "models", zones[i%3], "v1", handle)
		if err != nil {
			return nil, err
		}
		defer p.crash()
	}
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(stabilityWindow + time.Second)
	m := f.machines[2]
	var wg sync.WaitGroup
	var mu sync.Mutex
	var stopAt time.Time
	warm := make(chan struct{})
	for i, after := range []time.Duration{3020, 3050, 3080, 3110, 3140} {
		c := newClient()
		f.request(c, m, http.MethodPost, fmt.Sprintf("/archive/%d/short", i), 12*time.Second, "label batch")
		wg.Go(func() {
			<-warm
			time.Sleep(time.Until(stopAt.Add(after * time.Millisecond)))
			sent := time.Since(stopAt)
			a := f.request(c, m, http.MethodPost, fmt.Sprintf("/archive/%d/long", i), 12*time.Second, "label batch")
			if a.status == http.StatusOK && !a.isComplete {
				mu.Lock()
				defer mu.Unlock()
				breaks = append(breaks, fmt.Sprintf("LOST: request %s, sent %d ms after the SIGTERM, was read and passed on, "+
					"and its answer was broken off %.1f s after the SIGTERM with %d of %d pieces", a.id, sent.Milliseconds(),
					(sent+a.duration).Seconds(), strings.Count(a.body, "id: "), pieces))
			}
		})
	}
	stopAt = time.Now()
	if trouble {
		f.signal(m, syscall.SIGTERM)
	}
	close(warm)
	wg.Wait()
	return breaks, nil
}
