package recorder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	defaultLimit = 1000
	// maxWait is below the idle timeouts of common HTTP intermediaries.
	maxWait           = 30 * time.Second
	contentTypeJSON   = "application/json"
	contentTypeNDJSON = "application/x-ndjson"
)

// Headers of an NDJSON response, which replace the fields next and dropped of a Page.
const (
	HeaderNext    = "X-Cactusroute-Next"
	HeaderDropped = "X-Cactusroute-Dropped"
)

type query struct {
	after  Cursor
	limit  int
	wait   time.Duration
	filter Filter
}

func parseQuery(v url.Values) (q query, err error) {
	if q.after, err = ParseCursor(v.Get("after")); err != nil {
		return q, err
	}
	q.limit = defaultLimit
	if text := v.Get("limit"); text != "" {
		if q.limit, err = strconv.Atoi(text); err != nil || q.limit < 1 {
			return q, fmt.Errorf("limit %q is not an integer of at least 1", text)
		}
	}
	if text := v.Get("wait"); text != "" {
		if q.wait, err = time.ParseDuration(text); err != nil || q.wait < 0 {
			return q, fmt.Errorf("wait %q is not a non-negative duration, for example 10s", text)
		}
		q.wait = min(q.wait, maxWait)
	}
	q.filter = Filter{
		Request: v.Get("request"), Endpoint: v.Get("endpoint"), FailureDomain: v.Get("failureDomain"),
	}
	if text := v.Get("version"); text != "" {
		if q.filter.Version, err = strconv.ParseUint(text, 10, 64); err != nil {
			return q, fmt.Errorf("version %q is not an unsigned integer", text)
		}
	}
	return q, nil
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// ServeHTTP returns at most "limit" events after the cursor "after" that match "request", "endpoint", "failureDomain"
// and "version". With a duration in "wait", it is a long poll. The response is a Page, or one event per line if the
// request accepts application/x-ndjson.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	q, err := parseQuery(hr.URL.Query())
	if err != nil {
		w.Header().Set("Content-Type", contentTypeJSON)
		w.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(w).Encode(errorBody{Error: errorDetail{Code: "invalid_request", Message: err.Error()}})
		return
	}
	p := r.waitForEvents(hr, &q)
	enc := json.NewEncoder(w)
	w.Header().Set("Cache-Control", "no-store")
	if !strings.Contains(hr.Header.Get("Accept"), contentTypeNDJSON) {
		w.Header().Set("Content-Type", contentTypeJSON)
		_ = enc.Encode(p)
		return
	}
	w.Header().Set("Content-Type", contentTypeNDJSON)
	w.Header().Set(HeaderNext, p.Next)
	w.Header().Set(HeaderDropped, strconv.FormatUint(p.Dropped, 10))
	for i := range p.Events {
		if enc.Encode(&p.Events[i]) != nil {
			return
		}
	}
}

// waitForEvents returns the next page with events, or an empty one after q.wait.
func (r *Recorder) waitForEvents(hr *http.Request, q *query) Page {
	t := time.NewTimer(q.wait)
	defer t.Stop()
	var dropped uint64
	for {
		p, recorded := r.Read(q.after, q.limit, q.filter)
		p.Dropped += dropped
		if len(p.Events) > 0 || q.wait == 0 {
			return p
		}
		if next, err := ParseCursor(p.Next); err == nil {
			q.after = next // events that do not match are not read again
		}
		dropped = p.Dropped
		select {
		case <-recorded:
		case <-t.C:
			return p
		case <-hr.Context().Done():
			return p
		}
	}
}
