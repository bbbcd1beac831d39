package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has got for a request.
type answer struct {
	id         string
	status     int
	signature  string
	retryAfter string
	body       string
	isComplete bool // the response ended as its framing says
	err        error
	duration   time.Duration
}

// newClient returns a client with a connection of its own, which is kept.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true}}
}

// requestID returns a new request ID.
func requestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request sends a request to a machine and records it and its answer. The header lists names and values in turn.
func (f *fleet) request(c *http.Client, m *machine, method, path string, deadline time.Duration, body string,
	header ...string) answer {
	a := answer{id: requestID()}
	req, err := http.NewRequest(method, "http://"+f.address(m, f.front)+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Cactusroute-Request-Id", a.id)
	req.Header.Set("X-Cactusroute-Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	start := time.Now()
	f.rec.printf("client sends request %s to %s: %s %s", a.id, m.name, method, path)
	resp, err := c.Do(req)
	if err != nil {
		a.err = err
	} else {
		a.status, a.signature = resp.StatusCode, resp.Header.Get("X-Cactusroute-Response-Signature")
		a.retryAfter = resp.Header.Get("Retry-After")
		var data []byte
		data, a.err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.body, a.isComplete = string(data), a.err == nil
	}
	a.duration = time.Since(start)
	f.rec.printf("client got for request %s: status %d signature %q complete %t after %d ms, error %v, body %q", a.id,
		a.status, a.signature, a.isComplete, a.duration.Milliseconds(), errors.Unwrap(a.err), shorten(a.body))
	return a
}

// shorten returns the start and the end of a long text.
func shorten(s string) string {
	if len(s) <= 700 {
		return s
	}
	return s[:350] + " ... " + s[len(s)-350:]
}

// host is the host of all routes.
const host = "labels.example"

// labelsConfig has a resumable and a plain streaming route, a safe and an unsafe one.
const labelsConfig = `"routes":[
 {"name":"r-manifest","host":"labels.example","pathPrefix":"/manifest/","routeType":"streaming","timeoutMs":4000,
  "targetLatencyMs":300,"priority":0,"service":"models","maxAttempts":2,"resumable":true,"gapAimMs":250},
 {"name":"r-archive","host":"labels.example","pathPrefix":"/archive/","routeType":"streaming","timeoutMs":12000,
  "targetLatencyMs":800,"priority":2,"service":"models","maxAttempts":2,"resumable":false,"gapAimMs":250},
 {"name":"r-lookup","host":"labels.example","pathPrefix":"/lookup/","routeType":"safe","timeoutMs":1500,
  "targetLatencyMs":100,"priority":2,"service":"app","maxAttempts":2},
 {"name":"r-print","host":"labels.example","pathPrefix":"/print/","routeType":"unsafe","timeoutMs":1500,
  "targetLatencyMs":100,"priority":2,"service":"app","maxAttempts":2}],
"services":[{"name":"models","healthPath":"/health","maxConnections":1260},
 {"name":"app","healthPath":"/health","maxConnections":220}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}`
