package generator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Config describes the trace to generate.
type Config struct {
	Seed       uint64
	Workspaces []Workspace
	// ConcurrentChats is the number of chats open at a time; a chat that ends is followed by a new one.
	ConcurrentChats int
	Duration        time.Duration
	// RampUp is the time within which the first chats start.
	RampUp time.Duration
	// MeanTurns is the mean number of turns of a chat.
	MeanTurns float64
	// MedianTurnInterval is the median time from the start of a turn to the next turn of the chat.
	MedianTurnInterval time.Duration
	// SystemWords and TurnWords are the lengths of a workspace's system prompt and of a user message, in words.
	SystemWords int
	TurnWords   int
}

// Workspace describes the chats of one workspace.
type Workspace struct {
	Name     string
	Key      string
	Language Language
	// Share is the workspace's share of all chats, relative to those of the other workspaces.
	Share float64
}

// Language is the language of a workspace's chats.
type Language string

// Languages of the two scenarios.
const (
	Slovak    Language = "sk"
	Czech     Language = "cs"
	Hungarian Language = "hu"
	Swahili   Language = "sw"
	English   Language = "en"
	French    Language = "fr"
)

// Turn is one request of a chat.
type Turn struct {
	At        time.Duration // since the start of the trace
	Chat      int
	Number    int
	Workspace int
	Text      string
}

// Trace is a list of turns ordered by time, and the system prompt of each workspace.
type Trace struct {
	Turns         []Turn
	SystemPrompts []string
}

// turnIntervalSigma is the sigma of the log-normal turn intervals; one in ten exceeds 3.6 times the median.
const turnIntervalSigma = 1.0

// Generate returns the trace of a configuration; equal configurations give equal traces.
func Generate(cfg Config) *Trace {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0x7261636574726163))
	t := &Trace{}
	for i := range cfg.Workspaces {
		ws := &cfg.Workspaces[i]
		t.SystemPrompts = append(t.SystemPrompts, ws.Name+": "+randomWords(rng, ws.Language, cfg.SystemWords))
	}
	nextChat := 0
	for range cfg.ConcurrentChats {
		at := time.Duration(rng.Float64() * float64(cfg.RampUp))
		for at < cfg.Duration {
			at = t.addChat(rng, &cfg, nextChat, at)
			nextChat++
		}
	}
	slices.SortStableFunc(t.Turns, func(a, b Turn) int { return cmp.Compare(a.At, b.At) })
	return t
}

// addChat appends the turns of one chat and returns the time at which the next chat starts.
func (t *Trace) addChat(rng *rand.Rand, cfg *Config, chat int, at time.Duration) time.Duration {
	ws := pickWorkspace(rng, cfg.Workspaces)
	for n := 0; at < cfg.Duration; n++ {
		t.Turns = append(t.Turns, Turn{
			At: at, Chat: chat, Number: n, Workspace: ws,
			Text: fmt.Sprintf("chat-%d %s", chat, randomWords(rng, cfg.Workspaces[ws].Language, cfg.TurnWords)),
		})
		at += time.Duration(float64(cfg.MedianTurnInterval) * math.Exp(rng.NormFloat64()*turnIntervalSigma))
		if rng.Float64()*cfg.MeanTurns < 1 {
			break
		}
	}
	return at
}

func pickWorkspace(rng *rand.Rand, list []Workspace) int {
	var sum float64
	for _, w := range list {
		sum += w.Share
	}
	x := rng.Float64() * sum
	for i, w := range list {
		if x -= w.Share; x < 0 {
			return i
		}
	}
	return len(list) - 1
}

var vocabulary = map[Language][]string{
	Slovak:    {"päta", "ihla", "vlna", "hríbik", "štopkať", "priadza", "ponožka", "uzol", "diera", "steh"},
	Czech:     {"pata", "jehla", "vlna", "hříbek", "látat", "příze", "ponožka", "uzel", "díra", "steh"},
	Hungarian: {"sarok", "tű", "gyapjú", "gomba", "stoppol", "fonal", "zokni", "csomó", "lyuk", "öltés"},
	Swahili:   {"bidhaa", "lebo", "bandari", "dawa", "shehena", "usalama", "duka", "mzigo", "orodha", "tahadhari"},
	English:   {"manifest", "label", "harbour", "pharmacy", "cargo", "safety", "shop", "tag", "notice", "hazard"},
	French:    {"manifeste", "étiquette", "port", "pharmacie", "fret", "sécurité", "boutique", "notice", "lot", "danger"},
}

func randomWords(rng *rand.Rand, l Language, n int) string {
	list := vocabulary[l]
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(list[rng.IntN(len(list))])
	}
	return b.String()
}
