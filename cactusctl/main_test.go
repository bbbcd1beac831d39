package main

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"cactusroute.dev/adapters/recorder"
	"cactusroute.dev/core/applier"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/timestamper"
)

const testKey = "key-that-must-not-be-printed"

// dropConnection makes a fake control instance close the connection without a response.
const dropConnection = -1

// fakeControl serves the administration API; respond returns the status and body for the n-th call, from 0.
type fakeControl struct {
	*httptest.Server
	mu      sync.Mutex
	calls   []string
	respond func(call string, n int) (status int, body string)
}

func newFakeControl(t *testing.T, respond func(call string, n int) (int, string)) *fakeControl {
	f := &fakeControl{respond: respond}
	f.Server = httptest.NewServer(f)
	t.Cleanup(f.Close)
	return f
}

func (f *fakeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	call := r.Method + " " + r.URL.Path
	n := f.count(call)
	f.calls = append(f.calls, call)
	status, body := f.respond(call, n)
	f.mu.Unlock()
	if status == dropConnection {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprint(w, body)
}

func (f *fakeControl) count(call string) (n int) {
	for _, c := range f.calls {
		if c == call {
			n++
		}
	}
	return n
}

// testInput is the standard input of all commands.
const testInput = "ts=2026-12-04T07:00:00Z process=piped msg=started\n"

type result struct {
	code           int
	stdout, stderr string
}

func runWith(ctx context.Context, t *testing.T, control string, args ...string) result {
	t.Helper()
	for _, kv := range os.Environ() {
		if name, _, _ := strings.Cut(kv, "="); strings.HasPrefix(name, "CACTUSCTL_") {
			t.Setenv(name, "") // settings of the developer must not affect the tests
		}
	}
	t.Setenv(keyVariable, testKey)
	var out, errs bytes.Buffer
	a := &app{
		stdin: strings.NewReader(testInput), stdout: &out, stderr: &errs, pollInterval: 5 * time.Millisecond,
		minDrainTime: time.Millisecond, roundDelay: time.Millisecond,
	}
	code := a.run(ctx, append([]string{"cactusctl", "--control", control}, args...))
	r := result{code: code, stdout: out.String(), stderr: errs.String()}
	assert.Assert(t, !strings.Contains(r.stdout+r.stderr, testKey))
	return r
}

func run(t *testing.T, control string, args ...string) result {
	t.Helper()
	return runWith(t.Context(), t, control, args...)
}

func errorResponse(code string) string {
	return fmt.Sprintf(`{"error":{"code":%q,"message":"m"}}`, code)
}

const unreachableAddress = "127.0.0.1:1" // nothing listens on the tcpmux port

// Guards against exit codes that differ from the documented ones, which scripts depend on.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string, mode os.FileMode) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), mode))
		return path
	}
	invalid := file("bad.json", "{\n\"version\": 1,\n\"pool\": []}", 0o600)
	readableKey := file("open.key", testKey, 0o644)
	for _, c := range []struct {
		status int
		body   string
		args   string
		code   int
		stderr string
	}{
		{200, `{"items":[]}`, "verdict list", exitOK, ""},
		{403, errorResponse("forbidden"), "verdict list", exitFailed, "forbidden"},
		{404, errorResponse("not-found"), "operation show x", exitFailed, "not-found"},
		{409, errorResponse("conflict"), "bundle rollout 2", exitConflict, "conflict"},
		{409, errorResponse("conflict"), "bundle rollout 2 -o json", exitConflict, `"exitCode":4`},
		{503, errorResponse("no-quorum"), "endpoint out e", exitUnreachable, "may or may not"},
		{503, errorResponse("no-quorum"), "status", exitUnreachable, "no-quorum"},
		{302, "", "status", exitFailed, "302"},
		{200, "{", "status", exitUnreachable, "not JSON"},
		{0, "", "bundle check " + invalid, exitFailed, invalid + ":3: field \"/pool\": unknown field; allowed: version,"},
		{0, "", "bundle check " + dir + "/none", exitUsage, "no such file"},
		{0, "", "bundle rollout x", exitUsage, "allowed: a bundle version"},
		{0, "", "bundle", exitUsage, "allowed: check, preview"},
		{0, "", "nonsense", exitUsage, "nonsense"},
		{0, "", "status --nonsense", exitUsage, "nonsense"},
		{0, "", "status extra", exitUsage, "allowed: none"},
		{0, "", "status -o xml", exitUsage, "allowed: table, json"},
		{0, "", "operation resolve x", exitUsage, "either --not-run"},
		{0, "", "status --config " + invalid, exitUsage, invalid + ":2: field"},
		{0, "", "status --operator-key-file " + readableKey, exitUsage, "allowed: 0600"},
	} {
		f := newFakeControl(t, func(string, int) (int, string) { return c.status, c.body })
		r := run(t, f.URL, strings.Fields(c.args)...)
		assert.Equal(t, r.code, c.code, "%s: %s", c.args, r.stderr)
		assert.Assert(t, cmp.Contains(r.stderr, c.stderr), c.args)
		if c.status == 0 {
			assert.Equal(t, len(f.calls), 0, c.args)
		}
	}
	assert.Equal(t, run(t, unreachableAddress, "status").code, exitUnreachable)
	r := run(t, unreachableAddress, "endpoint", "out", "e")
	assert.Assert(t, !strings.Contains(r.stderr, "may or may not"), "no request was sent")
}

