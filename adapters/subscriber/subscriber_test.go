package subscriber

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/core/allocator"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/viewer"
)

// Guards against a lease that is extended before the confirmed changes are applied, expires too late, or is extended by
// an instance without a quorum before any quorum has confirmed a view of this process.
func TestLease(t *testing.T) {
	now := time.Unix(100, 0)
	var l lease
	l.extendReachable(now.Add(leaseDuration))
	assert.Assert(t, !l.isFresh(now, false))
	assert.Assert(t, !l.isFresh(now, true), "a restarted process connected to a stale instance")
	l.confirm(7, now.Add(leaseDuration))
	assert.Assert(t, !l.isFresh(now, false), "the view lacks the change with index 7")
	l.setViewIndex(6)
	assert.Assert(t, !l.isFresh(now, false))
	l.setViewIndex(7)
	assert.Assert(t, l.isFresh(now, false))
	assert.Assert(t, !l.isFresh(now.Add(leaseDuration), false))
	l.confirm(3, now.Add(time.Second))
	assert.Assert(t, l.isFresh(now.Add(leaseDuration-1), false), "an older confirmation does not shorten the lease")
	l.extendReachable(now.Add(2 * leaseDuration))
	assert.Assert(t, l.isFresh(now.Add(leaseDuration), true))
	assert.Assert(t, !l.isFresh(now.Add(2*leaseDuration), true))
}

// Guards against a view that regresses to a lower bundle version, or retains items that a snapshot does not contain.
func TestViewNeverRegresses(t *testing.T) {
	c := NewClient(ClientConfig{})
	pool := func(name string) []viewer.Change { return []viewer.Change{{Pool: &bundler.Pool{Name: name}}} }
	assert.NilError(t, c.applyDelta(viewer.Delta{To: 10, BundleVersion: 3, Changes: pool("a")}))
	assert.NilError(t, c.applyDelta(viewer.Delta{To: 9, BundleVersion: 2, Changes: pool("b")}))
	assert.ErrorContains(t, c.applyDelta(viewer.Delta{To: 11, BundleVersion: 2, Changes: pool("b")}), "version 3")
	assert.ErrorContains(t, c.applyDelta(viewer.Delta{From: 10, To: 11, BundleVersion: 2}), "version 3")
	assert.ErrorContains(t, c.applyDelta(viewer.Delta{From: 12, To: 13, BundleVersion: 4}), "starts at index 12")
	assert.Equal(t, c.View().BundleVersion, uint64(3))
	assert.NilError(t, c.applyDelta(viewer.Delta{To: 20, BundleVersion: 4, Changes: pool("b")}))
	assert.Equal(t, len(c.View().Pools), 1)
}

// Guards against shares that are used after their lease, superseded grants that are applied, and grants of a new
// allocator that raise a share despite NoIncrease while its predecessor's grants may still be in use.
func TestShareHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient(ClientConfig{})
		c.SetDemand([]Demand{{Workspace: "w", Desired: 3}})
		r, ok := c.shares.nextReport(time.Now())
		assert.Assert(t, ok)
		time.Sleep(time.Second)
		shares := []allocator.Share{{Resource: "w", Amount: 3}}
		c.shares.applyGrant(allocator.Grant{ReportNumber: r.Number, Epoch: 1, Sequence: 5, Shares: shares}, time.Now())
		n, ok := c.Share("w")
		assert.Assert(t, ok && n == 3)
		c.shares.applyGrant(allocator.Grant{ReportNumber: r.Number, Epoch: 1, Sequence: 4}, time.Now())
		more := []allocator.Share{{Resource: "w", Amount: 9}}
		c.shares.applyGrant(
			allocator.Grant{ReportNumber: r.Number, Epoch: 2, Sequence: 1, Shares: more, NoIncrease: true}, time.Now(),
		)
		n, _ = c.Share("w")
		assert.Equal(t, n, 3)
		time.Sleep(allocator.LeaseDuration - time.Second)
		_, ok = c.Share("w")
		assert.Assert(t, !ok, "the lease starts when the report is sent")
	})
}

