package timestamper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against effects that sort before their causes when wall clocks differ or step back.
func TestTimestampsKeepCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clocks := make([]Clock, 3)
		last := make([]Timestamp, 3)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			wall := time.UnixMilli(int64(rapid.IntRange(100_000, 130_000).Draw(t, "wall")))
			sent := clocks[from].Tick(wall)
			assert.Equal(t, sent.Compare(last[from]), 1)
			last[from] = sent
			wall = time.UnixMilli(int64(rapid.IntRange(100_000, 130_000).Draw(t, "wall")))
			assert.Assert(t, clocks[to].Merge(sent, wall))
			got := clocks[to].Tick(wall)
			assert.Equal(t, got.Compare(sent), 1)
			last[to] = got
			parsed, err := Parse(got.String())
			assert.NilError(t, err)
			assert.Equal(t, parsed, got)
		}
	})
}

// Guards against one wrong wall clock that shifts the timestamps of every process.
func TestTimestampFarAheadIsIgnored(t *testing.T) {
	var c Clock
	now := time.UnixMilli(100_000)
	before := c.Tick(now)
	assert.Assert(t, !c.Merge(Timestamp{Millis: 100_000 + 61_000}, now))
	assert.Equal(t, c.Tick(now).Millis, before.Millis)
}
