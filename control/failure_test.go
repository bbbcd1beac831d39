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

// Guards against a claim that is lost, granted twice or refused during a leader failure. It logs the slowest
// claim, which should be shorter than the freshness lease.
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
	eventually(t, "100 claims done", func() bool { mu.Lock(); defer mu.Unlock(); return done > 100 })
	leader, followers := leaderOf(t, rs)
	leader.stop()
	wg.Wait()
	t.Logf("slowest claim during the leader failure: %v", slowest)
	for id, n := range grants {
		assert.Assert(t, n <= 1, "%s granted %d times", id, n)
	}
	for _, r := range followers {
		eventually(t, "all claims", func() bool { return r.claimCount() == 2*operations })
	}
	leader.start()
	eventually(t, "all claims at the former leader", func() bool { return leader.claimCount() == 2*operations })
}

// Guards against losing committed claims with two of five disks, where the second is lost right after the first
// instance has rejoined with an empty disk, and against votes under that instance's former ID.
func TestTwoOfFiveLostAfterDiskLoss(t *testing.T) {
	t.Parallel()
	rs := startReplicas(t, 5, testBundle(1, 0))
	announceEndpoint(t, rs[0].Control)
	for i := range 300 {
		_, err := rs[i%5].propose(t.Context(), claimCommand(fmt.Sprint(i)))
		assert.NilError(t, err)
	}
	leader, followers := leaderOf(t, rs)
	rejoining := followers[0]
	membersBefore := rejoining.committer.Status().Members
	rejoining.stop()
	assert.NilError(t, os.RemoveAll(rejoining.settings.DataDir))
	rejoining.start()
	eventually(t, "rejoined under a new ID", func() bool {
		st := leader.committer.Status()
		for _, m := range st.Members {
			if m.Name == rejoining.settings.Place.Name && !m.Learner {
				return len(st.Members) == 5 && fmt.Sprint(st.Members) != fmt.Sprint(membersBefore) && rejoining.claimCount() == 300
			}
		}
		return false
	})
	leader.stop()
	assert.NilError(t, os.RemoveAll(leader.settings.DataDir))
	newLeader, _ := leaderOf(t, followers)
	got, err := rejoining.propose(t.Context(), claimCommand("299"))
	assert.NilError(t, err)
	assert.Assert(t, !got.Granted && got.Claim.Generation == 1)
	for _, r := range followers {
		eventually(t, "all claims", func() bool { return r.claimCount() == 300 })
	}
	assert.Assert(t, newLeader.BundleVersion() == 1)
}

// Guards against a partitioned instance that serves stale reads as confirmed or keeps its clients, a client that
// returns to a lower bundle version there, and an election that the instance forces when the partition ends.
func TestPartitionedInstance(t *testing.T) {
	t.Parallel()
	rs := startReplicas(t, 3, testBundle(1, 0))
	leader, followers := leaderOf(t, rs)
	partitioned, healthy := followers[0], followers[1]
	// This client has only the address of the partitioned instance.
	client, _ := startClient(t, "r", subscriber.RoleRouter, &partitioned.testControl)
	failover, _ := startClient(t, "r", subscriber.RoleRouter, controlsOf(rs)...)
	eventually(t, "fresh", func() bool { return client.IsFresh(time.Now()) && failover.IsFresh(time.Now()) })
	partitioned.setPartitioned(true)
	start := time.Now()
	assert.NilError(t, healthy.InstallBundle(t.Context(), testBundle(2, 0), "op", "signer", signerKey))
	eventually(t, "failover and version 2 in force", func() bool { return failover.View().BundleVersion == 2 })
	inForce := time.Since(start)
	assert.Assert(t, inForce < 5*time.Second, "%v", inForce)
	eventually(t, "client of the partitioned instance not fresh", func() bool { return !client.IsFresh(time.Now()) })
	lease := time.Since(start)
	var st statusResponse
	assert.Equal(t, partitioned.do(t, "reader", "GET", "/status", nil, &st), http.StatusOK)
	assert.Assert(t, !st.Confirmed && st.BundleVersion == 1)
	assert.Equal(t, healthy.do(t, "reader", "GET", "/status", nil, &st), http.StatusOK)
	assert.Assert(t, st.Confirmed && st.BundleVersion == 2)
	// A restarted process connects to the partitioned instance first.
	restarted, _ := startClient(t, "r", subscriber.RoleRouter, &partitioned.testControl, &healthy.testControl)
	eventually(t, "restarted process", func() bool {
		v := restarted.View().BundleVersion
		assert.Assert(t, v == 2 || !restarted.IsFresh(time.Now()), "version %d counts as fresh", v)
		return v == 2 && restarted.IsFresh(time.Now())
	})
	term := leader.committer.Status().Term
	partitioned.setPartitioned(false)
	eventually(t, "partition healed", func() bool {
		return partitioned.BundleVersion() == 2 && client.IsFresh(time.Now())
	})
	assert.Equal(t, client.View().BundleVersion, uint64(2))
	now := leader.committer.Status()
	assert.Assert(t, now.IsLeader && now.Term == term, "the reconnected instance forced an election")
	t.Logf("version in force after failover: %v; client of the partitioned instance not fresh: %v", inForce, lease)
}