// Guards against a command that fails although one of several control instances is available.
func TestNextAddressIsTried(t *testing.T) {
	withoutQuorum := newFakeControl(t, func(string, int) (int, string) { return 503, errorResponse("no-quorum") })
	available := newFakeControl(t, func(string, int) (int, string) { return 200, `{"items":[]}` })
	r := run(t, unreachableAddress, "--control", withoutQuorum.URL, "--control", available.URL, "verdict", "list")
	assert.Equal(t, r.code, exitOK, r.stderr)
}

func bundleResponse(version uint64, fields string) string {
	return fmt.Sprintf(`{"bundle":{"version":%d,"digest":"d","author":"a"%s}}`, version, fields)
}

// Guards against a write that is reported as failed or sent twice because its first response was lost, also if another
// operator has made a change in between.
func TestOutcomeIsReadAfterLostResponse(t *testing.T) {
	const status = `{"failureDomains":[{"name":"d","outOfService":%t}]}`
	for _, c := range []struct {
		args, write, read string
		before, after     string // responses to read before and after the first write
		secondStatus      int    // status of the second write
		writes, code      int
	}{
		{
			"bundle rollout 2", "POST /admin/v1/bundles/2/rollout", "GET /admin/v1/bundles/2",
			bundleResponse(2, ""), bundleResponse(2, `,"rolledOut":5`), 409, 1, exitOK,
		},
		{ // the first write did not commit, and the second one is refused because version 3 was rolled out first
			"bundle rollout 2", "POST /admin/v1/bundles/2/rollout", "GET /admin/v1/bundles/2",
			bundleResponse(2, ""), bundleResponse(2, ""), 409, 2, exitConflict,
		},
		{
			"bundle restore 1", "POST /admin/v1/bundles/1/restore", "GET /admin/v1/bundles",
			`{"items":[{"version":4,"restoredFrom":1}]}`,
			`{"items":[{"version":4,"restoredFrom":1},{"version":5,"restoredFrom":1},{"version":6}]}`, 200, 1, exitOK,
		},
		{
			"failure-domain out d", "POST /admin/v1/failureDomains/d/out", "GET /admin/v1/status",
			fmt.Sprintf(status, false), fmt.Sprintf(status, true), 200, 1, exitOK,
		},
		{ // another operator has returned it to service: the write is sent again
			"failure-domain out d", "POST /admin/v1/failureDomains/d/out", "GET /admin/v1/status",
			fmt.Sprintf(status, false), fmt.Sprintf(status, false), 200, 2, exitOK,
		},
		{
			"operation resolve o --not-run", "POST /admin/v1/operations/o/resolve", "GET /admin/v1/operations/o",
			`{"state":"unknown"}`, `{"state":"released","resolvedBy":"a"}`, 409, 1, exitOK,
		},
		{ // another operator has recorded a different outcome
			"operation resolve o --not-run", "POST /admin/v1/operations/o/resolve", "GET /admin/v1/operations/o",
			`{"state":"unknown"}`, `{"state":"done","resolvedBy":"b","answer":{"status":200}}`, 409, 2, exitConflict,
		},
		{
			"key revoke k", "DELETE /admin/v1/keys/k", "GET /admin/v1/keys",
			`{"items":[{"name":"k"}]}`, `{"items":[{"name":"k","revoked":true}]}`, 200, 1, exitOK,
		},
		{
			"member promote c", "POST /admin/v1/members/c/promote", "GET /admin/v1/members",
			`{"members":[{"name":"c","learner":true}]}`, `{"members":[{"name":"c"}]}`, 409, 1, exitOK,
		},
		{
			"verdict clear v", "DELETE /admin/v1/verdicts/v", "GET /admin/v1/verdicts",
			`{"items":[{"fingerprint":"v"}]}`, `{"items":[]}`, 200, 1, exitOK,
		},
	} {
		written := false
		f := newFakeControl(t, func(call string, n int) (int, string) {
			switch {
			case call == c.read && written:
				return 200, c.after
			case call == c.read:
				return 200, c.before
			case call == c.write && n == 0:
				written = true
				return dropConnection, ""
			case call == c.write && c.secondStatus == 200:
				return 200, `{}`
			case call == c.write:
				return c.secondStatus, errorResponse("conflict")
			}
			return 404, errorResponse("not-found")
		})
		r := run(t, f.URL, strings.Fields(c.args)...)
		assert.Equal(t, r.code, c.code, "%s: %s", c.args, r.stderr)
		assert.Equal(t, f.count(c.write), c.writes, c.args)
	}
}

