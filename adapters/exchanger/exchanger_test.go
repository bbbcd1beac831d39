package exchanger

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/attributor"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/resumer"
	"cactusroute.dev/core/rollouter"
)

const testTimeout = 20 * time.Second

// fakeSource is a Source whose state is set by a test; it records its calls as text.
type fakeSource struct {
	mu        sync.Mutex
	state     fleetapplier.State
	endpoints []registrar.Endpoint
	quorate   bool
	loads     Loads
	outcomes  OutcomeTable

	refusesRouters bool
	onStreamQuery  func()
	recorded       []string
}

func (s *fakeSource) State() fleetapplier.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *fakeSource) Endpoints() []registrar.Endpoint { return s.endpoints }

func (s *fakeSource) Heartbeat() Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Heartbeat{Quorate: s.quorate, Routers: 3}
}

func (s *fakeSource) record(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded = append(s.recorded, text)
}

func (s *fakeSource) allRecorded() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recorded
}

func (s *fakeSource) hasRecorded(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Contains(strings.Join(s.recorded, "\n"), text)
}

func (s *fakeSource) SubscriberConnected(c Contact) { s.record("attached " + c.Name) }

func (s *fakeSource) SubscriberDisconnected(c Contact) { s.record("detached " + c.Name) }

func (s *fakeSource) EndpointsReceived(list []registrar.Endpoint) {
	for _, e := range list {
		s.record("endpoint " + e.ID)
	}
}

func (s *fakeSource) EndpointsRejected(from Contact, n int, err error) {
	s.record(fmt.Sprint("rejected ", n, " of ", from.Name, ": ", err))
}

func (s *fakeSource) SuspectsReceived(list []Suspect) {
	s.record(fmt.Sprint("suspect ", list[0].Fingerprint))
}

func (s *fakeSource) SumsReceived(Contact, Sums) {}

func (s *fakeSource) Sums(Contact) Sums { return nil }

func (s *fakeSource) SumsDropped(int) {}

func (s *fakeSource) LoadsReceived(from Contact, loads Loads) {
	s.record(fmt.Sprintf("%s e: %d requests", from.Name, loads["e"].Requests))
}

func (s *fakeSource) Loads(Contact) Loads { return s.loads }

func (s *fakeSource) Outcomes() *OutcomeTable { return &s.outcomes }

func (s *fakeSource) AcceptsRouters() bool { return !s.refusesRouters }

func (s *fakeSource) EvidenceReceived(from Contact, e Evidence) {
	s.record(fmt.Sprint("evidence of ", from.Name, " ", e.Suspects[0].Start))
}

func (s *fakeSource) AllEvidence() Evidence {
	return Evidence{Convictions: []attributor.Conviction{{Part: 5, Revision: 1}}}
}

func (s *fakeSource) StreamsReceived(list []resumer.Stream) {
	s.record(fmt.Sprint("streams ", len(list), " ", list[0].Origin.Version))
}

func (s *fakeSource) AllStreams() []resumer.Stream {
	return []resumer.Stream{{Key: 7, Origin: resumer.Origin{Service: "s", Version: "v7"},
		Until: time.Now().Add(time.Minute)}}
}

func (s *fakeSource) StreamOrigin(
	_ context.Context, _ Contact, key resumer.Key,
) (o resumer.Origin, ok bool, err error) {
	if s.onStreamQuery != nil {
		s.onStreamQuery()
	}
	if key == unconfirmedKey {
		return o, false, errors.New("not confirmed")
	}
	return resumer.Origin{Service: "s", Version: fmt.Sprint("v", key)}, key != 0, nil
}

// unconfirmedKey is the key of a stream that a fakeSource can't answer for.
const unconfirmedKey = resumer.Key(404)

func (s *fakeSource) AllSuspects() []Suspect { return []Suspect{{Fingerprint: 9, Endpoint: "e"}} }

// fakeReceiver is a Receiver that records its calls as text.
type fakeReceiver struct {
	fakeSource
	index uint64
}

func (r *fakeReceiver) LastReceived() (index, version uint64) { return r.index, r.index }

