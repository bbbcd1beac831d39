package applier

import (
	"fmt"
	"strings"
)

const (
	// retentionMillis is how long claims with their answers, and gone endpoints, are retained after the last change.
	retentionMillis = 24 * 60 * 60 * 1000
	// maxExpiredPerCommand and maxExpiredPerTick limit the expiry work per entry. They exceed the one claim that a
	// command can add, so that claims expire as fast as they are added.
	maxExpiredPerCommand = 4
	maxExpiredPerTick    = 1024
	// MaxAnswerBytes limits the body of a recorded answer.
	MaxAnswerBytes = 1 << 20
	maxNameBytes   = 256
)

// ClaimState is the state of a claim on a non-idempotent operation.
type ClaimState string

// States of a claim.
const (
	ClaimRunning ClaimState = "running"
	// ClaimReleased means that the current generation did not run, so that the next claim gets the next generation.
	ClaimReleased ClaimState = "released"
	ClaimDone     ClaimState = "done"
	ClaimUnknown  ClaimState = "unknown"
)

// Answer is a recorded HTTP response.
type Answer struct {
	Status int    `cbor:"1,keyasint" json:"status"`
	Type   string `cbor:"2,keyasint" json:"type"`
	Body   []byte `cbor:"3,keyasint" json:"body"`
}

// ClaimRecord is the stored claim of an operation.
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

// Claim requests the right to run an operation at an endpoint. With an empty endpoint it grants nothing: it releases
// the generation that did not run, if any, and returns the claim.
type Claim struct {
	Operation   string `cbor:"1,keyasint"`
	Digest      string `cbor:"2,keyasint"`
	Workspace   string `cbor:"3,keyasint,omitempty"`
	Endpoint    string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	// NotRun is the generation that the agent has refused and will not run; 0 if none.
	NotRun uint64 `cbor:"6,keyasint,omitempty"`
}

// RecordOutcome records the outcome of a run: an answer, not run, or unknown.
type RecordOutcome struct {
	Operation  string  `cbor:"1,keyasint"`
	Generation uint64  `cbor:"2,keyasint"`
	Answer     *Answer `cbor:"3,keyasint,omitempty"`
	NotRun     bool    `cbor:"4,keyasint,omitempty"`
}

// ResolveOperation records an operator's decision on an unknown outcome: the answer to return to callers from then
// on, or that the operation did not run and may be claimed again.
type ResolveOperation struct {
	Operation string  `cbor:"1,keyasint"`
	Answer    *Answer `cbor:"2,keyasint,omitempty"`
	NotRun    bool    `cbor:"3,keyasint,omitempty"`
}

func runningKey(endpoint, operation string) string { return endpoint + "\x00" + operation }

func expiryKey(millis int64, operation string) string {
	return fmt.Sprintf("%020d/%s", millis, operation)
}

// putClaim stores a claim, extends its expiry and updates the indexes by endpoint and by expiry.
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

// claim grants an operation that has no claim, or whose last generation did not run. Any other request, including a
// retry after a lost response, gets the current state.
func (a *Applier) claim(c *Claim) error {
	if c.Operation == "" || len(c.Operation) > maxNameBytes || len(c.Digest) > maxNameBytes {
		return refuse(CodeInvalid, "operation must have 1 to %[1]d bytes, digest at most %[1]d", maxNameBytes)
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
		return refuse(CodeStaleIncarnation, "endpoint %q is gone or not at incarnation %d", c.Endpoint, c.Incarnation)
	}
	a.result.Claim, a.result.Granted = &next, true
	return a.putClaim(old, &next)
}

// releaseClaim records that the current generation did not run. An operation without a claim is reported as released
// at generation 0, and nothing is stored for it.
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

// recordOutcome accepts an answer or "not run" even after an unknown outcome, because the report of the granted run is
// authoritative, unless an operator has resolved the claim.
func (a *Applier) recordOutcome(c *RecordOutcome) error {
	if c.Answer != nil && len(c.Answer.Body) > MaxAnswerBytes {
		return refuse(CodeInvalid, "answer body has %d bytes; the limit is %d bytes", len(c.Answer.Body), MaxAnswerBytes)
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
	isTransition := old.State == ClaimRunning || (old.State == ClaimUnknown && next.State != ClaimUnknown)
	if !isTransition {
		if old.State != next.State {
			return refuse(CodeConflict, "claim of operation %q is already %s", c.Operation, old.State)
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
		return refuse(CodeInvalid, "exactly one of answer and notRun must be set")
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
		return refuse(CodeConflict, "operation %q is %s; only state unknown can be resolved", c.Operation, old.State)
	}
	a.result.Claim = &next
	if err := a.putClaim(old, &next); err != nil {
		return err
	}
	return a.appendAudit("resolve operation", c.Operation, string(next.State))
}

// isVisible reports whether the key may access a claim; team keys see only claims of their team's workspaces.
func (a *Applier) isVisible(k *Key, c *ClaimRecord) bool {
	return k.Team == "" || a.view.Workspaces[c.Workspace].Team == k.Team
}

// markClaimsUnknown sets the running claims of an endpoint to an unknown outcome.
func (a *Applier) markClaimsUnknown(endpoint string) error {
	prefix := runningKey(endpoint, "")
	runningKeys, err := keysWhile(a.w, tableRunning, prefix, func(key string) bool {
		return strings.HasPrefix(key, prefix)
	})
	if err != nil {
		return err
	}
	for _, key := range runningKeys {
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

// expire deletes expired claims and, on a tick, expired verdicts. The expiry of a running claim is extended instead,
// because its run may still end.
func (a *Applier) expire(c *Command) error {
	limit := maxExpiredPerCommand
	if c.Tick != nil {
		limit = maxExpiredPerTick
		if err := a.expireVerdicts(); err != nil {
			return err
		}
	}
	end := expiryKey(a.meta.Time, "")
	expired, err := keysWhile(a.w, tableExpiry, "", func(key string) bool {
		limit--
		return limit >= 0 && key < end
	})
	if err != nil {
		return err
	}
	for _, key := range expired {
		old, err := get[ClaimRecord](a.w, tableClaims, key[21:]) // after the 20 digits and the slash
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
