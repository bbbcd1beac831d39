package control

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/applier"
	"cactusroute.dev/core/bundler"
)

// Guards against a claim that is lost, granted twice or refused while the leader is lost, and against a pause longer
// than the freshness lease.
func TestClaimsDuringLeaderFailure(t *testing.T) {
	t.Parallel()
	rs := startReplicas(t, 3, testBundle(1, 0))
	agent, _ := startClient(t, "e", subscriber.RoleAgent, controlsOf(rs)...)
	eventually(t, "incarnation", func() bool { return agent.Incarnation() > 0 })
	const operations = 200
	var mu sync.Mutex
	grants, slowest, done := map[string]int{}, time.Duration(0), 0
	var wg sync.WaitGroup
	// Two routers claim each operation.
	for n := range 4 {
		router, _ := startClient(t, fmt.Sprint("r", n), subscriber.RoleRouter, controlsOf(rs)...)
		wg.Go(func() {
			for i := range operations {
				id, start := fmt.Sprint(n/2, "-", i), time.Now()
				got, err := router.Claim(t.Context(), subscriber.Claim{
					Operation: id, Digest: "d", Endpoint: "e", Incarnation: agent.Incarnation(),
				})
				assert.Check(t, err)
				assert.Check(t, got.Generation == 1)
				mu.Lock()
				done++
				slowest = max(slowest, time.Since(start))
				if got.State == subscriber.ClaimGranted {
					grants[id]++
				}
				mu.Unlock()
			}
		})
	}
	eventually(t, "claims run", func() bool { mu.Lock(); defer mu.Unlock(); return done > 100 })
	leader, others := leaderOf(t, rs)
	leader.stop()
	wg.Wait()
	t.Logf("slowest claim while the leader was lost: %v", slowest)
	for id, n := range grants {
		assert.Assert(t, n <= 1, "%s granted %d times", id, n)
	}
	for _, r := range others {
		eventually(t, "all claims", func() bool { return r.claimCount() == 2*operations })
	}
	leader.start()
	eventually(t, "all claims at the former leader", func() bool { return leader.claimCount() == 2*operations })
}

// Guards against committed claims that are lost with two of five disks, the second right after the first instance
// came back with an empty one, and against a vote under the former identity.
func TestTwoOfFiveLostAfterDiskLoss(t *testing.T) {
	t.Parallel()
	rs := startReplicas(t, 5, testBundle(1, 0))
	announceEndpoint(t, rs[0].Control)
	for i := range 300 {
		_, err := rs[i%5].propose(t.Context(), claimCommand(fmt.Sprint(i)))
		assert.NilError(t, err)
	}
	leader, others := leaderOf(t, rs)
	emptied := others[0]
	id := emptied.committer.Status().Members
	emptied.stop()
	assert.NilError(t, os.RemoveAll(emptied.settings.DataDir))
	emptied.start()
	eventually(t, "repaired", func() bool {
		st := leader.committer.Status()
		for _, m := range st.Members {
			if m.Name == emptied.settings.Place.Name && !m.Learner {
				return len(st.Members) == 5 && fmt.Sprint(st.Members) != fmt.Sprint(id) && emptied.claimCount() == 300
			}
		}
		return false
	})
	leader.stop()
	assert.NilError(t, os.RemoveAll(leader.settings.DataDir))
	next, _ := leaderOf(t, others)
	got, err := emptied.propose(t.Context(), claimCommand("299"))
	assert.NilError(t, err)
	assert.Assert(t, !got.Granted && got.Claim.Generation == 1)
	for _, r := range others {
		eventually(t, "all claims", func() bool { return r.claimCount() == 300 })
	}
	assert.Assert(t, next.BundleVersion() == 1)
}

