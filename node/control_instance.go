package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/clockwatcher"
	"cactusroute.dev/adapters/committer"
	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/storer"
	"cactusroute.dev/core/fleetapplier"
	"cactusroute.dev/core/replicator"
)

const (
	// maxConfirmationAge is the maximum age of the last confirmation by a quorum at which an instance is quorate.
	maxConfirmationAge = 1200 * time.Millisecond

	// reopenDelay is the pause before a replica with a failed disk is opened again.
	reopenDelay = 500 * time.Millisecond

	// snapshotBytes keeps the log far below 64 MB, the size of the smallest disks, even while plans of some hundred KB
	// are committed in quick succession.
	snapshotBytes = 4 << 20

	// readPollInterval is how often a read checks whether a quorum has confirmed it.
	readPollInterval = 10 * time.Millisecond
)

// controlInstance is the part of a node with a data folder: a replica of the consensus log and the server that routers
// and other control instances subscribe to.
type controlInstance struct {
	settings          Settings
	obs               *observer.Observer
	stateMachine      *fleetapplier.StateMachine
	server            *exchanger.Server
	replica           atomic.Pointer[committer.Committer]
	eligibleInstances func() []exchanger.Contact // the known eligible instances
	fs                storer.FS                  // nil means the disk
	suspensions       *clockwatcher.SuspensionDetector
	clockErrOnce      sync.Once
	first             *firstReplica // nil once serveOnce has taken it
}

// firstReplica is the result of opening the replica at the start of the process.
type firstReplica struct {
	opened  chan struct{} // closed when the other fields are set
	replica *committer.Committer
	err     error
}

// openFirst starts to open the replica. It must be called before Serve.
func (ci *controlInstance) openFirst() {
	first := &firstReplica{opened: make(chan struct{})}
	ci.first = first
	go func() {
		first.replica, first.err = ci.openReplica()
		close(first.opened)
	}()
}

// disk returns the file system of the data folder.
func (ci *controlInstance) disk() storer.FS {
	if ci.fs != nil {
		return ci.fs
	}
	return storer.DiskFS{}
}

// String returns the service name for the supervisor.
func (ci *controlInstance) String() string { return "hub" }

// Serve keeps a replica running until ctx ends. After a disk failure the replica is reopened, which reloads the durable
// state.
func (ci *controlInstance) Serve(ctx context.Context) error {
	for ci.first != nil || ctx.Err() == nil {
		err := ci.serveOnce(ctx) // closes the replica that openFirst has opened
		if ctx.Err() != nil {
			break
		}
		ci.obs.Event("control replica is opened again", "err", err, "folder", ci.settings.DataFolder)
		select {
		case <-ctx.Done():
		case <-time.After(reopenDelay):
		}
	}
	return ctx.Err()
}

func (ci *controlInstance) serveOnce(ctx context.Context) (err error) {
	c, err := ci.takeReplica()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- c.Serve(ctx) }()
	ci.replica.Store(c)
	for _, m := range ci.eligibleInstances() {
		c.ConnectPeer(m.Name, m.Address)
	}
	select {
	case <-ctx.Done():
	case <-c.Failed():
		err = errors.New(c.Status().Failure)
	}
	ci.replica.Store(nil)
	cancel()
	if serveErr := <-done; err == nil {
		err = serveErr
	}
	return err
}

// takeReplica returns the replica that openFirst has opened, or opens it again.
func (ci *controlInstance) takeReplica() (*committer.Committer, error) {
	first := ci.first
	if first == nil {
		return ci.openReplica()
	}
	<-first.opened
	ci.first = nil
	return first.replica, first.err
}

