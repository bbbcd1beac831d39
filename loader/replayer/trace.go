package replayer

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Config describes a replay and its trace.
type Config struct {
	Seed       uint64
	Endpoints  int
	Workspaces int
	Requests   int
	// RequestsPerSecond is the mean request rate.
	RequestsPerSecond float64
	// CacheTokens is the capacity of one endpoint's prefix cache.
	CacheTokens int
	// ChurnInterval is the time between two departures of endpoints. An endpoint rejoins after Downtime with an empty
	// cache; every third departure is a flap of 2 s that keeps the cache.
	ChurnInterval time.Duration
	Downtime      time.Duration
	// Routers is the number of routers. Each gets a random part of the requests and estimates the workspaces' shares
	// from this part only.
	Routers int
	// MaxViewDelay is the delay with which the last router sees a membership change; the first router has no delay.
	MaxViewDelay time.Duration
	// EventLag is the delay with which an agent learns of evictions by its engine.
	EventLag time.Duration
}

// DefaultConfig returns a replay of about 20 minutes with a pool of 20 endpoints.
func DefaultConfig(seed uint64) Config {
	return Config{
		Seed: seed, Endpoints: 20, Workspaces: 12, Requests: 24_000, RequestsPerSecond: 20, CacheTokens: 400_000,
		ChurnInterval: 30 * time.Second, Downtime: 20 * time.Second,
		Routers: 8, MaxViewDelay: 2 * time.Second, EventLag: 5 * time.Second,
	}
}

// ScarceCacheConfig returns a replay in which the shared prefixes of all workspaces do not fit into one cache, so that
// a policy that places a workspace on all endpoints evicts chats.
func ScarceCacheConfig(seed uint64) Config {
	cfg := DefaultConfig(seed)
	cfg.Workspaces, cfg.CacheTokens = 300, 100_000
	return cfg
}

const (
	meanTurns              = 6
	timePerToken           = 29 * time.Millisecond
	thinkTimeMedianSeconds = 60.0 // from the end of a response to the chat's next turn
	thinkTimeSigma         = 1.0  // log-normal; a few chats continue only after tens of minutes
	workspaceZipfExponent  = 1.1  // of the workspaces' shares of the chats
)

// languageTokenFactors are the numbers of tokens of a text in several languages relative to English; they make the
// contexts of chats differ in length.
var languageTokenFactors = []float64{1, 1.2, 1.5, 1.9, 2.4, 3.2}

// request is one turn of a chat.
type request struct {
	at            time.Duration
	workspace     int
	chat          uint64
	prefixTokens  int // tokens of the workspace's shared prefix
	historyTokens int // tokens of the chat's earlier turns
	addedTokens   int // tokens of this turn, prompt and response
	duration      time.Duration
}

func (r *request) prefixKey() uint64 { return uint64(r.workspace) }

func (r *request) chatKey() uint64 { return 1<<32 + r.chat }

func (r *request) workspaceName() string { return "workspace-" + strconv.Itoa(r.workspace) }

// newTrace returns the requests ordered by time; equal configurations give equal traces.
func newTrace(cfg Config) []request {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	prefixTokens := make([]int, cfg.Workspaces)
	cumulativeWeights := make([]float64, cfg.Workspaces)
	var total float64
	for i := range prefixTokens {
		prefixTokens[i] = 500 + rng.IntN(2500)
		total += 1 / math.Pow(float64(i+1), workspaceZipfExponent)
		cumulativeWeights[i] = total
	}
	traceDuration := time.Duration(float64(cfg.Requests) / cfg.RequestsPerSecond * float64(time.Second))
	trace := make([]request, 0, cfg.Requests)
	for chat := uint64(0); len(trace) < cfg.Requests; chat++ {
		x := rng.Float64() * total
		ws, _ := slices.BinarySearch(cumulativeWeights, x)
		tokenFactor := languageTokenFactors[rng.IntN(len(languageTokenFactors))]
		at := time.Duration(rng.Float64() * float64(traceDuration))
		history := 0
		for {
			prompt := int(float64(20+rng.IntN(200)) * tokenFactor)
			response := int(float64(40+rng.IntN(200)) * tokenFactor)
			trace = append(trace, request{
				at: at, workspace: ws, chat: chat, prefixTokens: prefixTokens[ws], historyTokens: history,
				addedTokens: prompt + response, duration: time.Duration(response) * timePerToken,
			})
			history += prompt + response
			thinkTimeSeconds := thinkTimeMedianSeconds * math.Exp(thinkTimeSigma*rng.NormFloat64())
			at += time.Duration(response)*timePerToken + time.Duration(thinkTimeSeconds*float64(time.Second))
			if rng.IntN(meanTurns) == 0 || at > traceDuration {
				break
			}
		}
	}
	slices.SortStableFunc(trace, func(a, b request) int { return int(a.at - b.at) })
	return trace
}
