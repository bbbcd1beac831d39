package applier

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusroute.dev/core/bundler"
)

type harness struct {
	t     assert.TestingT
	store *MemoryStore
	*Applier
	now        int64
	entries    [][]byte
	signingKey ed25519.PrivateKey
}

func newHarness(t assert.TestingT) *harness {
	s := NewMemoryStore()
	h := &harness{t: t, store: s, Applier: New(s), now: 1_000_000}
	h.signingKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	hash := bundler.HashKey("x")
	h.apply(Command{Bootstrap: &Bootstrap{Keys: []Key{
		{Name: "op", Role: RoleOperator, Hash: hash}, {Name: "op2", Role: RoleOperator, Hash: hash},
		{Name: "teamop", Role: RoleOperator, Team: "wool", Hash: hash},
		{Name: "signer", Role: RoleSigner, Hash: hash, PublicKey: h.signingKey.Public().(ed25519.PublicKey)},
	}}})
	return h
}

func (h *harness) apply(c Command) Result {
	h.now += 10
	c.Time = h.now
	e, err := c.Encode()
	assert.NilError(h.t, err)
	h.entries = append(h.entries, e)
	r, err := h.Apply(h.Index()+1, e)
	assert.NilError(h.t, err)
	return r
}

func (h *harness) advanceTime(millis int64) {
	for end := h.now + millis; h.now < end; {
		h.now = min(end, h.now+maxClockAdvanceMillis-10)
		h.apply(Command{Tick: &Tick{}})
	}
}

func (h *harness) announce(name, session string) uint64 {
	r := h.apply(Command{Announce: &Announce{Name: name, Address: "a:1", Pool: "orders", Session: session}})
	return r.Incarnation
}

func (h *harness) putDraft(actor string, b *bundler.Bundle) Result {
	content, err := bundler.EncodeCanonical(b)
	assert.NilError(h.t, err)
	return h.apply(Command{Actor: actor, PutBundle: &PutBundle{Content: content}})
}

func (h *harness) sign(r *BundleRecord) Result {
	sig := ed25519.Sign(h.signingKey, SignedMessage(r.Digest))
	return h.apply(Command{Actor: "signer", SignBundle: &SignBundle{Version: r.Version, Signature: sig}})
}

func (h *harness) rollOut(actor string, b *bundler.Bundle) Result {
	if r := h.putDraft(actor, b); r.Err != nil {
		return r
	} else if r = h.sign(r.Bundle); r.Err != nil {
		return r
	}
	return h.apply(Command{Actor: actor, RollOutBundle: &RollOutBundle{Version: b.Version}})
}

func testBundle(version uint64, weight int) *bundler.Bundle {
	return &bundler.Bundle{
		Version:        version,
		FailureDomains: []bundler.FailureDomain{{Name: "a", Region: "r"}},
		Pools:          []bundler.Pool{{Name: "orders", Kind: bundler.PoolService, MaxConcurrency: 4, TimeoutMillis: 1000}},
		Workspaces: []bundler.Workspace{
			{
				Name: "wool", Team: "wool", Priority: bundler.PriorityInteractive, Weight: weight, KeyHashes: []string{},
				Pools: []string{"orders"},
			},
			{Name: "yarn", Team: "yarn", Priority: bundler.PriorityBatch, Weight: 1},
		},
		Freshness: bundler.Freshness{OnQuorumLoss: bundler.QuorumLossRefuse},
	}
}

func refusalCode(r Result) Code {
	if r.Err == nil {
		return ""
	}
	return r.Err.Code
}

