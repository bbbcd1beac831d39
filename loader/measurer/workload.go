package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"cactusroute.dev/adapters/sleeper"
	"cactusroute.dev/fakeengine"
	"cactusroute.dev/loader/caller"
	"cactusroute.dev/loader/generator"
)

const (
	callerAttempts = 8
	// probeInterval is the time between two probes of the same kind; probes through a router and directly to an engine
	// alternate.
	probeInterval = 100 * time.Millisecond
	probeWords    = 20
	// callersPerOperation is the number of callers that send each operation concurrently, through different routers.
	callersPerOperation = 3
	operationInterval   = 100 * time.Millisecond
)

// requestSample is one request with its result.
type requestSample struct {
	at     time.Duration // since the start of the workload
	kind   sampleKind
	turn   generator.Turn
	result caller.ChatResult
	// reusableTokens is the number of prompt tokens of the chat's previous turn, which an endpoint may have cached.
	reusableTokens int
}

type sampleKind string

const (
	kindChat        sampleKind = "chat"
	kindFleetProbe  sampleKind = "probeFleet"
	kindDirectProbe sampleKind = "probeDirect"
	kindSurge       sampleKind = "surge"
)

// workload sends chats, probes and operations, and records the results.
type workload struct {
	fleet     *fleet
	trace     *generator.Trace
	caller    *caller.Caller
	direct    *caller.Caller
	startedAt time.Time
	seed      uint64

	mu         sync.Mutex
	samples    []requestSample
	operations []operationSample
	wg         sync.WaitGroup
}

// operationSample is one operation with the result of each of its callers.
type operationSample struct {
	idempotencyKey string
	results        []caller.OperationResult
}

func expectedText(prompt string) string { return fakeengine.Text(prompt, 0, responseTokens) }

func newWorkload(f *fleet, cfg generator.Config) *workload {
	engines := make([]string, 0, len(f.engines))
	for _, e := range f.engines {
		engines = append(engines, e.address)
	}
	return &workload{
		fleet: f, trace: generator.Generate(cfg), startedAt: time.Now(), seed: cfg.Seed,
		caller: caller.New(f.routerAddresses, callerAttempts, expectedText),
		direct: caller.New(engines, 1, expectedText),
	}
}

func (w *workload) elapsed() time.Duration { return time.Since(w.startedAt) }

func (w *workload) addSample(s requestSample) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples = append(w.samples, s)
}

// sendTrace sends the turns of the trace at their times.
func (w *workload) sendTrace(ctx context.Context) {
	w.startedAt = time.Now()
	chats := map[int]*chat{}
	for _, t := range w.trace.Turns {
		c := chats[t.Chat]
		if c == nil {
			c = w.newChat(t)
			chats[t.Chat] = c
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(t.At - w.elapsed()):
		}
		w.wg.Go(func() { c.sendTurn(ctx, w, t) })
	}
}

// chat is the state of one chat; its turns are sent one after the other.
type chat struct {
	mu           sync.Mutex
	key          string
	id           string
	messages     []caller.Message
	promptTokens int // of the last complete turn
}

func (w *workload) newChat(t generator.Turn) *chat {
	return &chat{
		key: w.fleet.scenario.Workspaces[t.Workspace].Key, id: fmt.Sprintf("chat-%d", t.Chat),
		messages: []caller.Message{{Role: "system", Content: w.trace.SystemPrompts[t.Workspace]}},
	}
}

func (c *chat) sendTurn(ctx context.Context, w *workload, t generator.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	messages := append(slices.Clone(c.messages), caller.Message{Role: "user", Content: t.Text})
	at := w.elapsed()
	r := w.caller.SendChat(ctx, &caller.ChatRequest{
		Key: c.key, ChatID: c.id, Model: w.fleet.scenario.Model, Messages: messages,
	})
	if ctx.Err() != nil {
		return
	}
	w.addSample(requestSample{at: at, kind: kindChat, turn: t, result: r, reusableTokens: c.promptTokens})
	if r.Outcome == caller.OutcomeComplete {
		messages = append(messages, caller.Message{Role: "assistant", Content: r.Text})
		c.messages = messages
		c.promptTokens = r.PromptTokens
	}
}

// sendProbes sends short requests of equal length alternately through the routers and directly to the engines.
func (w *workload) sendProbes(ctx context.Context) {
	rng := rand.New(rand.NewPCG(w.seed, 1))
	for n := 0; ctx.Err() == nil; n++ {
		text := fmt.Sprintf("probe %d %d%s", n, rng.Uint64(), strings.Repeat(" wool", probeWords))
		c := caller.ChatRequest{
			Key: w.fleet.scenario.Workspaces[n%5].Key, Model: w.fleet.scenario.Model,
			Messages: []caller.Message{{Role: "user", Content: text}},
		}
		target, k := w.caller, kindFleetProbe
		if n%2 == 1 {
			target, k = w.direct, kindDirectProbe
		}
		w.wg.Go(func() {
			at := w.elapsed()
			r := target.SendChat(ctx, &c)
			if ctx.Err() == nil {
				w.addSample(requestSample{at: at, kind: k, result: r})
			}
		})
		sleeper.Pause(ctx, probeInterval/2)
	}
}

// sendSurge sends requests of one workspace from many callers, each with a pause of only 10 ms between requests.
func (w *workload) sendSurge(ctx context.Context, workspace, callers int) {
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				c := caller.ChatRequest{
					Key: w.fleet.scenario.Workspaces[workspace].Key, Model: w.fleet.scenario.Model,
					Messages: []caller.Message{{Role: "user", Content: fmt.Sprintf("surge %d %d", n, i)}},
				}
				at := w.elapsed()
				r := w.caller.SendChat(ctx, &c)
				if ctx.Err() == nil {
					w.addSample(requestSample{at: at, kind: kindSurge, result: r})
				}
				sleeper.Pause(ctx, 10*time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// sendOperations sends operations, each from several callers concurrently with the same idempotency key.
func (w *workload) sendOperations(ctx context.Context) {
	f := w.fleet
	for n := 0; ctx.Err() == nil; n++ {
		op := caller.Operation{
			Key: f.scenario.Workspaces[n%5].Key, Service: f.scenario.Service, Path: f.scenario.OperationPath,
			IdempotencyKey: fmt.Sprintf("op-%d-%d", w.seed, n), Body: fmt.Sprintf(`{"order":%d}`, n),
		}
		w.wg.Go(func() { w.sendOperation(context.WithoutCancel(ctx), &op) })
		sleeper.Pause(ctx, operationInterval)
	}
}

func (w *workload) sendOperation(ctx context.Context, op *caller.Operation) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	results := make([]caller.OperationResult, callersPerOperation)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = w.caller.SendOperation(ctx, op) })
	}
	wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.operations = append(w.operations, operationSample{idempotencyKey: op.IdempotencyKey, results: results})
}
