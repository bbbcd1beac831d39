package control

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cactusroute.dev/adapters/subscriber"
	"cactusroute.dev/core/applier"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/viewer"
)

const (
	maxBodyBytes = 1 << 20
	// maxBundleBodyBytes leaves room for comments, which the stored content does not include.
	maxBundleBodyBytes = 2 * applier.MaxBundleBytes
	maxAuditRecords    = 1000
	// confirmationTimeout limits how long a read waits for a quorum; an election takes less.
	confirmationTimeout      = time.Second
	confirmationPollInterval = 5 * time.Millisecond
	// staleHeader marks the response to a read that no quorum has confirmed and that may therefore be stale.
	staleHeader = "X-Cactusroute-Stale"
)

// APIError is an error of the administration API, as encoded in the response body.
type APIError struct {
	Status  int      `json:"-"`
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Details []string `json:"details,omitempty"`
	// Bundle is the stored bundle that the request conflicts with.
	Bundle *applier.BundleRecord `json:"bundle,omitempty"`
}

// Error returns the message.
func (e *APIError) Error() string { return e.Message }

// adminAPI serves the administration API. The state machine checks the roles of changes again, so that a key that is
// revoked before the command is applied is refused.
type adminAPI struct{ control *Control }

// adminCall is one authenticated request of the administration API.
type adminCall struct {
	r     *http.Request
	w     http.ResponseWriter
	key   *applier.Key
	query *applier.Query
	// confirmed is false if the response to a read may lack changes that were committed before the request.
	confirmed bool
}

type handler func(c *adminCall) (response any, err error)

func (a *adminAPI) routes(mux *http.ServeMux) {
	const reader, operator, signer = applier.RoleReader, applier.RoleOperator, applier.RoleSigner
	for _, r := range []struct {
		pattern string
		role    applier.KeyRole
		handle  handler
	}{
		{"GET /admin/v1/status", reader, a.getStatus},
		{"GET /admin/v1/processes", reader, a.listProcesses},
		{"POST /admin/v1/bundles", operator, a.postBundle},
		{"GET /admin/v1/bundles", reader, a.listBundles},
		{"GET /admin/v1/bundles/{version}", reader, a.getBundle},
		{"GET /admin/v1/bundles/{version}/diff/{other}", reader, a.diffBundles},
		{"POST /admin/v1/bundles/{version}/signatures", signer, a.postSignature},
		{"POST /admin/v1/bundles/{version}/rollout", operator, a.postRollout},
		{"POST /admin/v1/bundles/{version}/restore", operator, a.postRestore},
		{"POST /admin/v1/failureDomains/{name}/{state}", operator, a.postFailureDomain},
		{"POST /admin/v1/endpoints/{name}/{state}", operator, a.postEndpoint},
		{"GET /admin/v1/operations/{id}", reader, a.getOperation},
		{"POST /admin/v1/operations/{id}/resolve", operator, a.postResolution},
		{"GET /admin/v1/verdicts", reader, func(c *adminCall) (any, error) { return newListResponse(c.query.Verdicts()) }},
		{"DELETE /admin/v1/verdicts/{fingerprint}", operator, a.deleteVerdict},
		{"GET /admin/v1/keys", signer, a.listKeys},
		{"POST /admin/v1/keys", signer, a.postKey},
		{"DELETE /admin/v1/keys/{name}", signer, a.deleteKey},
		{"GET /admin/v1/audit", reader, a.listAudit},
		{"GET /admin/v1/members", reader, func(*adminCall) (any, error) { return a.control.committer.Status(), nil }},
		{"POST /admin/v1/members/{name}/{action}", operator, a.postMember},
	} {
		mux.Handle(r.pattern, a.httpHandler(r.role, r.handle))
	}
}

// listResponse is the response of all requests that list items.
type listResponse[T any] struct {
	Items []T `json:"items"`
}

func newListResponse[T any](items []T, err error) (any, error) {
	if items == nil {
		items = []T{}
	}
	return listResponse[T]{Items: items}, err
}

func (a *adminAPI) httpHandler(role applier.KeyRole, h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, err := a.serve(role, h, w, r)
		status := http.StatusOK
		if err != nil {
			e := toAPIError(err)
			status, response = e.Status, struct {
				Error *APIError `json:"error"`
			}{e}
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(response)
	})
}