func (r *fakeReceiver) StateReceived(index uint64, plan *fleetapplier.EncodedPlan, takenOut []string,
	rollouts []rollouter.Rollout) {
	r.record(fmt.Sprint("state ", index, " plan ", plan != nil, " out ", takenOut))
	for _, rollout := range rollouts {
		r.record("rollout " + rollout.Service + " " + rollout.Phase.String())
	}
}

func (r *fakeReceiver) EndpointsReceived(list []registrar.Endpoint, full bool) {
	for _, e := range list {
		r.record(fmt.Sprint(e.ID, " ", e.State, " full ", full, " cold ", !e.ColdUntil.IsZero()))
	}
}

func (r *fakeReceiver) EndpointsRejected(n int, err error) {
	r.record(fmt.Sprint("rejected ", n, ": ", err))
}

func (r *fakeReceiver) SuspectsReceived(list []Suspect) { r.record(fmt.Sprint("suspects ", len(list))) }

func (r *fakeReceiver) EvidenceReceived(e Evidence) {
	r.record(fmt.Sprint("convictions ", len(e.Convictions)))
}

func (r *fakeReceiver) HeartbeatReceived(h Heartbeat) { r.record(fmt.Sprint("routers ", h.Routers)) }

func (r *fakeReceiver) StreamOriginReceived(number uint64, o resumer.Origin, ok bool) {
	r.record(fmt.Sprint("answer ", number, " ", o.Version, " ", ok))
}

func (r *fakeReceiver) SumsReceived(Sums) {}

func (r *fakeReceiver) Sums() Sums { return nil }

func (r *fakeReceiver) LoadsReceived(loads Loads) {
	r.record(fmt.Sprintf("e: %d requests", loads["e"].Requests))
}

func (r *fakeReceiver) Outcomes() (table *OutcomeTable, name string, isReported bool) {
	return &r.outcomes, "instance", r.outcomes.Own != nil
}

func (r *fakeReceiver) Loads() Loads { return Loads{"e": {Requests: 2}} }

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !cond(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met in time: " + what)
		}
	}
}

func subscribe(t *testing.T, s *fakeSource, r *fakeReceiver) (*Server, chan error) {
	server := NewServer(messenger.Options{}, s)
	hs := httptest.NewServer(server)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		hs.Close()
	})
	instance := Contact{Name: "hub", Address: strings.TrimPrefix(hs.URL, "http://")}
	known := []registrar.Endpoint{{ID: "known", Service: "s", Address: "10.0.0.1:80", State: registrar.Draining}}
	sub, err := Subscribe(ctx, instance, Contact{Name: "router"}, messenger.Options{}, r, known,
		Evidence{Suspects: []attributor.Suspect{{Start: "e#1", Parts: []attributor.Part{5}}}})
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- sub.Receive(ctx, r) }()
	assert.NilError(t, sub.ReportSuspects(ctx, []Suspect{{Fingerprint: 77}}))
	return server, ended
}

// Guards against a subscriber that misses a change, and against a restarted instance that doesn't receive the endpoints
// and suspects known to its subscribers.
func TestSubscriberAndInstanceExchangeState(t *testing.T) {
	s := &fakeSource{quorate: true, loads: Loads{"e": {Requests: 5}},
		state: fleetapplier.State{Index: 4, Plan: fleetapplier.EncodedPlan{Version: 4},
			TakenOut: map[string]bool{"d": true}},
		endpoints: []registrar.Endpoint{{ID: "a", Service: "s", Address: "10.0.0.2:80", State: registrar.Ready,
			ColdUntil: time.Now().Add(time.Minute)}}}
	r := &fakeReceiver{}
	server, _ := subscribe(t, s, r)
	for _, want := range []string{"a ready full true cold true", "state 4 plan true out [d]", "suspects 1", "routers 3",
		"e: 5 requests"} {
		waitFor(t, want, func() bool { return r.hasRecorded(want) })
	}
	for _, want := range []string{"attached router", "endpoint known", "suspect 77", "router e: 2 requests",
		"evidence of router e#1"} {
		waitFor(t, want, func() bool { return s.hasRecorded(want) })
	}
	// A router that becomes ready with the state knows the convictions.
	r.mu.Lock()
	recorded := strings.Join(r.recorded, "\n")
	r.mu.Unlock()
	assert.Assert(t, strings.Index(recorded, "convictions 1") < strings.Index(recorded, "state 4"), recorded)
	server.PublishEndpoints([]registrar.Endpoint{{ID: "a", Service: "s", Address: "10.0.0.2:80",
		State: registrar.Draining}})
	waitFor(t, "draining", func() bool { return r.hasRecorded("a draining full false") })
	// A plan that the subscriber has received isn't sent again.
	s.mu.Lock()
	s.state.Index, s.state.TakenOut = 5, nil
	s.mu.Unlock()
	server.PublishState()
	waitFor(t, "state 5", func() bool { return r.hasRecorded("state 5 plan false out []") })
}

