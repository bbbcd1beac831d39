package subscriber

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/sharer"
	"cactusroute.dev/core/viewer"
)

// Guards against a lease that counts without the changes it covers, ends too late, or is extended by an instance
// without a quorum before any quorum has confirmed a view of this process.
func TestLease(t *testing.T) {
	now := time.Unix(100, 0)
	var l lease
	l.reached(now.Add(leaseTime))
	assert.Assert(t, !l.isFresh(now, false))
	assert.Assert(t, !l.isFresh(now, true), "a restarted process at a stale instance")
	l.confirm(7, now.Add(leaseTime))
	assert.Assert(t, !l.isFresh(now, false), "the view lacks the change with index 7")
	l.viewed(6)
	assert.Assert(t, !l.isFresh(now, false))
	l.viewed(7)
	assert.Assert(t, l.isFresh(now, false))
	assert.Assert(t, !l.isFresh(now.Add(leaseTime), false))
	l.confirm(3, now.Add(time.Second))
	assert.Assert(t, l.isFresh(now.Add(leaseTime-1), false), "an older answer does not shorten the lease")
	l.reached(now.Add(2 * leaseTime))
	assert.Assert(t, l.isFresh(now.Add(leaseTime), true))
	assert.Assert(t, !l.isFresh(now.Add(2*leaseTime), true))
}

// Guards against a view that goes back to a lower bundle version, or keeps items that a whole view lacks.
func TestViewNeverGoesBack(t *testing.T) {
	c := NewClient(ClientConfig{})
	pool := func(name string) []viewer.Change { return []viewer.Change{{Pool: &bundler.Pool{Name: name}}} }
	assert.NilError(t, c.apply(viewer.Delta{To: 10, BundleVersion: 3, Changes: pool("a")}))
	assert.NilError(t, c.apply(viewer.Delta{To: 9, BundleVersion: 2, Changes: pool("b")}))
	assert.ErrorContains(t, c.apply(viewer.Delta{To: 11, BundleVersion: 2, Changes: pool("b")}), "version 3")
	assert.ErrorContains(t, c.apply(viewer.Delta{From: 10, To: 11, BundleVersion: 2}), "version 3")
	assert.ErrorContains(t, c.apply(viewer.Delta{From: 12, To: 13, BundleVersion: 4}), "starts at index 12")
	assert.Equal(t, c.View().BundleVersion, uint64(3))
	assert.NilError(t, c.apply(viewer.Delta{To: 20, BundleVersion: 4, Changes: pool("b")}))
	assert.Equal(t, len(c.View().Pools), 1)
}

// Guards against shares that are used after their lease, and grants that raise a share a former allocator took.
func TestShareBook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient(ClientConfig{})
		c.SetDemand([]Demand{{Workspace: "w", Desired: 3}})
		r, ok := c.book.report(time.Now())
		assert.Assert(t, ok)
		time.Sleep(time.Second)
		shares := []sharer.Share{{Resource: "w", Amount: 3}}
		c.book.apply(sharer.Grant{ReportNumber: r.Number, Epoch: 1, Sequence: 5, Shares: shares}, time.Now())
		n, ok := c.Share("w")
		assert.Assert(t, ok && n == 3)
		c.book.apply(sharer.Grant{ReportNumber: r.Number, Epoch: 1, Sequence: 4}, time.Now())
		more := []sharer.Share{{Resource: "w", Amount: 9}}
		c.book.apply(sharer.Grant{ReportNumber: r.Number, Epoch: 2, Sequence: 1, Shares: more, NoIncrease: true}, time.Now())
		n, _ = c.Share("w")
		assert.Equal(t, n, 3)
		time.Sleep(sharer.LeaseDuration - time.Second)
		_, ok = c.Share("w")
		assert.Assert(t, !ok, "the lease counts from the report")
	})
}

// Guards against an upgrade in which a newer peer's fields are refused.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	b, err := cbor.Marshal(map[int]any{1: uint64(4), 2: uint64(9), 99: "new"})
	assert.NilError(t, err)
	e := messenger.Envelope{Kind: kindFresh, Body: b}
	assert.NilError(t, receive(e, func(m freshMessage) error {
		assert.Equal(t, m.Index, uint64(9))
		return nil
	}))
}

// Guards against a client that makes control allocate without a bound.
func TestOversizedMessageEndsTheConnection(t *testing.T) {
	srv := httptest.NewServer(&Server{})
	defer srv.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	conn, err := messenger.Dial(ctx, strings.TrimPrefix(srv.URL, "http://"), Path, messenger.Options{})
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.Send(ctx, kindHello, 0, helloMessage{Identity: Identity{Name: strings.Repeat("x", maxServerBytes)}})
	_, err = conn.Receive(ctx)
	assert.Assert(t, err != nil && ctx.Err() == nil)
}

func BenchmarkApplyDelta(b *testing.B) {
	c := NewClient(ClientConfig{})
	d := viewer.Delta{To: 1, BundleVersion: 1}
	for i := range 3800 {
		d.Changes = append(d.Changes, viewer.Change{Workspace: &bundler.Workspace{
			Name: "w" + time.Duration(i).String(), KeyHashes: []string{bundler.HashKey(time.Duration(i).String())},
		}})
	}
	assert.NilError(b, c.apply(d))
	one := viewer.Delta{From: 1, BundleVersion: 1, Changes: d.Changes[:1]}
	b.ReportAllocs()
	for b.Loop() {
		one.To = c.View().Index + 1
		one.From = one.To - 1
		if err := c.apply(one); err != nil {
			b.Fatal(err)
		}
	}
}
