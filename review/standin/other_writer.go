package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["otherWriter"] = otherWriter }

// otherWriter lets another writer register entries of a service that no configuration names at the addresses of sound
// replicas, which go on with their heartbeats.
func otherWriter(ctx context.Context, rec *record, trouble bool) (breaks []string, err error) {
	f, err := startFleet(rec, 3, 0)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	if err := f.configure(ctx, labelsConfig); err != nil {
		return nil, err
	}
	handle := func(r *run) bool { return r.respond("200 OK", "label record") }
	var replicas []*replica
	for i := range 4 {
		p, err := startReplica(f, fmt.Sprintf("i-app-%d", i+1), "app", zones[i%len(zones)], "v1", handle)
		if err != nil {
			return nil, err
		}
		defer p.crash()
		replicas = append(replicas, p)
	}
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(stabilityWindow + time.Second)
	served := func(name string) (n int) {
		for i := range 30 {
			a := f.request(newClient(), f.machines[i%len(f.machines)], http.MethodGet, fmt.Sprintf("/lookup/%s/%d", name, i),
				1500*time.Millisecond, "")
			if a.status == http.StatusOK {
				n++
			}
		}
		return n
	}
	before := served("before")
	if trouble {
		for i, p := range replicas {
			body := fmt.Sprintf(`{"service":"not-named","address":%q,"zone":%q,"version":"w1","slots":64,"state":"ready",`+
				`"coldRemainingMs":0,"born":%d,"sequence":1}`, p.ln.Addr(), p.zone, time.Now().UnixMilli())
			if err := f.order(ctx, http.MethodPut, fmt.Sprintf("/replicas/w-%d", i+1), body); err != nil {
				rec.printf("other writer: %v", err)
			}
		}
	}
	time.Sleep(stabilityWindow + time.Second)
	after := served("after")
	rec.printf("served %d of 30 before, %d of 30 after", before, after)
	if before > 0 && after == 0 {
		breaks = append(breaks, fmt.Sprintf("no request is served any more: %d of 30 before, %d of 30 after", before, after))
	}
	return breaks, nil
}