// Guards against a silently cut-off instance that answers as current or keeps its clients, an agent or router that
// goes back to a lower bundle version there, and an election that the instance forces when it returns.
func TestPartitionedInstance(t *testing.T) {
	t.Parallel()
	rs := startReplicas(t, 3, testBundle(1, 0))
	leader, others := leaderOf(t, rs)
	stale, other := others[0], others[1]
	// The list of one instance first makes the client start there.
	client, _ := startClient(t, "r", subscriber.RoleRouter, &stale.testControl)
	moving, _ := startClient(t, "r", subscriber.RoleRouter, controlsOf(rs)...)
	eventually(t, "fresh", func() bool { return client.IsFresh(time.Now()) && moving.IsFresh(time.Now()) })
	stale.setPartitioned(true)
	start := time.Now()
	assert.NilError(t, other.InstallBundle(t.Context(), testBundle(2, 0), "op", "signer", signerKey))
	eventually(t, "moved and in force", func() bool { return moving.View().BundleVersion == 2 })
	inForce := time.Since(start)
	assert.Assert(t, inForce < 5*time.Second, "%v", inForce)
	eventually(t, "stale client knows", func() bool { return !client.IsFresh(time.Now()) })
	lease := time.Since(start)
	var st statusResponse
	assert.Equal(t, stale.do(t, "reader", "GET", "/status", nil, &st), http.StatusOK)
	assert.Assert(t, !st.Confirmed && st.BundleVersion == 1)
	assert.Equal(t, other.do(t, "reader", "GET", "/status", nil, &st), http.StatusOK)
	assert.Assert(t, st.Confirmed && st.BundleVersion == 2)
	// A process that starts again meets the stale instance first.
	again, _ := startClient(t, "r", subscriber.RoleRouter, &stale.testControl, &other.testControl)
	eventually(t, "restarted process", func() bool {
		v := again.View().BundleVersion
		assert.Assert(t, v == 2 || !again.IsFresh(time.Now()), "version %d counts as fresh", v)
		return v == 2 && again.IsFresh(time.Now())
	})
	term := leader.committer.Status().Term
	stale.setPartitioned(false)
	eventually(t, "back", func() bool { return stale.BundleVersion() == 2 && client.IsFresh(time.Now()) })
	assert.Equal(t, client.View().BundleVersion, uint64(2))
	now := leader.committer.Status()
	assert.Assert(t, now.IsLeader && now.Term == term, "the return forced an election")
	t.Logf("in force behind a cut-off instance after %v, its client not fresh after %v", inForce, lease)
}

// Guards against an instance that cannot catch up after hundreds of changes and several snapshots have passed by.
func TestInstanceCatchesUpAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	rs := startReplicas(t, 3, testBundle(1, 100))
	writer, others := leaderOf(t, rs)
	late := others[0]
	late.stop()
	for i := range 701 {
		_, err := writer.propose(t.Context(), applier.Command{
			Actor: "op", SetServiceState: &applier.SetServiceState{FailureDomain: "a", Out: i%2 == 0},
		})
		assert.NilError(t, err)
	}
	start := time.Now()
	late.start()
	eventually(t, "caught up", func() bool { return late.state.View().Index == writer.state.View().Index })
	t.Logf("caught up with 701 changes in %v", time.Since(start))
	assert.Assert(t, late.state.View().FailureDomains["a"].OutOfService)
	eventually(t, "own snapshot", func() bool { return late.committer.Status().Snapshot > 400 })
}

type putInput struct {
	version uint64
	variant int
}

