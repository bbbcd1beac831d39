package applier

import (
	"fmt"
	"strings"
)

const (
	// retentionMillis is how long claims and answers are kept after their last change.
	retentionMillis = 24 * 60 * 60 * 1000
	// expiredPerCommand and expiredPerTick bound the work of one entry; together they exceed one new claim
	// for each command.
	maxExpiredPerCommand = 4
	maxExpiredPerTick    = 1024
	// MaxAnswerBytes bounds a recorded answer.
	MaxAnswerBytes = 1 << 20
	maxNameBytes   = 256
)

// ClaimState is the state of an operation that may not be repeated.
type ClaimState string

// States of a claim.
const (
	ClaimRunning ClaimState = "running"
	// ClaimReleased means that the present generation never ran, so the next claim gets the next generation.
	ClaimReleased ClaimState = "released"
	ClaimDone     ClaimState = "done"
	ClaimUnknown  ClaimState = "unknown"
)

// Answer is a recorded answer.
type Answer struct {
	Status int    `cbor:"1,keyasint" json:"status"`
	Type   string `cbor:"2,keyasint" json:"type"`
	Body   []byte `cbor:"3,keyasint" json:"body"`
}

// ClaimRecord is an operation as the control group keeps it.
type ClaimRecord struct {
	Operation   string     `cbor:"1,keyasint" json:"operation"`
	Digest      string     `cbor:"2,keyasint" json:"digest"`
	Workspace   string     `cbor:"3,keyasint,omitempty" json:"workspace,omitempty"`
	Endpoint    string     `cbor:"4,keyasint" json:"endpoint"`
	Incarnation uint64     `cbor:"5,keyasint" json:"incarnation"`
	Generation  uint64     `cbor:"6,keyasint" json:"generation"`
	State       ClaimState `cbor:"7,keyasint" json:"state"`
	Answer      *Answer    `cbor:"8,keyasint,omitempty" json:"answer,omitempty"`
	Expires     int64      `cbor:"9,keyasint" json:"expires"`
	ResolvedBy  string     `cbor:"10,keyasint,omitempty" json:"resolvedBy,omitempty"`
}

// ClaimRun asks for the right to run an operation at an endpoint. With an empty endpoint it only reads the claim,
// after it has released the generation that did not run.
type Claim struct {
	Operation   string `cbor:"1,keyasint"`
	Digest      string `cbor:"2,keyasint"`
	Workspace   string `cbor:"3,keyasint,omitempty"`
	Endpoint    string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	// NotRun is the generation that the agent refused for good; 0 if none.
	NotRun uint64 `cbor:"6,keyasint,omitempty"`
}

// Settle records how a run ended: with an answer, not run, or with an unknown outcome.
type RecordOutcome struct {
	Operation  string  `cbor:"1,keyasint"`
	Generation uint64  `cbor:"2,keyasint"`
	Answer     *Answer `cbor:"3,keyasint,omitempty"`
	NotRun     bool    `cbor:"4,keyasint,omitempty"`
}

// Resolve records an operator's finding about an unknown outcome: the answer that callers get from now on, or
// that the operation did not run, so that it may be claimed again.
type ResolveOperation struct {
	Operation string  `cbor:"1,keyasint"`
	Answer    *Answer `cbor:"2,keyasint,omitempty"`
	NotRun    bool    `cbor:"3,keyasint,omitempty"`
}

func runningKey(endpoint, operation string) string { return endpoint + "\x00" + operation }

func expiryKey(millis int64, operation string) string {
	return fmt.Sprintf("%020d/%s", millis, operation)
}

// putClaim stores a claim and keeps the indexes by endpoint and by expiry.
func (a *Applier) putClaim(old, c *ClaimRecord) error {
	if old == nil {
		a.meta.Claims++
	} else {
		if err := a.w.Delete(tableExpiry, expiryKey(old.Expires, old.Operation)); err != nil {
			return err
		}
		if old.State == ClaimRunning {
			if err := a.w.Delete(tableRunning, runningKey(old.Endpoint, old.Operation)); err != nil {
				return err
			}
		}
	}
	c.Expires = a.meta.Time + retentionMillis
	if err := a.w.Put(tableExpiry, expiryKey(c.Expires, c.Operation), []byte{1}); err != nil {
		return err
	}
	if c.State == ClaimRunning {
		if err := a.w.Put(tableRunning, runningKey(c.Endpoint, c.Operation), []byte{1}); err != nil {
			return err
		}
	}
	return put(a.w, tableClaims, c.Operation, c)
}

// claim grants an operation that has no claim, or whose last generation did not run. Every other claim, also
// one sent again after a lost reply, gets the present state.
func (a *Applier) claim(c *Claim) error {
	if c.Operation == "" || len(c.Operation) > maxNameBytes || len(c.Digest) > maxNameBytes {
		return refuse(CodeInvalid, "operation and digest: allowed: 1 to %d bytes", maxNameBytes)
	}
	old, err := get[ClaimRecord](a.w, tableClaims, c.Operation)
	if err != nil {
		return err
	}
	next := ClaimRecord{
		Operation: c.Operation, Digest: c.Digest, Workspace: c.Workspace, Endpoint: c.Endpoint,
		Incarnation: c.Incarnation, Generation: 1, State: ClaimRunning,
	}
	if old != nil {
		if old.Digest != c.Digest {
			a.result.Claim, a.result.Conflict = old, true
			return nil
		}
		notRun := old.State == ClaimRunning && c.NotRun == old.Generation
		if old.State != ClaimReleased && !notRun {
			a.result.Claim = old
			return nil
		}
		next.Generation = old.Generation + 1
	}
	if c.Endpoint == "" {
		return a.releaseClaim(c, old)
	}
	e, err := get[EndpointRecord](a.w, tableEndpoints, c.Endpoint)
	if err != nil {
		return err
	}
	if e == nil || e.Incarnation != c.Incarnation || e.Gone {
		return refuse(CodeStaleIncarnation, "endpoint %q does not have incarnation %d", c.Endpoint, c.Incarnation)
	}
	a.result.Claim, a.result.Granted = &next, true
	return a.putClaim(old, &next)
}