// Guards against a wait that ends early, never ends, or does not report what it waits for.
func TestWait(t *testing.T) {
	drain := func(inFlight int) string {
		return fmt.Sprintf(`{"index":9,"failureDomains":[{"name":"d","outOfService":true,"inFlight":%d}],
			"endpoints":[{"name":"e","failureDomain":"d","lost":%t,"inFlight":%d}]}`, inFlight, inFlight > 0, inFlight)
	}
	processes := func(versions ...int) string {
		items := make([]string, 0, len(versions))
		for i, v := range versions {
			items = append(items, fmt.Sprintf(`{"name":"p%d","bundleVersion":%d}`, i, v))
		}
		return `{"items":[` + strings.Join(items, ",") + `]}`
	}
	for _, c := range []struct {
		args, read string
		responses  []string // the last one is repeated
		code       int
		stderr     string
	}{
		{"failure-domain out d", statusPath, []string{drain(3), drain(1), drain(0)}, exitOK, "1 requests in flight"},
		{"failure-domain out d", statusPath, []string{drain(3)}, exitTimeout, "3 requests in flight; lost endpoints: e"},
		{"bundle rollout 2", processesPath, []string{processes(1, 2), "", processes(2, 3)}, exitOK, "1 of 2 processes"},
		{"bundle rollout 2", processesPath, []string{processes(2, 1, 1)}, exitTimeout, "laggards: p1, p2"},
	} {
		f := newFakeControl(t, func(call string, n int) (int, string) {
			switch {
			case call != "GET "+c.read:
				return 200, bundleResponse(2, "")
			case c.responses[min(n, len(c.responses)-1)] == "":
				return dropConnection, "" // an election must not end the wait
			}
			return 200, c.responses[min(n, len(c.responses)-1)]
		})
		deadline := "1s"
		if c.code == exitOK {
			deadline = "1m"
		}
		r := run(t, f.URL, append(strings.Fields(c.args), "--wait", "--deadline", deadline)...)
		assert.Equal(t, r.code, c.code, "%s: %s", c.args, r.stderr)
		assert.Assert(t, cmp.Contains(r.stderr, c.stderr), c.args)
	}
}

