package subscriber

import (
	"context"
	"crypto/rand"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/slowlinker"
	"cactusroute.dev/core/allocator"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/viewer"
)

// slowLinkBytesPerSecond is the rate that remains for one of many connections that share a link.
const slowLinkBytesPerSecond = 200_000

// largeBackend has a view of many workspaces; it has a quorum if isQuorate is set.
type largeBackend struct {
	Backend
	delta     viewer.Delta
	isQuorate bool
}

func (b *largeBackend) Connected(*Connection)    {}
func (b *largeBackend) Disconnected(*Connection) {}
func (b *largeBackend) Changed() <-chan struct{} { return nil }

func (b *largeBackend) Delta(index uint64) (viewer.Delta, bool) { return b.delta, index < b.delta.To }

func (b *largeBackend) Confirmed() (uint64, time.Time, bool) {
	return b.delta.To, time.Now(), b.isQuorate
}
func (b *largeBackend) ReportDemand(Identity, allocator.Report)        {}
func (b *largeBackend) PoolLoads(string) ([]PoolLoad, <-chan struct{}) { return nil, nil }

func newLargeBackend(bytes int, isQuorate bool) *largeBackend {
	b := &largeBackend{isQuorate: isQuorate, delta: viewer.Delta{To: 5, BundleVersion: 1}}
	const changeBytes = 300 // as encoded
	for range bytes / changeBytes {
		b.delta.Changes = append(b.delta.Changes, viewer.Change{Workspace: &bundler.Workspace{
			Name: rand.Text() + strings.Repeat("x", changeBytes/3)}})
	}
	return b
}

// Guards against a client that never gets a large view over a slow link: the replies to its probes wait behind the
// view, so that it went on to another instance, which sent the view from its first byte; and against one that stays
// with an instance which replies that it has no quorum.
func TestLargeViewReachesAClientOverASlowLink(t *testing.T) {
	const duration = 2 * probeTimeout
	for _, c := range []struct {
		isQuorate bool
		bytes     int
		minConns  int64
		maxConns  int64
	}{
		{true, slowLinkBytesPerSecond * int(duration/time.Millisecond) / 1000, 1, 1},
		{false, 0, 2, 10},
	} {
		hs := httptest.NewServer(&Server{Backend: newLargeBackend(c.bytes, c.isQuorate), Options: messenger.Options{}})
		t.Cleanup(hs.Close)
		link := slowlinker.New(t, strings.TrimPrefix(hs.URL, "http://"), slowLinkBytesPerSecond)
		client := NewClient(ClientConfig{Identity: Identity{Name: "r", Role: RoleRouter}, Controls: []string{link.Address},
			Observer: observer.New(io.Discard, "test")})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = client.Serve(ctx) }()
		for end := time.Now().Add(5 * duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if client.View().Index > 0 && link.Conns() >= c.minConns {
				break
			}
		}
		n := link.Conns()
		cancel()
		assert.Assert(t, client.View().Index == 5, "no view after %d connections", n)
		assert.Assert(t, n >= c.minConns && n <= c.maxConns, "%d connections", n)
	}
}
