package control

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cactusroute.dev/core/bundler"
)

// Guards against an instance that lags behind and denies a call with a valid key: a 401 ends the call of an operator,
// who would have to be told to try again elsewhere.
func TestLaggingInstanceDoesNotDenyAKnownKey(t *testing.T) {
	t.Parallel()
	rs := startReplicas(t, 3, testBundle(1, 0))
	leader, followers := leaderOf(t, rs)
	lagging := followers[0]
	lagging.setPartitioned(true)
	key := fmt.Sprintf(`{"name":"new","role":"operator","hash":%q}`, bundler.HashKey("new"))
	assert.Equal(t, leader.do(t, "signer", http.MethodPost, "/keys", []byte(key), nil), http.StatusOK)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		path := map[string]string{http.MethodGet: "/verdicts", http.MethodPost: "/failureDomains/a/out"}[method]
		assert.Equal(t, lagging.do(t, "new", method, path, nil, nil), http.StatusServiceUnavailable, method)
	}
	lagging.setPartitioned(false)
	eventually(t, "the key is known", func() bool {
		return lagging.do(t, "new", http.MethodPost, "/failureDomains/a/out", nil, nil) == http.StatusOK
	})
	assert.Equal(t, lagging.do(t, "wrong", http.MethodPost, "/failureDomains/a/out", nil, nil), http.StatusUnauthorized)
}