// Guards against two operators storing different content under one version, against a retry that fails or creates a
// copy, and against a rollout of a version below the one in force.
func TestBundleConflictsAndRetries(t *testing.T) {
	h := newHarness(t)
	first := h.putDraft("op", testBundle(1, 1))
	assert.Equal(t, refusalCode(first), Code(""))
	conflicting := h.putDraft("op2", testBundle(1, 2))
	assert.Equal(t, refusalCode(conflicting), CodeConflict)
	assert.Equal(t, conflicting.Bundle.Digest, first.Bundle.Digest)
	assert.ErrorContains(t, conflicting.Err, first.Bundle.Digest)
	assert.Equal(t, refusalCode(h.putDraft("op2", testBundle(1, 1))), Code(""))
	assert.Equal(t, refusalCode(h.apply(Command{Actor: "op", RollOutBundle: &RollOutBundle{Version: 1}})), CodeConflict)

	assert.Equal(t, refusalCode(h.rollOut("op", testBundle(1, 1))), Code(""))
	assert.Equal(t, refusalCode(h.rollOut("op", testBundle(5, 7))), Code(""))
	assert.Equal(t, refusalCode(h.apply(Command{Actor: "op", RollOutBundle: &RollOutBundle{Version: 5}})), Code(""))
	assert.Equal(t, refusalCode(h.apply(Command{Actor: "op", RollOutBundle: &RollOutBundle{Version: 1}})), CodeConflict)
	assert.Equal(t, refusalCode(h.putDraft("op", testBundle(4, 1))), CodeConflict)

	restored := h.apply(Command{Actor: "op", RestoreBundle: &RestoreBundle{From: 1}})
	retried := h.apply(Command{Actor: "op2", RestoreBundle: &RestoreBundle{From: 1}})
	assert.Equal(t, restored.Bundle.Version, uint64(6))
	assert.Equal(t, retried.Bundle.Version, uint64(6))
	h.sign(restored.Bundle)
	r := h.apply(Command{Actor: "op", RollOutBundle: &RollOutBundle{Version: 6}})
	assert.Equal(t, refusalCode(r), Code(""))
	assert.Equal(t, len(r.Delta.Changes), 1)
	assert.Equal(t, h.View().Workspaces["wool"].Weight, 1)
	assert.Equal(t, h.View().BundleVersion, uint64(6))
}

// Guards against accepting a revoked or rotated key, and against a team key that changes another team's workspace or
// fleet-wide settings.
func TestKeysAndTeams(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, refusalCode(h.rollOut("op", testBundle(1, 1))), Code(""))
	ownTeam, otherTeam, fleetWide := testBundle(2, 3), testBundle(3, 3), testBundle(4, 3)
	otherTeam.Workspaces[1].Weight = 9
	fleetWide.Pools[0].MaxConcurrency = 9
	assert.Equal(t, refusalCode(h.putDraft("teamop", otherTeam)), CodeForbidden)
	assert.Equal(t, refusalCode(h.putDraft("teamop", fleetWide)), CodeForbidden)
	assert.Equal(t, refusalCode(h.apply(Command{
		Actor: "teamop", SetServiceState: &SetServiceState{FailureDomain: "a", Out: true},
	})), CodeForbidden)
	assert.Equal(t, refusalCode(h.rollOut("teamop", ownTeam)), Code(""))

	draft := h.putDraft("op", testBundle(7, 8))
	h.sign(draft.Bundle)
	revoke := Command{Actor: "signer", RevokeKey: &RevokeKey{Name: "op2"}}
	assert.Equal(t, refusalCode(h.apply(revoke)), Code(""))
	assert.Equal(t, refusalCode(h.apply(revoke)), Code(""))
	assert.Equal(t, refusalCode(h.putDraft("op2", testBundle(8, 8))), CodeForbidden)
	assert.Equal(t, refusalCode(h.apply(Command{Actor: "op", RevokeKey: &RevokeKey{Name: "signer"}})), CodeForbidden)

	next := Key{Name: "signer", Role: RoleSigner, Hash: bundler.HashKey("y"), PublicKey: make([]byte, 32)}
	assert.Equal(t, refusalCode(h.apply(Command{Actor: "signer", PutKey: &PutKey{Key: next}})), CodeConflict)
	rotate := Command{Actor: "signer", PutKey: &PutKey{Key: next, Replaces: 1}}
	assert.Equal(t, refusalCode(h.apply(rotate)), Code(""))
	assert.Equal(t, refusalCode(h.apply(rotate)), Code(""))
	assert.Equal(t, refusalCode(h.apply(Command{Actor: "op", RollOutBundle: &RollOutBundle{Version: 7}})), CodeConflict)
}

