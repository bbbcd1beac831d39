package node

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against events that are lost, duplicated or truncated when a stream is read in chunks of any size.
func TestEventSplitterPreservesBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want, lastID := "", ""
		for range rapid.IntRange(1, 5).Draw(t, "events") {
			if id := rapid.StringMatching(`[a-z0-9]{0,3}`).Draw(t, "id"); id != "" {
				want += "id: " + id + "\n"
				lastID = id
			}
			want += "data: " + rapid.StringMatching(`[id: x]{0,6}`).Draw(t, "data") + "\n\n"
		}
		tail := rapid.SampledFrom([]string{"", "id: 9", "data: x\n"}).Draw(t, "tail")
		unread, got := want+tail, ""
		var splitter eventSplitter
		for unread != "" {
			n := rapid.IntRange(1, len(unread)).Draw(t, "piece")
			got += string(splitter.split([]byte(unread[:n])))
			unread = unread[n:]
		}
		if got != want || string(splitter.partial) != tail || splitter.lastID != lastID {
			t.Fatalf("got %q, partial %q, last ID %q", got, splitter.partial, splitter.lastID)
		}
	})
}

// Guards against an ID that is read from the data of an event.
func TestLastEventID(t *testing.T) {
	for _, c := range []struct {
		events, want string
		ok           bool
	}{
		{"id: 7\ndata: id: 8\n\n", "7", true},
		{"id:7\n\n", "7", true},
		{"data: x\n\n", "", false},
		{"data: grid: 5\n\n", "", false},
		{"id: 1\n\nid: 2\n\n", "2", true},
	} {
		got, ok := lastEventID([]byte(c.events))
		assert.Equal(t, got, c.want, c.events)
		assert.Equal(t, ok, c.ok, c.events)
	}
}
