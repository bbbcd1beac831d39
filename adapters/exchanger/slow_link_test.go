package exchanger

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/slowlinker"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/rollouter"
)

// slowLinkBytesPerSecond is the rate that remains for one of many connections that share a link.
const slowLinkBytesPerSecond = 100_000

// Guards against a plan that never reaches a subscriber because it takes longer than the timeout of a lost peer: both
// ends gave up in the middle of the message, and the next subscription began with its first byte.
func TestPlanReachesASubscriberOverASlowLink(t *testing.T) {
	content := make([]byte, slowLinkBytesPerSecond*2*int(lostTimeout/time.Second))
	for i := range content {
		content[i] = byte(rand.Uint32()) // can't be compressed
	}
	source := &fakeSource{quorate: true, state: fleetapplier.State{Index: 5,
		Plan: fleetapplier.EncodedPlan{Version: 4, Content: content}}}
	hs := httptest.NewServer(NewServer(messenger.Options{}, source))
	t.Cleanup(hs.Close)
	r := &fakeReceiver{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	link := slowlinker.New(t, strings.TrimPrefix(hs.URL, "http://"), slowLinkBytesPerSecond)
	sub, err := Subscribe(ctx, Contact{Address: link.Address}, Contact{Name: "router"}, messenger.Options{}, r, nil,
		Evidence{})
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- sub.Receive(ctx, r) }()
	waitFor(t, "state", func() bool {
		select {
		case err := <-ended:
			t.Fatalf("subscription ended: %v", err)
		default:
		}
		return r.hasRecorded("state 5 plan true")
	})
	// The heartbeats that waited behind the plan must not count as a lost quorum.
	time.Sleep(2 * heartbeatInterval)
	assert.Equal(t, len(ended), 0)
}

// stateTimes is a receiver that compares the states that arrive with the newest one of their source.
type stateTimes struct {
	fakeReceiver
	newest *atomic.Uint64
	maxLag atomic.Uint64
	count  atomic.Uint64
}

func (r *stateTimes) StateReceived(index uint64, _ *fleetapplier.EncodedPlan, _ []string,
	_ []rollouter.Rollout) {
	r.count.Add(1)
	if lag := r.newest.Load() - index; lag > r.maxLag.Load() {
		r.maxLag.Store(lag)
	}
}

// Guards against plans in quick succession that wait behind each other in the buffers of a slow link, so that a
// subscriber gets versions that are seconds old, one after the other.
func TestSubscriberOverASlowLinkGetsTheNewestState(t *testing.T) {
	const (
		interval  = 100 * time.Millisecond
		planBytes = slowLinkBytesPerSecond / 2
		states    = 40
		maxLag    = 12 // the time of two plans on the link, and some for delays of the machine
	)
	source := &fakeSource{quorate: true}
	server := NewServer(messenger.Options{}, source)
	hs := httptest.NewServer(server)
	t.Cleanup(hs.Close)
	var newest atomic.Uint64
	publish := func() {
		content := make([]byte, planBytes)
		for i := range content {
			content[i] = byte(rand.Uint32()) // can't be compressed
		}
		index := newest.Add(1)
		source.mu.Lock()
		source.state = fleetapplier.State{Index: index, Plan: fleetapplier.EncodedPlan{Version: index, Content: content}}
		source.mu.Unlock()
		server.PublishState()
	}
	publish()
	r := &stateTimes{newest: &newest}
	link := slowlinker.New(t, strings.TrimPrefix(hs.URL, "http://"), slowLinkBytesPerSecond)
	sub, err := Subscribe(t.Context(), Contact{Address: link.Address}, Contact{Name: "router"}, messenger.Options{}, r,
		nil, Evidence{})
	assert.NilError(t, err)
	go func() { _ = sub.Receive(t.Context(), r) }()
	for range states {
		time.Sleep(interval)
		publish()
	}
	assert.Assert(t, r.count.Load() >= 2, "%d states", r.count.Load())
	assert.Assert(t, r.maxLag.Load() <= maxLag, "%d states behind", r.maxLag.Load())
}
