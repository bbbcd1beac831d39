package exchanger

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusroute.dev/core/chooser"
)

// Guards against requests that are counted for the wrong endpoint when endpoints are added and removed.
func TestLoadsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e loadEncoder
		var d loadDecoder
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			first := rapid.IntRange(0, 2000).Draw(t, "first")
			loads := Loads{}
			for i := range rapid.IntRange(0, 40).Draw(t, "endpoints") {
				id := fmt.Sprintf("i-%d", first+i*rapid.IntRange(1, 3).Draw(t, "step"))
				loads[id] = chooser.Load{Requests: rapid.IntRange(0, 500).Draw(t, "n")}
			}
			m := e.encode(time.Now(), loads)
			got, err := d.decode(time.Now(), &m)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, loads)
			assert.Assert(t, len(e.numbers) <= 2*len(loads)+maxUnusedNumbers+len(loads))
			assert.Equal(t, len(d.ids), len(e.numbers))
		}
	})
}

// Guards against a hot subject that the routers don't learn of: the endpoints with the most wanted requests arrive with
// their number, and the sum over all is kept.
func TestWantedRequestsArrive(t *testing.T) {
	loads := Loads{"hot": {Requests: 3, Wanted: 90}, "idle": {Wanted: 2}}
	total := 92.0
	for i := range 40 {
		l := chooser.Load{Requests: i % 4, Wanted: float64(4 + i%3)}
		loads[fmt.Sprintf("i-%d", i)] = l
		total += l.Wanted
	}
	var e loadEncoder
	var d loadDecoder
	for range 2 {
		m := e.encode(time.Now(), loads)
		got, err := d.decode(time.Now(), &m)
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(loads))
		assert.Equal(t, got["hot"], loads["hot"])
		sum := 0.0
		for id, l := range got {
			assert.Equal(t, l.Requests, loads[id].Requests)
			sum += l.Wanted
		}
		assert.Assert(t, math.Abs(sum-total) < 0.01, "%f", sum)
		assert.Assert(t, len(m.Wanted) <= 10, "%d bytes", len(m.Wanted))
	}
}

// Guards against a corrupt or hostile message that crashes the process or counts requests for the wrong endpoint.
func TestInvalidLoadsAreRejected(t *testing.T) {
	for _, counts := range [][]byte{
		{0}, {5, 1}, {0, 1, 7, 1}, {0xff},
		{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 1}, // delta
		{0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1}, // requests
	} {
		d := loadDecoder{ids: []string{"a", "b"}}
		_, err := d.decode(time.Now(), &loadsMessage{Counts: counts})
		assert.ErrorIs(t, err, errInvalidLoads)
	}
	rapid.Check(t, func(t *rapid.T) {
		d := loadDecoder{ids: []string{"a", "b"}}
		// Must not panic.
		_, _ = d.decode(time.Now(), &loadsMessage{Counts: rapid.SliceOf(rapid.Byte()).Draw(t, "counts"),
			Wanted: rapid.SliceOf(rapid.Byte()).Draw(t, "wanted"), WantedMean: rapid.Float64().Draw(t, "mean")})
	})
}

// Guards against load messages that exceed a router's bandwidth limit at the design size, and against loads that expire
// before the next message.
func TestLoadBandwidthIsBounded(t *testing.T) {
	const limit = 4 << 10 // bytes per second of a router, see docs/CAPACITY.md
	for _, entries := range []int{1, 12, 63, 64, 200, 920} {
		loads := Loads{}
		for i := range entries {
			loads[fmt.Sprintf("endpoint-%04d", i)] = chooser.Load{Requests: 3 + i%40, Wanted: float64(i % 7)}
		}
		var e loadEncoder
		_ = e.encode(time.Now(), loads)
		for id := range loads {
			loads[id] = chooser.Load{Requests: loads[id].Requests + 1, Wanted: loads[id].Wanted}
		}
		data, err := cbor.Marshal(e.encode(time.Now(), loads))
		assert.NilError(t, err)
		pause := max(loadInterval, minLoadInterval(entries))
		perSecond := float64(len(data)) / pause.Seconds()
		assert.Assert(t, perSecond <= limit, "%d entries: %.0f bytes per second", entries, perSecond)
		assert.Assert(t, pause+loadInterval < time.Second, "%d entries: %v", entries, pause)
	}
}