// Guards against granting an operation twice after races between routers, lost responses, endpoint restarts, late
// outcomes and an operator's resolution.
func TestClaimFailures(t *testing.T) {
	h := newHarness(t)
	inc := h.announce("e", "s1")
	claim := func(notRun uint64) Result {
		return h.apply(Command{Claim: &Claim{
			Operation: "o", Digest: "d", Endpoint: "e", Incarnation: inc, NotRun: notRun, Workspace: "wool",
		}})
	}
	assert.Assert(t, claim(0).Granted)
	assert.Assert(t, !claim(0).Granted, "second claim must not be granted")
	conflicting := h.apply(Command{Claim: &Claim{Operation: "o", Digest: "x", Endpoint: "e", Incarnation: inc}})
	assert.Assert(t, conflicting.Conflict && !conflicting.Granted)
	assert.Equal(t, claim(1).Claim.Generation, uint64(2))
	assert.Assert(t, !claim(1).Granted, "retried release must not be granted")

	assert.Equal(t, h.announce("e", "s1"), inc, "the same process must keep its incarnation")
	assert.Equal(t, claim(0).Claim.State, ClaimRunning)
	stale := inc
	inc = h.announce("e", "s2")
	assert.Assert(t, inc > stale)
	assert.Equal(t, claim(0).Claim.State, ClaimUnknown)
	assert.Equal(t, claim(2).Claim.State, ClaimUnknown, "unknown outcome must not be claimed again")
	outdated := h.apply(Command{Claim: &Claim{Operation: "p", Digest: "d", Endpoint: "e", Incarnation: stale}})
	assert.Equal(t, refusalCode(outdated), CodeStaleIncarnation)

	assert.Equal(t, refusalCode(h.apply(Command{
		Actor: "op", ResolveOperation: &ResolveOperation{Operation: "o", NotRun: true},
	})), Code(""))
	assert.Equal(t, refusalCode(h.apply(Command{
		Actor: "op", ResolveOperation: &ResolveOperation{Operation: "o", NotRun: true},
	})), Code(""))
	late := Command{RecordOutcome: &RecordOutcome{Operation: "o", Generation: 2, Answer: &Answer{Status: 200}}}
	assert.Equal(t, refusalCode(h.apply(late)), CodeConflict, "operator resolution must not be overwritten")
	assert.Equal(t, claim(0).Claim.Generation, uint64(3))
	outcome := Command{RecordOutcome: &RecordOutcome{Operation: "o", Generation: 3, Answer: &Answer{Status: 201}}}
	assert.Equal(t, refusalCode(h.apply(outcome)), Code(""))
	assert.Equal(t, refusalCode(h.apply(outcome)), Code(""), "retried outcome must be accepted")
	assert.Equal(t, claim(3).Claim.Answer.Status, 201)

	h.apply(Command{Claim: &Claim{Operation: "q", Digest: "d", Endpoint: "e", Incarnation: inc}})
	h.apply(Command{MarkLost: &MarkLost{Endpoint: "e", Incarnation: inc}})
	h.apply(Command{MarkLost: &MarkLost{Endpoint: "e", Incarnation: inc, Gone: true}})
	assert.Equal(t, refusalCode(h.apply(Command{
		RecordOutcome: &RecordOutcome{Operation: "q", Generation: 1, Answer: &Answer{}},
	})), Code(""))
	assert.Assert(t, h.announce("e", "s2") > inc, "a gone endpoint must get a new incarnation")
	q, err := NewQuery(h.store)
	assert.NilError(t, err)
	audit, err := q.Audit(0, 100)
	assert.NilError(t, err)
	assert.Equal(t, audit[len(audit)-1].Action, "resolve operation")
	assert.Equal(t, len(audit), 2)
}

