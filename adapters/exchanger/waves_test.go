package exchanger

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/registrar"
)

const (
	waveSubscribers = 50
	waveEndpoints   = 1000
)

// waveReceiver counts the endpoint records and the messages that bring them.
type waveReceiver struct {
	fakeReceiver
	records, messages atomic.Int64
}

// EndpointsReceived implements Receiver.
func (r *waveReceiver) EndpointsReceived(list []registrar.Endpoint, isFull bool) {
	if !isFull {
		r.records.Add(int64(len(list)))
		r.messages.Add(1)
	}
}

// newWave returns a server with subscribers that share a receiver.
func newWave(t testing.TB) (*Server, *waveReceiver) {
	s, r := &fakeSource{quorate: true}, &waveReceiver{}
	server := NewServer(messenger.Options{}, s)
	hs := httptest.NewServer(server)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		hs.Close()
	})
	for i := range waveSubscribers {
		sub, err := Subscribe(ctx, Contact{Address: strings.TrimPrefix(hs.URL, "http://")},
			Contact{Name: fmt.Sprint("r", i)}, messenger.Options{}, r, nil, Evidence{})
		assert.NilError(t, err)
		go func() { _ = sub.Receive(ctx, r) }()
	}
	attached := func() int { return strings.Count(strings.Join(s.allRecorded(), ""), "attached") }
	for end := time.Now().Add(testTimeout); attached() < waveSubscribers; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	return server, r
}

// publish sends one endpoint after the other, 1 ms apart, and waits until all have arrived at all subscribers.
func (r *waveReceiver) publish(t testing.TB, server *Server, born int64) {
	r.records.Store(0)
	r.messages.Store(0)
	for i := range waveEndpoints {
		server.PublishEndpoints([]registrar.Endpoint{{ID: fmt.Sprint("engine-", i), Service: "s", Born: born,
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Domain: "zone-a", State: registrar.Ready, Slots: 64}})
		time.Sleep(time.Millisecond)
	}
	for end := time.Now().Add(testTimeout); r.records.Load() < waveSubscribers*waveEndpoints; {
		assert.Assert(t, time.Now().Before(end), "records: %d", r.records.Load())
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkWaveOfEndpoints is the return of a domain with 1,000 endpoints at an instance with 50 subscribers, whose
// processor time is included.
func BenchmarkWaveOfEndpoints(b *testing.B) {
	server, r := newWave(b)
	messages, before := int64(0), processorTime(b)
	for n := 0; b.Loop(); n++ {
		r.publish(b, server, int64(n))
		messages += r.messages.Load()
	}
	b.ReportMetric(float64((processorTime(b)-before).Milliseconds())/float64(b.N), "cpu-ms/op")
	b.ReportMetric(float64(messages)/float64(b.N), "messages/op")
}

func processorTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against a message for each of many endpoints that return one after the other, which took a control instance
// more than its processor, and against departures and answers about streams that wait for the others.
func TestEndpointsThatReturnShareMessages(t *testing.T) {
	now := time.Unix(0, 0)
	sub := &subscriber{updated: make(chan struct{}, 1), pending: map[string]registrar.Endpoint{}}
	s := &Server{subscribers: map[*subscriber]bool{sub: true}}
	take := func(after time.Duration, state registrar.State) (n int, wait time.Duration) {
		s.PublishEndpoints([]registrar.Endpoint{{ID: fmt.Sprint(after, state), State: state}})
		list, wait := sub.takeEndpoints(now.Add(after), waveSubscribers)
		return len(list), wait
	}
	pause := waveSubscribers * endpointPause
	for _, tc := range []struct {
		after    time.Duration
		state    registrar.State
		wantSent int
		wantWait time.Duration
	}{
		{0, registrar.Ready, 1, 0},
		{time.Millisecond, registrar.Ready, 0, pause - time.Millisecond},
		{pause - time.Millisecond, registrar.Silent, 0, time.Millisecond},
		{pause, registrar.Ready, 3, 0},
		{pause + 1, registrar.Ready, 0, pause - 1},
		{pause + 2, registrar.Draining, 2, 0},
		{pause + 3, registrar.Gone, 1, 0},
	} {
		n, wait := take(tc.after, tc.state)
		assert.Equal(t, n, tc.wantSent, "%s", tc.after)
		assert.Equal(t, wait, tc.wantWait, "%s", tc.after)
	}
	sub.answers = make([]streamAnswer, 1)
	n, _ := take(pause+4, registrar.Ready)
	assert.Equal(t, n, 1)
}
