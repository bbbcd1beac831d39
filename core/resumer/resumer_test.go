package resumer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1000, 0)
	v1    = Origin{Service: "llm", Version: "v1"}
	v2    = Origin{Service: "llm", Version: "v2"}
)

// Guards against a caller that reaches the stream of another one with fields that are joined differently.
func TestKeysDifferByField(t *testing.T) {
	keys := map[Key]bool{}
	for _, c := range [][4]string{
		{"w", "h", "/p", "1"}, {"w", "h", "/p", "2"}, {"w", "h", "/q", "1"}, {"w", "i", "/p", "1"}, {"x", "h", "/p", "1"},
		{"", "wh", "/p", "1"}, {"wh", "", "/p", "1"}, {"w", "h", "/p1", ""}, {"w", "h/p", "", "1"},
	} {
		keys[NewKey(c[0], c[1], c[2], c[3])] = true
	}
	assert.Equal(t, len(keys), 9)
}

// Guards against an origin that is returned although the record has expired or two streams have the key.
func TestOrigin(t *testing.T) {
	until := start.Add(5 * time.Second)
	stream := func(o Origin, until time.Time) Stream { return Stream{Key: 1, Origin: o, Until: until} }
	for _, c := range []struct {
		name    string
		streams []Stream
		at      time.Time
		want    Origin
		known   bool
	}{
		{"never seen", nil, start, Origin{}, false},
		{"known", []Stream{stream(v1, until)}, start, v1, true},
		{"recorded twice", []Stream{stream(v1, until), stream(v1, until)}, start, v1, true},
		{"two origins", []Stream{stream(v1, until), stream(v2, until)}, start, Origin{}, false},
		{"two origins, the first again", []Stream{stream(v1, until), stream(v2, until), stream(v1, until)}, start,
			Origin{}, false},
		{"another key", []Stream{{Key: 2, Origin: v1, Until: until}}, start, Origin{}, false},
		{"taken up with a later expiry", []Stream{stream(v1, until), stream(v1, until.Add(time.Second))}, until, v1, true},
		{"recorded again with an earlier expiry", []Stream{stream(v1, until.Add(time.Second)), stream(v1, until)}, until,
			v1, true},
		{"expired", []Stream{stream(v1, until)}, until, Origin{}, false},
		{"expired before it was recorded", []Stream{stream(v1, start)}, start, Origin{}, false},
	} {
		table := New(start, 10)
		for _, s := range c.streams {
			table.Record(start, s)
		}
		got, known := table.Origin(c.at, 1)
		assert.Equal(t, got, c.want, c.name)
		assert.Equal(t, known, c.known, c.name)
	}
}

// Guards against a table that grows with streams that have expired, or above its bound, and against one that is full of
// streams whose callers may come back for long, so that none of the streams that still go on is known.
func TestTableIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxStreams = 20
		table := New(start, maxStreams)
		now := start
		want := map[Key]Stream{}
		var recent []Key // recorded or renewed, the last one at the end
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			s := Stream{Key: Key(rapid.IntRange(1, 40).Draw(t, "key")), Origin: v1,
				Renewal: uint16(rapid.IntRange(0, 2).Draw(t, "renewal")),
				Until:   now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "left")) * time.Millisecond)}
			known, isKnown := want[s.Key]
			isKnown = isKnown && known.Until.After(now)
			isNews := !isKnown || s.Renewal > known.Renewal || s.Until.Sub(known.Until) >= minExtension
			if changed := table.Record(now, s); changed != isNews {
				t.Fatalf("%v after %v changed the table: %v", s, known, changed)
			}
			if isKnown {
				s.Renewal = max(s.Renewal, known.Renewal)
				if s.Until.Sub(known.Until) < minExtension {
					s.Until = known.Until
				}
			}
			want[s.Key] = s
			if isNews {
				recent = append(slices.DeleteFunc(recent, func(key Key) bool { return key == s.Key }), s.Key)
			}
			recent = slices.DeleteFunc(recent, func(key Key) bool { return !want[key].Until.After(now) })
			if len(recent) > maxStreams {
				delete(want, recent[0])
				recent = recent[1:]
			}
			if n := table.Len(); n != len(recent) || n > maxStreams {
				t.Fatalf("%d records", n)
			}
			for key := range Key(41) {
				if _, ok := table.Origin(now, key); ok != want[key].Until.After(now) {
					t.Fatalf("key %d until %v is known %v at %v", key, want[key].Until, ok, now)
				}
			}
		}
		table.Expire(now.Add(time.Minute))
		if table.Len() != 0 || len(table.expiring) != 0 || table.recent.Len() != 0 {
			t.Fatalf("%d records, %d expiring, %d recent left", table.Len(), len(table.expiring), table.recent.Len())
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	table := New(start, 1<<16)
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(500 * time.Microsecond)
		table.Record(now, Stream{Key: NewKey("workspace", "host", "/path", fmt.Sprint(i)), Origin: v1,
			Until: now.Add(12 * time.Second)})
	}
}