func (a *adminAPI) serve(
	role applier.KeyRole, h handler, w http.ResponseWriter, r *http.Request,
) (response any, err error) {
	isConfirmed := r.Method != http.MethodGet || a.control.isConfirmed(r.Context(), time.Now())
	if !isConfirmed {
		w.Header().Set(staleHeader, "true")
	}
	c := &adminCall{r: r, w: w, confirmed: isConfirmed}
	if err := c.authorize(a.control, role); err != nil {
		if closeErr := c.closeQuery(); closeErr != nil {
			return nil, errors.Join(err, closeErr)
		}
		// The key or its role may have been committed and not be applied here yet.
		isReadConfirmed := r.Method == http.MethodGet && isConfirmed
		if !isReadConfirmed && !a.control.isConfirmed(r.Context(), time.Now()) {
			return nil, errNoQuorum
		}
		if err := c.authorize(a.control, role); err != nil {
			return nil, errors.Join(err, c.closeQuery())
		}
	}
	defer func() { err = errors.Join(err, c.closeQuery()) }()
	return h(c)
}

// authorize finds the key of the call in the state that is applied here, and checks its role.
func (c *adminCall) authorize(control *Control, role applier.KeyRole) (err error) {
	if c.query, err = control.state.query(); err != nil {
		return err
	}
	if c.key, err = authenticate(c.query, c.r); err == nil && !c.key.Role.Allows(role) {
		err = &APIError{
			Status: http.StatusForbidden, Code: "forbidden", Message: fmt.Sprintf("key %q lacks role %s", c.key.Name, role),
		}
	}
	return err
}

// closeQuery ends the read transaction unless it has already ended.
func (c *adminCall) closeQuery() (err error) {
	if c.query != nil {
		err = c.query.Close()
		c.query = nil
	}
	return err
}

func authenticate(q *applier.Query, r *http.Request) (*applier.Key, error) {
	bearer, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	keys, err := q.Keys()
	if err != nil {
		return nil, err
	}
	hash := bundler.HashKey(bearer)
	for i := range keys {
		if ok && bearer != "" && keys[i].Hash == hash && !keys[i].Revoked {
			return &keys[i], nil
		}
	}
	return nil, &APIError{
		Status: http.StatusUnauthorized, Code: "unauthorized", Message: "missing, unknown or revoked operator key",
	}
}

func toAPIError(err error) *APIError {
	var apiErr *APIError
	var refusal *applier.RefusalError
	var callErr *subscriber.CallError
	switch {
	case errors.As(err, &apiErr):
		return apiErr
	case errors.As(err, &refusal):
		status := map[applier.Code]int{
			applier.CodeForbidden: http.StatusForbidden, applier.CodeNotFound: http.StatusNotFound,
			applier.CodeConflict: http.StatusConflict,
		}[refusal.Code]
		if status == 0 {
			status = http.StatusUnprocessableEntity
		}
		return &APIError{Status: status, Code: string(refusal.Code), Message: refusal.Message}
	case errors.As(err, &callErr):
		return &APIError{Status: http.StatusServiceUnavailable, Code: callErr.Code, Message: callErr.Message}
	}
	return &APIError{Status: http.StatusInternalServerError, Code: "internal", Message: err.Error()}
}

// isConfirmed is awaitConfirmation with confirmationTimeout and without the index.
func (c *Control) isConfirmed(ctx context.Context, since time.Time) bool {
	_, ok := c.awaitConfirmation(ctx, since, confirmationTimeout)
	return ok
}

// awaitConfirmation returns once a quorum has confirmed that all entries committed before since are applied here, so
// that reads are linearizable, and the index of the last of them. ok is false after a timeout.
func (c *Control) awaitConfirmation(
	ctx context.Context, since time.Time, timeout time.Duration,
) (index uint64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	t := time.NewTicker(confirmationPollInterval)
	defer t.Stop()
	for {
		if index, at, ok := c.committer.Confirmed(); ok && !at.Before(since) {
			return index, true
		}
		select {
		case <-ctx.Done():
			return 0, false
		case <-t.C:
		}
	}
}

