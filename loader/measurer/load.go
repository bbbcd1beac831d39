package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"cactusroute.dev/adapters/pauser"
	"cactusroute.dev/fakeengine"
	"cactusroute.dev/loader/caller"
	"cactusroute.dev/loader/tracer"
)

const (
	callerAttempts = 8
	// probePause is the time between two probes of a pair, one through the fleet and one to an engine directly.
	probePause = 100 * time.Millisecond
	probeWords = 20
	// duplicates is how many callers send each operation at the same time through different routers.
	duplicates      = 3
	operationsPause = 100 * time.Millisecond
)

// sample is one served request.
type sample struct {
	at     time.Duration // since the start of the load
	kind   kind
	turn   tracer.Turn
	result caller.Result
	// reusable is how many prompt tokens an endpoint may have cached from the chat's last turn.
	reusable int
}

type kind string

const (
	kindChat   kind = "chat"
	kindFleet  kind = "probeFleet"
	kindDirect kind = "probeDirect"
	kindSurge  kind = "surge"
)

// load sends a trace and operations, and keeps what came back.
type load struct {
	fleet  *fleet
	trace  *tracer.Trace
	caller *caller.Caller
	direct *caller.Caller
	begun  time.Time
	seed   uint64

	mu         sync.Mutex
	samples    []sample
	operations []operation
	wg         sync.WaitGroup
}

// operation is one operation with what each of its callers got.
type operation struct {
	key     string
	results []caller.OperationResult
}

func expect(prompt string) string { return fakeengine.Text(prompt, 0, answerTokens) }

func newLoad(f *fleet, cfg tracer.Config) *load {
	engines := make([]string, 0, len(f.engines))
	for _, e := range f.engines {
		engines = append(engines, e.address)
	}
	return &load{
		fleet: f, trace: tracer.New(cfg), begun: time.Now(), seed: cfg.Seed,
		caller: caller.New(f.router, callerAttempts, expect),
		direct: caller.New(engines, 1, expect),
	}
}

func (l *load) since() time.Duration { return time.Since(l.begun) }

func (l *load) add(s sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}

// run sends the trace's turns at their times.
func (l *load) run(ctx context.Context) {
	l.begun = time.Now()
	chats := map[int]*chat{}
	for _, t := range l.trace.Turns {
		c := chats[t.Chat]
		if c == nil {
			c = l.newChat(t)
			chats[t.Chat] = c
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(t.At - l.since()):
		}
		l.wg.Go(func() { c.take(ctx, l, t) })
	}
}

// chat is one conversation; its turns follow each other.
type chat struct {
	mu       sync.Mutex
	key      string
	id       string
	messages []caller.Message
	tokens   int // prompt tokens of the last turn
}

func (l *load) newChat(t tracer.Turn) *chat {
	return &chat{
		key: l.fleet.firm.Workspaces[t.Workspace].Key, id: fmt.Sprintf("chat-%d", t.Chat),
		messages: []caller.Message{{Role: "system", Content: l.trace.Systems[t.Workspace]}},
	}
}

func (c *chat) take(ctx context.Context, l *load, t tracer.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	messages := append(slices.Clone(c.messages), caller.Message{Role: "user", Content: t.Text})
	at := l.since()
	r := l.caller.Send(ctx, &caller.Chat{Key: c.key, Conversation: c.id, Model: l.fleet.firm.Model, Messages: messages})
	if ctx.Err() != nil {
		return
	}
	l.add(sample{at: at, kind: kindChat, turn: t, result: r, reusable: c.tokens})
	if r.Outcome == caller.OutcomeWhole {
		messages = append(messages, caller.Message{Role: "assistant", Content: r.Text})
		c.messages = messages
		c.tokens = r.PromptTokens
	}
}

// probe sends equal short requests through the fleet and to the engines directly, in turn.
func (l *load) probe(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.seed, 1))
	for n := 0; ctx.Err() == nil; n++ {
		text := fmt.Sprintf("probe %d %d%s", n, rng.Uint64(), strings.Repeat(" wool", probeWords))
		c := caller.Chat{
			Key: l.fleet.firm.Workspaces[n%5].Key, Model: l.fleet.firm.Model,
			Messages: []caller.Message{{Role: "user", Content: text}},
		}
		through, k := l.caller, kindFleet
		if n%2 == 1 {
			through, k = l.direct, kindDirect
		}
		l.wg.Go(func() {
			at := l.since()
			r := through.Send(ctx, &c)
			if ctx.Err() == nil {
				l.add(sample{at: at, kind: k, result: r})
			}
		})
		pauser.Pause(ctx, probePause/2)
	}
}

// surge sends requests of one workspace without pause from many callers.
func (l *load) surge(ctx context.Context, workspace, callers int) {
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				c := caller.Chat{
					Key: l.fleet.firm.Workspaces[workspace].Key, Model: l.fleet.firm.Model,
					Messages: []caller.Message{{Role: "user", Content: fmt.Sprintf("surge %d %d", n, i)}},
				}
				at := l.since()
				r := l.caller.Send(ctx, &c)
				if ctx.Err() == nil {
					l.add(sample{at: at, kind: kindSurge, result: r})
				}
				pauser.Pause(ctx, 10*time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// operate sends operations, each by several callers at once under one key.
func (l *load) operate(ctx context.Context) {
	f := l.fleet
	for n := 0; ctx.Err() == nil; n++ {
		op := caller.Operation{
			Key: f.firm.Workspaces[n%5].Key, Service: f.firm.Service, Path: f.firm.OperationPath,
			IdempotencyKey: fmt.Sprintf("op-%d-%d", l.seed, n), Body: fmt.Sprintf(`{"order":%d}`, n),
		}
		l.wg.Go(func() { l.operateOnce(context.WithoutCancel(ctx), &op) })
		pauser.Pause(ctx, operationsPause)
	}
}

func (l *load) operateOnce(ctx context.Context, op *caller.Operation) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	results := make([]caller.OperationResult, duplicates)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = l.caller.Operate(ctx, op) })
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operations = append(l.operations, operation{key: op.IdempotencyKey, results: results})
}