// Guards against a rolling upgrade that fails because older processes reject new fields.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	b, err := cbor.Marshal(map[int]any{1: uint64(4), 2: uint64(9), 99: "new"})
	assert.NilError(t, err)
	e := messenger.Envelope{Kind: kindProbeReply, Body: b}
	assert.NilError(t, handleAs(e, func(m probeReplyMessage) error {
		assert.Equal(t, m.Index, uint64(9))
		return nil
	}))
}

// Guards against unbounded allocations of a control instance for the messages of a client.
func TestOversizedMessageClosesTheConnection(t *testing.T) {
	srv := httptest.NewServer(&Server{})
	defer srv.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	conn, err := messenger.Dial(ctx, strings.TrimPrefix(srv.URL, "http://"), Path, messenger.Options{})
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.Send(ctx, kindHello, 0, helloMessage{Identity: Identity{Name: strings.Repeat("x", maxServerMessageBytes)}})
	_, err = conn.Receive(ctx)
	assert.Assert(t, err != nil && ctx.Err() == nil)
}

// connectedBackend is a Backend to which no client may connect.
type connectedBackend struct {
	Backend
	connected atomic.Int32
}

func (b *connectedBackend) Connected(*Connection) {
	b.connected.Add(1)
	panic(http.ErrAbortHandler) // ends the connection
}

// Guards against an agent whose odd identity is announced, and then is in the views of all routers and agents.
func TestOddIdentityIsRefused(t *testing.T) {
	sound := Identity{Name: "a", Role: RoleAgent, Region: "r", FailureDomain: "d", Address: "agent.example:1", Pool: "p",
		Session: "s"}
	assert.NilError(t, sound.check())
	router := Identity{Name: "r", Role: RoleRouter}
	assert.NilError(t, router.check())
	for _, change := range []func(id *Identity){
		func(id *Identity) { id.Name = "" },
		func(id *Identity) { id.Name = strings.Repeat("x", maxIdentityBytes+1) },
		func(id *Identity) { id.Name = "a\r\nb" },
		func(id *Identity) { id.Pool = "p\x00" },
		func(id *Identity) { id.Role = "operator" },
		func(id *Identity) { id.Address = "" },
		func(id *Identity) { id.Address = ":1" },
		func(id *Identity) { id.Address = "agent.example" },
		func(id *Identity) { id.Address = "agent.example:0" },
		func(id *Identity) { id.Address = "agent.example:70000" },
		func(id *Identity) { id.Address = "agent.example:http" },
	} {
		id := sound
		change(&id)
		assert.Check(t, id.check() != nil, "%.100q", fmt.Sprint(id))
		backend := &connectedBackend{}
		srv := httptest.NewServer(&Server{Backend: backend})
		conn, err := messenger.Dial(t.Context(), strings.TrimPrefix(srv.URL, "http://"), Path, messenger.Options{})
		assert.NilError(t, err)
		assert.NilError(t, conn.Send(t.Context(), kindHello, 0, helloMessage{Identity: id}))
		_, err = conn.Receive(t.Context())
		assert.Check(t, err != nil)
		assert.Check(t, backend.connected.Load() == 0, "%.100q is connected", fmt.Sprint(id))
		_ = conn.Close()
		srv.Close()
	}
}

func BenchmarkApplyDelta(b *testing.B) {
	c := NewClient(ClientConfig{})
	d := viewer.Delta{To: 1, BundleVersion: 1}
	for i := range 3800 {
		d.Changes = append(d.Changes, viewer.Change{Workspace: &bundler.Workspace{
			Name: "w" + time.Duration(i).String(), KeyHashes: []string{bundler.HashKey(time.Duration(i).String())},
		}})
	}
	assert.NilError(b, c.applyDelta(d))
	one := viewer.Delta{From: 1, BundleVersion: 1, Changes: d.Changes[:1]}
	b.ReportAllocs()
	for b.Loop() {
		one.To = c.View().Index + 1
		one.From = one.To - 1
		if err := c.applyDelta(one); err != nil {
			b.Fatal(err)
		}
	}
}
