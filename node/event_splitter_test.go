package node

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against events that are lost, doubled or cut where the bytes of a stream arrive in any pieces.
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
		rest, got := want+tail, ""
		var c eventSplitter
		for rest != "" {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			got += string(c.split([]byte(rest[:n])))
			rest = rest[n:]
		}
		if got != want || string(c.partial) != tail || c.lastID != lastID {
			t.Fatalf("got %q, partial %q, last ID %q", got, c.partial, c.lastID)
		}
	})
}

// Guards against an ID that is taken from the text of an event.
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
