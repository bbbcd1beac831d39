package fakeengine

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine serves the engine API. It is safe for concurrent use.
type Engine struct {
	cfg     Config
	mux     *http.ServeMux
	testAPI *http.ServeMux // also responds while the engine is down or frozen

	mu                   sync.Mutex
	stats                Stats
	cache                *cache
	waiting              []*batchWaiter
	loadSamples          []loadSample
	completionsSinceCold int
	state                state
	isLeaving            bool            // until the next start
	processCtx           context.Context // cancelled at the next crash or restart
	cancelProcess        context.CancelFunc
	downUntil            time.Time     // end of a restart; connections are reset until then
	thawed               chan struct{} // closed unless frozen
}

// state is the state of one engine process; commands set it and a crash resets it.
type state struct {
	StartTime    int64    `json:"startTime"` // Unix time in ns
	Model        string   `json:"model"`
	ModelVersion string   `json:"modelVersion"`
	Adapters     []string `json:"adapters"`
	Role         string   `json:"role"`
	Fence        uint64   `json:"fence"`
	Loading      bool     `json:"loading"`
}

// New returns an engine with its model loaded, unless the configuration requires a command to load it.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{cfg: cfg, mux: http.NewServeMux(), testAPI: http.NewServeMux(), thawed: make(chan struct{})}
	close(e.thawed)
	e.cache = newCache(cfg.CacheBlocks, cfg.EventGap)
	e.boot(time.Now())
	e.mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	e.mux.HandleFunc("GET /health", e.handleHealth)
	e.mux.HandleFunc("GET /engine/v1/load", e.handleLoad)
	e.mux.HandleFunc("GET /engine/v1/events", e.handleEvents)
	e.mux.HandleFunc("POST /engine/v1/commands", e.handleCommand)
	e.mux.HandleFunc("GET /engine/v1/cache", e.handleCacheList)
	e.mux.HandleFunc("GET /engine/v1/cache/{chat}", e.handleCacheExport)
	e.mux.HandleFunc("PUT /engine/v1/cache/{chat}", e.handleCacheImport)
	e.testAPI.HandleFunc("GET "+testAPIPrefix+"stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.Stats())
	})
	for name, inject := range map[string]func(){
		"crash": e.Crash, "freeze": e.Freeze, "thaw": e.Thaw, "clearCache": e.ClearCache,
		"leave": e.Leave,
	} {
		e.testAPI.HandleFunc("POST "+testAPIPrefix+name, func(w http.ResponseWriter, _ *http.Request) {
			inject()
			w.WriteHeader(http.StatusNoContent)
		})
	}
	return e
}

// testAPIPrefix is the path prefix of the API by which a measurement program reads counts and injects faults.
const testAPIPrefix = "/fake/v1/"

// boot resets the state to that of a new process; its start time is always later than the previous one.
func (e *Engine) boot(now time.Time) {
	start := max(now.UnixNano(), e.state.StartTime+1)
	e.state = state{StartTime: start}
	if !e.cfg.NeedsCommand {
		e.state.Model, e.state.ModelVersion = e.cfg.Model, e.cfg.ModelVersion
	}
	e.completionsSinceCold, e.isLeaving = 0, false
	e.cache.reset() // without an event, because the new start time implies an empty cache
	e.processCtx, e.cancelProcess = context.WithCancel(context.Background())
}

// ServeHTTP serves the engine API; it resets connections while the engine is down and blocks while it is frozen.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, testAPIPrefix) {
		e.testAPI.ServeHTTP(w, r)
		return
	}
	if !e.waitThawed(r.Context()) {
		return
	}
	e.mu.Lock()
	processCtx, isDown := e.processCtx, time.Now().Before(e.downUntil)
	if e.isLeaving {
		w.Header().Set(headerLeaving, "1")
	}
	e.mu.Unlock()
	if isDown {
		resetConnection(w)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(processCtx, cancel)
	defer stop()
	e.mux.ServeHTTP(w, r.WithContext(ctx))
	if processCtx.Err() != nil && r.Context().Err() == nil {
		resetConnection(w)
	}
}

// resetConnection closes the connection with a TCP reset, as a killed process does.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

// Crash resets all connections and restarts the engine: new start time, empty cache, cold, effects of commands lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	e.restart()
}

// Restart restarts the engine as Crash does, without counting a crash.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

func (e *Engine) restart() {
	now := time.Now()
	e.cancelProcess()
	e.downUntil = now.Add(e.cfg.RestartTime)
	e.boot(now)
}

// Leave makes the engine tell in its responses that it leaves, until it starts again.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isLeaving = true
}

// ClearCache clears the prefix cache, which also makes the engine cold.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completionsSinceCold = 0
	e.cache.clear(time.Now())
}

// Freeze blocks all requests until Thaw, as SIGSTOP does.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.thawed:
		e.thawed = make(chan struct{})
	default:
	}
}

// Thaw unblocks the requests that Freeze blocked.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.thawed:
	default:
		close(e.thawed)
	}
}

// Stats returns the counts since New.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Cold = e.isCold()
	return s
}

func (e *Engine) processContext() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.processCtx
}

// waitThawed blocks while the engine is frozen; it returns false if ctx ends first.
func (e *Engine) waitThawed(ctx context.Context) bool {
	e.mu.Lock()
	thawed := e.thawed
	e.mu.Unlock()
	select {
	case <-thawed:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// sleep waits for d, and longer while the engine is frozen; it returns false if ctx ends first.
func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	return e.waitTimer(ctx, t)
}

// waitTimer is like sleep, with a timer that the caller has set.
func (e *Engine) waitTimer(ctx context.Context, t *time.Timer) bool {
	select {
	case <-t.C:
		return e.waitThawed(ctx)
	case <-ctx.Done():
		return false
	}
}

// Token returns the n-th token of the response to a prompt, which is the content of the last message.
func Token(prompt string, n int) string { return token(strings.Fields(prompt), n) }

// Text returns the tokens of the response in [from, to).
func Text(prompt string, from, to int) string {
	words := strings.Fields(prompt)
	var b strings.Builder
	for n := from; n < to; n++ {
		b.WriteString(token(words, n))
	}
	return b.String()
}

func token(words []string, n int) string {
	if len(words) == 0 {
		return "t" + strconv.Itoa(n) + " "
	}
	return words[n%len(words)] + "-" + strconv.Itoa(n) + " "
}