// propose commits an administration command. This process may have stood still before it read the command, while its
// sender went on to another instance: during a round of the quorum, a sender that has left is noticed.
func (a *adminAPI) propose(c *adminCall, cmd applier.Command) (applier.Result, error) {
	// Applying the proposal may have to wait for the end of all read transactions, so this one must end first.
	if err := c.closeQuery(); err != nil {
		return applier.Result{}, err
	}
	index, ok := a.control.awaitConfirmation(c.r.Context(), time.Now(), proposeTimeout)
	switch {
	case c.r.Context().Err() != nil:
		return applier.Result{}, errSenderLeft
	case !ok:
		return applier.Result{}, errNoQuorum
	case cmd.SetServiceState != nil:
		cmd.SetServiceState.After = &index
	}
	cmd.Actor = c.key.Name
	r, err := a.control.propose(c.r.Context(), cmd)
	if err != nil && r.Bundle != nil {
		e := toAPIError(err)
		e.Bundle = r.Bundle
		return r, e
	}
	return r, err
}

func (c *adminCall) readBody(limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &APIError{
			Status: http.StatusRequestEntityTooLarge, Code: "too-large",
			Message: fmt.Sprintf("body too large; allowed: at most %d bytes", limit),
		}
	case err != nil:
		return nil, &APIError{Status: http.StatusBadRequest, Code: "body", Message: "body not read: " + err.Error()}
	}
	return data, nil
}

// decodeBody decodes a JSON body and refuses unknown fields.
func (c *adminCall) decodeBody(v any) error {
	data, err := c.readBody(maxBodyBytes)
	if err != nil {
		return err
	}
	_, errs := bundler.Decode("body", data, v)
	return validationError(errs)
}

func validationError(errs []error) error {
	if len(errs) == 0 {
		return nil
	}
	e := &APIError{Status: http.StatusUnprocessableEntity, Code: "invalid", Message: errs[0].Error()}
	for _, err := range errs {
		e.Details = append(e.Details, err.Error())
	}
	return e
}

func (c *adminCall) bundleVersion(name string) (uint64, error) {
	n, err := strconv.ParseUint(c.r.PathValue(name), 10, 64)
	if err != nil {
		return 0, &APIError{
			Status: http.StatusUnprocessableEntity, Code: "invalid",
			Message: name + " is not a number; allowed: a bundle version",
		}
	}
	return n, nil
}

type bundleResponse struct {
	Bundle      *applier.BundleRecord `json:"bundle,omitempty"`
	Content     *bundler.Bundle       `json:"content,omitempty"`
	Differences []bundler.Difference  `json:"differences,omitempty"`
	Digest      string                `json:"digest,omitempty"`
	Index       uint64                `json:"index,omitempty"`
}

func (a *adminAPI) postBundle(c *adminCall) (any, error) {
	data, err := c.readBody(maxBundleBodyBytes)
	if err != nil {
		return nil, err
	}
	b, errs := bundler.Parse("bundle", data)
	if err := validationError(errs); err != nil {
		return nil, err
	}
	content, err := bundler.EncodeCanonical(b)
	if err != nil {
		return nil, err
	}
	if c.r.URL.Query().Get("check") == "true" {
		return a.checkBundle(c, b, bundler.Digest(content))
	}
	r, err := a.propose(c, applier.Command{PutBundle: &applier.PutBundle{Content: content}})
	return bundleResponse{Bundle: r.Bundle, Index: r.Index}, err
}

func (a *adminAPI) checkBundle(c *adminCall, b *bundler.Bundle, digest string) (any, error) {
	var inForce *bundler.Bundle
	if n := a.control.state.View().BundleVersion; n > 0 {
		var err error
		if _, inForce, err = c.query.Bundle(n); err != nil {
			return nil, err
		}
	}
	if c.key.Team != "" && !bundler.IsWithinTeam(bundler.Diff(inForce, b), c.key.Team) {
		return nil, &APIError{
			Status: http.StatusForbidden, Code: "forbidden",
			Message: fmt.Sprintf("team %s may change only its own workspaces", c.key.Team),
		}
	}
	return bundleResponse{Digest: digest, Differences: diffForTeam(c.key.Team, inForce, b)}, nil
}

// diffForTeam compares two bundles, limited to the workspaces of a team if one is given.
func diffForTeam(team string, from, to *bundler.Bundle) []bundler.Difference {
	if from == nil {
		from = &bundler.Bundle{}
	}
	return bundler.Diff(from.ForTeam(team), to.ForTeam(team))
}

func (a *adminAPI) listBundles(c *adminCall) (any, error) { return newListResponse(c.query.Bundles()) }

