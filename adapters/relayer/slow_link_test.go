package relayer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/slowlinker"
)

// slowLinkBytesPerSecond is the rate that remains for one of many connections that share a link.
const slowLinkBytesPerSecond = 200_000

// Guards against an agent that closes a connection on which a large request is arriving over a slow link, because the
// keepalives wait behind it, so that the request is sent again from its first byte.
func TestLargeRequestKeepsItsConnectionOverASlowLink(t *testing.T) {
	t.Parallel()
	duration := 2 * heartbeatLimits.FailAfter
	var runs atomic.Int64
	end := make(chan struct{})
	_, proxy, _ := setup(t, func(ctx context.Context, req Request, w *ResponseBuffer) (End, error) {
		runs.Add(1)
		w.Start(Head{Status: http.StatusOK})
		if req.ID == "long" {
			select {
			case <-end:
			case <-ctx.Done():
			}
		}
		return End{Outcome: OutcomeRan}, nil
	}, modeForward)
	c := NewClient(t.Context(), messenger.Options{})
	link := slowlinker.New(t, proxy.addr(), slowLinkBytesPerSecond)
	start := func(id string, body []byte) *Stream {
		req := request(id)
		req.Deadline, req.Body = time.Now().Add(time.Minute), body
		s, err := c.Start(t.Context(), link.Address, req)
		assert.NilError(t, err)
		return s
	}
	long := start("long", nil)
	body := make([]byte, slowLinkBytesPerSecond*int(duration/time.Millisecond)/1000)
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	large := start("large", body)
	_, err := readAll(large)
	assert.NilError(t, err)
	close(end)
	_, err = readAll(long)
	assert.NilError(t, err)
	assert.Equal(t, runs.Load(), int64(2))
	assert.Equal(t, link.Conns(), int64(1))
}
