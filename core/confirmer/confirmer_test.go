package confirmer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// Guards against a state that is put in force although newer ones are known to be acknowledged, and against a process
// that has none although it could serve callers.
func TestStateWaitsForAConfirmation(t *testing.T) {
	for _, c := range []struct {
		name      string
		confirmed time.Duration // of index 5; 0 means never
		expected  time.Duration // 0 means never, below 0 that another process knows of no quorum
		index     uint64
		now       time.Duration
		may       bool
	}{
		{"nothing is confirmed yet", 0, 0, 5, unconfirmedDelay - 1, false},
		{"no confirmation comes", 0, 0, 5, unconfirmedDelay, true},
		{"another process knows of no quorum", 0, -1, 5, 0, true},
		{"there is a quorum", 0, time.Second, 5, time.Second + expectationTimeout - 1, false},
		{"there was a quorum", 0, time.Second, 5, time.Second + expectationTimeout, true},
		{"there is a quorum that confirms nothing", 0, maxUnconfirmedDelay, 5, maxUnconfirmedDelay, true},
		{"the confirmed state", time.Second, 0, 5, 2 * time.Second, true},
		{"a newer state", time.Second, 0, 6, 2 * time.Second, true},
		{"a replayed state", time.Second, 0, 4, 2 * time.Second, false},
		{"a replayed state, and the newest does not come", time.Second, 0, 4, time.Second + expectationTimeout, true},
		{"an old confirmation", time.Second, 0, 6, time.Second + maxAge + 1, false},
		{"no further confirmation comes", time.Second, 0, 6, time.Second + expectationTimeout, true},
		{"a confirmation from before the start", -time.Second, 0, 5, 400 * time.Millisecond, true},
	} {
		confirmer := New(start)
		if c.confirmed != 0 {
			confirmer.Confirm(5, after(c.confirmed))
		}
		switch {
		case c.expected < 0:
			confirmer.ExpectNone()
		case c.expected > 0:
			confirmer.Expect(after(c.expected))
		}
		assert.Equal(t, confirmer.MayPutInForce(after(c.now), c.index), c.may, c.name)
	}
}

// Guards against a process that holds a newer state back while confirmations are late, and meanwhile uses an even older
// one: a saturated leader confirms nothing for seconds, and instances of an earlier release never report confirmations.
func TestStateInForceIsReplacedByAnyNewerOne(t *testing.T) {
	for _, c := range []struct {
		name      string
		confirmed uint64 // the index that the last confirmation is about, 1 s after the start; 0 means none
		now       time.Duration
	}{
		{"a confirmation is late", 4, time.Second + maxAge + 1},
		{"a confirmation is late, and a newer state is known", 9, time.Second + maxAge + 1},
		{"a newer state is on its way", 9, time.Second + 1},
		{"confirmations are never reported", 0, unconfirmedDelay + 1},
	} {
		confirmer := New(start)
		if c.confirmed != 0 {
			confirmer.Confirm(c.confirmed, after(time.Second))
		}
		confirmer.SetInForce(4)
		confirmer.Expect(after(c.now))
		assert.Assert(t, confirmer.MayPutInForce(after(c.now), 5), c.name)
	}
}

// Guards against requests that are denied by a plan that may be outdated.
func TestOnlyTheConfirmedStateDenies(t *testing.T) {
	c := New(start)
	c.SetInForce(4)
	assert.Assert(t, !c.MayDeny(after(0)), "never confirmed")
	c.Confirm(4, after(time.Second))
	assert.Assert(t, c.MayDeny(after(time.Second+maxAge)))
	assert.Assert(t, !c.MayDeny(after(time.Second+maxAge+1)), "the confirmation is old")
	c.Confirm(6, after(3*time.Second))
	assert.Assert(t, !c.MayDeny(after(3*time.Second)), "a newer state is known")
	c.SetInForce(5)
	assert.Assert(t, !c.MayDeny(after(3*time.Second)), "a newer state is known")
	c.SetInForce(6)
	assert.Assert(t, c.MayDeny(after(3*time.Second)))
	c.Confirm(1, after(2*time.Second))
	assert.Assert(t, c.MayDeny(after(3*time.Second)), "a late message about an older confirmation")
	assert.Equal(t, c.Age(after(4*time.Second)), time.Second)
}

// Guards against a history of confirmations after which a state is used that lacks a change acknowledged more than
// maxAge before: the group acknowledges a change at each index, in order.
func TestNoDecisionUsesAnOlderStateThanAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(start)
		ackedAt := []time.Time{start} // by index
		now, inForce := start, uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			last := uint64(len(ackedAt) - 1)
			switch rapid.SampledFrom([]string{"commit", "confirm", "late confirm", "receive"}).Draw(t, "event") {
			case "commit":
				ackedAt = append(ackedAt, now)
			case "confirm":
				c.Confirm(last, now)
			case "late confirm":
				index := rapid.Uint64Range(0, last).Draw(t, "index")
				at := now // all changes acknowledged before it have at most this index
				if index < last {
					at = ackedAt[index+1]
				}
				c.Confirm(index, at)
			case "receive":
				index := rapid.Uint64Range(inForce, last).Draw(t, "index")
				may := c.MayPutInForce(now, index)
				if !may && inForce > 0 && index > inForce {
					t.Fatalf("index %d stays in force although index %d is known", inForce, index)
				}
				if may {
					if next := index + 1; inForce == 0 && next <= last && now.Sub(ackedAt[next]) > expectationTimeout &&
						now.Sub(c.confirmedAt) < expectationTimeout {
						t.Fatalf("index %d is put in force %v after index %d was acknowledged", index, now.Sub(ackedAt[next]), next)
					}
					inForce = index
					c.SetInForce(index)
				}
			}
			if next := inForce + 1; c.MayDeny(now) && next < uint64(len(ackedAt)) && now.Sub(ackedAt[next]) > maxAge {
				t.Fatalf("index %d denies %v after index %d was acknowledged", inForce, now.Sub(ackedAt[next]), next)
			}
		}
	})
}
