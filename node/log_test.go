package node

import (
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/core/registrar"
)

// Guards against a flood of served requests that fills the log or crowds out why others failed.
func TestFailuresAreLoggedBesideAFloodOfServedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		queue := observer.NewAsyncWriter(&out)
		log := newDecisionLog(observer.New(queue, "n"), queue)
		const flood = 10_000
		for i := range flood {
			log.routine("msg", "request served", "request", i)
			if i%100 == 0 {
				log.failure("msg", "request refused", "request", i)
			}
		}
		queue.Flush()
		assert.Equal(t, strings.Count(out.String(), "request served"), routineLines)
		assert.Equal(t, strings.Count(out.String(), "request refused"), flood/100)
		assert.Equal(t, queue.Dropped(), uint64(flood-routineLines))
		for range flood {
			log.failure("msg", "request refused")
		}
		time.Sleep(time.Second)
		log.routine("msg", "next second")
		queue.Flush()
		assert.Assert(t, strings.Count(out.String(), "\n") <= routineLines+failureLines+1)
		assert.Assert(t, strings.Contains(out.String(), "next second"))
	})
}

// Guards against keys in the log, of callers that are served and of those that are refused.
func TestKeysAreNotLogged(t *testing.T) {
	var out strings.Builder
	f := newLoggedFront(t, &out, testPlan(1), newFakeEndpoint(t, ok))
	assert.Equal(t, f.call(t, "GET", "/safe/", "").status, 200)
	assert.Equal(t, f.call(t, "GET", "/safe/", "", "Api-Key", "wrong-secret").status, 401)
	f.queue.Flush()
	assert.Assert(t, strings.Contains(out.String(), "reason=unknownKey"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "request served"), out.String())
	assert.Assert(t, !regexp.MustCompile(`\bkey\b|wrong-secret`).MatchString(out.String()), out.String())
}

// Guards against a metric that the operators' page doesn't explain, and one that it promises and nobody serves.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(page), "## Metrics\n")
	assert.Assert(t, found)
	section, _, _ = strings.Cut(section, "Alerts:")
	name := regexp.MustCompile(`cactusroute_[a-z_]+`)
	documented := name.FindAllString(section, -1)

	reported := newFakeEndpoint(t, func(s *seen) { s.answer("200 OK", "Signed: yes\r\nLoad: 1,0\r\n", "answer") })
	broken := newFakeEndpoint(t, func(s *seen) { _ = s.conn.Close() })
	f := newTestFront(t, testPlan(1), reported, broken)
	f.fleet.mu.Lock()
	e := f.fleet.endpoints.All()[0]
	f.fleet.mu.Unlock()
	e.ColdUntil, e.Sequence = time.Now().Add(time.Minute), e.Sequence+1
	f.fleet.mergeEndpoints([]registrar.Endpoint{e}, "test")
	for range 20 {
		f.call(t, "GET", "/safe/", "")
	}
	f.call(t, "GET", "/safe/", "", "Api-Key", "wrong")
	fleet := newTestFleet(t, 1, 0)
	fleet.startAll()
	fleet.putPlan(1, fleet.nodes)
	var served []string
	for _, obs := range []*observer.Observer{f.obs, fleet.nodes[0].obs} {
		families, err := obs.Registry.Gather()
		assert.NilError(t, err)
		for _, m := range families {
			if strings.HasPrefix(m.GetName(), "cactusroute_") {
				served = append(served, m.GetName())
			}
		}
	}
	for _, m := range served {
		assert.Check(t, slices.Contains(documented, m), "%s isn't documented", m)
	}
	for _, m := range documented {
		assert.Check(t, slices.Contains(served, m), "%s isn't served", m)
	}
}

// BenchmarkDecisionLine gives the cost of the line of a served request, up to the queue.
func BenchmarkDecisionLine(b *testing.B) {
	queue := observer.NewAsyncWriter(io.Discard)
	log := newDecisionLog(observer.New(queue, "edge-a-1"), queue)
	line := []any{"msg", "request served", "request", "9262762e07404cfa", "route", "r-9h6ntfp", "version", uint64(66),
		"status", 200, "reason", "", "sends", 1, "firstMs", int64(33), "ms", int64(81), "endpoint", "i-9c7d95eae7",
		"load", 2, "loadAgeMs", int64(114), "rank", 0}
	b.ReportAllocs()
	for b.Loop() {
		_ = log.obs.Logger.Log(line...)
		if queue.Dropped() > 0 {
			queue.Flush()
		}
	}
}
