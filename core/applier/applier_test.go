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
	m := &harness{t: t, store: s, Applier: New(s), now: 1_000_000}
	m.signingKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	hash := bundler.HashKey("x")
	m.apply(Command{Bootstrap: &Bootstrap{Keys: []Key{
		{Name: "op", Role: RoleOperator, Hash: hash}, {Name: "op2", Role: RoleOperator, Hash: hash},
		{Name: "teamop", Role: RoleOperator, Team: "wool", Hash: hash},
		{Name: "signer", Role: RoleSigner, Hash: hash, PublicKey: m.signingKey.Public().(ed25519.PublicKey)},
	}}})
	return m
}

func (m *harness) apply(c Command) Result {
	m.now += 10
	c.Time = m.now
	e, err := c.Encode()
	assert.NilError(m.t, err)
	m.entries = append(m.entries, e)
	r, err := m.Apply(m.Index()+1, e)
	assert.NilError(m.t, err)
	return r
}

func (m *harness) advanceTime(millis int64) {
	for end := m.now + millis; m.now < end; {
		m.now = min(end, m.now+maxClockAdvanceMillis-10)
		m.apply(Command{Tick: &Tick{}})
	}
}

func (m *harness) announce(name, session string) uint64 {
	r := m.apply(Command{Announce: &Announce{Name: name, Address: "a:1", Pool: "orders", Session: session}})
	return r.Incarnation
}

func (m *harness) putDraft(actor string, b *bundler.Bundle) Result {
	content, err := bundler.Encode(b)
	assert.NilError(m.t, err)
	return m.apply(Command{Actor: actor, PutBundle: &PutBundle{Content: content}})
}

func (m *harness) sign(r *BundleRecord) Result {
	sig := ed25519.Sign(m.signingKey, SignedMessage(r.Digest))
	return m.apply(Command{Actor: "signer", SignBundle: &SignBundle{Version: r.Version, Signature: sig}})
}

