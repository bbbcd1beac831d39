package router

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/adapters/server"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/viewer"
)

// Limits of requests.
const (
	maxBodyBytes        = 1 << 20
	maxHeaderValueBytes = 256
	maxHeaderBytes      = 32 << 10
	maxPathBytes        = 2048
)

// bodyTimeout limits the time to read a body, so that slow callers do not use up the router's limit of requests.
const bodyTimeout = 30 * time.Second

// bodyMemoryRetryAfter is the Retry-After of requests for whose bodies there is no memory.
const bodyMemoryRetryAfter = time.Second

// Request headers.
const (
	headerConversationID = "X-Conversation-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerPriority       = "X-Priority"
	headerTimeout        = "X-Request-Timeout-Millis"
)

// checkHeaderBytes refuses requests whose headers exceed 32 KiB; the default of net/http is 1 MiB.
func checkHeaderBytes(r *http.Request) *httpError {
	n := len(r.RequestURI)
	for k, values := range r.Header {
		for _, v := range values {
			n += len(k) + len(v)
		}
	}
	if n <= maxHeaderBytes {
		return nil
	}
	return &httpError{
		Status: http.StatusRequestHeaderFieldsTooLarge, Type: errorTypeInvalidRequest, Code: "headers_too_large",
		Message: "the headers exceed 32 KiB", NotRun: true,
	}
}

// authenticate returns the workspace of the API key in the request. Keys are looked up by SHA-256 hash, so that the
// lookup time reveals nothing about them.
func authenticate(v *viewer.View, r *http.Request) (ws bundler.Workspace, httpErr *httpError) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if ok && strings.EqualFold(scheme, "Bearer") && key != "" && len(key) <= maxHeaderValueBytes {
		if ws, ok := v.Workspaces[v.WorkspaceByKey[bundler.HashKey(key)]]; ok {
			return ws, nil
		}
	}
	return ws, &httpError{
		Status: http.StatusUnauthorized, Type: errorTypeAuthentication, Code: "invalid_api_key",
		Message: "the API key is missing or unknown", NotRun: true,
	}
}

// requestPriority returns the priority of a request. A caller can lower its workspace's priority, but not raise it.
func requestPriority(ws *bundler.Workspace, r *http.Request) (bundler.Priority, *httpError) {
	switch p := bundler.Priority(r.Header.Get(headerPriority)); p {
	case "", bundler.PriorityInteractive:
		return ws.Priority, nil
	case bundler.PriorityBatch:
		return p, nil
	default:
		return "", badRequest("invalid_priority", headerPriority+" must be interactive or batch")
	}
}

// requestDeadline returns the caller's deadline, limited by the pool's timeout.
func requestDeadline(now time.Time, pool *bundler.Pool, r *http.Request) (time.Time, *httpError) {
	millis := pool.TimeoutMillis
	if s := r.Header.Get(headerTimeout); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n <= 0 {
			return time.Time{}, badRequest("invalid_timeout", headerTimeout+" must be a positive number of milliseconds")
		}
		millis = min(millis, n)
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}