// openReplica opens the data folder. A damaged folder is emptied: the instance then joins under a new identity, so that
// it does not count as holding entries and votes that the old identity had acknowledged.
func (ci *controlInstance) openReplica() (*committer.Committer, error) {
	cfg := committer.Config{Name: ci.settings.Place.Name, Region: ci.settings.Place.Region,
		Folder:   filepath.Join(ci.settings.DataFolder, replicaFolder),
		Observer: ci.obs, Messenger: messenger.Options{}, SnapshotBytes: snapshotBytes, FS: ci.fs,
		OpenGroup: &committer.OpenGroup{Address: ci.settings.Listen.Advertise, MinVoters: ci.settings.MinVoters}}
	c, err := committer.New(cfg, ci.stateMachine)
	if corrupt := (*storer.CorruptError)(nil); errors.As(err, &corrupt) {
		ci.obs.Event("data folder is damaged and is emptied", "folder", cfg.Folder, "err", err)
		if err := emptyFolder(cfg.Folder); err != nil {
			return nil, err
		}
		c, err = committer.New(cfg, ci.stateMachine)
	}
	return c, err
}

func emptyFolder(folder string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("empty %s: %w", folder, err)
		}
	}()
	entries, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := os.RemoveAll(filepath.Join(folder, e.Name())); err != nil {
			return err
		}
	}
	return nil
}

// ServeHTTP accepts connections from other replicas.
func (ci *controlInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := ci.replica.Load()
	if c == nil {
		http.Error(w, "the replica is not open", http.StatusServiceUnavailable)
		return
	}
	c.Handler().ServeHTTP(w, r)
}

// isQuorate reports whether a quorum confirmed this instance within maxConfirmationAge, and since the machine was last
// suspended.
func (ci *controlInstance) isQuorate() bool {
	c := ci.replica.Load()
	if c == nil {
		return false
	}
	_, at, ok := c.Confirmed()
	return ok && ci.isCurrent(at, time.Now())
}

// isLeader reports whether this instance leads the control group, confirmed by a quorum.
func (ci *controlInstance) isLeader() bool {
	c := ci.replica.Load()
	return c != nil && c.Status().Role == replicator.Leader.String() && ci.isQuorate()
}

// isCurrent reports whether a confirmation still holds.
func (ci *controlInstance) isCurrent(confirmedAt, now time.Time) bool {
	resumedAt, err := ci.suspensions.LastResume(now)
	if err != nil {
		ci.clockErrOnce.Do(func() { ci.obs.Event("suspensions cannot be detected", "err", err) })
		return false
	}
	return now.Sub(confirmedAt) <= maxConfirmationAge && confirmedAt.After(resumedAt)
}

// propose commits a command and waits until it is applied here; it fails while fewer than MinVoters voters have joined.
func (ci *controlInstance) propose(ctx context.Context, cmd fleetapplier.Command) error {
	c := ci.replica.Load()
	if c == nil {
		return &UnavailableError{Reason: "the replica is not open"}
	}
	voters := 0
	for _, m := range c.Status().Members {
		if m.Voter {
			voters++
		}
	}
	if voters < ci.settings.MinVoters {
		return &UnavailableError{Reason: fmt.Sprintf("%d of %d required voters have joined", voters, ci.settings.MinVoters)}
	}
	entry, err := fleetapplier.EncodeCommand(cmd)
	if err != nil {
		return err
	}
	result, err := c.Propose(ctx, entry)
	if err != nil {
		return &UnavailableError{Reason: err.Error()}
	}
	if err, ok := result.(error); ok {
		return err
	}
	return nil
}

// read returns a state that includes every command acknowledged before the call.
func (ci *controlInstance) read(ctx context.Context) (fleetapplier.State, error) {
	start := time.Now()
	for {
		if c := ci.replica.Load(); c != nil {
			if _, at, ok := c.Confirmed(); ok && at.After(start) {
				return ci.stateMachine.State(), nil
			}
		}
		select {
		case <-ctx.Done():
			return fleetapplier.State{}, &UnavailableError{Reason: "no quorum confirmed the read: " + ctx.Err().Error()}
		case <-time.After(readPollInterval):
		}
	}
}