func (m *harness) rollOut(actor string, b *bundler.Bundle) Result {
	if r := m.putDraft(actor, b); r.Err != nil {
		return r
	} else if r = m.sign(r.Bundle); r.Err != nil {
		return r
	}
	return m.apply(Command{Actor: actor, RollOutBundle: &RollOutBundle{Version: b.Version}})
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

// Guards against two operators who both believe that their content holds a version, against a resend that
// fails or makes a copy, and against a version in force that goes back.
func TestRacingOperatorsAndResends(t *testing.T) {
	m := newHarness(t)
	first := m.putDraft("op", testBundle(1, 1))
	assert.Equal(t, refusalCode(first), Code(""))
	lost := m.putDraft("op2", testBundle(1, 2))
	assert.Equal(t, refusalCode(lost), CodeConflict)
	assert.Equal(t, lost.Bundle.Digest, first.Bundle.Digest)
	assert.ErrorContains(t, lost.Err, first.Bundle.Digest)
	assert.Equal(t, refusalCode(m.putDraft("op2", testBundle(1, 1))), Code(""))
	assert.Equal(t, refusalCode(m.apply(Command{Actor: "op", RollOutBundle: &RollOutBundle{Version: 1}})), CodeConflict)

	assert.Equal(t, refusalCode(m.rollOut("op", testBundle(1, 1))), Code(""))
	assert.Equal(t, refusalCode(m.rollOut("op", testBundle(5, 7))), Code(""))
	assert.Equal(t, refusalCode(m.apply(Command{Actor: "op", RollOutBundle: &RollOutBundle{Version: 5}})), Code(""))
	assert.Equal(t, refusalCode(m.apply(Command{Actor: "op", RollOutBundle: &RollOutBundle{Version: 1}})), CodeConflict)
	assert.Equal(t, refusalCode(m.putDraft("op", testBundle(4, 1))), CodeConflict)

	restored := m.apply(Command{Actor: "op", RestoreBundle: &RestoreBundle{From: 1}})
	again := m.apply(Command{Actor: "op2", RestoreBundle: &RestoreBundle{From: 1}})
	assert.Equal(t, restored.Bundle.Version, uint64(6))
	assert.Equal(t, again.Bundle.Version, uint64(6))
	m.sign(restored.Bundle)
	r := m.apply(Command{Actor: "op", RollOutBundle: &RollOutBundle{Version: 6}})
	assert.Equal(t, refusalCode(r), Code(""))
	assert.Equal(t, len(r.Delta.Changes), 1)
	assert.Equal(t, m.View().Workspaces["wool"].Weight, 1)
	assert.Equal(t, m.View().BundleVersion, uint64(6))
}

// Guards against the use of a revoked or rotated key, and against a team that changes another's workspace.
func TestKeysAndTeams(t *testing.T) {
	m := newHarness(t)
	assert.Equal(t, refusalCode(m.rollOut("op", testBundle(1, 1))), Code(""))
	own, other, fleet := testBundle(2, 3), testBundle(3, 3), testBundle(4, 3)
	other.Workspaces[1].Weight = 9
	fleet.Pools[0].MaxConcurrency = 9
	assert.Equal(t, refusalCode(m.putDraft("teamop", other)), CodeForbidden)
	assert.Equal(t, refusalCode(m.putDraft("teamop", fleet)), CodeForbidden)
	assert.Equal(t, refusalCode(m.apply(Command{Actor: "teamop", SetServiceState: &SetServiceState{FailureDomain: "a", Out: true}})),
		CodeForbidden)
	assert.Equal(t, refusalCode(m.rollOut("teamop", own)), Code(""))

	draft := m.putDraft("op", testBundle(7, 8))
	m.sign(draft.Bundle)
	revoke := Command{Actor: "signer", RevokeKey: &RevokeKey{Name: "op2"}}
	assert.Equal(t, refusalCode(m.apply(revoke)), Code(""))
	assert.Equal(t, refusalCode(m.apply(revoke)), Code(""))
	assert.Equal(t, refusalCode(m.putDraft("op2", testBundle(8, 8))), CodeForbidden)
	assert.Equal(t, refusalCode(m.apply(Command{Actor: "op", RevokeKey: &RevokeKey{Name: "signer"}})), CodeForbidden)

	next := Key{Name: "signer", Role: RoleSigner, Hash: bundler.HashKey("y"), PublicKey: make([]byte, 32)}
	assert.Equal(t, refusalCode(m.apply(Command{Actor: "signer", PutKey: &PutKey{Key: next}})), CodeConflict)
	rotate := Command{Actor: "signer", PutKey: &PutKey{Key: next, Replaces: 1}}
	assert.Equal(t, refusalCode(m.apply(rotate)), Code(""))
	assert.Equal(t, refusalCode(m.apply(rotate)), Code(""))
	assert.Equal(t, refusalCode(m.apply(Command{Actor: "op", RollOutBundle: &RollOutBundle{Version: 7}})), CodeConflict)
}

// Guards against a second grant of an operation by racing routers, lost replies, restarts of the endpoint,
// late settlements and an operator's resolution.
func TestClaimFailures(t *testing.T) {
	m := newHarness(t)
	in := m.announce("e", "s1")
	claim := func(notRun uint64) Result {
		return m.apply(Command{Claim: &Claim{
			Operation: "o", Digest: "d", Endpoint: "e", Incarnation: in, NotRun: notRun, Workspace: "wool",
		}})
	}
	assert.Assert(t, claim(0).Granted)
	assert.Assert(t, !claim(0).Granted, "the second router joins")
	other := m.apply(Command{Claim: &Claim{Operation: "o", Digest: "x", Endpoint: "e", Incarnation: in}})
	assert.Assert(t, other.Conflict && !other.Granted)
	assert.Equal(t, claim(1).Claim.Generation, uint64(2))
	assert.Assert(t, !claim(1).Granted, "the same release sent again")

	assert.Equal(t, m.announce("e", "s1"), in, "the same process reconnects")
	assert.Equal(t, claim(0).Claim.State, ClaimRunning)
	stale := in
	in = m.announce("e", "s2")
	assert.Assert(t, in > stale)
	assert.Equal(t, claim(0).Claim.State, ClaimUnknown)
	assert.Equal(t, claim(2).Claim.State, ClaimUnknown, "an unknown outcome is not claimed again")
	fresh := m.apply(Command{Claim: &Claim{Operation: "p", Digest: "d", Endpoint: "e", Incarnation: stale}})
	assert.Equal(t, refusalCode(fresh), CodeStaleIncarnation)

	assert.Equal(t, refusalCode(m.apply(Command{Actor: "op", ResolveOperation: &ResolveOperation{Operation: "o", NotRun: true}})), Code(""))
	assert.Equal(t, refusalCode(m.apply(Command{Actor: "op", ResolveOperation: &ResolveOperation{Operation: "o", NotRun: true}})), Code(""))
	late := Command{RecordOutcome: &RecordOutcome{Operation: "o", Generation: 2, Answer: &Answer{Status: 200}}}
	assert.Equal(t, refusalCode(m.apply(late)), CodeConflict, "resolved by an operator before")
	assert.Equal(t, claim(0).Claim.Generation, uint64(3))
	settle := Command{RecordOutcome: &RecordOutcome{Operation: "o", Generation: 3, Answer: &Answer{Status: 201}}}
	assert.Equal(t, refusalCode(m.apply(settle)), Code(""))
	assert.Equal(t, refusalCode(m.apply(settle)), Code(""), "the same settlement after a lost reply")
	assert.Equal(t, claim(3).Claim.Answer.Status, 201)

	m.apply(Command{Claim: &Claim{Operation: "q", Digest: "d", Endpoint: "e", Incarnation: in}})
	m.apply(Command{MarkLost: &MarkLost{Endpoint: "e", Incarnation: in}})
	m.apply(Command{MarkLost: &MarkLost{Endpoint: "e", Incarnation: in, Gone: true}})
	assert.Equal(t, refusalCode(m.apply(Command{RecordOutcome: &RecordOutcome{Operation: "q", Generation: 1, Answer: &Answer{}}})), Code(""))
	assert.Assert(t, m.announce("e", "s2") > in, "an endpoint that was gone gets a new incarnation")
	q, err := NewQuery(m.store)
	assert.NilError(t, err)
	audit, err := q.Audit(0, 100)
	assert.NilError(t, err)
	assert.Equal(t, audit[len(audit)-1].Action, "resolve operation")
	assert.Equal(t, len(audit), 2)
}

// Guards against claims that vanish early because one wall clock is wrong, and against claims that stay for ever.
func TestClaimsExpireByBoundedTime(t *testing.T) {
	m := newHarness(t)
	in := m.announce("e", "s")
	m.apply(Command{Claim: &Claim{Operation: "o", Digest: "d", Endpoint: "e", Incarnation: in}})
	m.apply(Command{RecordOutcome: &RecordOutcome{Operation: "o", Generation: 1, Answer: &Answer{}}})
	kept := m.now
	m.now += 100 * retentionMillis
	m.apply(Command{Tick: &Tick{}})
	for range 100 {
		m.apply(Command{ReportCrash: &ReportCrash{ReportID: "r"}})
	}
	assert.Equal(t, m.ClaimCount(), int64(1))
	m.now = kept
	m.advanceTime(retentionMillis - 30_000)
	assert.Equal(t, m.ClaimCount(), int64(1))
	m.advanceTime(60_000)
	assert.Equal(t, m.ClaimCount(), int64(0))
}

// Guards against a crash report that counts twice when it is sent again, and against a verdict that never ends.
func TestVerdicts(t *testing.T) {
	m := newHarness(t)
	report := func(id string) {
		m.apply(Command{ReportCrash: &ReportCrash{ReportID: id, Suspects: []string{"f", "g"}}})
	}
	report("1")
	report("1")
	assert.Equal(t, m.View().Verdicts["f"].Crashes, 1)
	m.apply(Command{ReportCrash: &ReportCrash{ReportID: "2", Cleared: []string{"g"}}})
	report("3")
	assert.Assert(t, m.View().Verdicts["f"].Convicted)
	assert.Assert(t, !m.View().Verdicts["g"].Convicted)
	m.advanceTime(verdictTTLMillis + 20_000)
	assert.Equal(t, len(m.View().Verdicts), 0)
}

// Guards against work for an endpoint that crashes at every start, and against a pool damped as a whole.
func TestFlappingEndpointIsDamped(t *testing.T) {
	m := newHarness(t)
	m.announce("e1", "s")
	m.announce("e2", "s")
	for n := range 6 {
		m.announce("e1", fmt.Sprint(n))
		m.announce("e2", fmt.Sprint(n))
	}
	v := m.View()
	assert.Assert(t, v.Endpoints["e1"].Damped)
	assert.Assert(t, !v.Endpoints["e2"].Damped)
	m.advanceTime(200_000)
	assert.Assert(t, !m.View().Endpoints["e1"].Damped)
}

// Guards against instances that differ after a snapshot, a torn snapshot, and oversized chunks.
func TestSnapshotAndLogGiveTheSameState(t *testing.T) {
	m := newHarness(t)
	m.rollOut("op", testBundle(1, 1))
	in := m.announce("e", "s")
	for i := range 3000 {
		op := fmt.Sprintf("o%04d", i)
		m.apply(Command{Claim: &Claim{Operation: op, Digest: "d", Endpoint: "e", Incarnation: in}})
		if i%2 == 0 {
			m.apply(Command{RecordOutcome: &RecordOutcome{Operation: op, Generation: 1, Answer: &Answer{Body: make([]byte, 1000)}}})
		}
	}
	chunks := takeSnapshot(t, m.Applier)
	assert.Assert(t, len(chunks) > 3)
	for _, c := range chunks {
		assert.Assert(t, len(c) < 2*snapshotChunkBytes)
	}
	restored := New(NewMemoryStore())
	assert.NilError(t, restored.Restore(chunkSeq(chunks)))
	replayed := New(NewMemoryStore())
	for i, e := range m.entries {
		_, err := replayed.Apply(uint64(i+1), e)
		assert.NilError(t, err)
	}
	last := Command{Time: m.now + 5, Announce: &Announce{Name: "e", Address: "a:1", Pool: "orders", Session: "t"}}
	e, err := last.Encode()
	assert.NilError(t, err)
	for _, a := range []*Applier{m.Applier, restored, replayed} {
		_, err := a.Apply(uint64(len(m.entries)+1), e)
		assert.NilError(t, err)
		assert.Assert(t, slices.EqualFunc(takeSnapshot(t, a), takeSnapshot(t, m.Applier), bytes.Equal))
		assert.DeepEqual(t, a.View(), m.View())
	}
	assert.ErrorContains(t, New(NewMemoryStore()).Restore(chunkSeq(chunks[:2])), "last chunk is missing")
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

// Guards against any order of claims, reads, refusals, settlements, restarts and resolutions in which one generation is
// granted twice, an operation whose outcome is unknown is granted again, or a recorded answer changes.
func TestClaimsRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newHarness(t)
		session, in := 0, m.announce("e", "0")
		granted := map[string]uint64{}
		state := map[string]ClaimState{}
		op := rapid.SampledFrom([]string{"a", "b"})
		gen := rapid.Uint64Range(0, 4)
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				o, n := op.Draw(t, "op"), gen.Draw(t, "notRun")
				r := m.apply(Command{Claim: &Claim{Operation: o, Digest: "d", Endpoint: "e", Incarnation: in, NotRun: n}})
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
				r := m.apply(Command{Claim: &Claim{Operation: o, Digest: "d", NotRun: n}})
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
				if r := m.apply(Command{RecordOutcome: s}); r.Err == nil {
					assert.Equal(t, n, granted[o])
					assert.Assert(t, state[o] == ClaimRunning || state[o] == ClaimUnknown || state[o] == next)
					state[o] = r.Claim.State
				}
			},
			"resolve": func(t *rapid.T) {
				o := op.Draw(t, "op")
				r := m.apply(Command{Actor: "op", ResolveOperation: &ResolveOperation{Operation: o, NotRun: true}})
				if r.Err == nil {
					assert.Assert(t, state[o] == ClaimUnknown || state[o] == ClaimReleased)
					state[o] = ClaimReleased
				}
			},
			"restart": func(*rapid.T) {
				session++
				in = m.announce("e", fmt.Sprint(session))
				for o, s := range state {
					if s == ClaimRunning {
						state[o] = ClaimUnknown
					}
				}
			},
		})
	})
}

