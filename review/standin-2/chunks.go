package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// oddChunk shows what a caller gets if a faulty replica names a chunk size near the largest integer. It is no case, because
// the replica is not sound; the report names it.
func oddChunk(ctx context.Context, env *environment) (string, error) {
	f, err := newFleet(env.rec, env.root, fleetOptions{disks: 1, memoryMb: 284, maxFds: 4100})
	if err != nil {
		return "", err
	}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return "", err
	}
	for i := range 2 {
		id := fmt.Sprintf("i-%d", i)
		_, err := f.startReplica(id, "shop", "z1", "v1", 64, "", func(c net.Conn, r *http.Request, _ []byte) bool {
			request := r.Header.Get("X-Cactusroute-Request-Id")
			if i == 0 && env.trouble {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Cactusroute-Request-Id: %s\r\nX-Cactusroute-Response-Signature: s\r\n"+
					"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7fffffffffffffff\r\nxxxxxxxx", request)
				time.Sleep(100 * time.Millisecond)
				return false
			}
			return answer(c, http.StatusOK, request, "", []byte("stock"))
		})
		if err != nil {
			return "", err
		}
	}
	routes := []obj{{"name": "r", "host": "shop.example", "pathPrefix": "/s/", "routeType": "safe", "timeoutMs": 1000,
		"targetLatencyMs": 150, "priority": 0, "service": "shop", "maxAttempts": 2, "public": true}}
	services := []obj{{"name": "shop", "healthPath": "/health", "maxConnections": 1260, "protocol": "h1", "tls": false,
		"coldStartS": 0, "coldPerS": 0}}
	if err := f.order(ctx, http.MethodPut, "/config", plan(7, routes, services, nil)); err != nil {
		return "", err
	}
	if err := f.awaitReady(ctx); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	counts := map[string]int{}
	for range 200 {
		a := &attempt{id: newID(), method: http.MethodGet, target: "/s/1", host: "shop.example", timeout: time.Second}
		a.send(f.nodes[0].front)
		result := fmt.Sprintf("%d %s", a.status, a.failure())
		if a.status == 0 {
			result = "closed without an answer"
		}
		counts[result]++
	}
	log, _ := os.ReadFile(f.nodes[0].logFile)
	fmt.Println(counts, "panics in the log:", strings.Count(string(log), "panic serving"))
	if i := strings.Index(string(log), "panic serving"); i >= 0 {
		env.rec.printf("%.600s", log[i:])
	}
	if counts["closed without an answer"] > 0 {
		return "connections are closed without an answer", nil
	}
	return "", nil
}
