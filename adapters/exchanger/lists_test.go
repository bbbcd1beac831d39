package exchanger

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/registrar"
)

// listed returns the endpoints from one number to another.
func listed(from, to int, state registrar.State) (list []registrar.Endpoint) {
	for i := from; i < to; i++ {
		list = append(list, registrar.Endpoint{ID: fmt.Sprint("e", i), Service: "engine", Version: "v1", Domain: "zone-a",
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Slots: 64, State: state, Born: 1, Sequence: uint64(i)})
	}
	return list
}

// Guards against subscriptions that send what the other end has, in both directions: 3,000 endpoints are 400 kB, which
// dozens of routers need at the same time after a failure; and against a list of which a part gets lost on the way.
func TestSubscriptionsSendWhatTheOtherEndLacks(t *testing.T) {
	const all = 3000
	for _, tc := range []struct {
		name            string
		instance, known []registrar.Endpoint
		maxSent, maxGot int // bytes
	}{
		{"both know all", listed(0, all, registrar.Ready), listed(0, all, registrar.Ready), 3_000, 2_000},
		{"a router that has just started", listed(0, all, registrar.Ready), nil, 2_000, 100_000},
		{"an instance that has just started", nil, listed(0, all, registrar.Ready), 500_000, 2_000},
		{"few differ", listed(5, all, registrar.Ready), listed(0, all-5, registrar.Ready), 5_000, 25_000},
		{"many differ", listed(0, all, registrar.Ready), append(listed(0, 1000, registrar.Silent),
			listed(1000, all, registrar.Ready)...), 170_000, 100_000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, r := &fakeSource{quorate: true, endpoints: tc.instance}, &fakeReceiver{}
			hs := httptest.NewServer(NewServer(messenger.Options{}, s))
			defer hs.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			sent, got := make(chan int, 100), make(chan int, 100)
			opts := messenger.Options{OnMessage: func(kind uint8, n int, isSent bool) {
				switch {
				case isSent && (kind == kindEndpoints || kind == kindHello):
					sent <- n
				case kind == kindEndpoints:
					got <- n
				}
			}}
			sub, err := Subscribe(ctx, Contact{Address: strings.TrimPrefix(hs.URL, "http://")}, Contact{Name: "r"}, opts, r,
				tc.known, Evidence{})
			assert.NilError(t, err)
			go func() { _ = sub.Receive(ctx, r) }()
			inAll := func(int) bool { return true }
			lacking := registrar.Unknown(tc.known, tc.instance, inAll)
			for _, e := range lacking[max(0, len(lacking)-5):] {
				waitFor(t, e.ID+" at the instance", func() bool { return s.hasRecorded("endpoint " + e.ID) })
			}
			lacking = registrar.Unknown(tc.instance, tc.known, inAll)
			for _, e := range lacking[max(0, len(lacking)-5):] {
				waitFor(t, e.ID+" at the subscriber", func() bool { return r.hasRecorded(e.ID + " " + e.State.String()) })
			}
			received := <-got
			total := 0
			for len(sent) > 0 {
				total += <-sent
			}
			t.Logf("sent %d, received %d bytes", total, received)
			assert.Assert(t, received <= tc.maxGot && total <= tc.maxSent)
		})
	}
}

// Guards against a subscriber that misses what has changed since the shared list was made.
func TestSharedListIsFollowedByItsChanges(t *testing.T) {
	s := &fakeSource{endpoints: listed(0, packedRecords, registrar.Ready)}
	server := NewServer(messenger.Options{}, s)
	now := time.Unix(1000, 0)
	take := func() (m endpointsMessage, pending map[string]registrar.Endpoint) {
		sub := &subscriber{pending: map[string]registrar.Endpoint{}}
		m, err := server.newList(now, sub, &helloMessage{TakesGroups: true})
		assert.NilError(t, err)
		return m, sub.pending
	}
	first, pending := take()
	assert.Equal(t, len(pending), 0)
	s.endpoints[7].State = registrar.Draining
	server.PublishEndpoints(s.endpoints[7:8])
	now = now.Add(maxListAge - 1)
	second, pending := take()
	assert.DeepEqual(t, first.Packed, second.Packed)
	assert.Equal(t, pending["e7"].State, registrar.Draining)
	now = now.Add(1)
	third, pending := take()
	assert.Equal(t, len(pending), 0)
	m := receivedEndpointsMessage{Packed: third.Packed}
	assert.NilError(t, m.unpack())
	list, rejected, err := decodeEndpoints(now, m.Records)
	assert.NilError(t, err)
	assert.Equal(t, rejected, 0)
	assert.Equal(t, len(registrar.Unknown(s.endpoints, list, func(int) bool { return true })), 0)
}

// BenchmarkSubscriptions is the subscription of 50 routers that know all of 3,000 endpoints, or none, with the
// processor time of both ends.
func BenchmarkSubscriptions(b *testing.B) {
	for _, known := range []int{0, 3000} {
		b.Run(fmt.Sprint("known", known), func(b *testing.B) {
			s := &fakeSource{quorate: true, endpoints: listed(0, 3000, registrar.Ready)}
			hs := httptest.NewServer(NewServer(messenger.Options{}, s))
			defer hs.Close()
			before := processorTime(b)
			for b.Loop() {
				ctx, cancel := context.WithCancel(b.Context())
				got := make(chan bool, waveSubscribers)
				opts := messenger.Options{OnMessage: func(kind uint8, _ int, isSent bool) {
					if kind == kindSuspects && !isSent {
						got <- true
					}
				}}
				for i := range waveSubscribers {
					r := &waveReceiver{}
					sub, err := Subscribe(ctx, Contact{Address: strings.TrimPrefix(hs.URL, "http://")},
						Contact{Name: fmt.Sprint("r", i)}, opts, r, listed(0, known, registrar.Ready), Evidence{})
					assert.NilError(b, err)
					go func() { _ = sub.Receive(ctx, r) }()
				}
				for range waveSubscribers {
					<-got
				}
				cancel()
			}
			b.ReportMetric(float64((processorTime(b)-before).Milliseconds())/float64(b.N), "cpu-ms/op")
		})
	}
}
