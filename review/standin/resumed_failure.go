package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["resumedFailure"] = resumedFailure }

// failures are the responses with which replicas fail requests.
var failures = []string{"404 Not Found", "409 Conflict", "429 Too Many Requests"}

// resumedFailure lets replicas fail two fifths of the requests of some clients: one replica breaks a resumable stream
// off, and the replica at which the system goes on responds with a failure.
func resumedFailure(ctx context.Context, rec *record, trouble bool) (breaks []string, err error) {
	const (
		pieces      = 6
		brokenAfter = 3
		failureBody = `{"error":"this replica cannot go on"}`
	)
	f, err := startFleet(rec, 3, 0)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	if err := f.configure(ctx, labelsConfig); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	attempts := map[string]int{} // runs by request ID
	handle := func(r *run) bool {
		mu.Lock()
		attempts[r.id]++
		attempt := attempts[r.id]
		mu.Unlock()
		var number int
		_, _ = fmt.Sscanf(r.request.RequestURI, "/manifest/%d", &number)
		fails := trouble && number%5 == 0
		if fails && attempt == 2 {
			return r.respond(failures[number/5%len(failures)], failureBody)
		}
		first := 1
		if last := r.request.Header.Get("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &first)
			first++
		}
		if !r.streamHead() {
			return false
		}
		for i := first; i <= pieces; i++ {
			if !r.chunk(event(i, r.replica.id)) {
				return false
			}
			if fails && i == brokenAfter {
				r.reset()
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
		return r.endChunks()
	}
	for i := range 4 {
		p, err := startReplica(f, fmt.Sprintf("i-model-%d", i+1), "models", zones[i%len(zones)], "v1", handle)
		if err != nil {
			return nil, err
		}
		defer p.crash()
	}
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(stabilityWindow + time.Second)
	for i := range 30 {
		a := f.request(newClient(), f.machines[i%len(f.machines)], http.MethodPost, fmt.Sprintf("/manifest/%d", i),
			4*time.Second, "manifest")
		if a.status/100 != 2 || !a.isComplete {
			continue
		}
		for _, piece := range strings.SplitAfter(a.body, "\n\n") {
			if piece != "" && !strings.HasPrefix(piece, "id: ") {
				breaks = append(breaks, fmt.Sprintf("MIXED: request %s got a success that looks complete, in which %q, the "+
					"body of a failure, follows the pieces", a.id, piece))
			}
		}
	}
	return breaks, nil
}