func (a *adminAPI) getBundle(c *adminCall) (any, error) {
	n, err := c.bundleVersion("version")
	if err != nil {
		return nil, err
	}
	r, b, err := c.query.Bundle(n)
	if err != nil {
		return nil, err
	}
	return bundleResponse{Bundle: r, Content: b.ForTeam(c.key.Team)}, nil
}

func (a *adminAPI) diffBundles(c *adminCall) (any, error) {
	var bundles [2]*bundler.Bundle
	for i, name := range []string{"version", "other"} {
		n, err := c.bundleVersion(name)
		if err != nil {
			return nil, err
		}
		if _, bundles[i], err = c.query.Bundle(n); err != nil {
			return nil, err
		}
	}
	return newListResponse(diffForTeam(c.key.Team, bundles[0], bundles[1]), nil)
}

type signatureRequest struct {
	// Signature is the ed25519 signature over applier.SignedMessage of the digest; base64 in JSON.
	Signature []byte `json:"signature"`
}

func (a *adminAPI) postSignature(c *adminCall) (any, error) {
	n, err := c.bundleVersion("version")
	if err != nil {
		return nil, err
	}
	var body signatureRequest
	data, err := c.readBody(maxBodyBytes)
	if err != nil {
		return nil, err
	}
	if json.Unmarshal(data, &body) != nil || len(body.Signature) != ed25519.SignatureSize {
		return nil, validationError([]error{
			errors.New("invalid signature; allowed: base64 of an ed25519 signature of 64 bytes"),
		})
	}
	r, err := a.propose(c, applier.Command{SignBundle: &applier.SignBundle{Version: n, Signature: body.Signature}})
	return bundleResponse{Bundle: r.Bundle, Index: r.Index}, err
}

func (a *adminAPI) postRollout(c *adminCall) (any, error) {
	n, err := c.bundleVersion("version")
	if err != nil {
		return nil, err
	}
	r, err := a.propose(c, applier.Command{RollOutBundle: &applier.RollOutBundle{Version: n}})
	return bundleResponse{Bundle: r.Bundle, Index: r.Index}, err
}

func (a *adminAPI) postRestore(c *adminCall) (any, error) {
	n, err := c.bundleVersion("version")
	if err != nil {
		return nil, err
	}
	r, err := a.propose(c, applier.Command{RestoreBundle: &applier.RestoreBundle{From: n}})
	return bundleResponse{Bundle: r.Bundle, Index: r.Index}, err
}

type changeResponse struct {
	Index    uint64 `json:"index"`
	InFlight int    `json:"inFlight"`
}

// parseServiceState reports whether the request takes something out of service.
func parseServiceState(c *adminCall) (bool, error) {
	switch c.r.PathValue("state") {
	case "out":
		return true, nil
	case "in":
		return false, nil
	}
	return false, &APIError{
		Status: http.StatusNotFound, Code: "not-found", Message: "unknown service state; allowed: out, in",
	}
}

func (a *adminAPI) postFailureDomain(c *adminCall) (any, error) {
	out, err := parseServiceState(c)
	if err != nil {
		return nil, err
	}
	name := c.r.PathValue("name")
	r, err := a.propose(c, applier.Command{SetServiceState: &applier.SetServiceState{FailureDomain: name, Out: out}})
	n := a.control.softState.inFlight(func(e *viewer.Endpoint) bool { return e.FailureDomain == name })
	return changeResponse{Index: r.Index, InFlight: n}, err
}

func (a *adminAPI) postEndpoint(c *adminCall) (any, error) {
	out, err := parseServiceState(c)
	if err != nil {
		return nil, err
	}
	name := c.r.PathValue("name")
	r, err := a.propose(c, applier.Command{SetServiceState: &applier.SetServiceState{Endpoint: name, Out: out}})
	n := a.control.softState.inFlight(func(e *viewer.Endpoint) bool { return e.Name == name })
	return changeResponse{Index: r.Index, InFlight: n}, err
}

func (a *adminAPI) getOperation(c *adminCall) (any, error) {
	id := c.r.PathValue("id")
	claim, err := c.query.Claim(id)
	if err != nil {
		return nil, err
	}
	if claim == nil || (c.key.Team != "" && a.control.state.View().Workspaces[claim.Workspace].Team != c.key.Team) {
		return nil, &APIError{
			Status: http.StatusNotFound, Code: "not-found", Message: fmt.Sprintf("no claim for operation %q", id),
		}
	}
	return claim, nil
}

