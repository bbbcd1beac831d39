package agent

import (
	"sync"
	"time"

	"cactusroute.dev/adapters/relayer"
)

// claimTTL is how long control keeps claims, and thus how long a run message may refer to one.
const claimTTL = 24 * time.Hour

// responseTTL is how long a response is served from memory after control has recorded it.
const responseTTL = time.Minute

type operationState uint8

const (
	operationPending   operationState = iota // not forwarded yet
	operationForwarded                       // may have run, so it can no longer be refused
	operationRefused                         // will not run with this generation
	operationEnded                           // ended with a response or an unknown outcome
)

// operation is the run of one generation.
type operation struct {
	generation  uint64
	state       operationState
	refusal     *relayer.RefusalError
	head        relayer.Head
	body        []byte
	hasResponse bool   // head and body are the committed response
	problem     string // why the outcome is unknown
	ended       time.Time
	done        chan struct{} // closed in the last two states
}

// isRefusalFinal reports whether the generation was refused for all routers, so that its claim may move to the next
// generation. A generation of another incarnation, or one before the newest, may have run elsewhere.
func (o *operation) isRefusalFinal() bool {
	return o.state == operationRefused && o.refusal.Reason != relayer.ReasonOtherIncarnation &&
		o.refusal.Reason != relayer.ReasonDuplicate
}

// operationTable decides which run messages start a run: at most one for each generation of an operation, and none for
// a refused generation, regardless of the order and number of messages.
type operationTable struct {
	mu              sync.Mutex
	byID            map[string]*operation
	ownIncarnations map[uint64]struct{} // incarnations that control has assigned to this process
	lastSweep       time.Time
}

func newOperationTable() *operationTable {
	return &operationTable{byID: map[string]*operation{}, ownIncarnations: map[uint64]struct{}{}}
}

// startOrJoin returns the run that the message starts or joins. A refused generation remains refused.
func (t *operationTable) startOrJoin(
	now time.Time, m *relayer.Operation, incarnation uint64,
) (op *operation, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	t.addIncarnationLocked(incarnation)
	_, isOwn := t.ownIncarnations[m.Incarnation]
	existing := t.byID[m.ID]
	switch {
	case existing != nil && m.Generation < existing.generation:
		// A claim moves to a later generation only after a refusal, so the earlier generation has not run here.
		return refusedOperation(m.Generation, now, relayer.ReasonDuplicate), false
	case existing != nil && m.Generation == existing.generation:
		return existing, false
	case existing != nil && existing.state != operationRefused:
		return refusedOperation(m.Generation, now, relayer.ReasonDuplicate), false
	case !isOwn:
		// An earlier or later process of this endpoint may have run it, so the outcome cannot be "not run".
		return unknownOperation(m.Generation, now, "run message is for another process of the agent"), false
	case m.Incarnation != incarnation:
		op = refusedOperation(m.Generation, now, relayer.ReasonOtherIncarnation)
		t.byID[m.ID] = op
		return op, false
	}
	op = &operation{generation: m.Generation, done: make(chan struct{})}
	t.byID[m.ID] = op
	return op, true
}

func refusedOperation(generation uint64, now time.Time, reason relayer.Reason) *operation {
	done := make(chan struct{})
	close(done)
	return &operation{
		generation: generation, state: operationRefused, refusal: &relayer.RefusalError{Reason: reason}, done: done,
		ended: now,
	}
}

func unknownOperation(generation uint64, now time.Time, problem string) *operation {
	done := make(chan struct{})
	close(done)
	return &operation{generation: generation, state: operationEnded, problem: problem, done: done, ended: now}
}

// addIncarnation records an incarnation that control has assigned to this process.
func (t *operationTable) addIncarnation(incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addIncarnationLocked(incarnation)
}

func (t *operationTable) addIncarnationLocked(incarnation uint64) {
	if incarnation != 0 { // 0 means that control has not assigned one yet
		t.ownIncarnations[incarnation] = struct{}{}
	}
}

// markForwarded records that the endpoint may receive the request from now on.
func (t *operationTable) markForwarded(op *operation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	op.state = operationForwarded
}

// refuse ends a run whose request the endpoint has not received.
func (t *operationTable) refuse(op *operation, r *relayer.RefusalError) {
	t.mu.Lock()
	defer t.mu.Unlock()
	op.state, op.refusal, op.ended = operationRefused, r, time.Now()
	close(op.done)
}

// finish ends a run with its committed response, or with an unknown outcome if problem is not empty.
func (t *operationTable) finish(op *operation, head relayer.Head, body []byte, problem string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	op.state, op.problem, op.ended = operationEnded, problem, time.Now()
	if problem == "" {
		op.head, op.body, op.hasResponse = head, body, true
	}
	close(op.done)
}

// result returns a copy of an ended run.
func (t *operationTable) result(op *operation) operation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return *op
}

// sweep deletes responses that control has recorded, and runs that no message can refer to anymore.
func (t *operationTable) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < responseTTL {
		return
	}
	t.lastSweep = now
	for id, op := range t.byID {
		switch {
		case op.ended.IsZero():
		case now.Sub(op.ended) > claimTTL:
			delete(t.byID, id)
		case op.hasResponse && now.Sub(op.ended) > responseTTL:
			op.body, op.hasResponse = nil, false
			op.problem = "response is no longer in memory; control has recorded it"
		}
	}
}
