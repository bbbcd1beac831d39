package chooser

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/registrar"
)

// Guards against a resumed stream that goes on at an endpoint whose process may have ended since the heartbeat that
// told its version, and against endpoints that get no resumed streams for longer than their version is in doubt.
func TestResumedStreamAvoidsAnEndpointThatMayHaveRestarted(t *testing.T) {
	const interval = time.Second
	plain := &planner.Service{Name: "llm"}
	later := start.Add(10 * time.Second)
	old := registrar.Endpoint{ID: "e", Service: "llm", Address: "10.0.0.1:80", Domain: "d", Version: "v1",
		State: registrar.Ready, Born: 1, Sequence: 1}
	with := func(change func(e *registrar.Endpoint)) registrar.Endpoint {
		e := old
		change(&e)
		return e
	}
	silent := with(func(e *registrar.Endpoint) { e.State = registrar.Silent })
	for _, c := range []struct {
		name string
		news func(ch *Chooser)
		at   time.Duration // of the request, after later
		want Reason
	}{
		{"nothing seen", func(*Chooser) {}, 0, ""},
		{"ended", func(ch *Chooser) { ch.RecordProcessEnd(later, later, old) }, 0, VersionUnknown},
		{"ended, shortly after", func(ch *Chooser) { ch.RecordProcessEnd(later, later, old) }, 5 * interval, VersionUnknown},
		{"ended, no other news", func(ch *Chooser) { ch.RecordProcessEnd(later, later, old) }, 6 * interval, ""},
		{"ended and silent", func(ch *Chooser) {
			ch.RecordProcessEnd(later, later, old)
			ch.Update(later, []registrar.Endpoint{silent}, nil, 1)
		}, 6 * interval, VersionUnknown},
		{"ended, silent and corrected by an older heartbeat", func(ch *Chooser) {
			ch.RecordProcessEnd(later, later, old)
			ch.Update(later, []registrar.Endpoint{silent}, nil, 1)
			ch.Update(later.Add(5*interval), []registrar.Endpoint{with(func(e *registrar.Endpoint) { e.Sequence = 3 })}, nil, 1)
		}, 6 * interval, VersionUnknown},
		{"ended, restarted in the same version", func(ch *Chooser) {
			ch.RecordProcessEnd(later, later, old)
			ch.Update(later, []registrar.Endpoint{with(func(e *registrar.Endpoint) { e.Born = 2 })}, nil, 1)
		}, 0, ""},
		{"ended, restarted in another version", func(ch *Chooser) {
			ch.RecordProcessEnd(later, later, old)
			ch.Update(later, []registrar.Endpoint{with(func(e *registrar.Endpoint) { e.Born, e.Version = 2, "v2" })}, nil, 1)
		}, 0, NoVersion},
		{"an earlier start has ended", func(ch *Chooser) {
			ch.Update(later, []registrar.Endpoint{with(func(e *registrar.Endpoint) { e.Born = 2 })}, nil, 1)
			ch.RecordProcessEnd(later, later, old)
		}, 0, ""},
		{"a connection of an earlier start was closed", func(ch *Chooser) {
			ch.Update(later, []registrar.Endpoint{with(func(e *registrar.Endpoint) { e.Born = 2 })}, nil, 1)
			ch.RecordProcessEndAt(later, later.Add(-interval), old.Address)
		}, 0, ""},
		{"a kept connection was closed", func(ch *Chooser) {
			ch.RecordProcessEndAt(later, later.Add(-interval), old.Address)
		}, 0, VersionUnknown},
		{"refuted", func(ch *Chooser) {
			ch.RecordProcessEnd(later, later, old)
			ch.RefuteProcessEnd(ch.PossibleEnds(later, "llm", "v1")[0])
		}, 0, ""},
		{"refuted after an earlier end was reported", func(ch *Chooser) {
			ch.RecordProcessEnd(later, later, old)
			end := ch.PossibleEnds(later, "llm", "v1")[0]
			ch.RecordProcessEnd(later, later.Add(-interval), old)
			ch.RefuteProcessEnd(end)
		}, 0, VersionUnknown},
	} {
		for _, service := range []*planner.Service{engine, plain} {
			bounds := limits
			bounds.HeartbeatInterval = interval
			ch := New(bounds, "r", "d")
			ch.Update(start, []registrar.Endpoint{old}, nil, 1)
			c.news(ch)
			now := later.Add(c.at)
			ch.SetTotalLoads(now, Loads{})
			_, reason := ch.Choose(now, Query{Service: service, Parts: testPrompt(1), Version: "v1", IsResumed: true})
			assert.Equal(t, reason, c.want, c.name)
			_, reason = ch.Choose(now, Query{Service: service, Parts: testPrompt(1)})
			assert.Equal(t, reason, Reason(""), "%s: a new stream", c.name)
		}
	}
}