// newFakeProcess serves the timeline of one process and returns its address.
func newFakeProcess(t *testing.T, events func(query string) []recorder.Event) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p := recorder.Page{Next: "i.9", Events: []recorder.Event{}}
		if r.URL.Query().Get("after") == "" {
			p.Events = events(r.URL.RawQuery)
		}
		if r.Header.Get("Authorization") != "" {
			t.Error("the operator key was sent to a process")
		}
		_ = json.NewEncoder(w).Encode(p)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func newEvent(process string, millis int64, count uint32, kind string) recorder.Event {
	return recorder.Event{
		Process: process, Incarnation: process, Stamp: timestamper.Timestamp{Millis: millis, Count: count}, Kind: kind,
	}
}

func newFakeFleet(t *testing.T, addresses ...string) *fakeControl {
	items := make([]string, 0, len(addresses))
	for i, a := range addresses {
		items = append(items, fmt.Sprintf(`{"name":"p%d","address":%q}`, i, a))
	}
	return newFakeControl(t, func(call string, _ int) (int, string) {
		if call == "GET "+recorder.Path {
			return 200, `{"next":"c.0","events":[]}`
		}
		return 200, `{"items":[` + strings.Join(items, ",") + `]}`
	})
}

// Guards against effects that are shown before their causes when clocks differ, an event that is shown twice, a filter
// that is not sent to the processes, and an unreachable process that fails the command or is not reported.
func TestTimelineIsInCausalOrder(t *testing.T) {
	// The wall clock of the agent is a minute behind; the router's message advances its logical clock.
	router := newFakeProcess(t, func(string) []recorder.Event {
		return []recorder.Event{newEvent("router", 60_000, 0, "sent"), newEvent("router", 60_000, 4, "answered")}
	})
	queries := make(chan string, 100)
	agent := newFakeProcess(t, func(q string) []recorder.Event {
		queries <- q
		return []recorder.Event{newEvent("agent", 1000, 0, "started"), newEvent("agent", 60_000, 2, "accepted")}
	})
	f := newFakeFleet(t, agent, router, strings.Replace(agent, "127.0.0.1", "localhost", 1), unreachableAddress)
	r := run(t, f.URL, "timeline", "-o", "json", "--request", "r1", "--failure-domain", "d1", "--version", "7")
	assert.Equal(t, r.code, exitOK, r.stderr)
	var got mergedTimeline
	assert.NilError(t, json.Unmarshal([]byte(r.stdout), &got))
	kinds := make([]string, 0, len(got.Events))
	for _, e := range got.Events {
		kinds = append(kinds, e.Kind)
	}
	assert.DeepEqual(t, kinds, []string{"started", "sent", "accepted", "answered"})
	assert.Equal(t, len(got.Unreachable), 1)
	assert.Assert(t, cmp.Contains(got.Unreachable[0], "p3 ("+unreachableAddress+")"))
	assert.Assert(t, cmp.Contains(<-queries, "failureDomain=d1&request=r1&version=7"))
}