// readBody reads a body of at most maxBodyBytes that arrives until the deadline and within bodyTimeout.
func readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, *httpError) {
	if latest := time.Now().Add(bodyTimeout); latest.Before(deadline) {
		deadline = latest
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &httpError{
			Status: http.StatusRequestEntityTooLarge, Type: errorTypeInvalidRequest, Code: "body_too_large",
			Message: "the body exceeds 1 MiB", NotRun: true,
		}
	case errors.Is(err, server.ErrBodyMemory):
		return nil, &httpError{
			Status: http.StatusServiceUnavailable, Type: errorTypeServer, Code: "memory",
			Message: "the router has no memory for the body now", NotRun: true, RetryAfter: bodyMemoryRetryAfter,
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &httpError{
			Status: http.StatusRequestTimeout, Type: errorTypeInvalidRequest, Code: "body_timeout",
			Message: "the body did not arrive in time", NotRun: true,
		}
	case err != nil:
		return nil, badRequest("incomplete_body", "the body could not be read")
	default:
		return body, nil
	}
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type chatRequest struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	User     string        `json:"user"`
}

func notFound(code, message string) *httpError {
	return &httpError{
		Status: http.StatusNotFound, Type: errorTypeInvalidRequest, Code: code, Message: message, NotRun: true,
	}
}

// findPool returns the pool of a model or, for a name of the form model:adapter, of an adapter.
func findPool(v *viewer.View, ws *bundler.Workspace, name string) (bundler.Pool, *httpError) {
	pool, ok := v.Pools[v.PoolByModel[name]]
	if !ok {
		base, adapter, _ := strings.Cut(name, ":")
		pool, ok = v.Pools[v.PoolByModel[base]]
		ok = ok && slices.Contains(pool.Adapters, adapter)
	}
	if !ok || !slices.Contains(ws.Pools, pool.Name) {
		return pool, notFound("model_not_found", "the workspace has no model of this name")
	}
	return pool, nil
}

// chatKey identifies a chat by its conversation ID, its user or its messages up to the first one of the user, which do
// not change between turns.
func chatKey(ws *bundler.Workspace, req *chatRequest, r *http.Request) placer.Key {
	if id := r.Header.Get(headerConversationID); id != "" {
		return placer.KeyOf(ws.Name, req.Model, id)
	}
	if req.User != "" {
		return placer.KeyOf(ws.Name, req.Model, req.User)
	}
	parts := []string{ws.Name, req.Model}
	for _, m := range req.Messages {
		parts = append(parts, m.Role, string(m.Content))
		if m.Role == "user" {
			break
		}
	}
	return placer.KeyOf(parts...)
}

// prefixKey identifies the messages before the first one of the user, which chats of a workspace may share.
func prefixKey(ws *bundler.Workspace, req *chatRequest) placer.Key {
	parts := []string{ws.Name, req.Model}
	for _, m := range req.Messages {
		if m.Role == "user" {
			break
		}
		parts = append(parts, m.Role, string(m.Content))
	}
	return placer.KeyOf(parts...)
}

// cacheNeed returns what an endpoint should have cached: the chat if it already contains a response, else its prefix.
func cacheNeed(req *chatRequest) placer.Need {
	if slices.ContainsFunc(req.Messages, func(m chatMessage) bool { return m.Role == "assistant" }) {
		return placer.NeedChat
	}
	return placer.NeedPrefix
}

// serveChat serves a chat completion.
func (rt *Router) serveChat(w http.ResponseWriter, r *http.Request) (string, *httpError) {
	v, httpErr := rt.currentView()
	if httpErr != nil {
		return "", httpErr
	}
	admitted, httpErr := rt.admit(v, r)
	if httpErr != nil {
		return "", httpErr
	}
	defer admitted.release()
	// The pool is known by the body only.
	latest, httpErr := requestDeadline(admitted.receivedAt, slowestPool(v, &admitted.workspace), r)
	if httpErr != nil {
		return "", httpErr
	}
	body, httpErr := readBody(w, r, latest)
	if httpErr != nil {
		return "", httpErr
	}
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil || len(req.Messages) == 0 {
		return "", badRequest("invalid_body", "the body is not a chat completion request")
	}
	if len(r.Header.Values(headerIdempotencyKey)) > 0 {
		return "", badRequest("idempotency_key_not_supported",
			"a chat completion does not support an Idempotency-Key, because it may be retried; send it without the header")
	}
	if len(r.Header.Get(headerConversationID)) > maxHeaderValueBytes {
		return "", badRequest("invalid_conversation", headerConversationID+" exceeds 256 bytes")
	}
	pool, httpErr := findPool(v, &admitted.workspace, req.Model)
	if httpErr != nil {
		return "", httpErr
	}
	relayReq, httpErr := rt.newRelayRequest(r, v, admitted, &pool, body)
	if httpErr != nil {
		return "", httpErr
	}
	relayReq.ID, relayReq.Path = w.Header().Get(headerRequestID), r.URL.Path
	relayReq.ChatKey, relayReq.PrefixKey = uint64(chatKey(&admitted.workspace, &req, r)),
		uint64(prefixKey(&admitted.workspace, &req))
	ctx, cancel := context.WithDeadline(r.Context(), relayReq.Deadline)
	defer cancel()
	return rt.forward(ctx, w, relayReq, cacheNeed(&req), planner.KindRepeatable)
}

// slowestPool returns the pool with the longest timeout of a workspace.
func slowestPool(v *viewer.View, ws *bundler.Workspace) *bundler.Pool {
	slowest := &bundler.Pool{}
	for _, name := range ws.Pools {
		if p := v.Pools[name]; p.TimeoutMillis > slowest.TimeoutMillis {
			slowest = &p
		}
	}
	return slowest
}

// admittedRequest is a request that was authenticated and admitted.
type admittedRequest struct {
	receivedAt time.Time
	workspace  bundler.Workspace
	priority   bundler.Priority
	release    func()
}

// admit authenticates a request and applies the limits. It is called before the body is read, so that refused requests
// use no memory.
func (rt *Router) admit(v *viewer.View, r *http.Request) (admitted admittedRequest, httpErr *httpError) {
	admitted.receivedAt = time.Now()
	if admitted.workspace, httpErr = authenticate(v, r); httpErr != nil {
		return admitted, httpErr
	}
	if admitted.priority, httpErr = requestPriority(&admitted.workspace, r); httpErr != nil {
		return admitted, httpErr
	}
	share, ok := rt.control.Share(admitted.workspace.Name)
	if !ok {
		share = defaultShare
	}
	if admitted.release, httpErr = rt.admission.admit(&admitted.workspace, admitted.priority, share); httpErr != nil {
		httpErr.RetryAfter = rt.retryAfter(0)
	}
	return admitted, httpErr
}

// newRelayRequest returns the request to send to agents, without its ID, path and keys.
func (rt *Router) newRelayRequest(
	r *http.Request, v *viewer.View, admitted admittedRequest, pool *bundler.Pool, body []byte,
) (relayer.Request, *httpError) {
	deadline, httpErr := requestDeadline(admitted.receivedAt, pool, r)
	return relayer.Request{
		Workspace: admitted.workspace.Name, Priority: admitted.priority, Weight: admitted.workspace.Weight, Pool: pool.Name,
		Method: r.Method, ContentType: r.Header.Get("Content-Type"), Body: body, Deadline: deadline,
		ViewIndex: v.Index, BundleVersion: v.BundleVersion,
	}, httpErr
}

// servicePath returns the path of a service call with its query as target, and without it as cleanPath. It refuses
// paths that a service might interpret as another path, because the path decides whether a call needs a claim.
func servicePath(r *http.Request) (target, cleanPath string, httpErr *httpError) {
	cleanPath = "/" + r.PathValue("path")
	isInvalid := func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune(`\%;?#`, c) }
	trimmed := strings.TrimSuffix(cleanPath, "/")
	if len(r.URL.RawQuery)+len(cleanPath) > maxPathBytes || strings.ContainsFunc(cleanPath, isInvalid) ||
		(cleanPath != "/" && path.Clean(cleanPath) != trimmed) {
		return "", "", badRequest("invalid_path", "the path is not in canonical form, is too long or contains escapes")
	}
	u := url.URL{Path: cleanPath, RawQuery: r.URL.RawQuery}
	return u.RequestURI(), cleanPath, nil
}

