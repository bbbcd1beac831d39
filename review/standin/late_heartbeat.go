package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["lateHeartbeat"] = lateHeartbeat }

// lateHeartbeat restarts the replicas of a service one after the other, each under the ID and at the address that it had
// and with the other of two software versions. With trouble, the first heartbeat of each start arrives a second late.
func lateHeartbeat(ctx context.Context, rec *record, trouble bool) (breaks []string, err error) {
	const (
		pieces    = 8
		clients   = 24
		down      = 300 * time.Millisecond
		pause     = 700 * time.Millisecond
		lateness  = time.Second
		maxJoined = 2 // streams of two versions that the rule allows
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
		first := 1
		if last := r.request.Header.Get("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &first)
			first++
		}
		if !r.streamHead() {
			return false
		}
		for i := first; i <= pieces; i++ {
			if !r.chunk(event(i, r.replica.id+" of version "+r.replica.version)) {
				return false
			}
			time.Sleep(60 * time.Millisecond)
		}
		return r.endChunks()
	}
	var replicas []*replica
	for i := range 4 {
		p, err := startReplica(f, fmt.Sprintf("i-model-%d", i+1), "models", zones[i%len(zones)], versions[i%2], handle)
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, p)
	}
	defer func() {
		for _, p := range replicas {
			p.crash()
		}
	}()
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(stabilityWindow + time.Second)
	end := time.Now().Add(40 * time.Second)
	var (
		wg                       sync.WaitGroup
		mu                       sync.Mutex
		total, continued, joined int
		example                  string
	)
	for w := range clients {
		wg.Go(func() {
			c := newClient()
			for i := 0; time.Now().Before(end); i++ {
				a := f.request(c, f.machines[rand.IntN(len(f.machines))], http.MethodPost, fmt.Sprintf("/manifest/%d/%d", w, i),
					4*time.Second, "manifest")
				byReplica, byVersion := map[string]bool{}, map[string]bool{}
				for line := range strings.Lines(a.body) {
					if fields := strings.Fields(line); len(fields) == 8 {
						byReplica[fields[4]], byVersion[fields[7]] = true, true
					}
				}
				mu.Lock()
				total++
				if len(byReplica) > 1 {
					continued++
				}
				if len(byVersion) > 1 {
					joined++
					example = a.body
				}
				mu.Unlock()
			}
		})
	}
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(pause)
		late := time.Duration(0)
		if trouble {
			late = lateness
		}
		old := replicas[i%len(replicas)]
		version := versions[0]
		if old.version == version {
			version = versions[1]
		}
		old.crash()
		time.Sleep(down)
		p, err := old.restart(version, late)
		if err != nil {
			return nil, err
		}
		replicas[i%len(replicas)] = p
	}
	wg.Wait()
	rec.printf("%d streams, %d went on at another replica, %d hold events of two versions", total, continued, joined)
	if joined > maxJoined {
		breaks = append(breaks, fmt.Sprintf("ORDER: %d of %d streams that went on at another replica hold events of two "+
			"software versions, for example %q", joined, continued, example))
	}
	return breaks, nil
}

// versions are the software versions of the replicas.
var versions = []string{"v1", "v2"}
