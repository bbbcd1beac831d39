package router

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"cactusroute.dev/adapters/relayer"
	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/placer"
	"cactusroute.dev/core/planner"
	"cactusroute.dev/core/viewer"
)

// Bounds of what a caller may send.
const (
	maxBodyBytes        = 1 << 20
	maxHeaderValueBytes = 256
	maxHeaderBytes      = 32 << 10
	maxPathBytes        = 2048
)

// readTimeout bounds the time to send a body, so that slow callers do not hold the router's bound.
const bodyTimeout = 30 * time.Second

// Headers of requests.
const (
	headerConversationID = "X-Conversation-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerPriority       = "X-Priority"
	headerTimeout        = "X-Request-Timeout-Millis"
)

// boundedHeaders refuses headers that exceed 32 KiB; net/http itself allows 1 MiB.
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

// workspaceOf finds the workspace of a bearer key. The key is compared as a SHA-256 digest, whose lookup time
// tells nothing about the key.
func authenticate(v *viewer.View, r *http.Request) (ws bundler.Workspace, f *httpError) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if ok && strings.EqualFold(scheme, "Bearer") && key != "" && len(key) <= maxHeaderValueBytes {
		if ws, ok := v.Workspaces[v.WorkspaceByKey[bundler.HashKey(key)]]; ok {
			return ws, nil
		}
	}
	return ws, &httpError{
		Status: http.StatusUnauthorized, Type: errorTypeAuthentication, Code: "invalid_api_key",
		Message: "no workspace has this key", NotRun: true,
	}
}

// priorityOf lowers the workspace's priority if the caller asks for it; it never raises it.
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

// deadlineOf returns the caller's deadline within the pool's limit.
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

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *httpError) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &httpError{
			Status: http.StatusRequestEntityTooLarge, Type: errorTypeInvalidRequest, Code: "body_too_large",
			Message: "the body exceeds 1 MiB", NotRun: true,
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
	return &httpError{Status: http.StatusNotFound, Type: errorTypeInvalidRequest, Code: code, Message: message, NotRun: true}
}

// poolOf finds the pool of a model; an adapter is named as model:adapter.
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

// prefixKey identifies the messages before the first one of the user, which the chats of a workspace share.
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

// needOf returns what an endpoint should have cached: a chat that has an answer already may be cached itself.
func cacheNeed(req *chatRequest) placer.Need {
	if slices.ContainsFunc(req.Messages, func(m chatMessage) bool { return m.Role == "assistant" }) {
		return placer.NeedChat
	}
	return placer.NeedPrefix
}

// chat serves a chat completion.
func (rt *Router) serveChat(w http.ResponseWriter, r *http.Request) (string, *httpError) {
	v, f := rt.currentView()
	if f != nil {
		return "", f
	}
	in, f := rt.admit(v, r)
	if f != nil {
		return "", f
	}
	defer in.release()
	body, f := readBody(w, r)
	if f != nil {
		return "", f
	}
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil || len(req.Messages) == 0 {
		return "", badRequest("invalid_body", "the body is not a chat completion request")
	}
	if len(r.Header.Values(headerIdempotencyKey)) > 0 {
		return "", badRequest("idempotency_key_not_supported",
			"a chat completion takes no Idempotency-Key, because the fleet may run it again; send it without one")
	}
	if len(r.Header.Get(headerConversationID)) > maxHeaderValueBytes {
		return "", badRequest("invalid_conversation", headerConversationID+" exceeds 256 bytes")
	}
	pool, f := findPool(v, &in.workspace, req.Model)
	if f != nil {
		return "", f
	}
	out, f := rt.newRelayRequest(r, v, in, &pool, body)
	if f != nil {
		return "", f
	}
	out.ID, out.Path = w.Header().Get(headerRequestID), r.URL.Path
	out.ChatKey, out.PrefixKey = uint64(chatKey(&in.workspace, &req, r)), uint64(prefixKey(&in.workspace, &req))
	ctx, cancel := context.WithDeadline(r.Context(), out.Deadline)
	defer cancel()
	return rt.forward(ctx, w, out, cacheNeed(&req), planner.KindRepeatable), nil
}

