package recorder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func get(r *Recorder, query, accept string) *httptest.ResponseRecorder {
	hr := httptest.NewRequest(http.MethodGet, Path+"?"+query, nil)
	hr.Header.Set("Accept", accept)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, hr)
	return w
}

func parsePage(t *testing.T, w *httptest.ResponseRecorder) (p Page) {
	t.Helper()
	assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p))
	return p
}

// Guards against events that are returned twice or dropped without being counted between pages, when the ring is full
// and after a restart, and against events of unlimited size.
func TestPagingReturnsEveryEventOnceAndCountsDroppedOnes(t *testing.T) {
	r := New("agent-1", 8)
	for i := range 3 {
		r.Record(Event{Kind: fmt.Sprint(i), Cause: strings.Repeat("é", 1000), Details: make([]Detail, 20)})
	}
	p := parsePage(t, get(r, "limit=2", ""))
	assert.Equal(t, len(p.Events), 2)
	assert.Assert(t, len(p.Events[0].Cause) <= maxTextBytes && len(p.Events[0].Details) <= maxDetails)
	p = parsePage(t, get(r, "after="+p.Next, ""))
	assert.Equal(t, len(p.Events), 1)
	assert.Equal(t, p.Events[0].Kind, "2")
	assert.Equal(t, p.Events[0].Stamp.Compare(Event{}.Stamp), 1)
	for i := range 20 {
		r.Record(Event{Kind: fmt.Sprint(3 + i)})
	}
	p = parsePage(t, get(r, "after="+p.Next, ""))
	assert.Equal(t, p.Dropped, uint64(12))
	assert.Equal(t, len(p.Events), 8)
	assert.Equal(t, p.Events[0].Kind, "15")
	restarted := New("agent-1", 8)
	restarted.Record(Event{Kind: "started"})
	p = parsePage(t, get(restarted, "after="+p.Next, ""))
	assert.Equal(t, len(p.Events), 1)
	for _, invalid := range []string{"after=x", "limit=0", "wait=10", "version=x"} {
		assert.Equal(t, get(r, invalid, "").Code, http.StatusBadRequest)
	}
}

// Guards against filters that select other events, and against NDJSON lines that are not one event each.
func TestFiltersAndNDJSON(t *testing.T) {
	r := New("agent-1", 8)
	want := Event{Kind: "b", Request: "r1", Endpoint: "e1", FailureDomain: "d1", Version: 4}
	r.Record(Event{Kind: "a", Request: "r2", Endpoint: "e2", FailureDomain: "d2", Version: 5})
	r.Record(want)
	for _, q := range []string{"request=r1", "endpoint=e1", "failureDomain=d1", "version=4"} {
		w := get(r, q, contentTypeNDJSON)
		assert.Equal(t, strings.Count(w.Body.String(), "\n"), 1, q)
		var got Event
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &got))
		assert.Equal(t, got.Kind, "b")
		assert.Equal(t, w.Header().Get(HeaderNext), Cursor{Incarnation: r.Incarnation(), Sequence: 2}.String())
	}
}

// Guards against a long poll that misses a matching event, returns for another event, or exceeds maxWait.
func TestLongPollWaitsForAMatchingEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New("agent-1", 8)
		done := make(chan Page, 1)
		go func() { done <- parsePage(t, get(r, "wait=20s&endpoint=e1", "")) }()
		synctest.Wait()
		r.Record(Event{Kind: "other", Endpoint: "e2"})
		synctest.Wait()
		assert.Equal(t, len(done), 0)
		r.Record(Event{Kind: "mine", Endpoint: "e1"})
		p := <-done
		assert.Equal(t, p.Events[0].Kind, "mine")
		started := time.Now()
		p = parsePage(t, get(r, "wait=1h&after="+p.Next, ""))
		assert.Equal(t, time.Since(started), maxWait)
		assert.Equal(t, len(p.Events), 0)
	})
}
