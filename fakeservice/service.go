package fakeservice

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// HeaderIdempotencyKey carries the idempotency key of a call.
const HeaderIdempotencyKey = "Idempotency-Key"

// headerLeaving is 1 in the responses of a service that leaves.
const headerLeaving = "Cactus-Leaving"

const maxBodyBytes = 1 << 20

// Service counts how often it ran each request body. It is safe for concurrent use.
type Service struct {
	// Delay is the processing time of a call.
	Delay time.Duration
	// MaxInFlight is the number of calls above which others are turned away with status 503 and RetryAfter; at 0 none are.
	MaxInFlight int
	RetryAfter  time.Duration

	inFlight atomic.Int64

	mu          sync.Mutex
	runsByCall  map[string]int // by path and body
	runsByKey   map[string]int
	startTime   time.Time
	isLeaving   bool // until the next crash
	crashBefore int
	crashAfter  int
	thawed      chan struct{} // closed unless frozen
	testAPI     *http.ServeMux
}

// testAPIPrefix is the path prefix of the API by which a measurement program reads counts and injects faults. The API
// also responds while the service is frozen.
const testAPIPrefix = "/fake/v1/"

// New returns a service with the given processing time per call.
func New(delay time.Duration) *Service {
	s := &Service{
		Delay: delay, runsByCall: map[string]int{}, runsByKey: map[string]int{}, startTime: time.Now(),
		thawed: make(chan struct{}), testAPI: http.NewServeMux(),
	}
	close(s.thawed)
	s.testAPI.HandleFunc("GET "+testAPIPrefix+"runs", s.handleRuns)
	for name, inject := range map[string]func(){
		"crashBeforeRun": func() { s.CrashBeforeRun(1) }, "crashAfterRun": func() { s.CrashAfterRun(1) },
		"freeze": s.Freeze, "thaw": s.Thaw, "leave": s.Leave,
	} {
		s.testAPI.HandleFunc("POST "+testAPIPrefix+name, func(w http.ResponseWriter, _ *http.Request) {
			inject()
			w.WriteHeader(http.StatusNoContent)
		})
	}
	return s
}

// bodyRunCount is the number of runs of one body at one path.
type bodyRunCount struct {
	Path string `json:"path"`
	Body string `json:"body"`
	Runs int    `json:"runs"`
}

type runCounts struct {
	ByKey  map[string]int `json:"byKey"`
	ByBody []bodyRunCount `json:"byBody"`
}

func (s *Service) handleRuns(w http.ResponseWriter, _ *http.Request) {
	list := runCounts{ByKey: s.RunsByKey(), ByBody: []bodyRunCount{}}
	s.mu.Lock()
	for call, n := range s.runsByCall {
		path, body, _ := strings.Cut(call, " ") // an escaped path contains no space
		list.ByBody = append(list.ByBody, bodyRunCount{Path: path, Body: body, Runs: n})
	}
	s.mu.Unlock()
	slices.SortFunc(list.ByBody, func(a, b bodyRunCount) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Body, b.Body))
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

type receipt struct {
	Path string `json:"path"`
	Body string `json:"body"`
	Run  int    `json:"run"`
}

type health struct {
	StartTime int64 `json:"startTime"` // Unix time in ns
}

// ServeHTTP runs a call and returns a receipt; GET /health returns the start time.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, testAPIPrefix) {
		s.testAPI.ServeHTTP(w, r)
		return
	}
	if !s.waitThawed(r.Context()) {
		return
	}
	s.mu.Lock()
	if s.isLeaving {
		w.Header().Set(headerLeaving, "1")
	}
	s.mu.Unlock()
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		s.mu.Lock()
		h := health{StartTime: s.startTime.UnixNano()}
		s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(h)
		return
	}
	defer s.inFlight.Add(-1)
	if n := s.inFlight.Add(1); s.MaxInFlight > 0 && n > int64(s.MaxInFlight) {
		w.Header().Set("Retry-After", strconv.FormatFloat(s.RetryAfter.Seconds(), 'f', 3, 64))
		http.Error(w, "too many calls in flight", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(s.Delay)
	if !s.waitThawed(r.Context()) {
		return
	}
	n, ok := s.countRun(r.URL.EscapedPath()+" "+string(body), r.Header.Get(HeaderIdempotencyKey))
	if !ok {
		resetConnection(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(receipt{Path: r.URL.Path, Body: string(body), Run: n})
}

// countRun records a run of a call; ok is false if an injected crash resets the connection.
func (s *Service) countRun(call, key string) (n int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashBefore > 0 {
		s.crashBefore--
		s.startTime, s.isLeaving = time.Now(), false
		return 0, false
	}
	s.runsByCall[call]++
	if key != "" {
		s.runsByKey[key]++
	}
	if s.crashAfter > 0 {
		s.crashAfter--
		s.startTime, s.isLeaving = time.Now(), false
		return 0, false
	}
	return s.runsByCall[call], true
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

// waitThawed blocks while the service is frozen; it returns false if ctx ends first.
func (s *Service) waitThawed(ctx context.Context) bool {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	select {
	case <-thawed:
		return true
	case <-ctx.Done():
		return false
	}
}

// CrashBeforeRun resets the connections of the next n calls without running them.
func (s *Service) CrashBeforeRun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashBefore = n
}

// CrashAfterRun resets the connections of the next n calls after running them, without a response.
func (s *Service) CrashAfterRun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashAfter = n
}

// Leave makes the service tell in its responses that it leaves, until it crashes.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLeaving = true
}

// Freeze blocks all calls until Thaw; blocked calls run then, unless their request was cancelled.
func (s *Service) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.thawed:
		s.thawed = make(chan struct{})
	default:
	}
}

// Thaw unblocks the calls that Freeze blocked.
func (s *Service) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.thawed:
	default:
		close(s.thawed)
	}
}

// Runs returns the number of runs of a body at a path.
func (s *Service) Runs(path, body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByCall[path+" "+body]
}

// RunsByKey returns the number of runs by idempotency key.
func (s *Service) RunsByKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]int, len(s.runsByKey))
	for k, n := range s.runsByKey {
		m[k] = n
	}
	return m
}
