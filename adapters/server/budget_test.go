package server

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/observer"
)

// Guards against parts that fit by themselves and not together, and against reservations that a refusal leaves behind.
func TestPartsOfABudgetFitTogether(t *testing.T) {
	whole := &Budget{Limit: 100 << 10}
	a, b := &Budget{Limit: 80 << 10, Whole: whole}, &Budget{Limit: 80 << 10, Whole: whole}
	const ordinary = 10 << 10
	for range 6 {
		assert.Assert(t, a.Take(ordinary, ordinary))
	}
	for range 4 {
		assert.Assert(t, b.Take(ordinary, ordinary))
	}
	assert.Assert(t, !b.Take(ordinary, ordinary), "above the whole")
	assert.Equal(t, b.Used(), int64(4*ordinary))
	a.Release(6 * ordinary)
	assert.Equal(t, whole.Used(), int64(4*ordinary))
	assert.Assert(t, !a.Take(20<<10, 40<<10), "a large holder leaves a quarter and its own size")
	assert.Equal(t, a.Used(), int64(0))
	assert.Equal(t, whole.Used(), int64(4*ordinary))
}

// Guards against connections that take no part of what callers may hold together, and against the part of one that
// stays reserved.
func TestConnectionsCountTowardWhatCallersHold(t *testing.T) {
	res := NewResources(configurer.Machine{MemoryBytes: 64 << 20}, observer.New(io.Discard, "test"))
	g := res.CallerGuard()
	const conns = 10
	res.whole.Limit = conns * requestBytes
	for range 3 * conns {
		client, c := net.Pipe()
		defer func() { _ = client.Close() }()
		assert.Assert(t, g.Wrap(c) != nil)
		assert.Assert(t, res.whole.Used() <= res.whole.Limit)
	}
	assert.Equal(t, len(g.conns), conns)
	for c := range g.conns {
		g.remove(c)
		g.remove(c)
	}
	assert.Equal(t, res.whole.Used(), int64(0))
}

// Guards against an operator's larger limit on bodies that the limit on all together makes void.
func TestLargerBodyMemoryIsAvailable(t *testing.T) {
	res := NewResources(configurer.Machine{MemoryBytes: 64 << 20}, observer.New(io.Discard, "test"))
	const n = 60 << 20
	res.SetBodyMemory(n)
	assert.Assert(t, res.Bodies.Take(n/2, n/4))
	res.SetBodyMemory(0)
	assert.Equal(t, res.Bodies.Limit, int64(n))
}