// admitted is a caller that passed authentication and the router's own bounds.
type admittedRequest struct {
	workspace bundler.Workspace
	priority  bundler.Priority
	release   func()
}

// admit precedes the reading of the body, so that refused requests cost no memory.
func (rt *Router) admit(v *viewer.View, r *http.Request) (in admittedRequest, f *httpError) {
	if in.workspace, f = authenticate(v, r); f != nil {
		return in, f
	}
	if in.priority, f = requestPriority(&in.workspace, r); f != nil {
		return in, f
	}
	share, ok := rt.control.Share(in.workspace.Name)
	if !ok {
		share = defaultShare
	}
	if in.release, f = rt.admission.admit(&in.workspace, in.priority, share); f != nil {
		f.RetryAfter = rt.retryAfter(0)
	}
	return in, f
}

func (rt *Router) newRelayRequest(
	r *http.Request, v *viewer.View, in admittedRequest, pool *bundler.Pool, body []byte,
) (relayer.Request, *httpError) {
	deadline, f := requestDeadline(time.Now(), pool, r)
	return relayer.Request{
		Workspace: in.workspace.Name, Priority: in.priority, Weight: in.workspace.Weight, Pool: pool.Name,
		Method: r.Method, ContentType: r.Header.Get("Content-Type"), Body: body, Deadline: deadline,
		ViewIndex: v.Index, BundleVersion: v.BundleVersion,
	}, f
}

// servicePath returns the path of a service call with its query. It refuses paths that a service could read as
// another one, because the path decides whether a call needs a claim.
func servicePath(r *http.Request) (target, clean string, f *httpError) {
	clean = "/" + r.PathValue("path")
	isOdd := func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune(`\%;?#`, c) }
	withoutSlash := strings.TrimSuffix(clean, "/")
	if len(r.URL.RawQuery)+len(clean) > maxPathBytes || strings.ContainsFunc(clean, isOdd) ||
		(clean != "/" && path.Clean(clean) != withoutSlash) {
		return "", "", badRequest("invalid_path", "the path is not in its shortest form, is too long or has escapes")
	}
	u := url.URL{Path: clean, RawQuery: r.URL.RawQuery}
	return u.RequestURI(), clean, nil
}

// operationKey returns the idempotency key of a service call, "" if it has none and needs none.
func idempotencyKey(r *http.Request, pool *bundler.Pool, path string) (string, *httpError) {
	keys := r.Header.Values(headerIdempotencyKey)
	if len(keys) == 0 && !pool.NeedsIdempotencyKey(path) {
		return "", nil
	}
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxHeaderValueBytes {
		return "", badRequest("invalid_idempotency_key",
			"the path needs, or the request has, an Idempotency-Key: one header of 1 to 256 bytes is allowed")
	}
	return keys[0], nil
}

// service serves a call to a plain service.
func (rt *Router) serveService(w http.ResponseWriter, r *http.Request) (string, *httpError) {
	v, f := rt.currentView()
	if f != nil {
		return "", f
	}
	in, f := rt.admit(v, r)
	if f != nil {
		return "", f
	}
	detached := false
	defer func() {
		if !detached {
			in.release()
		}
	}()
	pool, ok := v.Pools[r.PathValue("service")]
	if !ok || pool.Kind != bundler.PoolService || !slices.Contains(in.workspace.Pools, pool.Name) {
		return "", notFound("service_not_found", "the workspace has no service of this name")
	}
	target, clean, f := servicePath(r)
	if f != nil {
		return "", f
	}
	body, f := readBody(w, r)
	if f != nil {
		return "", f
	}
	req, f := rt.newRelayRequest(r, v, in, &pool, body)
	if f != nil {
		return "", f
	}
	req.ID, req.Path = w.Header().Get(headerRequestID), target
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	key, f := idempotencyKey(r, &pool, clean)
	if f != nil {
		return "", f
	}
	if key == "" {
		req.ChatKey = uint64(placer.KeyOf(req.ID))
		return rt.forward(ctx, w, req, placer.NeedNothing, pool.RequestKind(clean)), nil
	}
	detached = true
	return rt.serveOperation(ctx, w, req, key, in.release), nil
}
