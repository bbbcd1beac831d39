package exchanger

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/registrar"
)

const testLimit = 20 * time.Second

// fakeSource is a control instance whose state a test sets.
type fakeSource struct {
	mu        sync.Mutex
	state     fleetapplier.State
	endpoints []registrar.Endpoint
	quorate   bool
	loads     Loads

	knowsNothing bool
	got          []string
}

func (s *fakeSource) State() fleetapplier.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *fakeSource) Endpoints() []registrar.Endpoint { return s.endpoints }

func (s *fakeSource) Beat() Beat {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Beat{Quorate: s.quorate, Routers: 3}
}

func (s *fakeSource) note(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got = append(s.got, text)
}

func (s *fakeSource) has(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Contains(strings.Join(s.got, "\n"), text)
}

func (s *fakeSource) Attached(c Contact) { s.note("attached " + c.Name) }

func (s *fakeSource) Detached(c Contact) { s.note("detached " + c.Name) }

func (s *fakeSource) EndpointsReceived(list []registrar.Endpoint) { s.note("endpoint " + list[0].ID) }

func (s *fakeSource) Suspects(list []Suspect) { s.note(fmt.Sprint("suspect ", list[0].Fingerprint)) }

func (s *fakeSource) LoadsReceived(from Contact, loads Loads) {
	s.note(fmt.Sprint(from.Name, " ", loads))
}

func (s *fakeSource) Loads(Contact) Loads { return s.loads }

func (s *fakeSource) MayServe() bool { return !s.knowsNothing }

func (s *fakeSource) AllSuspects() []Suspect { return []Suspect{{Fingerprint: 9, Endpoint: "e"}} }

// fakeReceiver notes what a subscription hands over.
type fakeReceiver struct {
	fakeSource
	index uint64
}

func (r *fakeReceiver) Held() (index, version uint64) { return r.index, r.index }

func (r *fakeReceiver) StateReceived(index uint64, plan *fleetapplier.EncodedPlan, takenOut []string) {
	r.note(fmt.Sprint("state ", index, " plan ", plan != nil, " out ", takenOut))
}

func (r *fakeReceiver) EndpointsReceived(list []registrar.Endpoint, whole bool) {
	for _, e := range list {
		r.note(fmt.Sprint(e.ID, " ", e.State, " whole ", whole, " cold ", !e.ColdUntil.IsZero()))
	}
}

func (r *fakeReceiver) SuspectsReceived(list []Suspect) { r.note(fmt.Sprint("suspects ", len(list))) }

func (r *fakeReceiver) BeatReceived(b Beat) { r.note(fmt.Sprint("routers ", b.Routers)) }

func (r *fakeReceiver) LoadsReceived(loads Loads) { r.note(fmt.Sprint(loads)) }

func (r *fakeReceiver) Loads() Loads { return Loads{"e": 2} }

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(testLimit); !cond(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: " + what)
		}
	}
}

func subscribe(t *testing.T, s *fakeSource, r *fakeReceiver, needQuorum bool) (*Server, chan error) {
	server := NewServer(messenger.Options{}, s)
	hs := httptest.NewServer(server)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		hs.Close()
	})
	hub := Contact{Name: "hub", Address: strings.TrimPrefix(hs.URL, "http://")}
	known := []registrar.Endpoint{{ID: "known", State: registrar.Draining}}
	sub, err := Subscribe(ctx, hub, Contact{Name: "router"}, messenger.Options{}, r, known)
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- sub.Receive(ctx, r, needQuorum) }()
	assert.NilError(t, sub.Report(ctx, []Suspect{{Fingerprint: 77}}))
	return server, ended
}

