package node

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusroute.dev/adapters/forwarder"
)

// Guards against events that are lost, duplicated, truncated or held back when a stream with any line ends is read in
// chunks of any size.
func TestEventSplitterPreservesBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		want, lastID := "", ""
		events := rapid.IntRange(1, 5).Draw(t, "events")
		for range events {
			if id := rapid.StringMatching(`[a-z0-9]{0,3}`).Draw(t, "id"); id != "" {
				want += "id: " + id + lineEnd
				lastID = id
			}
			want += "data: " + rapid.StringMatching(`[id: x]{0,6}`).Draw(t, "data") + lineEnd + lineEnd
		}
		tail := rapid.SampledFrom([]string{"", "id: 9", "data: x" + lineEnd}).Draw(t, "tail")
		unread, got := want+tail, ""
		splitter := eventSplitter{maxEventBytes: 64}
		for unread != "" {
			n := rapid.IntRange(1, len(unread)).Draw(t, "piece")
			data := []byte(unread[:n])
			out, err := splitter.split(data)
			if err != nil {
				t.Fatal(err)
			}
			got += string(out)
			unread = unread[n:]
			clear(data) // the buffer is reused by the next read
		}
		if lineEnd == "\r\n" {
			// The last line end is complete without its LF, which may have arrived after the event was passed on.
			want, got = strings.TrimSuffix(want, "\n"), strings.TrimSuffix(got, "\n")
			splitter.partial = []byte(strings.TrimPrefix(string(splitter.partial), "\n"))
		}
		if got != want || string(splitter.partial) != tail || splitter.lastID != lastID ||
			splitter.events != uint64(events) {
			t.Fatalf("got %q, partial %q, last ID %q, %d events", got, splitter.partial, splitter.lastID, splitter.events)
		}
	})
}

// Guards against a stream without an event end that fills the memory, or that is searched from its start on every read.
func TestEventSplitterBoundsOneEvent(t *testing.T) {
	splitter := eventSplitter{maxEventBytes: defaultEventBytes}
	data := []byte(strings.Repeat("data: x\n", 1<<10))
	for {
		_, err := splitter.split(data)
		if err == nil {
			assert.Assert(t, len(splitter.partial) <= defaultEventBytes)
			continue
		}
		var limitErr *forwarder.LimitError
		assert.Assert(t, errors.As(err, &limitErr))
		assert.Equal(t, limitErr.Bound, boundEventBytes)
		assert.Assert(t, limitErr.Seen > limitErr.Limit && limitErr.Seen <= defaultEventBytes+int64(len(data)))
		return
	}
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
		{"id: 1\r\n\r\nid: 2\r\n\r\n", "2", true},
		{"id: 1\r\rdata: x\r\r", "1", true},
		{"idle: 1\n\n", "", false},
	} {
		got, ok := lastEventID([]byte(c.events))
		assert.Equal(t, got, c.want, c.events)
		assert.Equal(t, ok, c.ok, c.events)
	}
}

// Guards against events of a resumed stream that are lost, truncated or refused, or ones out of order that are passed
// on, when they arrive in pieces of any size with any line ends.
func TestResumedEventsInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		id, want := 8, ""
		for range rapid.IntRange(0, 4).Draw(t, "events") {
			id += rapid.IntRange(1, 200).Draw(t, "step")
			if rapid.Bool().Draw(t, "comment") {
				want += ": x" + lineEnd + lineEnd
			}
			want += "data: " + rapid.StringMatching(`[id: x]{0,6}`).Draw(t, "data") + lineEnd +
				"id: " + itoa(id) + lineEnd + lineEnd
		}
		faults := []string{"", "data: x" + lineEnd, "id: " + itoa(id) + lineEnd, "busy" + lineEnd}
		fault := rapid.SampledFrom(faults).Draw(t, "fault")
		unread, got := want, ""
		if fault != "" {
			unread += fault + lineEnd + "id: 9999" + lineEnd + lineEnd
		}
		splitter := eventSplitter{maxEventBytes: 64, lastID: "8"}
		splitter.reset()
		var err error
		for unread != "" && err == nil {
			n := rapid.IntRange(1, len(unread)).Draw(t, "piece")
			var out []byte
			out, err = splitter.split([]byte(unread[:n]))
			got += string(out)
			unread = unread[n:]
		}
		got += string(splitter.partial[:min(len(splitter.partial), len(want)-len(got))])
		var contentErr *contentError
		if got != want || errors.As(err, &contentErr) != (fault != "") || splitter.lastID != itoa(id) {
			t.Fatalf("got %q, want %q, last ID %q, error %v", got, want, splitter.lastID, err)
		}
	})
}
