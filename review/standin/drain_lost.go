package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["drainLost"] = drainLost }

const (
	// drainTime is drainMs, and stabilityWindow is stabilityWindowMs of the settings.
	drainTime       = 2 * time.Second
	stabilityWindow = 3 * time.Second
)

// drainLost takes two replicas away, which deregister first and go on serving for some seconds. Then all processes of
// the core are killed and are back within a second.
func drainLost(ctx context.Context, rec *record, trouble bool) (breaks []string, err error) {
	f, err := startFleet(rec, 3, 0)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	if err := f.configure(ctx, labelsConfig); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	goneAt := map[string]time.Time{} // by replica, when its departure was acknowledged
	handle := func(r *run) bool {
		mu.Lock()
		at, isGone := goneAt[r.replica.id]
		if late := time.Since(at); isGone && late > drainTime {
			breaks = append(breaks, fmt.Sprintf("DRAIN: request %s reached replica %s %.1f s after its departure was "+
				"acknowledged", r.id, r.replica.id, late.Seconds()))
		}
		mu.Unlock()
		return r.respond("200 OK", "label record")
	}
	var replicas []*replica
	for i := range 5 {
		p, err := startReplica(f, fmt.Sprintf("i-app-%d", i+1), "app", zones[i%3], "v1", handle)
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, p)
		defer p.crash()
	}
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	sendAll(f, 30, "before")
	time.Sleep(time.Second)
	for _, p := range replicas[3:] {
		p.cancel() // no more heartbeats
		if err := f.order(ctx, http.MethodDelete, "/replicas/"+p.id, ""); err != nil {
			return nil, err
		}
		mu.Lock()
		goneAt[p.id] = time.Now()
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		for _, m := range f.machines {
			f.signal(m, syscall.SIGKILL)
		}
		time.Sleep(700 * time.Millisecond)
		for _, m := range f.machines {
			<-m.exited
			if err := f.start(m, false); err != nil {
				return nil, err
			}
		}
	}
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(stabilityWindow + 200*time.Millisecond)
	sendAll(f, 60, "after")
	return breaks, nil
}

// sendAll sends safe requests, in turn to each machine.
func sendAll(f *fleet, n int, name string) {
	for i := range n {
		f.request(newClient(), f.machines[i%len(f.machines)], http.MethodGet, fmt.Sprintf("/lookup/%s/%d", name, i),
			1500*time.Millisecond, "")
	}
}
