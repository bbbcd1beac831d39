package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/fakeengine"
)

// BenchmarkPath runs requests with responses of 100 tokens from a relay client through an agent to an engine over
// loopback, and requests that are refused because their chat is not cached.
func BenchmarkPath(b *testing.B) {
	a := newBenchAgent(b, fakeengine.Config{Model: "m", Tokens: 100, TokenGap: time.Microsecond})
	srv := httptest.NewServer(a.Handler())
	defer srv.Close()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	client := relayer.NewClient(ctx, messenger.Options{})
	addr := strings.TrimPrefix(srv.URL, "http://")
	var id atomic.Int64
	for _, probe := range []bool{false, true} {
		b.Run(fmt.Sprintf("probe=%v", probe), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req := chatRequest("wool for a heel")
				req.ID, req.OnlyIfCached = fmt.Sprintf("path-%d", id.Add(1)), probe
				if probe {
					req.ChatKey = 8
				}
				_, err := receive(ctx, client, addr, req)
				if refusal := (*relayer.RefusalError)(nil); !probe && err != nil || probe && !errors.As(err, &refusal) {
					b.Fatal(err)
				}
			}
		})
	}
}
