package fakeservice

import (
	"encoding/json"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
)

// Guards against run counts that the test API omits, also while the service is frozen.
func TestRunsOverHTTP(t *testing.T) {
	s := New(0)
	send := func(method, path, body string) *httptest.ResponseRecorder {
		r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
		r.Header.Set(HeaderIdempotencyKey, "op")
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		return w
	}
	for range 2 {
		send("POST", "/refunds/a%20b", "order 1")
	}
	send("POST", "/fake/v1/freeze", "")
	var got runCounts
	if err := json.Unmarshal(send("GET", "/fake/v1/runs", "").Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	want := runCounts{
		ByKey: map[string]int{"op": 2}, ByBody: []bodyRunCount{{Path: "/refunds/a%20b", Body: "order 1", Runs: 2}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}