type resolutionRequest struct {
	// NotRun is set if the operation is known not to have run; otherwise the answer in the other fields is recorded.
	NotRun bool   `json:"notRun"`
	Status int    `json:"status"`
	Type   string `json:"type"`
	Body   string `json:"body"`
}

func (a *adminAPI) postResolution(c *adminCall) (any, error) {
	var body resolutionRequest
	if err := c.decodeBody(&body); err != nil {
		return nil, err
	}
	cmd := &applier.ResolveOperation{Operation: c.r.PathValue("id"), NotRun: body.NotRun}
	if !body.NotRun {
		if body.Status < 200 || body.Status > 599 {
			return nil, validationError([]error{errors.New("status out of range; allowed: 200 to 599, or notRun")})
		}
		cmd.Answer = &applier.Answer{Status: body.Status, Type: body.Type, Body: []byte(body.Body)}
	}
	r, err := a.propose(c, applier.Command{ResolveOperation: cmd})
	return r.Claim, err
}

func (a *adminAPI) deleteVerdict(c *adminCall) (any, error) {
	f := c.r.PathValue("fingerprint")
	r, err := a.propose(c, applier.Command{RemoveVerdict: &applier.RemoveVerdict{Fingerprint: f}})
	return changeResponse{Index: r.Index}, err
}

func (a *adminAPI) listKeys(c *adminCall) (any, error) {
	keys, err := c.query.Keys()
	if c.key.Team != "" {
		keys = slices.DeleteFunc(keys, func(k applier.Key) bool { return k.Team != c.key.Team })
	}
	return newListResponse(keys, err)
}

func (a *adminAPI) postKey(c *adminCall) (any, error) {
	var body struct {
		Name      string `json:"name"`
		Role      string `json:"role"`
		Team      string `json:"team"`
		Hash      string `json:"hash"`
		PublicKey string `json:"publicKey"`
		Replaces  uint64 `json:"replaces"`
	}
	if err := c.decodeBody(&body); err != nil {
		return nil, err
	}
	k := BootstrapKey{Name: body.Name, Role: body.Role, Team: body.Team, Hash: body.Hash, PublicKey: body.PublicKey}
	if err := k.check(""); err != nil {
		return nil, validationError([]error{err})
	}
	r, err := a.propose(c, applier.Command{PutKey: &applier.PutKey{Key: k.key(), Replaces: body.Replaces}})
	return changeResponse{Index: r.Index}, err
}

func (a *adminAPI) deleteKey(c *adminCall) (any, error) {
	r, err := a.propose(c, applier.Command{RevokeKey: &applier.RevokeKey{Name: c.r.PathValue("name")}})
	return changeResponse{Index: r.Index}, err
}

func (a *adminAPI) listAudit(c *adminCall) (any, error) {
	var after uint64
	if s := c.r.URL.Query().Get("after"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return nil, validationError([]error{errors.New("after is not a number; allowed: the number of an audit record")})
		}
		after = n
	}
	records, err := c.query.Audit(after, maxAuditRecords)
	if c.key.Team != "" {
		records = slices.DeleteFunc(records, func(r applier.AuditRecord) bool { return r.Team != c.key.Team })
	}
	return newListResponse(records, err)
}

// postMember changes the membership of the control group. It records the change first, so that the audit log is
// complete.
func (a *adminAPI) postMember(c *adminCall) (any, error) {
	changeMembers := map[string]func(context.Context, string) error{
		"add": a.control.committer.AddLearner, "promote": a.control.committer.Promote, "remove": a.control.committer.Remove,
	}[c.r.PathValue("action")]
	if changeMembers == nil {
		return nil, &APIError{
			Status: http.StatusNotFound, Code: "not-found",
			Message: "unknown membership change; allowed: add, promote, remove",
		}
	}
	name := c.r.PathValue("name")
	event := &applier.RecordAuditEvent{Action: c.r.PathValue("action") + " member", Target: name}
	if _, err := a.propose(c, applier.Command{RecordAuditEvent: event}); err != nil {
		return nil, err
	}
	if c.r.Context().Err() != nil {
		return nil, errSenderLeft
	}
	if err := changeMembers(c.r.Context(), name); err != nil {
		return nil, &APIError{Status: http.StatusConflict, Code: "conflict", Message: err.Error()}
	}
	return a.control.committer.Status(), nil
}

