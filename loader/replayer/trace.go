package replayer

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Config sets the size of a replay.
type Config struct {
	Seed       uint64
	Endpoints  int
	Workspaces int
	Requests   int
	// Rate is the mean number of requests each second.
	RequestsPerSecond float64
	// CacheTokens is the capacity of one endpoint's prefix cache.
	CacheTokens int
	// ChurnEvery is the time between two departures of an endpoint; each returns after AwayFor with an empty
	// cache. Every third departure is a flap of 2 s after which the cache is still there.
	ChurnInterval time.Duration
	Downtime      time.Duration
	// Routers is the number of routers; each gets a random part of the requests and estimates shares from it alone.
	Routers int
	// ViewDelay is how late the last router learns of a change of the membership; the first one learns at once.
	MaxViewDelay time.Duration
	// EventLag is how late an agent learns that its engine has evicted something.
	EventLag time.Duration
}

// Defaults returns a replay of about 20 minutes of a pool of 20 endpoints.
func DefaultConfig(seed uint64) Config {
	return Config{
		Seed: seed, Endpoints: 20, Workspaces: 12, Requests: 24_000, RequestsPerSecond: 20, CacheTokens: 400_000,
		ChurnInterval: 30 * time.Second, Downtime: 20 * time.Second,
		Routers: 8, MaxViewDelay: 2 * time.Second, EventLag: 5 * time.Second,
	}
}

// Scarce returns a replay in which the shared prefixes of all workspaces do not fit into one cache, so that a
// policy that spreads a workspace over the pool evicts chats.
func ScarceCacheConfig(seed uint64) Config {
	cfg := DefaultConfig(seed)
	cfg.Workspaces, cfg.CacheTokens = 300, 100_000
	return cfg
}

const (
	meanTurns              = 6
	timePerToken           = 29 * time.Millisecond
	thinkTimeMedianSeconds = 60.0 // seconds until a chat's next turn
	thinkTimeSigma         = 1.0  // of the logarithm: a few chats return only after tens of minutes
	workspaceZipfExponent  = 1.1  // Zipf exponent of the workspaces' shares
)

// languageFactor is how many tokens a text takes relative to English; chats of many languages have contexts of
// very different lengths.
var languageTokenFactors = []float64{1, 1.2, 1.5, 1.9, 2.4, 3.2}

// request is one turn of a chat.
type request struct {
	at            time.Duration
	workspace     int
	chat          uint64
	prefixTokens  int // tokens of the workspace's shared prefix
	historyTokens int // tokens of the chat's earlier turns
	addedTokens   int // tokens of this turn, prompt and answer
	duration      time.Duration
}

func (r *request) prefixKey() uint64 { return uint64(r.workspace) }

func (r *request) chatKey() uint64 { return 1<<32 + r.chat }

func (r *request) workspaceName() string { return "workspace-" + strconv.Itoa(r.workspace) }

// newTrace returns the requests in order of time; the same configuration gives the same trace.
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
			answer := int(float64(40+rng.IntN(200)) * tokenFactor)
			trace = append(trace, request{
				at: at, workspace: ws, chat: chat, prefixTokens: prefixTokens[ws], historyTokens: history, addedTokens: prompt + answer,
				duration: time.Duration(answer) * timePerToken,
			})
			history += prompt + answer
			thinkTimeSeconds := thinkTimeMedianSeconds * math.Exp(thinkTimeSigma*rng.NormFloat64())
			at += time.Duration(answer)*timePerToken + time.Duration(thinkTimeSeconds*float64(time.Second))
			if rng.IntN(meanTurns) == 0 || at > traceDuration {
				break
			}
		}
	}
	slices.SortStableFunc(trace, func(a, b request) int { return int(a.at - b.at) })
	return trace
}
