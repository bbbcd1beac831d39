package control

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/applier"
	"cactusroute.dev/core/bundler"
)

// do sends a request to the administration API and decodes the response into v.
func (c *testControl) do(t assert.TestingT, key, method, path string, body []byte, v any) int {
	r, err := http.NewRequest(method, c.url+"/admin/v1"+path, bytes.NewReader(body))
	assert.NilError(t, err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	if v != nil {
		assert.NilError(t, json.Unmarshal(data, v), "%s", data)
	}
	return resp.StatusCode
}

func encodeBundle(t assert.TestingT, b *bundler.Bundle) []byte {
	data, err := bundler.EncodeCanonical(b)
	assert.NilError(t, err)
	return data
}

func signDigest(digest string) []byte {
	b, err := json.Marshal(signatureRequest{Signature: ed25519.Sign(signerKey, applier.SignedMessage(digest))})
	if err != nil {
		panic(err)
	}
	return b
}

type errorResponse struct {
	Error APIError `json:"error"`
}

// Guards against an unsigned bundle in force, a rollout of a lower version, and a conflict response that does not
// contain the stored bundle.
func TestAdminBundles(t *testing.T) {
	c := startGroup(t, 2, testBundle(1, 0))[1]
	draft := testBundle(2, 0)
	draft.Workspaces[0].Weight = 5
	var got bundleResponse
	assert.Equal(t, c.do(t, "op", "POST", "/bundles?check=true", encodeBundle(t, draft), &got), http.StatusOK)
	assert.Equal(t, len(got.Differences), 1)
	assert.Equal(t, c.do(t, "op", "GET", "/bundles/2", nil, nil), http.StatusNotFound)
	assert.Equal(t, c.do(t, "op", "POST", "/bundles", encodeBundle(t, draft), &got), http.StatusOK)
	withComment := append([]byte("// again\n"), encodeBundle(t, draft)...)
	assert.Equal(t, c.do(t, "op2", "POST", "/bundles", withComment, nil), http.StatusOK)
	var refused errorResponse
	assert.Equal(t, c.do(t, "op2", "POST", "/bundles", encodeBundle(t, testBundle(2, 1)), &refused), http.StatusConflict)
	assert.Equal(t, refused.Error.Bundle.Digest, got.Bundle.Digest)
	assert.Equal(t, refused.Error.Bundle.Author, "op")
	assert.Equal(t, c.do(t, "op", "POST", "/bundles/2/rollout", nil, nil), http.StatusConflict)
	const path = "/bundles/2/signatures"
	sig := signDigest(got.Bundle.Digest)
	assert.Equal(t, c.do(t, "op", "POST", path, sig, nil), http.StatusForbidden)
	assert.Equal(t, c.do(t, "signer", "POST", path, signDigest("x"), nil), http.StatusUnprocessableEntity)
	assert.Equal(t, c.do(t, "signer", "POST", path, sig, nil), http.StatusOK)
	assert.Equal(t, c.do(t, "op", "POST", "/bundles/2/rollout", nil, nil), http.StatusOK)
	assert.Equal(t, c.do(t, "op", "POST", "/bundles/2/rollout", nil, nil), http.StatusOK)
	assert.Equal(t, c.do(t, "op", "POST", "/bundles/1/rollout", nil, nil), http.StatusConflict)
	assert.Equal(t, c.do(t, "op", "POST", "/bundles/1/restore", nil, &got), http.StatusOK)
	assert.Equal(t, got.Bundle.Version, uint64(3))
	var diff listResponse[bundler.Difference]
	assert.Equal(t, c.do(t, "reader", "GET", "/bundles/2/diff/3", nil, &diff), http.StatusOK)
	assert.Equal(t, diff.Items[0].Name, "wool")
	bad := strings.Replace(string(encodeBundle(t, testBundle(4, 0))), `"weight":1`, `"wieght":1`, 1)
	assert.Equal(t, c.do(t, "op", "POST", "/bundles", []byte(bad), &refused), http.StatusUnprocessableEntity)
	assert.Assert(t, strings.Contains(refused.Error.Details[0], "/workspaces/0/wieght"), refused.Error.Details)
}

// Guards against access without a key, beyond the role of the key, after its revocation, and to another team's
// workspaces.
func TestAdminAccess(t *testing.T) {
	c := startGroup(t, 1, testBundle(1, 0))[0]
	otherTeam, ownTeam := testBundle(2, 0), testBundle(3, 0)
	otherTeam.Workspaces[1].Weight, ownTeam.Workspaces[0].Weight = 9, 9
	agent, _ := startClient(t, "e", subscriber.RoleAgent, c)
	eventually(t, "incarnation", func() bool { return agent.Incarnation() > 0 })
	for _, w := range []string{"wool", "yarn"} {
		_, err := agent.Claim(t.Context(), subscriber.Claim{
			Operation: w, Digest: "d", Endpoint: "e", Incarnation: agent.Incarnation(), Workspace: w,
		})
		assert.NilError(t, err)
	}
	key := fmt.Sprintf(`{"name":"new","role":"reader","hash":%q}`, bundler.HashKey("new"))
	demoted := fmt.Sprintf(`{"name":"signer","role":"reader","hash":%q,"replaces":1}`, bundler.HashKey("signer"))
	for _, tc := range []struct {
		key, method, path, body string
		want                    int
	}{
		{"", "GET", "/status", "", 401},
		{"wrong", "GET", "/status", "", 401},
		{"reader", "GET", "/status", "", 200},
		{"reader", "GET", "/processes", "", 200},
		{"reader", "POST", "/failureDomains/a/out", "", 403},
		{"op", "POST", "/failureDomains/a/out", "", 200},
		{"op", "POST", "/failureDomains/a/out", "", 200},
		{"op", "POST", "/failureDomains/a/sideways", "", 404},
		{"op", "POST", "/failureDomains/z/out", "", 404},
		{"op", "POST", "/endpoints/e/out", "", 200},
		{"woolop", "POST", "/endpoints/e/in", "", 403},
		{"op", "GET", "/keys", "", 403},
		{"signer", "GET", "/keys", "", 200},
		{"signer", "POST", "/keys", key, 200},
		{"new", "GET", "/verdicts", "", 200},
		{"signer", "DELETE", "/keys/new", "", 200},
		{"new", "GET", "/verdicts", "", 401},
		{"signer", "DELETE", "/keys/signer", "", 409},
		{"signer", "POST", "/keys", demoted, 409},
		{"op", "DELETE", "/verdicts/f", "", 200},
		{"woolop", "POST", "/bundles?check=true", string(encodeBundle(t, otherTeam)), 403},
		{"woolop", "POST", "/bundles", string(encodeBundle(t, otherTeam)), 403},
		{"woolop", "POST", "/bundles", string(encodeBundle(t, ownTeam)), 200},
		{"woolop", "GET", "/operations/wool", "", 200},
		{"woolop", "GET", "/operations/yarn", "", 404},
		{"woolop", "POST", "/operations/yarn/resolve", `{"notRun":true}`, 404},
		{"op", "POST", "/operations/yarn/resolve", `{"notRun":true}`, 409},
		{"op", "POST", "/operations/yarn/resolve", `{"status":1}`, 422},
		{"op", "POST", "/members/x/remove", "", 409},
		{"reader", "GET", "/members", "", 200},
	} {
		got := c.do(t, tc.key, tc.method, tc.path, []byte(tc.body), nil)
		assert.Equal(t, got, tc.want, "%s %s %s", tc.key, tc.method, tc.path)
	}
	var seen bundleResponse
	assert.Equal(t, c.do(t, "woolop", "GET", "/bundles/1", nil, &seen), http.StatusOK)
	assert.Equal(t, len(seen.Content.Workspaces), 1)
	var audit listResponse[applier.AuditRecord]
	assert.Equal(t, c.do(t, "woolop", "GET", "/audit", nil, &audit), http.StatusOK)
	assert.Equal(t, len(audit.Items), 1)
	assert.Equal(t, audit.Items[0].Actor, "woolop")
}

type rolloutInput struct {
	read    bool
	version uint64
}

// Guards against responses of the administration API that are not linearizable when operators roll out equal and
// different versions at two instances while others read the version in force there.
func TestAdminHistoryIsLinearizable(t *testing.T) {
	cs := startGroup(t, 2, testBundle(1, 0))
	for n := uint64(2); n < 12; n++ {
		var got bundleResponse
		assert.Equal(t, cs[0].do(t, "op", "POST", "/bundles", encodeBundle(t, testBundle(n, 0)), &got), http.StatusOK)
		path := fmt.Sprintf("/bundles/%d/signatures", n)
		assert.Equal(t, cs[0].do(t, "signer", "POST", path, signDigest(got.Bundle.Digest), nil), http.StatusOK)
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	var wg sync.WaitGroup
	for client := range 6 {
		wg.Go(func() {
			for i := range 10 {
				in := rolloutInput{read: client > 3, version: uint64(2 + (i*(client+1))%10)}
				calledAt := time.Since(start)
				var out uint64
				if in.read {
					var s statusResponse
					cs[client%2].do(t, "reader", "GET", "/status", nil, &s)
					out = s.BundleVersion
				} else {
					out = uint64(cs[client%2].do(t, "op", "POST", fmt.Sprintf("/bundles/%d/rollout", in.version), nil, nil))
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: in, Call: int64(calledAt), Output: out, Return: int64(time.Since(start)),
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	model := porcupine.Model{
		Init: func() any { return uint64(1) },
		Step: func(state, input, output any) (bool, any) {
			now, in, out := state.(uint64), input.(rolloutInput), output.(uint64)
			switch {
			case in.read:
				return out == now, now
			case in.version < now:
				return out == http.StatusConflict, now
			default:
				return out == http.StatusOK, in.version
			}
		},
	}
	assert.Assert(t, porcupine.CheckOperations(model, history))
}

// Guards against accepting settings with which an instance cannot run.
func TestSettingsCheck(t *testing.T) {
	good := func() Settings {
		s := Settings{Listen: "127.0.0.1:1", DataDir: "data", Peers: []Peer{{Name: "c1", Address: "h:1"}}}
		s.Place.Name, s.Place.Region, s.Place.FailureDomain = "c0", "r", "a"
		s.BootstrapKeys = []BootstrapKey{{Name: "op", Role: "operator", Hash: bundler.HashKey("x")}}
		return s
	}
	for _, tc := range []struct {
		change func(s *Settings)
		want   string
	}{
		{func(*Settings) {}, ""},
		{func(s *Settings) { s.Place.Region = "" }, `"place/region"`},
		{func(s *Settings) { s.DataDir = "" }, `"dataDir"`},
		{func(s *Settings) { s.DataDir, s.Peers = "", nil }, ""},
		{func(s *Settings) { s.Listen = "nowhere" }, `"listen"`},
		{func(s *Settings) { s.Peers[0].Name = "c0" }, `"peers/0/name"`},
		{func(s *Settings) { s.Peers[0].Address = "" }, `"peers/0/address"`},
		{func(s *Settings) { s.LoadPermits = -1 }, `"loadPermits"`},
		{func(s *Settings) { s.BootstrapKeys[0].Hash = "x" }, `"bootstrapKeys/0/hash"`},
		{func(s *Settings) { s.BootstrapKeys[0].Role = "root" }, "reader, operator, signer"},
		{func(s *Settings) { s.BootstrapKeys[0].PublicKey = "00" }, `"bootstrapKeys/0/publicKey"`},
	} {
		s := good()
		tc.change(&s)
		if err := s.Check(); tc.want == "" {
			assert.NilError(t, err)
		} else {
			assert.ErrorContains(t, err, tc.want)
		}
	}
}

// Guards against an administration command that an instance carries out although its sender has gone on to another
// instance, where the command and its opposite may have been acknowledged meanwhile.
func TestCommandOfASenderThatHasLeftIsDropped(t *testing.T) {
	t.Parallel()
	rs := startReplicas(t, 3, testBundle(1, 0))
	announceEndpoint(t, rs[0].Control)
	for _, path := range []string{"/failureDomains/a/out", "/endpoints/e/out"} {
		assert.Equal(t, rs[0].do(t, "op", "POST", path, nil, nil), http.StatusOK)
	}
	members := func(r *replica) int { return len(r.committer.Status().Members) }
	before := members(rs[0])
	for range 4 {
		for _, r := range rs {
			for _, c := range []struct{ key, method, path string }{
				{"op", "POST", "/failureDomains/a/in"}, {"op", "POST", "/endpoints/e/in"}, {"signer", "DELETE", "/keys/op2"},
				{"op", "POST", "/members/c1/remove"},
			} {
				ctx, cancel := context.WithCancel(t.Context())
				cancel()
				req := httptest.NewRequestWithContext(ctx, c.method, "/admin/v1"+c.path, nil)
				req.Header.Set("Authorization", "Bearer "+c.key)
				w := httptest.NewRecorder()
				r.Handler().ServeHTTP(w, req)
				assert.Equal(t, w.Code, http.StatusServiceUnavailable, "%s: %s", c.path, w.Body)
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, r := range rs {
		v := r.state.View()
		assert.Assert(t, v.FailureDomains["a"].OutOfService && v.Endpoints["e"].OutOfService)
		assert.Equal(t, members(r), before)
		assert.Equal(t, r.do(t, "op2", "GET", "/status", nil, nil), http.StatusOK)
	}
	for _, path := range []string{"/failureDomains/a/in", "/endpoints/e/in"} {
		assert.Equal(t, rs[1].do(t, "op", "POST", path, nil, nil), http.StatusOK)
	}
}

// Guards against an order that an instance proposes after it has stood still, and that undoes one which was
// acknowledged by another instance meanwhile.
func TestOrderThatWasHeldUpUndoesNothing(t *testing.T) {
	list := startGroup(t, 2, testBundle(1, 0))
	held, other := list[0], list[1]
	announceEndpoint(t, held.Control)
	for _, target := range []string{"/failureDomains/a/", "/endpoints/e/"} {
		order := func(c *testControl, state string) int { return c.do(t, "op", "POST", target+state, nil, nil) }
		assert.Equal(t, order(other, "out"), http.StatusOK)
		held.member.group.mu.Lock()
		held.member.beforePropose = func() {
			assert.Equal(t, order(other, "in"), http.StatusOK)
			assert.Equal(t, order(other, "out"), http.StatusOK)
		}
		held.member.group.mu.Unlock()
		assert.Equal(t, order(held, "in"), http.StatusConflict)
		for _, c := range list {
			v := c.state.View()
			assert.Assert(t, target == "/endpoints/e/" && v.Endpoints["e"].OutOfService || v.FailureDomains["a"].OutOfService)
		}
		assert.Equal(t, order(held, "in"), http.StatusOK)
	}
}