// Guards against a subscriber that misses a change, and against an instance that doesn't learn what its subscribers
// know after it has started again.
func TestSubscriberAndInstanceLearnFromEachOther(t *testing.T) {
	s := &fakeSource{quorate: true, loads: Loads{"e": 5},
		state: fleetapplier.State{Index: 4, Plan: fleetapplier.EncodedPlan{Version: 4},
			TakenOut: map[string]bool{"d": true}},
		endpoints: []registrar.Endpoint{{ID: "a", State: registrar.Ready, ColdUntil: time.Now().Add(time.Minute)}}}
	r := &fakeReceiver{}
	server, _ := subscribe(t, s, r, true)
	for _, want := range []string{"a ready whole true cold true", "state 4 plan true out [d]", "suspects 1", "routers 3",
		"map[e:5]"} {
		eventually(t, want, func() bool { return r.has(want) })
	}
	for _, want := range []string{"attached router", "endpoint known", "suspect 77", "router map[e:2]"} {
		eventually(t, want, func() bool { return s.has(want) })
	}
	server.EndpointsChanged([]registrar.Endpoint{{ID: "a", State: registrar.Draining}})
	eventually(t, "draining", func() bool { return r.has("a draining whole false") })
	// A plan that is held already isn't sent again.
	s.mu.Lock()
	s.state.Index, s.state.TakenOut = 5, nil
	s.mu.Unlock()
	server.StateChanged()
	eventually(t, "state 5", func() bool { return r.has("state 5 plan false out []") })
}

// Guards against a router that stays with an instance which lost its majority.
func TestSubscriptionToAnInstanceWithoutMajorityEnds(t *testing.T) {
	s := &fakeSource{}
	_, ended := subscribe(t, s, &fakeReceiver{}, true)
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, errNotQuorate)
	case <-time.After(testLimit):
		t.Fatal("still subscribed")
	}
	eventually(t, "detached", func() bool { return s.has("detached router") })
}

// Guards against routers that stay with an instance which has lost its disk and knows nothing yet, while others serve:
// after a loss of power eight routers had no plan for half a second longer.
func TestInstanceThatKnowsNothingTakesNoRouters(t *testing.T) {
	s, r := &fakeSource{knowsNothing: true}, &fakeReceiver{}
	hs := httptest.NewServer(NewServer(messenger.Options{}, s))
	t.Cleanup(hs.Close)
	hub := Contact{Name: "hub", Address: strings.TrimPrefix(hs.URL, "http://")}
	ctx, cancel := context.WithTimeout(t.Context(), silenceLimit/2)
	defer cancel()
	sub, err := Subscribe(ctx, hub, Contact{Name: "router"}, messenger.Options{}, r, nil)
	if err == nil {
		err = sub.Receive(ctx, r, true)
	}
	assert.Assert(t, err != nil && ctx.Err() == nil, "still subscribed: %v", err)
	assert.Assert(t, !s.has("attached router"))
	peer, err := Subscribe(ctx, hub, Contact{Name: "peer", Eligible: true}, messenger.Options{}, r, nil)
	assert.NilError(t, err)
	t.Cleanup(peer.Close)
	eventually(t, "attached", func() bool { return s.has("attached peer") })
}

// Guards against two founders, and against a founder that nobody named.
func TestOnlyTheFoundingProcessNamesAFounder(t *testing.T) {
	none := func() []Contact { return nil }
	learned := func(_, _ []Contact) {}
	serve := func(m *Meeting) string {
		hs := httptest.NewServer(m)
		t.Cleanup(hs.Close)
		return strings.TrimPrefix(hs.URL, "http://")
	}
	seed := NewMeeting(Contact{Name: "seed"}, true, none, learned)
	seed.started = time.Now().Add(-2 * founderAfter)
	other := NewMeeting(Contact{Name: "other"}, false, none, learned)
	a := NewMeeting(Contact{Name: "a", Eligible: true}, false, none, learned)
	b := NewMeeting(Contact{Name: "b", Eligible: true}, false, none, learned)
	seedAt, otherAt := serve(seed), serve(other)
	for _, m := range []*Meeting{b, a, b} {
		assert.NilError(t, m.Meet(t.Context(), otherAt))
		assert.Equal(t, m.Founder(), "")
	}
	assert.NilError(t, b.Meet(t.Context(), seedAt))
	assert.NilError(t, a.Meet(t.Context(), seedAt))
	assert.NilError(t, b.Meet(t.Context(), seedAt))
	founders := 0
	for _, m := range []*Meeting{a, b} {
		if m.Founder() != "" {
			founders++
		}
	}
	assert.Equal(t, founders, 1)
	assert.Equal(t, other.Founder(), "")
}
