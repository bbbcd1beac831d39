package node

import (
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/chooser"
)

// Guards against a quiet time that is ignored because of its form, and against a value that is taken for one although
// it is no number of seconds.
func TestParseRetryAfter(t *testing.T) {
	const huge = time.Duration(math.MaxInt64)
	for _, c := range []struct {
		name   string
		values []string
		want   time.Duration
		valid  bool
	}{
		{"none", nil, 0, true},
		{"seconds", []string{"3"}, 3 * time.Second, true},
		{"fraction", []string{" 0.25 "}, 250 * time.Millisecond, true},
		{"zero", []string{"0"}, 0, true},
		{"huge", []string{"1e300"}, huge, true},
		{"beyond the numbers", []string{strings.Repeat("9", 400)}, huge, true},
		{"many digits", []string{"99999999999999999999"}, huge, true},
		{"the longest", []string{"2", "5", "3"}, 5 * time.Second, true},
		{"the longest of a list", []string{"2, 5,3"}, 5 * time.Second, true},
		{"one of two", []string{"x", "4"}, 4 * time.Second, false},
		{"negative", []string{"-4"}, 0, false},
		{"huge and negative", []string{"-1e999"}, 0, false},
		{"date", []string{"Wed, 21 Oct 2026 07:28:00 GMT"}, 0, false},
		{"text", []string{"soon"}, 0, false},
		{"empty", []string{""}, 0, false},
		{"not a number", []string{"NaN"}, 0, false},
		{"infinite", []string{"Inf"}, 0, false},
	} {
		got, valid := parseRetryAfter(c.values)
		assert.Equal(t, got, c.want, c.name)
		assert.Equal(t, valid, c.valid, c.name)
	}
}

// callRepeatedly sends requests until some time has passed and returns the statuses by number.
func (p *testProxy) callRepeatedly(t *testing.T, path string, d time.Duration) map[int]int {
	t.Helper()
	statuses := map[int]int{}
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		statuses[p.call(t, http.MethodPost, path, "").status]++
	}
	return statuses
}

// Guards against requests, first attempts and retries, to an endpoint that has answered 503 with the time for which it
// wants none, and against an endpoint that gets none any more after that time.
func TestQuietEndpointGetsNoRequests(t *testing.T) {
	const quiet = 600 * time.Millisecond
	for _, c := range []struct {
		name    string
		headers string
		path    string
		isQuiet bool
	}{
		{"not run", "Not-Run: 1\r\nRetry-After: 0.6\r\n", "/safe/", true},
		{"not run, once", "Not-Run: 1\r\nRetry-After: 0.6\r\n", "/once/", true},
		{"may have run", "Retry-After: 0.6\r\n", "/safe/", true},
		{"may have run, once", "Retry-After: 0.6\r\n", "/once/", true},
		{"stream", "Not-Run: 1\r\nRetry-After: 0.6\r\n", "/resume/", true},
		{"two values", "Retry-After: x\r\nRetry-After: 0.6\r\n", "/safe/", true},
		{"no time", "Not-Run: 1\r\n", "/safe/", false},
		{"zero", "Not-Run: 1\r\nRetry-After: 0\r\n", "/safe/", false},
		{"malformed", "Not-Run: 1\r\nRetry-After: Fri, 31 Dec 1999 23:59:59 GMT\r\n", "/safe/", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var first atomic.Int64 // Unix ns of the first refusal
			refusing := newFakeEndpoint(t, func(req *receivedRequest) {
				first.CompareAndSwap(0, time.Now().UnixNano())
				req.respond("503 Full", c.headers, "full")
			})
			p := newTestProxy(t, testPlan(1), refusing, newFakeEndpoint(t, respondOK))
			for refusing.count() == 0 {
				p.call(t, http.MethodPost, c.path, "")
			}
			p.callRepeatedly(t, c.path, quiet-time.Since(time.Unix(0, first.Load()))-20*time.Millisecond)
			if c.isQuiet {
				assert.Equal(t, refusing.count(), 1)
			} else {
				assert.Assert(t, refusing.count() > 1)
			}
			eventually(t, "request after the quiet time", func() bool {
				p.call(t, http.MethodPost, c.path, "")
				return refusing.count() > 1
			})
		})
	}
}

