package detector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testLimits = Limits{
	SuspectAfter: 1500 * time.Millisecond, FailAfter: 2500 * time.Millisecond, MaxCheckInterval: time.Second,
}

// Guards against failing a connection that is idle or received data in time, and against keeping one that was inactive
// for too long, in any order of heartbeats, checks and pauses of the local process.
func TestConnectionFailsExactlyAfterTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now, lastActivity, lastCheck := start, start, start
		c := NewConnection(testLimits, now)
		active, failed := false, false
		for range rapid.IntRange(1, 60).Draw(t, "inputs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "input") {
			case 0:
				c.RecordActivity(now)
				lastActivity = now
			case 1:
				next := rapid.Bool().Draw(t, "active")
				if next && !active {
					lastActivity, lastCheck = now, now
				}
				active = next
				c.SetActive(active, now)
			default:
				stalled := now.Sub(lastCheck) > testLimits.MaxCheckInterval
				lastCheck = now
				got := c.Check(now)
				switch {
				case failed:
					assert.Equal(t, got, Failed)
				case !active:
					assert.Equal(t, got, Idle)
				case now.Sub(lastActivity) <= testLimits.SuspectAfter:
					assert.Equal(t, got, Healthy)
				case stalled:
					assert.Equal(t, got != Failed, true)
					lastActivity = laterOf(lastActivity, now.Add(-testLimits.SuspectAfter))
				default:
					assert.Equal(t, got == Failed, now.Sub(lastActivity) > testLimits.FailAfter)
				}
				failed = got == Failed
			}
		}
	})
}

// Guards against declaring a peer lost although its new connection works, and against endless reconnection to a peer
// that sends nothing on new connections.
func TestPeerIsLostOnlyWhenItsNewConnectionFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Peer
		hadActivity := true
		for range rapid.IntRange(1, 30).Draw(t, "inputs") {
			if rapid.Bool().Draw(t, "activity") {
				p.RecordActivity()
				hadActivity = true
				continue
			}
			assert.Equal(t, p.RecordFailure() == Reconnect, hadActivity)
			hadActivity = false
		}
	})
}