// Guards against claims that expire early because of a wrong wall clock, and against claims that never expire.
func TestClaimExpiryBoundsClockAdvance(t *testing.T) {
	h := newHarness(t)
	inc := h.announce("e", "s")
	h.apply(Command{Claim: &Claim{Operation: "o", Digest: "d", Endpoint: "e", Incarnation: inc}})
	h.apply(Command{RecordOutcome: &RecordOutcome{Operation: "o", Generation: 1, Answer: &Answer{}}})
	recordedAt := h.now
	h.now += 100 * retentionMillis
	h.apply(Command{Tick: &Tick{}})
	for range 100 {
		h.apply(Command{ReportCrash: &ReportCrash{ReportID: "r"}})
	}
	assert.Equal(t, h.ClaimCount(), int64(1))
	h.now = recordedAt
	h.advanceTime(retentionMillis - 30_000)
	assert.Equal(t, h.ClaimCount(), int64(1))
	h.advanceTime(60_000)
	assert.Equal(t, h.ClaimCount(), int64(0))
}

// Guards against counting a retried crash report twice, and against a verdict that never expires.
func TestVerdicts(t *testing.T) {
	h := newHarness(t)
	report := func(id string) {
		h.apply(Command{ReportCrash: &ReportCrash{ReportID: id, Suspects: []string{"f", "g"}}})
	}
	report("1")
	report("1")
	assert.Equal(t, h.View().Verdicts["f"].Crashes, 1)
	h.apply(Command{ReportCrash: &ReportCrash{ReportID: "2", Cleared: []string{"g"}}})
	report("3")
	assert.Assert(t, h.View().Verdicts["f"].Convicted)
	assert.Assert(t, !h.View().Verdicts["g"].Convicted)
	h.advanceTime(verdictTTLMillis + 20_000)
	assert.Equal(t, len(h.View().Verdicts), 0)
}

// Guards against routing to an endpoint that crashes at every start, and against damping all endpoints of a pool.
func TestFlappingEndpointIsDamped(t *testing.T) {
	h := newHarness(t)
	h.announce("e1", "s")
	h.announce("e2", "s")
	for n := range 6 {
		h.announce("e1", fmt.Sprint(n))
		h.announce("e2", fmt.Sprint(n))
	}
	v := h.View()
	assert.Assert(t, v.Endpoints["e1"].Damped)
	assert.Assert(t, !v.Endpoints["e2"].Damped)
	h.advanceTime(200_000)
	assert.Assert(t, !h.View().Endpoints["e1"].Damped)
}

// Guards against state that differs after restoring a snapshot or replaying the log, against accepting an incomplete
// snapshot, and against oversized chunks.
func TestSnapshotAndReplayMatch(t *testing.T) {
	h := newHarness(t)
	h.rollOut("op", testBundle(1, 1))
	inc := h.announce("e", "s")
	for i := range 3000 {
		op := fmt.Sprintf("o%04d", i)
		h.apply(Command{Claim: &Claim{Operation: op, Digest: "d", Endpoint: "e", Incarnation: inc}})
		if i%2 == 0 {
			h.apply(Command{RecordOutcome: &RecordOutcome{
				Operation: op, Generation: 1, Answer: &Answer{Body: make([]byte, 1000)},
			}})
		}
	}
	chunks := takeSnapshot(t, h.Applier)
	assert.Assert(t, len(chunks) > 3)
	for _, c := range chunks {
		assert.Assert(t, len(c) < 2*snapshotChunkBytes)
	}
	restored := New(NewMemoryStore())
	assert.NilError(t, restored.Restore(chunkSeq(chunks)))
	replayed := New(NewMemoryStore())
	for i, e := range h.entries {
		_, err := replayed.Apply(uint64(i+1), e)
		assert.NilError(t, err)
	}
	last := Command{Time: h.now + 5, Announce: &Announce{Name: "e", Address: "a:1", Pool: "orders", Session: "t"}}
	e, err := last.Encode()
	assert.NilError(t, err)
	for _, a := range []*Applier{h.Applier, restored, replayed} {
		_, err := a.Apply(uint64(len(h.entries)+1), e)
		assert.NilError(t, err)
		assert.Assert(t, slices.EqualFunc(takeSnapshot(t, a), takeSnapshot(t, h.Applier), bytes.Equal))
		assert.DeepEqual(t, a.View(), h.View())
	}
	assert.ErrorContains(t, New(NewMemoryStore()).Restore(chunkSeq(chunks[:2])), "final chunk is missing")
	assert.ErrorContains(t, New(NewMemoryStore()).Restore(chunkSeq(append(chunks[:1:1], chunks[2:]...))), "checksum")
}