// Guards against requests that are sent, held or told a wrong time to come back while every endpoint wants none.
func TestAllEndpointsQuiet(t *testing.T) {
	for _, c := range []struct {
		name     string
		seconds  []string // of each endpoint
		min, max float64  // Retry-After for callers
	}{
		{"the first to be back counts", []string{"20", "3.5", "1e300"}, 3, 4.1},
		{"huge", []string{"1e300", "1e9"}, 30, 30.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			var endpoints []*fakeEndpoint
			for _, seconds := range c.seconds {
				endpoints = append(endpoints, newFakeEndpoint(t, func(req *receivedRequest) {
					req.respond("503 Full", "Not-Run: 1\r\nRetry-After: "+seconds+"\r\n", "")
				}))
			}
			p := newTestProxy(t, testPlan(1), endpoints...)
			last := p.call(t, http.MethodPost, "/safe/", "")
			sent := func() (n int) {
				for _, e := range endpoints {
					n += e.count()
				}
				return n
			}
			assert.Equal(t, sent(), len(endpoints))
			for i := range 10 {
				assert.Equal(t, last.status, http.StatusServiceUnavailable)
				after, err := strconv.ParseFloat(last.header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, after >= c.min && after <= c.max, "Retry-After %v", after)
				path := []string{"/safe/", "/once/", "/resume/"}[i%3]
				start := time.Now()
				last = p.call(t, http.MethodPost, path, "")
				assert.Assert(t, time.Since(start) < chooseTimeout, "held for %v", time.Since(start))
				assert.Equal(t, last.body, "quiet\n")
			}
			assert.Equal(t, sent(), len(endpoints))
		})
	}
}

// Guards against a caller that is told to stay away as long as one endpoint wants no requests, while another one may
// serve it.
func TestRetryAfterOfAnEndpointIsNotPassedOn(t *testing.T) {
	refuse := func(req *receivedRequest) { req.respond("503 Full", "Retry-After: 3600\r\nSigned: yes\r\n", "full") }
	serve := false
	p := newTestProxy(t, testPlan(1), newFakeEndpoint(t, refuse), newFakeEndpoint(t, refuse),
		newFakeEndpoint(t, func(req *receivedRequest) {
			if serve {
				respondOK(req)
			} else {
				refuse(req)
			}
		}))
	got := p.call(t, http.MethodPost, "/safe/", "") // two attempts are allowed
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, "full")
	assert.Equal(t, got.header.Get("Signed"), "yes")
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0 && after <= maxRetryAfter.Seconds(), "Retry-After %v", after)
	serve = true
	assert.Equal(t, p.call(t, http.MethodPost, "/safe/", "").status, http.StatusOK)
}

// Guards against a broken stream that goes on at an endpoint which wants no requests.
func TestStreamIsNotResumedWhereNothingIsWanted(t *testing.T) {
	for _, headers := range []string{"Retry-After: 60\r\n"} {
		for _, version := range []string{"v1", "v2"} { // of the third endpoint
			declining := newFakeEndpoint(t, func(req *receivedRequest) { req.respond("503 Full", "Not-Run: 1\r\n"+headers, "") })
			p := newTestProxy(t, testPlan(1), declining, newFakeEndpoint(t, versionedStream("v1")),
				newFakeEndpoint(t, versionedStream(version)))
			p.fleet.mu.Lock()
			records := p.fleet.endpoints.All()
			p.fleet.mu.Unlock()
			for i := range records {
				records[i].Sequence, records[i].Version = 2, "v1"
				if records[i].ID == "c" {
					records[i].Version = version
				}
			}
			p.fleet.mergeEndpoints(records, "test")
			for declining.count() == 0 {
				p.call(t, http.MethodPost, "/safe/", "")
			}
			for range 6 {
				got := p.call(t, http.MethodPost, "/resume/", "")
				versions := versionsIn(got.body)
				assert.Assert(t, len(versions) > 0 && isOneVersion(versions), "%q", got.body)
				assert.Equal(t, len(versions) == versionedEvents, version == "v1", "%q", got.body)
			}
			assert.Equal(t, declining.count(), 1)
		}
	}
}

// Guards against a request that is sent to an endpoint which has declined all requests while the connection for it was
// opened, and against an endpoint that counts as failed for it.
func TestRequestIsWithdrawnBeforeItIsSent(t *testing.T) {
	declining := newFakeEndpoint(t, respondOK)
	p := newTestProxy(t, testPlan(1), declining)
	r := httptest.NewRequest(http.MethodPost, "http://h.example/safe/", http.NoBody)
	r.RequestURI = "/safe/"
	r.Header.Set("Req-Id", "id-1")
	r.Header.Set("Api-Key", "key")
	q, refused := p.admit(r)
	assert.Assert(t, refused == nil)
	tr := &transfer{proxy: p.proxy, request: q, w: httptest.NewRecorder()}
	choice, reason := tr.choose(t.Context())
	assert.Equal(t, reason, chooser.Reason(""))
	p.fleet.routing.withChooser(func(c *chooser.Chooser) { c.RecordQuiet(time.Now(), choice.Endpoint, time.Minute) })
	d, ref := tr.attempt(t.Context(), choice)
	assert.Equal(t, d, retryElsewhere)
	assert.Equal(t, ref.status, http.StatusServiceUnavailable)
	assert.Equal(t, tr.runs, 0)
	assert.Equal(t, declining.count(), 0)
}