// Guards against logs that can't be merged without a fleet, and against lines that are skipped without a warning.
func TestTimelineOfLogs(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	router := write("router.log",
		"ts=2026-12-04T07:00:00.000300000Z process=edge msg=\"request refused\" request=r1 status=503\n"+
			"ts=2026-12-04T07:00:00.000100000Z process=edge msg=\"endpoint unresponsive\" request=r1 endpoint=e1@a:1#2.3\n")
	other := write("other.log",
		"ts=2026-12-04T07:00:00.000200000Z process=hub msg=\"request retried\" request=r1\nnoise\n"+
			"ts=2026-12-04T07:00:00.000200000Z process=hub msg=\"request served\" request=r2\n")
	r := run(t, "", "timeline", "-o", "json", "--log", router, "--log", other, "--request", "r1")
	assert.Equal(t, r.code, exitOK, r.stderr)
	var got mergedTimeline
	assert.NilError(t, json.Unmarshal([]byte(r.stdout), &got))
	kinds := make([]string, 0, len(got.Events))
	for _, e := range got.Events {
		kinds = append(kinds, e.Process+" "+e.Kind)
	}
	assert.DeepEqual(t, kinds, []string{"edge endpoint unresponsive", "hub request retried", "edge request refused"})
	assert.Assert(t, cmp.Contains(r.stderr, "other.log: skipped 1 lines"))
	assert.Equal(t, run(t, "", "timeline", "--log", filepath.Join(dir, "none")).code, exitUsage)
	assert.Equal(t, run(t, "", "timeline", "--log", router, "--follow").code, exitUsage)
	assert.Assert(t, cmp.Contains(run(t, "", "timeline", "--log", "-").stdout, "piped"))
}

// Guards against --follow that prints an effect before a cause that is read one round later, or that does not end.
func TestFollowPrintsCausesFirst(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	early := httptest.NewServer(nil)
	t.Cleanup(early.Close)
	reads := 0
	early.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reads++
		p := recorder.Page{Next: fmt.Sprintf("i.%d", reads), Events: []recorder.Event{}}
		if reads == 2 { // the cause occurs after the first round has read this process
			p.Events = append(p.Events, newEvent("early", 50, 0, "cause"))
		}
		_ = json.NewEncoder(w).Encode(p)
		if reads == 6 {
			cancel()
		}
	})
	late := newFakeProcess(t, func(string) []recorder.Event { return []recorder.Event{newEvent("late", 50, 1, "effect")} })
	f := newFakeFleet(t, strings.TrimPrefix(early.URL, "http://"), late)
	r := runWith(ctx, t, f.URL, "timeline", "--follow")
	assert.Equal(t, r.code, exitOK, r.stderr)
	lines := strings.Split(strings.TrimSpace(r.stdout), "\n")
	assert.Equal(t, len(lines), 2, r.stdout)
	assert.Assert(t, cmp.Contains(lines[0], "cause"))
}

// Guards against a signature for content that the signer has not seen, and against key files that are overwritten or
// readable by other users.
func TestSigningAndKeyFiles(t *testing.T) {
	dir := t.TempDir()
	key := filepath.Join(dir, "key.pem")
	assert.Equal(t, run(t, unreachableAddress, "key", "generate", key).code, exitOK)
	before, err := os.ReadFile(key)
	assert.NilError(t, err)
	info, err := os.Stat(key)
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
	assert.Equal(t, run(t, unreachableAddress, "key", "generate", "--bearer", key).code, exitFailed)
	after, err := os.ReadFile(key)
	assert.NilError(t, err)
	assert.DeepEqual(t, after, before)
	content, err := bundler.EncodeCanonical(&bundler.Bundle{Version: 2})
	assert.NilError(t, err)
	for digest, code := range map[string]int{bundler.Digest(content): exitOK, "of-other-content": exitFailed} {
		rec, err := json.Marshal(applier.BundleRecord{Version: 2, Digest: digest})
		assert.NilError(t, err)
		f := newFakeControl(t, func(string, int) (int, string) {
			return 200, fmt.Sprintf(`{"bundle":%s,"content":%s}`, rec, content)
		})
		r := run(t, f.URL, "bundle", "sign", "2", "--signing-key", key)
		assert.Equal(t, r.code, code, r.stderr)
		assert.Equal(t, f.count("POST /admin/v1/bundles/2/signatures") == 1, code == exitOK)
	}
}