func takeSnapshot(t testing.TB, a *Applier) (chunks [][]byte) {
	seq, err := a.Snapshot()
	assert.NilError(t, err)
	for c, err := range seq {
		assert.NilError(t, err)
		chunks = append(chunks, c)
	}
	return chunks
}

func chunkSeq(chunks [][]byte) func(func([]byte, error) bool) {
	return func(yield func([]byte, error) bool) {
		for _, c := range chunks {
			if !yield(c, nil) {
				return
			}
		}
	}
}

// Guards against any order of claims, reads, refusals, outcomes, restarts and resolutions in which a generation is
// granted twice, an operation with an unknown outcome is granted again, or a recorded answer changes.
func TestClaimsRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		session, inc := 0, h.announce("e", "0")
		granted := map[string]uint64{}
		state := map[string]ClaimState{}
		op := rapid.SampledFrom([]string{"a", "b"})
		gen := rapid.Uint64Range(0, 4)
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				o, n := op.Draw(t, "op"), gen.Draw(t, "notRun")
				r := h.apply(Command{Claim: &Claim{Operation: o, Digest: "d", Endpoint: "e", Incarnation: inc, NotRun: n}})
				if r.Granted {
					released := state[o] == "" || state[o] == ClaimReleased || (state[o] == ClaimRunning && n == granted[o])
					assert.Assert(t, released)
					assert.Equal(t, r.Claim.Generation, granted[o]+1)
					granted[o], state[o] = r.Claim.Generation, ClaimRunning
				}
				assert.Equal(t, r.Claim.State, state[o])
			},
			"read": func(t *rapid.T) {
				o, n := op.Draw(t, "op"), gen.Draw(t, "notRun")
				r := h.apply(Command{Claim: &Claim{Operation: o, Digest: "d", NotRun: n}})
				assert.Assert(t, r.Err == nil && !r.Granted)
				switch {
				case state[o] == ClaimRunning && n == granted[o]:
					state[o] = ClaimReleased
				case state[o] == "":
					assert.Equal(t, r.Claim.State, ClaimReleased)
					return
				}
				assert.Equal(t, r.Claim.State, state[o])
			},
			"settle": func(t *rapid.T) {
				o, n, kind := op.Draw(t, "op"), gen.Draw(t, "generation"), rapid.IntRange(0, 2).Draw(t, "kind")
				s := &RecordOutcome{Operation: o, Generation: n, NotRun: kind == 1}
				next := []ClaimState{ClaimDone, ClaimReleased, ClaimUnknown}[kind]
				if kind == 0 {
					s.Answer = &Answer{Status: 200}
				}
				if r := h.apply(Command{RecordOutcome: s}); r.Err == nil {
					assert.Equal(t, n, granted[o])
					assert.Assert(t, state[o] == ClaimRunning || state[o] == ClaimUnknown || state[o] == next)
					state[o] = r.Claim.State
				}
			},
			"resolve": func(t *rapid.T) {
				o := op.Draw(t, "op")
				r := h.apply(Command{Actor: "op", ResolveOperation: &ResolveOperation{Operation: o, NotRun: true}})
				if r.Err == nil {
					assert.Assert(t, state[o] == ClaimUnknown || state[o] == ClaimReleased)
					state[o] = ClaimReleased
				}
			},
			"restart": func(*rapid.T) {
				session++
				inc = h.announce("e", fmt.Sprint(session))
				for o, s := range state {
					if s == ClaimRunning {
						state[o] = ClaimUnknown
					}
				}
			},
		})
	})
}

