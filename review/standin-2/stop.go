package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// plannedStop looks for requests that a stopping machine has passed on and whose connection ends without an answer (the
// third point of issue 43). It is no case, but stays with the stand-ins because the report names it.
func plannedStop(ctx context.Context, env *environment) (string, error) {
	rec := env.rec
	f, err := newFleet(rec, env.root, fleetOptions{disks: 3, machines: 1, memoryMb: 284, maxFds: 4100})
	if err != nil {
		return "", err
	}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return "", err
	}
	var runs sync.Map
	for i := range 4 {
		id := fmt.Sprintf("i-%d", i)
		_, err := f.startReplica(id, "shop", f.opts.zones[i%3], "v1", 64, "", func(c net.Conn, r *http.Request, _ []byte) bool {
			request := r.Header.Get("X-Cactusroute-Request-Id")
			if _, again := runs.LoadOrStore(request, id); again {
				rec.printf("replica %s runs %s again", id, request)
			}
			time.Sleep(30 * time.Millisecond)
			return answer(c, http.StatusOK, request, "", []byte("stock"))
		})
		if err != nil {
			return "", err
		}
	}
	routes := []obj{{"name": "r-order", "host": "shop.example", "pathPrefix": "/order/", "routeType": "unsafe", "timeoutMs": 1000,
		"targetLatencyMs": 150, "priority": 0, "service": "shop", "maxAttempts": 1, "public": true}}
	services := []obj{{"name": "shop", "healthPath": "/health", "maxConnections": 1260, "protocol": "h1", "tls": false,
		"coldStartS": 0, "coldPerS": 0}}
	if err := f.order(ctx, http.MethodPut, "/config", plan(7, routes, services, nil)); err != nil {
		return "", err
	}
	if err := f.awaitReady(ctx); err != nil {
		return "", err
	}
	time.Sleep(stabilityWindow)
	var mu sync.Mutex
	counts := map[string]int{}
	lost := 0
	end := time.Now().Add(80 * time.Second)
	newAttempt := func() *attempt {
		return &attempt{id: newID(), method: http.MethodPost, target: "/order/2f", host: "shop.example", timeout: time.Second,
			body: []byte("x")}
	}
	note := func(kind string, n *node, a *attempt) {
		_, ran := runs.Load(a.id)
		result := fmt.Sprintf("%d %s", a.status, a.failure())
		if a.status == 0 {
			result = "no answer"
		}
		mu.Lock()
		defer mu.Unlock()
		counts[result]++
		if ran && a.status != http.StatusOK {
			if a.status == 0 || a.status == http.StatusServiceUnavailable {
				lost++
			}
			rec.printf("client: %s %s at %s ran, result %s, %v", kind, a.id, n.name, result, a.err)
		}
	}
	var wg sync.WaitGroup
	for u := range 120 {
		n := f.nodes[u%3]
		wg.Go(func() {
			for time.Now().Before(end) {
				if u%2 == 0 { // a new connection for each request
					a := newAttempt()
					a.send(n.front)
					note("new", n, a)
					time.Sleep(20 * time.Millisecond)
					continue
				}
				d := net.Dialer{Timeout: time.Second}
				c, err := d.Dial("tcp", n.front)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				br := bufio.NewReader(c)
				for time.Now().Before(end) {
					a := newAttempt()
					a.sendOn(c, br)
					note("kept", n, a)
					if a.err != nil || a.answerHead.Get("Connection") == "close" {
						break
					}
					time.Sleep(20 * time.Millisecond)
				}
				_ = c.Close()
			}
		})
	}
	for i := 0; env.trouble && time.Now().Before(end.Add(-14*time.Second)); i++ {
		n := f.nodes[i%3]
		rec.printf("platform: SIGTERM to %s", n.name)
		n.signal(syscall.SIGTERM)
		select {
		case <-n.exited:
		case <-time.After(8 * time.Second):
			n.kill()
		}
		time.Sleep(300 * time.Millisecond)
		if err := f.start(n); err != nil {
			return "", err
		}
		time.Sleep(4 * time.Second)
	}
	wg.Wait()
	fmt.Println(lost, "lost or refused though run;", counts)
	rec.printf("%d lost or refused though run; %v", lost, counts)
	if lost > 0 {
		return fmt.Sprintf("LOST or REFUSED: %d", lost), nil
	}
	return "", nil
}
