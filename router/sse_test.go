package router

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func parseEvents(t testing.TB, chunks ...[]byte) (out [][]byte) {
	t.Helper()
	var p eventParser
	for _, c := range chunks {
		assert.NilError(t, p.feed(c))
		for e, ok := p.next(); ok; e, ok = p.next() {
			out = append(out, bytes.Clone(e))
		}
	}
	return out
}

// Guards against events that depend on the chunks in which the stream arrives, and against lost or added bytes.
func FuzzEventParser(f *testing.F) {
	f.Add([]byte(streamBody(0, 3)), 17)
	f.Add([]byte(": keepalive\n\ndata:a\r\ndata: b\r\n\r\n\n\ndata: rest"), 3)
	f.Fuzz(func(t *testing.T, in []byte, cut int) {
		cut = min(max(cut, 0), len(in))
		events := parseEvents(t, in)
		split := parseEvents(t, in[:cut], in[cut:])
		assert.DeepEqual(t, split, events)
		joined := bytes.Join(events, nil)
		assert.Assert(t, bytes.HasPrefix(in, joined))
		remainder := in[len(joined):]
		assert.Assert(t, !bytes.Contains(remainder, []byte("\n\n")) && !bytes.HasPrefix(remainder, []byte("\n")))
		var p streamProgress
		for _, e := range events {
			_, _ = p.record(e)
		}
	})
}

// Guards against data fields that are parsed incorrectly.
func TestEventData(t *testing.T) {
	for _, c := range []struct {
		event, want string
		ok          bool
	}{
		{"data: a\n\n", "a", true},
		{"data:a\r\n\r\n", "a", true},
		{"event: x\ndata: a\ndata:  b\n\n", "a\n b", true},
		{"data\n\n", "", true},
		{"database: a\n\n", "", false},
		{": comment\n\n", "", false},
	} {
		got, ok := eventData([]byte(c.event))
		assert.Equal(t, string(got), c.want)
		assert.Equal(t, ok, c.ok)
	}
}

// Guards against a buffer that grows without limit for a stream without blank lines.
func TestEventBytesAreBounded(t *testing.T) {
	var p eventParser
	assert.NilError(t, p.feed(make([]byte, 2*maxEventBytes)))
	assert.ErrorIs(t, p.feed([]byte{0}), errEventTooLong)
}

func BenchmarkToken(b *testing.B) {
	event := []byte(`data: {"id":"c-1","choices":[{"index":0,"delta":{"content":"wool "}}]}` + "\n\n")
	var parser eventParser
	var p streamProgress
	b.ReportAllocs()
	for b.Loop() {
		p.text = p.text[:0]
		_ = parser.feed(event)
		for e, ok := parser.next(); ok; e, ok = parser.next() {
			_, _ = p.record(e)
		}
	}
}
