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
	"cactusroute.dev/core/chooser"
	"cactusroute.dev/core/registrar"
	"cactusroute.dev/core/rollouter"
)

// Guards against log lines of served requests that exceed their limit or displace those of failed requests.
func TestServedRequestsDoNotSuppressFailureLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		queue := observer.NewAsyncWriter(&out)
		log := newRateLimitedLog(observer.New(queue, "n"), queue)
		const servedRequests = 10_000
		for i := range servedRequests {
			log.info("msg", "request served", "request", i)
			if i%100 == 0 {
				log.failure("msg", "request refused", "request", i)
			}
		}
		queue.Flush()
		assert.Equal(t, strings.Count(out.String(), "request served"), maxInfoLinesPerSecond)
		assert.Equal(t, strings.Count(out.String(), "request refused"), servedRequests/100)
		assert.Equal(t, queue.Dropped(), uint64(servedRequests-maxInfoLinesPerSecond))
		for range servedRequests {
			log.failure("msg", "request refused")
		}
		time.Sleep(time.Second)
		log.info("msg", "next second")
		queue.Flush()
		assert.Assert(t, strings.Count(out.String(), "\n") <= maxInfoLinesPerSecond+maxFailureLinesPerSecond+1)
		assert.Assert(t, strings.Contains(out.String(), "next second"))
	})
}

// Guards against an overload whose refusals displace the changes of state that explain it.
func TestFailuresDoNotSuppressEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		queue := observer.NewAsyncWriter(&out)
		log := newRateLimitedLog(observer.New(queue, "n"), queue)
		for range 2 * maxFailureLinesPerSecond {
			log.failure("msg", "request refused")
		}
		for range 2 * maxEventLinesPerSecond {
			log.event("state in force")
		}
		queue.Flush()
		assert.Equal(t, strings.Count(out.String(), "request refused"), maxFailureLinesPerSecond)
		assert.Equal(t, strings.Count(out.String(), "state in force"), maxEventLinesPerSecond)
	})
}

// Guards against API keys in the log lines of served and refused requests.
func TestKeysAreNotLogged(t *testing.T) {
	var out strings.Builder
	p := newLoggingTestProxy(t, &out, testPlan(1), newFakeEndpoint(t, respondOK))
	assert.Equal(t, p.call(t, "GET", "/safe/", "").status, 200)
	assert.Equal(t, p.call(t, "GET", "/safe/", "", "Api-Key", "wrong-secret").status, 401)
	p.queue.Flush()
	assert.Assert(t, strings.Contains(out.String(), "reason=unknownKey"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "request served"), out.String())
	assert.Assert(t, !regexp.MustCompile(`\bkey\b|wrong-secret`).MatchString(out.String()), out.String())
}

// Guards against metrics that are not documented, and against documented metrics that are not exported.
func TestMetricsAreDocumented(t *testing.T) {
	doc, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(doc), "## Metrics\n")
	assert.Assert(t, found)
	section, _, _ = strings.Cut(section, "Alerts:")
	name := regexp.MustCompile(`cactusroute_[a-z_]+`)
	documented := name.FindAllString(section, -1)

	reporting := newFakeEndpoint(t, func(req *receivedRequest) {
		req.respond("200 OK", "Signed: yes\r\nLoad: 1,0\r\nRate-Limit: 90\r\n", "answer")
	})
	disconnecting := newFakeEndpoint(t, func(req *receivedRequest) { _ = req.conn.Close() })
	p := newTestProxy(t, testPlan(1), reporting, disconnecting)
	p.fleet.mu.Lock()
	e := p.fleet.endpoints.All()[0]
	p.fleet.mu.Unlock()
	e.ColdUntil, e.Sequence = time.Now().Add(time.Minute), e.Sequence+1
	p.fleet.mergeEndpoints([]registrar.Endpoint{e}, "test")
	v := *p.fleet.view.Load()
	v.rollouts = []rollouter.Rollout{{Service: e.Service, Target: "v2", Phase: rollouter.Trying}}
	p.fleet.view.Store(&v)
	p.fleet.updateRouting()
	for range 20 {
		p.call(t, "GET", "/safe/", "")
	}
	p.call(t, "GET", "/safe/", "", "Api-Key", "wrong")
	p.fleet.routing.withChooser(func(ch *chooser.Chooser) {
		ch.RecordLeaving(time.Now(), e)
		ch.RecordQuiet(time.Now(), e, time.Minute)
	})
	f := newTestFleet(t, 1, 0)
	f.startAll()
	f.putPlan(1, f.nodes)
	var exported []string
	for _, obs := range []*observer.Observer{p.obs, f.nodes[0].obs} {
		families, err := obs.Registry.Gather()
		assert.NilError(t, err)
		for _, m := range families {
			if strings.HasPrefix(m.GetName(), "cactusroute_") {
				exported = append(exported, m.GetName())
			}
		}
	}
	for _, m := range exported {
		assert.Check(t, slices.Contains(documented, m), "metric %s is not documented", m)
	}
	for _, m := range documented {
		assert.Check(t, slices.Contains(exported, m), "metric %s is not exported", m)
	}
}

// BenchmarkLogLine measures the log line of a served request, up to the queue.
func BenchmarkLogLine(b *testing.B) {
	queue := observer.NewAsyncWriter(io.Discard)
	log := newRateLimitedLog(observer.New(queue, "edge-a-1"), queue)
	keyvals := []any{"msg", "request served", "request", "9262762e07404cfa", "route", "r-9h6ntfp", "version", uint64(66),
		"status", 200, "reason", "", "sends", 1, "firstMs", int64(33), "ms", int64(81), "endpoint", "i-9c7d95eae7",
		"load", 2, "loadAgeMs", int64(114), "rank", 0}
	b.ReportAllocs()
	for b.Loop() {
		_ = log.obs.Logger.Log(keyvals...)
		if queue.Dropped() > 0 {
			queue.Flush()
		}
	}
}