// Guards against an instance that cannot catch up after missing hundreds of changes and several snapshots.
func TestInstanceCatchesUpAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	rs := startReplicas(t, 3, testBundle(1, 100))
	leader, followers := leaderOf(t, rs)
	lagging := followers[0]
	lagging.stop()
	for i := range 701 {
		_, err := leader.propose(t.Context(), applier.Command{
			Actor: "op", SetServiceState: &applier.SetServiceState{FailureDomain: "a", Out: i%2 == 0},
		})
		assert.NilError(t, err)
	}
	start := time.Now()
	lagging.start()
	eventually(t, "caught up", func() bool { return lagging.state.View().Index == leader.state.View().Index })
	t.Logf("caught up with 701 changes in %v", time.Since(start))
	assert.Assert(t, lagging.state.View().FailureDomains["a"].OutOfService)
	eventually(t, "own snapshot", func() bool { return lagging.committer.Status().Snapshot > 400 })
}

type putInput struct {
	version uint64
	variant int
}

// Guards against two different bundles stored under one version when operators race at different instances and retry
// after lost responses.
func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	const maxDuration = 30 * time.Second
	type response struct {
		Bundle *applier.BundleRecord `json:"bundle"`
		Error  *APIError             `json:"error"`
	}
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
				calledAt := time.Since(start)
				var got response
				if client%2 == 0 {
					// Ignores the response to the first attempt, as if its connection had failed.
					rs[client%3].do(t, "op", "POST", "/bundles", body, nil)
				}
				// Without a quorum in time, the outcome is unknown; operators retry at the next instance.
				status := http.StatusServiceUnavailable
				for n := client + 1; status == http.StatusServiceUnavailable && time.Since(start) < maxDuration; n++ {
					got = response{}
					status = rs[n%3].do(t, "op2", "POST", "/bundles", body, &got)
				}
				record := got.Bundle
				if got.Error != nil {
					record = got.Error.Bundle
				}
				if !assert.Check(t, record != nil, "status %d", status) {
					return
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: in, Call: int64(calledAt), Return: int64(time.Since(start)),
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

// Guards against admissions by endpoints of a failure domain that was taken out of service at least 2 s ago, including
// an agent that is partitioned from the control instances.
func TestFailureDomainOutReachesEveryAgent(t *testing.T) {
	t.Parallel()
	rs := startReplicas(t, 3, testBundle(1, 0))
	proxy := newTCPProxy(t)
	proxy.setTarget(rs[0].addr)
	agents := make([]*subscriber.Client, 0, 7)
	for i := range 6 {
		a, _ := startClient(t, fmt.Sprint("e", i), subscriber.RoleAgent, &rs[i%3].testControl)
		agents = append(agents, a)
	}
	partitioned, _ := startClient(t, "cut", subscriber.RoleAgent, &testControl{addr: proxy.addr()})
	agents = append(agents, partitioned)
	admits := func(c *subscriber.Client) bool {
		v := c.View()
		for _, e := range v.Endpoints {
			if e.Incarnation == c.Incarnation() && e.Incarnation > 0 {
				return c.IsFresh(time.Now()) && v.IsInService(&e)
			}
		}
		return false
	}
	countAdmitting := func() (n int) {
		for _, c := range agents {
			if admits(c) {
				n++
			}
		}
		return n
	}
	eventually(t, "all agents admit requests", func() bool { return countAdmitting() == 7 })
	proxy.setFrozen(true)
	assert.Equal(t, rs[1].do(t, "op", "POST", "/failureDomains/a/out", nil, nil), http.StatusOK)
	outAt := time.Now()
	lastAdmission := time.Duration(0)
	for time.Since(outAt) < 2*time.Second {
		if countAdmitting() > 0 {
			lastAdmission = time.Since(outAt)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("the partitioned agent admitted requests for %v", lastAdmission)
	for time.Since(outAt) < 3*time.Second {
		assert.Equal(t, countAdmitting(), 0)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against agents that stop serving without a quorum although onQuorumLoss is serve, and against claims granted
// without a quorum.
func TestServeOnQuorumLoss(t *testing.T) {
	t.Parallel()
	b := testBundle(1, 0)
	b.Freshness.OnQuorumLoss = bundler.QuorumLossServe
	rs := startReplicas(t, 3, b)
	agent, _ := startClient(t, "e", subscriber.RoleAgent, controlsOf(rs)...)
	eventually(t, "incarnation", func() bool { return agent.Incarnation() > 0 && agent.IsFresh(time.Now()) })
	rs[1].stop()
	rs[2].stop()
	lostAt := time.Now()
	eventually(t, "fresh after the lease", func() bool {
		return time.Since(lostAt) > 4*time.Second && agent.IsConnected() && agent.IsFresh(time.Now())
	})
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	_, err := agent.Claim(ctx, subscriber.Claim{
		Operation: "o", Digest: "d", Endpoint: "e", Incarnation: agent.Incarnation(),
	})
	assert.Assert(t, err != nil, "claim granted without a quorum")
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

// Guards against a flapping endpoint that remains in service, and against a leader that does not count the losses.
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