// Guards against a limit or a count of requests that a node keeps although it has changed, and against bytes for limits
// that have not changed.
func TestLimitsArriveWithLoads(t *testing.T) {
	var e loadEncoder
	var d loadDecoder
	now := time.Unix(1000, 0)
	limit := func(perSecond float64, isNamed bool, sent int) chooser.Load {
		return chooser.Load{Requests: 1, Rate: chooser.RateLoad{Born: 3, PerSecond: perSecond, IsNamed: isNamed,
			ObservedAt: now, Sent: sent}}
	}
	for _, step := range []struct {
		name     string
		after    time.Duration // since the last step
		load     chooser.Load
		sent     int // as received
		hasBytes bool
	}{
		{"no limit", 0, chooser.Load{Requests: 1}, 0, false},
		{"named", time.Second, limit(8, true, 2), 2, true},
		{"more requests, too soon", sentInterval / 2, limit(8, true, 3), 2, false},
		{"more requests", sentInterval, limit(8, true, 4), 4, true},
		{"unchanged", time.Second, limit(8, true, 4), 4, false},
		{"no requests any more", time.Second, limit(8, true, 0), 0, true},
		{"another value", time.Second, limit(6, true, 0), 0, true},
		{"ended", time.Second, limit(0, false, 0), 0, true},
	} {
		now = now.Add(step.after)
		if !step.load.Rate.ObservedAt.IsZero() {
			step.load.Rate.ObservedAt = now.Add(-time.Second)
		}
		m := e.encode(now, Loads{"a": step.load, "b": {Requests: 2}})
		assert.Equal(t, len(m.Limits)+len(m.Sent) > 0, step.hasBytes, step.name)
		got, err := d.decode(now, &m)
		assert.NilError(t, err)
		want := step.load
		want.Rate.Sent = step.sent
		got["a"] = withObservedAt(got["a"], want.Rate.ObservedAt)
		assert.DeepEqual(t, got["a"], want)
		assert.Equal(t, got["b"], chooser.Load{Requests: 2}, step.name)
	}
	for _, r := range []limitRecord{{Number: 9}, {PerSecond: -1}, {PerSecond: math.NaN()}, {PerSecond: math.Inf(1)}} {
		_, err := d.decode(now, &loadsMessage{Limits: []limitRecord{r}})
		assert.ErrorIs(t, err, errInvalidLoads)
	}
}

// withObservedAt replaces the time of an unchanged limit, which is not sent again.
func withObservedAt(l chooser.Load, at time.Time) chooser.Load {
	if !l.Rate.ObservedAt.IsZero() {
		l.Rate.ObservedAt = at
	}
	return l
}

// Guards against loads that the receiver rejects, which ends the subscription: after the wanted requests of the busy
// endpoints were subtracted from the sum one by one, rounding left less than nothing for the idle ones.
func TestSparseWantedRequestsAreAccepted(t *testing.T) {
	for busy := 1; busy <= 60; busy++ {
		loads := Loads{}
		for i := range 1000 {
			loads[fmt.Sprint("e", i)] = chooser.Load{Requests: 1}
		}
		for i := range busy {
			loads[fmt.Sprint("e", i)] = chooser.Load{Requests: 1, Wanted: 0.1 * float64(i+8)}
		}
		var e loadEncoder
		var d loadDecoder
		m := e.encode(time.Now(), loads)
		_, err := d.decode(time.Now(), &m)
		assert.NilError(t, err, "%d busy endpoints, mean of the others %g", busy, m.WantedMean)
	}
}