// Guards against two winners of one bundle version: operators race through different instances, and send again when
// an answer was lost.
func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	t.Parallel()
	rs := startReplicas(t, 3, testBundle(1, 0))
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	var wg sync.WaitGroup
	for client := range 6 {
		wg.Go(func() {
			for v := uint64(2); v < 12; v++ {
				in := putInput{version: v, variant: client % 3}
				b := testBundle(v, 0)
				b.Workspaces[0].Weight = 1 + in.variant
				body := encodeBundle(t, b)
				began := time.Since(start)
				var got struct {
					Bundle *applier.BundleRecord `json:"bundle"`
					Error  *APIError             `json:"error"`
				}
				if client%2 == 0 {
					// The answer of the first try is thrown away, as when its connection is lost.
					rs[client%3].do(t, "op", "POST", "/bundles", body, nil)
				}
				status := rs[(client+1)%3].do(t, "op2", "POST", "/bundles", body, &got)
				record := got.Bundle
				if got.Error != nil {
					record = got.Error.Bundle
				}
				if !assert.Check(t, record != nil, "status %d", status) {
					return
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: in, Call: int64(began), Return: int64(time.Since(start)),
					Output: fmt.Sprint(status, record.Digest),
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	digest := func(in putInput) string {
		b := testBundle(in.version, 0)
		b.Workspaces[0].Weight = 1 + in.variant
		return bundler.Digest(encodeBundle(t, b))
	}
	model := porcupine.Model{
		Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, 12)
			for _, op := range h {
				n := op.Input.(putInput).version
				parts[n] = append(parts[n], op)
			}
			return parts
		},
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			winner, own := state.(string), digest(input.(putInput))
			if winner == "" {
				winner = own
			}
			status := http.StatusOK
			if winner != own {
				status = http.StatusConflict
			}
			return output == fmt.Sprint(status, winner), winner
		},
	}
	assert.Assert(t, porcupine.CheckOperations(model, history))
}

// Guards against work at an endpoint of a failure domain that was taken out 2 s ago, also where the agent is cut off
// from control.
func TestFailureDomainOutReachesEveryAgent(t *testing.T) {
	t.Parallel()
	rs := startReplicas(t, 3, testBundle(1, 0))
	cutOff := newTCPProxy(t)
	cutOff.setTarget(rs[0].addr)
	agents := make([]*subscriber.Client, 0, 7)
	for i := range 6 {
		a, _ := startClient(t, fmt.Sprint("e", i), subscriber.RoleAgent, &rs[i%3].testControl)
		agents = append(agents, a)
	}
	a, _ := startClient(t, "cut", subscriber.RoleAgent, &testControl{addr: cutOff.addr()})
	agents = append(agents, a)
	admits := func(c *subscriber.Client) bool {
		v := c.View()
		for _, e := range v.Endpoints {
			if e.Incarnation == c.Incarnation() && e.Incarnation > 0 {
				return c.IsFresh(time.Now()) && v.IsInService(&e)
			}
		}
		return false
	}
	count := func() (n int) {
		for _, c := range agents {
			if admits(c) {
				n++
			}
		}
		return n
	}
	eventually(t, "all admit", func() bool { return count() == 7 })
	cutOff.setFrozen(true)
	assert.Equal(t, rs[1].do(t, "op", "POST", "/failureDomains/a/out", nil, nil), http.StatusOK)
	out := time.Now()
	took := time.Duration(0)
	for time.Since(out) < 2*time.Second {
		if count() > 0 {
			took = time.Since(out)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("the last agent, which is cut off, admitted work until %v", took)
	for time.Since(out) < 3*time.Second {
		assert.Equal(t, count(), 0)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against agents that stop without a quorum although the bundle says serve, and against claims then.
func TestServeOnQuorumLoss(t *testing.T) {
	t.Parallel()
	b := testBundle(1, 0)
	b.Freshness.OnQuorumLoss = bundler.QuorumLossServe
	rs := startReplicas(t, 3, b)
	agent, _ := startClient(t, "e", subscriber.RoleAgent, controlsOf(rs)...)
	eventually(t, "incarnation", func() bool { return agent.Incarnation() > 0 && agent.IsFresh(time.Now()) })
	rs[1].stop()
	rs[2].stop()
	lost := time.Now()
	eventually(t, "fresh after the lease", func() bool {
		return time.Since(lost) > 4*time.Second && agent.IsConnected() && agent.IsFresh(time.Now())
	})
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	_, err := agent.Claim(ctx, subscriber.Claim{
		Operation: "o", Digest: "d", Endpoint: "e", Incarnation: agent.Incarnation(),
	})
	assert.Assert(t, err != nil, "a claim without a quorum")
	rs[1].start()
	eventually(t, "claims again", func() bool {
		got, err := agent.Claim(t.Context(), subscriber.Claim{
			Operation: "o", Digest: "d", Endpoint: "e", Incarnation: agent.Incarnation(),
		})
		return err == nil && got.Generation == 1
	})
	rs[0].stop()
	rs[1].stop()
	eventually(t, "not fresh without any instance", func() bool { return !agent.IsFresh(time.Now()) })
}

// Guards against an endpoint that flaps and keeps its place, and against a leader that forgets the losses.
func TestFlappingAgentIsDamped(t *testing.T) {
	t.Parallel()
	rs := startReplicas(t, 3, testBundle(1, 0))
	steady, _ := startClient(t, "steady", subscriber.RoleAgent, &rs[0].testControl)
	for i := range 5 {
		flapping, stop := startClient(t, "flapping", subscriber.RoleAgent, &rs[i%3].testControl)
		eventually(t, "announced", func() bool { return flapping.Incarnation() > 0 })
		stop()
	}
	eventually(t, "damped", func() bool {
		e := steady.View().Endpoints["flapping"]
		return e.Damped && !steady.View().IsInService(&e)
	})
	assert.Assert(t, !steady.View().Endpoints["steady"].Damped)
}
