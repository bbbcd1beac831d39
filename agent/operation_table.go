package agent

import (
	"sync"
	"time"

	"cactusroute.dev/adapters/relayer"
)

// claimLife is how long control keeps claims, and so how long a run message may still refer to one.
const claimTTL = 24 * time.Hour

// answerLife is how long an answer is served from memory after control has it.
const responseTTL = time.Minute

type operationState uint8

const (
	operationPending   operationState = iota // not forwarded yet
	operationForwarded                       // may have run; it can no longer be refused
	operationRefused                         // will never run under this generation
	operationEnded                           // answer or unknown outcome
)

// operation is the run of one generation.
type operation struct {
	generation  uint64
	state       operationState
	refusal     *relayer.RefusalError
	head        relayer.Head
	body        []byte
	hasResponse bool   // head and body are the committed answer
	problem     string // why the outcome is unknown
	ended       time.Time
	done        chan struct{} // closed in the last two states
}

// isRemembered reports whether a refusal holds for the generation, so that its claim may move. A generation of another
// incarnation, or one before the newest, may have run elsewhere.
func (o *operation) isRefusalFinal() bool {
	return o.state == operationRefused && o.refusal.Reason != relayer.ReasonOtherIncarnation &&
		o.refusal.Reason != relayer.ReasonDuplicate
}

// operations decides which run messages start a run: at most one for each generation of an operation, and
// none for a generation that was refused, whatever the order and number of messages.
type operationTable struct {
	mu              sync.Mutex
	byID            map[string]*operation
	ownIncarnations map[uint64]struct{} // incarnations that this process has had
	lastSweep       time.Time
}

func newOperationTable() *operationTable {
	return &operationTable{byID: map[string]*operation{}, ownIncarnations: map[uint64]struct{}{}}
}

// begin returns the run that the message starts or joins. A refusal is remembered for its generation.
func (o *operationTable) startOrJoin(now time.Time, m *relayer.Operation, incarnation uint64) (op *operation, isNew bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep(now)
	o.addIncarnationLocked(incarnation)
	_, isOwn := o.ownIncarnations[m.Incarnation]
	old := o.byID[m.ID]
	switch {
	case old != nil && m.Generation < old.generation:
		// A claim moves to a later generation only after a refusal, so the earlier one never ran here.
		return refusedOperation(m.Generation, now, relayer.ReasonDuplicate), false
	case old != nil && m.Generation == old.generation:
		return old, false
	case old != nil && old.state != operationRefused:
		return refusedOperation(m.Generation, now, relayer.ReasonDuplicate), false
	case !isOwn:
		// An earlier or later process of this endpoint may have run it, so "not run" could be untrue.
		return unknownOperation(m.Generation, now, "the run belongs to another process of the agent"), false
	case m.Incarnation != incarnation:
		op = refusedOperation(m.Generation, now, relayer.ReasonOtherIncarnation)
		o.byID[m.ID] = op
		return op, false
	}
	op = &operation{generation: m.Generation, done: make(chan struct{})}
	o.byID[m.ID] = op
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

// observe adds an incarnation of this process.
func (o *operationTable) addIncarnation(incarnation uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addIncarnationLocked(incarnation)
}

func (o *operationTable) addIncarnationLocked(incarnation uint64) {
	if incarnation != 0 { // 0 means that control has issued none yet
		o.ownIncarnations[incarnation] = struct{}{}
	}
}

// forward marks that the endpoint may get the request from now on.
func (o *operationTable) markForwarded(op *operation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	op.state = operationForwarded
}

// refuse ends a run that the endpoint has not got.
func (o *operationTable) refuse(op *operation, r *relayer.RefusalError) {
	o.mu.Lock()
	defer o.mu.Unlock()
	op.state, op.refusal, op.ended = operationRefused, r, time.Now()
	close(op.done)
}

// finish ends a run with its committed answer, or with an unknown outcome if there is a problem.
func (o *operationTable) finish(op *operation, head relayer.Head, body []byte, problem string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	op.state, op.problem, op.ended = operationEnded, problem, time.Now()
	if problem == "" {
		op.head, op.body, op.hasResponse = head, body, true
	}
	close(op.done)
}

// result returns how an ended run ended.
func (o *operationTable) result(op *operation) operation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return *op
}

// sweep drops answers that control has, and runs that no message can refer to any more.
func (o *operationTable) sweep(now time.Time) {
	if now.Sub(o.lastSweep) < responseTTL {
		return
	}
	o.lastSweep = now
	for id, op := range o.byID {
		switch {
		case op.ended.IsZero():
		case now.Sub(op.ended) > claimTTL:
			delete(o.byID, id)
		case op.hasResponse && now.Sub(op.ended) > responseTTL:
			op.body, op.hasResponse = nil, false
			op.problem = "the answer is recorded by control"
		}
	}
}