// release commits that the present generation never ran. An operation without a claim is reported as released with
// generation 0, and nothing is stored for it.
func (a *Applier) releaseClaim(c *Claim, old *ClaimRecord) error {
	if old == nil {
		a.result.Claim = &ClaimRecord{Operation: c.Operation, Digest: c.Digest, State: ClaimReleased}
		return nil
	}
	next := *old
	next.State = ClaimReleased
	a.result.Claim = &next
	if old.State == ClaimReleased {
		return nil
	}
	return a.putClaim(old, &next)
}

// settle accepts an answer also after an unknown outcome, because the answer of the run that was granted is
// better knowledge, unless an operator has resolved the claim.
func (a *Applier) recordOutcome(c *RecordOutcome) error {
	if c.Answer != nil && len(c.Answer.Body) > MaxAnswerBytes {
		return refuse(CodeInvalid, "answer has %d bytes; allowed: at most %d", len(c.Answer.Body), MaxAnswerBytes)
	}
	old, err := get[ClaimRecord](a.w, tableClaims, c.Operation)
	if err != nil {
		return err
	}
	if old == nil {
		return refuse(CodeNotFound, "no claim for operation %q", c.Operation)
	}
	a.result.Claim = old
	if old.Generation != c.Generation {
		return refuse(CodeConflict, "operation %q is at generation %d, not %d", c.Operation, old.Generation, c.Generation)
	}
	next := *old
	switch {
	case c.Answer != nil:
		next.State, next.Answer = ClaimDone, c.Answer
	case c.NotRun:
		next.State = ClaimReleased
	default:
		next.State = ClaimUnknown
	}
	isLater := old.State == ClaimRunning || (old.State == ClaimUnknown && next.State != ClaimUnknown)
	if !isLater {
		if old.State != next.State {
			return refuse(CodeConflict, "operation %q is already %s", c.Operation, old.State)
		}
		return nil
	}
	a.result.Claim = &next
	return a.putClaim(old, &next)
}

func (a *Applier) resolveOperation(c *ResolveOperation) error {
	k, err := a.authorize(RoleOperator)
	if err != nil {
		return err
	}
	if (c.Answer != nil) == c.NotRun {
		return refuse(CodeInvalid, "allowed: either an answer or notRun")
	}
	old, err := get[ClaimRecord](a.w, tableClaims, c.Operation)
	if err != nil {
		return err
	}
	if old == nil || !a.isVisible(k, old) {
		return refuse(CodeNotFound, "no claim for operation %q", c.Operation)
	}
	next := *old
	next.State, next.Answer, next.ResolvedBy = ClaimReleased, c.Answer, k.Name
	if c.Answer != nil {
		next.State = ClaimDone
	}
	a.result.Claim = old
	if old.ResolvedBy != "" && old.State == next.State {
		return nil
	}
	if old.State != ClaimUnknown {
		return refuse(CodeConflict, "operation %q is %s; only an unknown outcome can be resolved", c.Operation, old.State)
	}
	a.result.Claim = &next
	if err := a.putClaim(old, &next); err != nil {
		return err
	}
	return a.appendAudit("resolve operation", c.Operation, string(next.State))
}

// isVisible hides the operations of other teams' workspaces.
func (a *Applier) isVisible(k *Key, c *ClaimRecord) bool {
	return k.Team == "" || a.view.Workspaces[c.Workspace].Team == k.Team
}

// endClaims gives the running claims of an endpoint an unknown outcome.
func (a *Applier) markClaimsUnknown(endpoint string) error {
	prefix := runningKey(endpoint, "")
	list, err := keysWhile(a.w, tableRunning, prefix, func(key string) bool { return strings.HasPrefix(key, prefix) })
	if err != nil {
		return err
	}
	for _, key := range list {
		old, err := get[ClaimRecord](a.w, tableClaims, key[len(prefix):])
		if err != nil {
			return err
		}
		next := *old
		next.State = ClaimUnknown
		if err := a.putClaim(old, &next); err != nil {
			return err
		}
	}
	return nil
}

// expire removes what is over by the clock of the state. A running claim stays, because its run may still end.
func (a *Applier) expire(c *Command) error {
	limit := maxExpiredPerCommand
	if c.Tick != nil {
		limit = maxExpiredPerTick
		if err := a.expireVerdicts(); err != nil {
			return err
		}
	}
	last := expiryKey(a.meta.Time, "")
	due, err := keysWhile(a.w, tableExpiry, "", func(key string) bool {
		limit--
		return limit >= 0 && key < last
	})
	if err != nil {
		return err
	}
	for _, key := range due {
		old, err := get[ClaimRecord](a.w, tableClaims, key[21:])
		if err != nil {
			return err
		}
		if old.State == ClaimRunning {
			next := *old
			if err := a.putClaim(old, &next); err != nil {
				return err
			}
			continue
		}
		if err := a.w.Delete(tableExpiry, key); err != nil {
			return err
		}
		if err := a.w.Delete(tableClaims, old.Operation); err != nil {
			return err
		}
		a.meta.Claims--
	}
	return nil
}