// Guards against a panic or a divergence on entries that are not commands.
func FuzzApply(f *testing.F) {
	c := Command{Announce: &Announce{Name: "e", Address: "a", Session: "s"}}
	b, err := c.Encode()
	assert.NilError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, entry []byte) {
		m := newHarness(t)
		r, err := m.Apply(m.Index()+1, entry)
		assert.NilError(t, err)
		var refusal *RefusalError
		assert.Assert(t, r.Err == nil || errors.As(r.Err, &refusal))
	})
}

func BenchmarkClaim(b *testing.B) {
	m := newHarness(b)
	in := m.announce("e", "s")
	entries := make([][]byte, 0, 10_000)
	for i := range 10_000 {
		c := Command{Time: m.now, Claim: &Claim{
			Operation: fmt.Sprintf("o%06d", i), Digest: "d", Endpoint: "e", Incarnation: in,
		}}
		e, err := c.Encode()
		assert.NilError(b, err)
		entries = append(entries, e)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_, _ = m.Apply(m.Index()+1, entries[i%len(entries)])
	}
}

func BenchmarkSnapshot(b *testing.B) {
	m := newHarness(b)
	bundle := testBundle(1, 1)
	for i := range 3800 {
		bundle.Workspaces = append(bundle.Workspaces, bundler.Workspace{
			Name: fmt.Sprintf("w%04d", i), Team: "t", Priority: bundler.PriorityBatch, Weight: 1,
			KeyHashes: []string{bundler.HashKey(fmt.Sprint(i))}, Pools: []string{"orders"},
		})
	}
	m.rollOut("op", bundle)
	in := m.announce("e", "s")
	for i := range 10_000 {
		m.apply(Command{Claim: &Claim{Operation: fmt.Sprintf("o%06d", i), Digest: "d", Endpoint: "e", Incarnation: in}})
	}
	chunks := takeSnapshot(b, m.Applier)
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			takeSnapshot(b, m.Applier)
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			assert.NilError(b, New(NewMemoryStore()).Restore(chunkSeq(chunks)))
		}
	})
}
