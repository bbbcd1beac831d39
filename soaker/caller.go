package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"cactusroute.dev/adapters/pauser"
)

const (
	// callPause is the mean pause of one caller between two requests.
	meanRequestInterval = 15 * time.Millisecond

	// callTimeout is longer than the timeout of the routes, which must answer before.
	requestTimeout = 5 * time.Second
)

// call sends requests of all kinds to any node, over kept connections, until ctx ends.
func runCaller(ctx context.Context, f *Fleet, name string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		kind := []string{"/once/", "/safe/", "/stream/"}[rng.IntN(3)]
		n := f.Nodes[rng.IntN(len(f.Nodes))]
		sendRequest(f, client, n, kind, fmt.Sprintf("%s-%d", name, i))
		pauser.Pause(ctx, time.Duration(rng.ExpFloat64()*float64(meanRequestInterval)))
	}
}

func sendRequest(f *Fleet, client *http.Client, n *Node, kind, id string) {
	body := strings.Repeat(id, 20)
	f.checker.RecordSent(id, requestChecksum(http.MethodPost, kind+id, []byte(body)), kind == "/once/")
	req, err := http.NewRequest(http.MethodPost, "http://"+n.settings.Listen.Front+kind+id, //nolint:noctx // it times out
		strings.NewReader(body))
	if err != nil {
		f.checker.AddFinding("request %s can't be made: %v", id, err)
		return
	}
	req.GetBody = nil // the client must not repeat a request on its own
	req.Host = "soak.example"
	req.Header.Set("Cactus-Request-Id", id)
	req.Header.Set("Cactus-Key", "key")
	want := "answer to " + id
	if kind == "/stream/" {
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
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		f.checker.CheckTruncatedResponse(id, string(answer), want)
		return
	}
	f.checker.CheckResponse(id, resp.StatusCode, resp.Header.Get("Cactus-Signature"), string(answer), want)
}
