package replayer

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a placement that does not find cached chats again after endpoints leave and rejoin, and against a
// comparison in which a policy ignores the load bound.
func TestRouterPolicyReusesNearlyAsMuchAsOmniscientPolicy(t *testing.T) {
	const seed = 1
	t.Logf("seed %d", seed)
	byPolicy := map[string]Result{}
	results := Replay(DefaultConfig(seed))
	for _, r := range results {
		byPolicy[r.Policy] = r
		assert.Equal(t, r.Refused, 0)
		var missed int64
		for _, n := range r.MissedTokens {
			missed += n
		}
		assert.Equal(t, missed, r.PromptTokens-r.ReusedTokens, "the causes must add up to all missed tokens")
	}
	best := float64(bestReuse(results))
	assert.Assert(t, float64(byPolicy["ours"].ReusedTokens) >= minReuse*best, "reused %f",
		float64(byPolicy["ours"].ReusedTokens)/best)
	for _, baseline := range []string{"random", "roundRobin", "leastLoaded", "plainRendezvous"} {
		assert.Assert(t, byPolicy["ours"].ReusedTokens > byPolicy[baseline].ReusedTokens, baseline)
	}
}

// Guards against workspaces that use so many endpoints that copies of their shared prefixes evict chats.
func TestSubsetsKeepSharedPrefixesCached(t *testing.T) {
	const seed = 1
	t.Logf("seed %d", seed)
	byPolicy := map[string]Result{}
	results := Replay(ScarceCacheConfig(seed))
	for _, r := range results {
		byPolicy[r.Policy] = r
	}
	assert.Assert(t, float64(byPolicy["ours"].ReusedTokens) >= minReuse*float64(bestReuse(results)))
	assert.Assert(t, float64(byPolicy["ours"].ReusedTokens) > 1.3*float64(byPolicy["plainRendezvous"].ReusedTokens))
}

func BenchmarkReplay(b *testing.B) {
	for b.Loop() {
		if _, err := Measure(io.Discard, []uint64{1}); err != nil {
			b.Fatal(err)
		}
	}
}