// otherCA is the certificate of a CA that has not signed the server's certificate.
const otherCA = `-----BEGIN CERTIFICATE-----
MIIBezCCASGgAwIBAgIUEsVs60Lwhu3GOZCJXemEwJpo2ZowCgYIKoZIzj0EAwIw
EzERMA8GA1UEAwwIZmxlZXQgY2EwHhcNMjYxMjA0MDQzMTIwWhcNMjcwMTAzMDQz
MTIwWjATMREwDwYDVQQDDAhmbGVldCBjYTBZMBMGByqGSM49AgEGCCqGSM49AwEH
A0IABPqN9LcklXJsgTr/xGVw3HiTGckE5e2V1RmVUEje6cxr6X6jGslLenBQJaRm
lC0dqGt8XmcyuHwiQFy9SrsY1JijUzBRMB0GA1UdDgQWBBSX4RGn4gaWKyys98WO
HD6yIcaezTAfBgNVHSMEGDAWgBSX4RGn4gaWKyys98WOHD6yIcaezTAPBgNVHRMB
Af8EBTADAQH/MAoGCCqGSM49BAMCA0gAMEUCIQCGIj+wi7fFCwRlerQHJpScFXc4
TyxZENmtTKKBYyRiOQIgP5c/MVBtsurafKD7S35jQB+ipvUi1WIpCGqIOmkHyZQ=
-----END CERTIFICATE-----`

const routerOperationID = "f8c8a4eb6ce931fa984213bfd758690631164d1e1968b7d16c5374b253d11dc1"

// Guards against a key that is sent to a server with a certificate of another CA, and against the wrong precedence of
// flags over the settings file.
func TestTLSAndSettings(t *testing.T) {
	f := newFakeControl(t, func(string, int) (int, string) { return 200, `{"items":[]}` })
	s := httptest.NewTLSServer(f)
	t.Cleanup(s.Close)
	dir := t.TempDir()
	serverCAFile, otherCAFile := filepath.Join(dir, "own.crt"), filepath.Join(dir, "other.crt")
	serverCA := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw})
	assert.NilError(t, os.WriteFile(serverCAFile, serverCA, 0o600))
	assert.NilError(t, os.WriteFile(otherCAFile, []byte(otherCA), 0o600))
	config := filepath.Join(dir, "ctl.json")
	text := fmt.Sprintf("// Settings.\n{\"controls\": [\"nowhere:1\"], \"tls\": {\"caFile\": %q}}", otherCAFile)
	assert.NilError(t, os.WriteFile(config, []byte(text), 0o600))
	address := strings.TrimPrefix(s.URL, "https://")
	r := run(t, address, "verdict", "list", "--config", config, "--ca-file", serverCAFile)
	assert.Equal(t, r.code, exitOK, r.stderr)
	assert.Equal(t, len(f.calls), 1)
	r = run(t, address, "verdict", "list", "--config", config)
	assert.Equal(t, r.code, exitUnreachable, r.stderr)
	assert.Equal(t, len(f.calls), 1)
	r = run(t, address, "verdict", "list", "--ca-file", dir)
	assert.Equal(t, r.code, exitUsage, r.stderr)
}

// Guards against an operation id that differs from the router's, so that no claim would be found. The expected value is
// from the claim of a router for these three parts.
func TestOperationID(t *testing.T) {
	r := run(t, unreachableAddress, "operation", "id", "shop", "orders", "k-1")
	assert.Equal(t, strings.TrimSpace(r.stdout), routerOperationID)
}

// Guards against a shell completion that offers no commands of the given group.
func TestCompletion(t *testing.T) {
	defer func(args []string) { os.Args = args }(os.Args)
	for args, want := range map[string]string{"": "failure-domain", "bundle": "rollout", "key": "generate"} {
		words := append(strings.Fields(args), "--generate-shell-completion")
		os.Args = append([]string{"cactusctl"}, words...) // cli reads the word to complete from os.Args
		r := run(t, unreachableAddress, words...)
		assert.Equal(t, r.code, exitOK, r.stderr)
		assert.Assert(t, cmp.Contains(r.stdout, want), args)
	}
	assert.Assert(t, cmp.Contains(run(t, unreachableAddress, "completion", "bash").stdout, "cactusctl"))
}