// Guards against a panic or a store error on entries that are not valid commands.
func FuzzApply(f *testing.F) {
	c := Command{Announce: &Announce{Name: "e", Address: "a", Session: "s"}}
	b, err := c.Encode()
	assert.NilError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, entry []byte) {
		h := newHarness(t)
		r, err := h.Apply(h.Index()+1, entry)
		assert.NilError(t, err)
		var refusal *RefusalError
		assert.Assert(t, r.Err == nil || errors.As(r.Err, &refusal))
	})
}

func BenchmarkClaim(b *testing.B) {
	h := newHarness(b)
	inc := h.announce("e", "s")
	entries := make([][]byte, 0, 10_000)
	for i := range 10_000 {
		c := Command{Time: h.now, Claim: &Claim{
			Operation: fmt.Sprintf("o%06d", i), Digest: "d", Endpoint: "e", Incarnation: inc,
		}}
		e, err := c.Encode()
		assert.NilError(b, err)
		entries = append(entries, e)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_, _ = h.Apply(h.Index()+1, entries[i%len(entries)])
	}
}

func BenchmarkSnapshot(b *testing.B) {
	h := newHarness(b)
	bundle := testBundle(1, 1)
	for i := range 3800 {
		bundle.Workspaces = append(bundle.Workspaces, bundler.Workspace{
			Name: fmt.Sprintf("w%04d", i), Team: "t", Priority: bundler.PriorityBatch, Weight: 1,
			KeyHashes: []string{bundler.HashKey(fmt.Sprint(i))}, Pools: []string{"orders"},
		})
	}
	h.rollOut("op", bundle)
	inc := h.announce("e", "s")
	for i := range 10_000 {
		h.apply(Command{Claim: &Claim{Operation: fmt.Sprintf("o%06d", i), Digest: "d", Endpoint: "e", Incarnation: inc}})
	}
	chunks := takeSnapshot(b, h.Applier)
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			takeSnapshot(b, h.Applier)
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			assert.NilError(b, New(NewMemoryStore()).Restore(chunkSeq(chunks)))
		}
	})
}

// Guards against an order that undoes a newer one about the same failure domain or endpoint, because it was committed
// late, and against refusals of orders that are none.
func TestLateOrderChangesNothing(t *testing.T) {
	h := newHarness(t)
	b := testBundle(1, 1)
	assert.Assert(t, h.rollOut("op", b).Err == nil)
	h.announce("e", "s")
	order := func(o SetServiceState, after uint64) *RefusalError {
		o.After = &after
		return h.apply(Command{Actor: "op", SetServiceState: &o}).Err
	}
	for _, target := range []SetServiceState{{FailureDomain: b.FailureDomains[0].Name}, {Endpoint: "e"}} {
		isOut := func() bool {
			if target.FailureDomain != "" {
				return h.View().FailureDomains[target.FailureDomain].OutOfService
			}
			return h.View().Endpoints[target.Endpoint].OutOfService
		}
		in, out := target, target
		out.Out = true
		first := h.Index()
		assert.Assert(t, order(out, first) == nil)
		assert.Equal(t, order(in, first).Code, CodeConflict)
		assert.Assert(t, isOut())
		second := h.Index()
		assert.Assert(t, order(out, second) == nil) // changes nothing, and is newer all the same
		assert.Equal(t, order(in, second).Code, CodeConflict)
		assert.Assert(t, isOut())
		assert.Assert(t, h.apply(Command{Actor: "op", SetServiceState: &in}).Err == nil) // of an earlier release
		assert.Assert(t, !isOut())
		assert.Assert(t, order(out, h.Index()) == nil)
		assert.Assert(t, order(in, h.Index()) == nil)
		assert.Assert(t, !isOut())
	}
}
