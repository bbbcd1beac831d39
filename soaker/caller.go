package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"cactusroute.dev/adapters/sleeper"
)

const (
	// meanRequestInterval is the mean pause of one caller between two requests.
	meanRequestInterval = 15 * time.Millisecond

	// requestTimeout exceeds the timeouts of the routes, so that a router responds first.
	requestTimeout = 5 * time.Second
)

// runCaller sends requests for random routes to random nodes, over keep-alive connections, until ctx ends.
func runCaller(ctx context.Context, f *Fleet, name string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		prefix := []string{"/once/", "/safe/", "/stream/"}[rng.IntN(3)]
		n := f.Nodes[rng.IntN(len(f.Nodes))]
		sendRequest(f, client, n, prefix, fmt.Sprintf("%s-%d", name, i))
		sleeper.Pause(ctx, time.Duration(rng.ExpFloat64()*float64(meanRequestInterval)))
	}
}

// sendRequest sends one request and passes the outcome to the checker.
func sendRequest(f *Fleet, client *http.Client, n *Node, prefix, id string) {
	body := strings.Repeat(id, 20)
	f.checker.RecordSent(id, requestChecksum(http.MethodPost, prefix+id, []byte(body)), prefix == "/once/")
	req, err := http.NewRequest( //nolint:noctx // the client has a timeout
		http.MethodPost, "http://"+n.settings.Listen.Front+prefix+id, strings.NewReader(body))
	if err != nil {
		f.checker.AddFinding("create request %s: %v", id, err)
		return
	}
	req.GetBody = nil // prevents retries by the client itself
	req.Host = "soak.example"
	req.Header.Set("Cactus-Request-Id", id)
	req.Header.Set("Cactus-Key", "key")
	want := "answer to " + id
	if prefix == "/stream/" {
		want = ""
		for n := 1; n <= streamEventCount; n++ {
			want += streamEvent(id, n)
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		f.checker.CheckTruncatedResponse(id, "", want)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	received, err := io.ReadAll(resp.Body)
	if err != nil {
		f.checker.CheckTruncatedResponse(id, string(received), want)
		return
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	f.checker.CheckResponse(id, resp.StatusCode, framed, resp.Header.Get("Cactus-Signature"), string(received), want)
}
