package relayer

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
)

const benchText = `data: {"choices":[{"index":0,"delta":{"content":"wool "}}],"object":"completion"}` + "\n\n"

var benchToken = []byte(benchText)

type handlerFunc func(ctx context.Context, req Request, w *ResponseBuffer) (End, error)

func (f handlerFunc) Handle(ctx context.Context, req Request, w *ResponseBuffer) (End, error) {
	return f(ctx, req, w)
}

func startPair(tb testing.TB, h Handler) (c *Client, addr string) {
	tb.Helper()
	hs := httptest.NewServer(NewServer(tb.Context(), h, messenger.Options{}))
	tb.Cleanup(hs.Close)
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	return NewClient(ctx, messenger.Options{}), strings.TrimPrefix(hs.URL, "http://")
}

// Measures single tokens: the writer waits until the reader has received the previous one.
func BenchmarkToken(b *testing.B) {
	next := make(chan struct{})
	c, addr := startPair(b, handlerFunc(func(_ context.Context, _ Request, w *ResponseBuffer) (End, error) {
		w.Start(Head{Status: 200, ContentType: "text/event-stream"})
		for range next {
			if _, err := w.Write(benchToken); err != nil {
				return End{}, err
			}
		}
		return End{Outcome: OutcomeRan}, nil
	}))
	s, err := c.Start(b.Context(), addr, Request{ID: "bench", Attempt: 1, Deadline: time.Now().Add(time.Hour)})
	assert.NilError(b, err)
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		next <- struct{}{}
		for n := 0; n < len(benchToken); {
			p, err := s.Next(b.Context())
			if err != nil {
				b.Fatal(err)
			}
			n += len(p)
		}
	}
	close(next)
}

// benchmarkResponses measures requests whose response has a number of tokens, written as fast as possible.
func benchmarkResponses(b *testing.B, tokens int, body []byte) {
	c, addr := startPair(b, handlerFunc(func(_ context.Context, _ Request, w *ResponseBuffer) (End, error) {
		w.Start(Head{Status: 200, ContentType: "text/event-stream"})
		for range tokens {
			if _, err := w.Write(benchToken); err != nil {
				return End{}, err
			}
		}
		return End{Outcome: OutcomeRan}, nil
	}))
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		s, err := c.Start(b.Context(), addr, Request{
			ID: "b", Attempt: uint32(n), Body: body, Deadline: time.Now().Add(time.Hour),
		})
		assert.NilError(b, err)
		for err == nil {
			_, err = s.Next(b.Context())
		}
		assert.Assert(b, errors.Is(err, io.EOF))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n*tokens), "ns/token")
}

// Measures tokens that are written faster than they are read, so that data can be combined.
func BenchmarkTokenBurst(b *testing.B) { benchmarkResponses(b, 10_000, nil) }

// Measures a complete short request with a body of 2 KiB.
func BenchmarkRequest(b *testing.B) { benchmarkResponses(b, 1, make([]byte, 2048)) }
