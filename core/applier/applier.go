package applier

import (
	"errors"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"cactusroute.dev/core/bundler"
	"cactusroute.dev/core/viewer"
)

// maxClockAdvanceMillis limits how far one tick, and the commands after it, may advance the state clock. With a tick
// every 5 s, a wrong wall clock of the leader expires claims at most twice as fast as normal.
const maxClockAdvanceMillis = 10_000

const metaKey = "meta"

type meta struct {
	Index         uint64
	ViewIndex     uint64
	Time          int64
	TickTime      int64
	BundleVersion uint64
	HighestBundle uint64
	Incarnation   uint64
	Audit         uint64
	Claims        int64
	Changes       uint64 // administration commands that changed something
}

// Applier is the replicated state machine; only one goroutine may call Apply.
type Applier struct {
	store   Store
	meta    meta
	view    *viewer.View
	inForce *bundler.Bundle // nil before the first rollout

	w             Writer
	command       *Command
	result        *Result
	viewChanges   []viewer.Change
	pendingBundle *bundler.Bundle
}

// New returns an Applier on an empty store.
func New(store Store) *Applier { return &Applier{store: store, view: viewer.NewView()} }

// View returns the routing view after the last applied entry.
func (a *Applier) View() *viewer.View { return a.view }

// Index returns the index of the last applied entry.
func (a *Applier) Index() uint64 { return a.meta.Index }

// ClaimCount returns the number of stored claims.
func (a *Applier) ClaimCount() int64 { return a.meta.Claims }

// NowMillis returns the state clock in Unix milliseconds.
func (a *Applier) NowMillis() int64 { return a.meta.Time }

// Apply applies one log entry and skips one that is already applied. After an error, which means that the store
// failed, the state must not be used.
func (a *Applier) Apply(index uint64, entry []byte) (r Result, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("apply entry %d: %w", index, err)
		}
	}()
	if index <= a.meta.Index {
		return Result{Index: index}, nil
	}
	oldMeta := a.meta
	r.Index = index
	updateErr := a.update(index, entry, &r)
	if !errors.As(updateErr, &r.Err) {
		if updateErr != nil {
			a.meta = oldMeta
			return Result{}, updateErr
		}
		return r, a.publish()
	}
	// A refused command changes only the applied index; its partial writes were rolled back.
	a.meta = oldMeta
	a.meta.Index = index
	r = Result{Err: r.Err, Index: index, Bundle: r.Bundle}
	return r, a.store.Update(func(w Writer) error { return put(w, tableMeta, metaKey, &a.meta) })
}

func (a *Applier) update(index uint64, entry []byte, r *Result) error {
	return a.store.Update(func(w Writer) error {
		a.w, a.result, a.viewChanges, a.pendingBundle = w, r, nil, nil
		a.meta.Index = index
		var c Command
		if err := cbor.Unmarshal(entry, &c); err != nil || c.Version < 1 || c.Version > CommandVersion {
			return refuse(CodeInvalid, "entry is not a command with a version from 1 to %d", CommandVersion)
		}
		a.command = &c
		a.advanceClock(&c)
		if err := a.dispatch(&c); err != nil {
			return err
		}
		if err := a.expire(&c); err != nil {
			return err
		}
		if len(a.viewChanges) > 0 {
			r.Delta = &viewer.Delta{
				From: a.meta.ViewIndex, To: index, BundleVersion: a.meta.BundleVersion, Changes: a.viewChanges,
			}
			a.meta.ViewIndex = index
		}
		return put(w, tableMeta, metaKey, &a.meta)
	})
}

func (a *Applier) publish() (err error) {
	if a.pendingBundle != nil {
		a.inForce = a.pendingBundle
	}
	if a.result.Delta != nil {
		a.view, err = a.view.Apply(*a.result.Delta)
	}
	return err
}

// advanceClock derives a monotonic state clock from the proposers' wall clocks.
func (a *Applier) advanceClock(c *Command) {
	if a.meta.Time == 0 {
		a.meta.Time, a.meta.TickTime = c.Time, c.Time
	}
	if c.Tick != nil {
		a.meta.TickTime = max(a.meta.TickTime, min(c.Time, a.meta.TickTime+maxClockAdvanceMillis))
	}
	a.meta.Time = max(a.meta.Time, a.meta.TickTime, min(c.Time, a.meta.TickTime+maxClockAdvanceMillis))
}

func (a *Applier) dispatch(c *Command) error {
	switch {
	case c.Bootstrap != nil:
		return a.bootstrap(c.Bootstrap)
	case c.PutBundle != nil:
		return a.putBundle(c.PutBundle)
	case c.SignBundle != nil:
		return a.signBundle(c.SignBundle)
	case c.RollOutBundle != nil:
		return a.rollOutBundle(c.RollOutBundle)
	case c.RestoreBundle != nil:
		return a.restoreBundle(c.RestoreBundle)
	case c.PutKey != nil:
		return a.putKey(c.PutKey)
	case c.RevokeKey != nil:
		return a.revokeKey(c.RevokeKey)
	case c.SetServiceState != nil:
		return a.setServiceState(c.SetServiceState)
	case c.Announce != nil:
		return a.announce(c.Announce)
	case c.MarkLost != nil:
		return a.markLost(c.MarkLost)
	case c.Leave != nil:
		return a.leave(c.Leave)
	case c.Claim != nil:
		return a.claim(c.Claim)
	case c.RecordOutcome != nil:
		return a.recordOutcome(c.RecordOutcome)
	case c.ResolveOperation != nil:
		return a.resolveOperation(c.ResolveOperation)
	case c.ReportCrash != nil:
		return a.reportCrash(c.ReportCrash)
	case c.RemoveVerdict != nil:
		return a.removeVerdict(c.RemoveVerdict)
	case c.RecordAuditEvent != nil:
		return a.recordAuditEvent(c.RecordAuditEvent)
	case c.Tick != nil:
		return a.expireEndpoints()
	}
	return refuse(CodeInvalid, "command sets none of its fields")
}

func (a *Applier) recordChange(c viewer.Change) { a.viewChanges = append(a.viewChanges, c) }

func get[T any](r Reader, t Table, key string) (v *T, err error) {
	b, err := r.Get(t, key)
	if err != nil || b == nil {
		return nil, err
	}
	v = new(T)
	if err := cbor.Unmarshal(b, v); err != nil {
		return nil, fmt.Errorf("decode row %q of table %s: %w", key, t, err)
	}
	return v, nil
}

func put(w Writer, t Table, key string, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode row %q of table %s: %w", key, t, err)
	}
	return w.Put(t, key, b)
}

// getAll decodes the rows whose keys start with prefix.
func getAll[T any](r Reader, t Table, prefix string) (list []T, err error) {
	var decodeErr error
	err = r.Range(t, prefix, func(key string, b []byte) bool {
		if !strings.HasPrefix(key, prefix) {
			return false
		}
		var v T
		if err := cbor.Unmarshal(b, &v); err != nil {
			decodeErr = fmt.Errorf("decode row %q of table %s: %w", key, t, err)
			return false
		}
		list = append(list, v)
		return true
	})
	return list, errors.Join(err, decodeErr)
}

// keysWhile returns the keys at or after from, up to the first one for which cond is false.
func keysWhile(r Reader, t Table, from string, cond func(key string) bool) (list []string, err error) {
	err = r.Range(t, from, func(key string, _ []byte) bool {
		if !cond(key) {
			return false
		}
		list = append(list, key)
		return true
	})
	return list, err
}

func numericKey(n uint64) string { return fmt.Sprintf("%020d", n) }
