package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	lossAfterStart = 700 * time.Millisecond
	firstLead      = 10 * time.Second // "Traffic starts 10 s after the machines do."
	firstTraffic   = 60 * time.Second
)

// firstStart checks that a fleet of which a machine is lost during its first start accepts a configuration
// and serves requests.
func firstStart(ctx context.Context, env *environment) (string, error) {
	rec := env.rec
	f, err := newFleet(rec, env.root, fleetOptions{disklessFirst: 1, disks: 3, diskless: 2, machines: 1, memoryMb: 284, maxFds: 4100})
	if err != nil {
		return "", err
	}
	defer f.stop()
	for i := range 2 {
		id := fmt.Sprintf("i-%d", i)
		_, err := f.startReplica(id, "shop", f.opts.zones[i], "v1", 6, "", func(c net.Conn, r *http.Request, _ []byte) bool {
			rec.printf("replica %s runs %s", id, r.Header.Get("X-Cactusroute-Request-Id"))
			time.Sleep(10 * time.Millisecond)
			return answer(c, http.StatusOK, r.Header.Get("X-Cactusroute-Request-Id"), "", []byte("stock"))
		})
		if err != nil {
			return "", err
		}
	}
	lost := f.nodes[min(max(0, envInt("LOSE", 0)), len(f.nodes)-1)] // LOSE=N loses another machine, 1 to 3 have a disk
	begun := time.Now()
	if err := f.startAll(); err != nil {
		return "", err
	}
	rest := slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return n == lost })
	if env.trouble {
		time.Sleep(time.Until(begun.Add(lossAfterStart)))
		rec.printf("platform: the machine of %s is lost", lost.name)
		lost.signal(syscall.SIGKILL)
	}
	// The operator sends the first configuration until it is accepted.
	routes := []obj{{"name": "r-stock", "host": "shop.example", "pathPrefix": "/stock/", "routeType": "safe", "timeoutMs": 1000,
		"targetLatencyMs": 150, "priority": 0, "service": "shop", "maxAttempts": 2, "public": true}}
	services := []obj{{"name": "shop", "healthPath": "/health", "maxConnections": 260, "protocol": "h1", "tls": false,
		"coldStartS": 0, "coldPerS": 0}}
	config := plan(7, routes, services, nil)
	acked := make(chan time.Duration, 1)
	octx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for i := 0; octx.Err() == nil; i++ {
			n := rest[i%len(rest)]
			status, text, err := call(time.Second, http.MethodPut, n.control, "/config", config)
			if i%20 == 0 || status == http.StatusOK {
				rec.printf("operator: PUT /config to %s: %d %.80q %v", n.name, status, text, err)
			}
			if status == http.StatusOK {
				acked <- time.Since(begun)
				return
			}
			time.Sleep(250 * time.Millisecond)
		}
	}()
	time.Sleep(time.Until(begun.Add(firstLead)))
	answers := map[string]int{}
	served := 0
	for i := 0; time.Since(begun) < firstLead+firstTraffic && (env.trouble || served < 100); i++ {
		n := rest[i%len(rest)]
		a := &attempt{id: newID(), method: http.MethodGet, target: "/stock/2f", host: "shop.example", timeout: time.Second}
		a.send(n.front)
		result := fmt.Sprintf("%d %s", a.status, a.failure())
		answers[result]++
		if a.status == http.StatusOK && a.complete {
			served++
		}
		rec.printf("client: %s to %s: %s %v", a.id, n.name, result, a.err)
		time.Sleep(250 * time.Millisecond)
	}
	after := "never"
	select {
	case d := <-acked:
		after = fmt.Sprintf("after %.1f s", d.Seconds())
	default:
	}
	result := fmt.Sprintf("the first configuration was acknowledged %s; answers %v", after, answers)
	rec.printf("%s", result)
	fmt.Println(result)
	if served == 0 {
		return "Fault: no request is served", nil
	}
	return "", nil
}
