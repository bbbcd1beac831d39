package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
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
		id := fmt.Sprintf("%s-%d", name, i)
		begun := sendRequest(f, client, n, attempt{id: id, path: prefix + id})
		if begun != nil {
			// Any node must resume the stream, also one that has never seen it.
			sendRequest(f, client, f.Nodes[rng.IntN(len(f.Nodes))], *begun)
		}
		sleeper.Pause(ctx, time.Duration(rng.ExpFloat64()*float64(meanRequestInterval)))
	}
}

// attempt is one request of a caller.
type attempt struct {
	id   string
	path string
	// resumes is the ID of the request that began the stream which this one resumes after the event lastEvent, and version
	// what that event has told.
	resumes   string
	lastEvent int
	version   string
}

// sendRequest sends one request and passes the outcome to the checker. If a stream broke off after its first event, it
// returns the request that resumes it.
func sendRequest(f *Fleet, client *http.Client, n *Node, a attempt) (resume *attempt) {
	isStream := strings.HasPrefix(a.path, "/stream/")
	body := strings.Repeat(a.path, 20)
	f.checker.RecordSent(a.id, requestChecksum(http.MethodPost, a.path, []byte(body)), strings.HasPrefix(a.path, "/once/"))
	f.checker.RecordSentTo(a.id, n.settings.Place.Name)
	req, err := http.NewRequest( //nolint:noctx // the client has a timeout
		http.MethodPost, "http://"+n.settings.Listen.Front+a.path, strings.NewReader(body))
	if err != nil {
		f.checker.AddFinding("create request %s: %v", a.id, err)
		return nil
	}
	req.GetBody = nil // prevents retries by the client itself
	req.Host = "soak.example"
	req.Header.Set("Cactus-Request-Id", a.id)
	req.Header.Set("Cactus-Key", "key")
	if a.resumes != "" {
		req.Header.Set("Last-Event-Id", strconv.Itoa(a.lastEvent))
		req.Header.Set("Cactus-Resumes", a.resumes)
	}
	resp, err := client.Do(req)
	if err != nil {
		f.checker.CheckTruncatedResponse(a.id, "", "")
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get("Cactus-Leaving") != "" {
		f.checker.RecordLeaving(n.settings.Place.Name, resp.Header.Get("Cactus-Signature"))
	}
	received, err := io.ReadAll(resp.Body)
	want := "answer to " + a.id
	if isStream {
		want = wholeStream(a.path, a.lastEvent, a.versionIn(string(received)))
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if err == nil {
		f.checker.CheckResponse(a.id, resp.StatusCode, framed, resp.Header.Get("Cactus-Signature"), string(received), want)
	} else {
		f.checker.CheckTruncatedResponse(a.id, string(received), want)
	}
	if events := strings.Count(string(received), "\n\n"); isStream && err != nil && a.resumes == "" && events > 0 {
		return &attempt{id: a.id + "-again", path: a.path, resumes: a.id, lastEvent: events,
			version: a.versionIn(string(received))}
	}
	return nil
}

// versionIn returns the version at which the stream began: that of the first event.
func (a *attempt) versionIn(body string) string {
	if a.version != "" {
		return a.version
	}
	first, _, _ := strings.Cut(body, "\n\n")
	return first[strings.LastIndex(first, " ")+1:]
}