// rolloutStatus is the progress of the rollout of the bundle version in force.
type rolloutStatus struct {
	// ProcessesByVersion is the number of processes per bundle version.
	ProcessesByVersion map[uint64]int `json:"inForce"`
	// Laggards are the names of the processes with an older version than the one in force.
	Laggards []string `json:"laggards"`
}

func (c *Control) rolloutStatus() rolloutStatus {
	v := rolloutStatus{ProcessesByVersion: map[uint64]int{}, Laggards: []string{}}
	version := c.state.View().BundleVersion
	for _, p := range c.softState.liveProcesses(time.Now()) {
		v.ProcessesByVersion[p.BundleVersion]++
		if p.BundleVersion < version {
			v.Laggards = append(v.Laggards, p.Identity.Name)
		}
	}
	return v
}

type statusResponse struct {
	Control Status `json:"control"`
	// Confirmed is false if no quorum confirmed the read, so that the other fields may be stale.
	Confirmed      bool                  `json:"confirmed"`
	Index          uint64                `json:"index"`
	BundleVersion  uint64                `json:"bundleVersion"`
	FailureDomains []failureDomainStatus `json:"failureDomains"`
	Endpoints      []endpointStatus      `json:"endpoints"`
	Pools          []subscriber.PoolLoad `json:"pools"`
	Processes      rolloutStatus         `json:"processes"`
}

type failureDomainStatus struct {
	Name         string `json:"name"`
	Region       string `json:"region"`
	OutOfService bool   `json:"outOfService"`
	InFlight     int    `json:"inFlight"`
}

type endpointStatus struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Pool          string `json:"pool"`
	FailureDomain string `json:"failureDomain"`
	Incarnation   uint64 `json:"incarnation"`
	OutOfService  bool   `json:"outOfService"`
	Leaving       bool   `json:"leaving"`
	Lost          bool   `json:"lost"`
	Damped        bool   `json:"damped"`
	InFlight      int    `json:"inFlight"`
}

func (a *adminAPI) getStatus(c *adminCall) (any, error) {
	v := a.control.state.View()
	pools, _ := a.control.softState.poolLoads("")
	s := statusResponse{
		Control: a.control.committer.Status(), Confirmed: c.confirmed, Index: v.Index, BundleVersion: v.BundleVersion,
		FailureDomains: []failureDomainStatus{}, Endpoints: []endpointStatus{}, Pools: pools,
		Processes: a.control.rolloutStatus(),
	}
	for _, f := range v.FailureDomains {
		n := a.control.softState.inFlight(func(e *viewer.Endpoint) bool { return e.FailureDomain == f.Name })
		s.FailureDomains = append(s.FailureDomains, failureDomainStatus{
			Name: f.Name, Region: f.Region, OutOfService: f.OutOfService, InFlight: n,
		})
	}
	loads := a.control.softState.endpointLoads()
	for _, e := range v.Endpoints {
		s.Endpoints = append(s.Endpoints, endpointStatus{
			Name: e.Name, Address: e.Address, Pool: e.Pool, FailureDomain: e.FailureDomain, Incarnation: e.Incarnation,
			OutOfService: e.OutOfService, Leaving: e.Leaving, Lost: e.Lost, Damped: e.Damped, InFlight: loads[e.Name],
		})
	}
	slices.SortFunc(s.FailureDomains, func(x, y failureDomainStatus) int { return strings.Compare(x.Name, y.Name) })
	slices.SortFunc(s.Endpoints, func(x, y endpointStatus) int { return strings.Compare(x.Name, y.Name) })
	return s, nil
}

type processStatus struct {
	Name          string          `json:"name"`
	Role          subscriber.Role `json:"role"`
	Address       string          `json:"address"`
	Region        string          `json:"region"`
	FailureDomain string          `json:"failureDomain"`
	Control       string          `json:"control"`
	Index         uint64          `json:"index"`
	BundleVersion uint64          `json:"bundleVersion"`
}

func (a *adminAPI) listProcesses(*adminCall) (any, error) {
	processes := a.control.softState.liveProcesses(time.Now())
	items := make([]processStatus, 0, len(processes))
	for _, p := range processes {
		items = append(items, processStatus{
			Name: p.Identity.Name, Role: p.Identity.Role, Address: p.Identity.Address, Region: p.Identity.Region,
			FailureDomain: p.Identity.FailureDomain, Control: p.instance, Index: p.Index, BundleVersion: p.BundleVersion,
		})
	}
	return newListResponse(items, nil)
}