// idempotencyKey returns the idempotency key of a service call, or "" if it has and needs none.
func idempotencyKey(r *http.Request, pool *bundler.Pool, path string) (string, *httpError) {
	keys := r.Header.Values(headerIdempotencyKey)
	if len(keys) == 0 && !pool.NeedsIdempotencyKey(path) {
		return "", nil
	}
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxHeaderValueBytes {
		return "", badRequest("invalid_idempotency_key",
			"a request that needs or has an Idempotency-Key must have exactly one, of 1 to 256 bytes")
	}
	return keys[0], nil
}

// serveService serves a call to a plain service.
func (rt *Router) serveService(w http.ResponseWriter, r *http.Request) (string, *httpError) {
	v, httpErr := rt.currentView()
	if httpErr != nil {
		return "", httpErr
	}
	admitted, httpErr := rt.admit(v, r)
	if httpErr != nil {
		return "", httpErr
	}
	releaseTransferred := false
	defer func() {
		if !releaseTransferred {
			admitted.release()
		}
	}()
	pool, ok := v.Pools[r.PathValue("service")]
	if !ok || pool.Kind != bundler.PoolService || !slices.Contains(admitted.workspace.Pools, pool.Name) {
		return "", notFound("service_not_found", "the workspace has no service of this name")
	}
	target, cleanPath, httpErr := servicePath(r)
	if httpErr != nil {
		return "", httpErr
	}
	deadline, httpErr := requestDeadline(admitted.receivedAt, &pool, r)
	if httpErr != nil {
		return "", httpErr
	}
	body, httpErr := readBody(w, r, deadline)
	if httpErr != nil {
		return "", httpErr
	}
	req, httpErr := rt.newRelayRequest(r, v, admitted, &pool, body)
	if httpErr != nil {
		return "", httpErr
	}
	req.ID, req.Path = w.Header().Get(headerRequestID), target
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	key, httpErr := idempotencyKey(r, &pool, cleanPath)
	if httpErr != nil {
		return "", httpErr
	}
	if key == "" {
		req.ChatKey = uint64(placer.KeyOf(req.ID))
		return rt.forward(ctx, w, req, placer.NeedNothing, pool.RequestKind(cleanPath))
	}
	releaseTransferred = true
	return rt.serveOperation(ctx, w, req, key, admitted.release), nil
}