// Guards against routers that stay subscribed to an instance which has lost its disk and has no state yet, while other
// instances serve: after a power failure, eight routers had no plan for half a second longer.
func TestInstanceWithoutStateRefusesRouters(t *testing.T) {
	const maxDuration = 500 * time.Millisecond
	s, r := &fakeSource{refusesRouters: true}, &fakeReceiver{}
	hs := httptest.NewServer(NewServer(messenger.Options{}, s))
	t.Cleanup(hs.Close)
	instance := Contact{Name: "hub", Address: strings.TrimPrefix(hs.URL, "http://")}
	ctx, cancel := context.WithTimeout(t.Context(), maxDuration)
	defer cancel()
	sub, err := Subscribe(ctx, instance, Contact{Name: "router"}, messenger.Options{}, r, nil, Evidence{})
	if err == nil {
		err = sub.Receive(ctx, r)
	}
	assert.Assert(t, err != nil && ctx.Err() == nil, "subscription did not end: %v", err)
	assert.Assert(t, !s.hasRecorded("attached router"))
	peer, err := Subscribe(ctx, instance, Contact{Name: "peer", Eligible: true}, messenger.Options{}, r, nil, Evidence{})
	assert.NilError(t, err)
	t.Cleanup(peer.Close)
	waitFor(t, "attached", func() bool { return s.hasRecorded("attached peer") })
}

// Guards against two bootstrappers, and against an instance that bootstraps the group without being chosen.
func TestOnlyOneProcessChoosesBootstrapper(t *testing.T) {
	noInstances := func() []Contact { return nil }
	ignoreContacts := func(_, _ []Contact) {}
	serve := func(d *Discovery) string {
		hs := httptest.NewServer(d)
		t.Cleanup(hs.Close)
		return strings.TrimPrefix(hs.URL, "http://")
	}
	seed := NewDiscovery(Contact{Name: "seed"}, true, noInstances, ignoreContacts)
	seed.started = time.Now().Add(-2 * bootstrapDelay)
	other := NewDiscovery(Contact{Name: "other"}, false, noInstances, ignoreContacts)
	a := NewDiscovery(Contact{Name: "a", Eligible: true}, false, noInstances, ignoreContacts)
	b := NewDiscovery(Contact{Name: "b", Eligible: true}, false, noInstances, ignoreContacts)
	seedAddress, otherAddress := serve(seed), serve(other)
	for _, d := range []*Discovery{b, a, b} {
		assert.NilError(t, d.ExchangeContacts(t.Context(), otherAddress))
		assert.Equal(t, d.Bootstrapper(), "")
	}
	assert.NilError(t, b.ExchangeContacts(t.Context(), seedAddress))
	assert.NilError(t, a.ExchangeContacts(t.Context(), seedAddress))
	assert.NilError(t, b.ExchangeContacts(t.Context(), seedAddress))
	bootstrappers := 0
	for _, d := range []*Discovery{a, b} {
		if d.Bootstrapper() != "" {
			bootstrappers++
		}
	}
	assert.Equal(t, bootstrappers, 1)
	assert.Equal(t, other.Bootstrapper(), "")
}
