package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"cactusroute.dev/adapters/committer"
	"cactusroute.dev/adapters/exchanger"
	"cactusroute.dev/adapters/messenger"
	"cactusroute.dev/adapters/observer"
	"cactusroute.dev/adapters/storer"
	"cactusroute.dev/core/fleetapplier"
)

const (
	// confirmedWithin is how old the last round with a majority may be for an instance that vouches for its state.
	maxConfirmationAge = 1200 * time.Millisecond

	// reopenAfter is the pause before a failed disk is tried again.
	reopenDelay = 500 * time.Millisecond

	// snapshotBytes keeps the log far below the smallest disks of 64 MB, while plans of some hundred
	// KB follow each other.
	snapshotBytes = 4 << 20

	// readPoll is the interval at which a read looks for its confirmation.
	readPollInterval = 10 * time.Millisecond
)

// hub is the part of an instance with a disk: a replica of the consensus log and the source of subscriptions.
type controlInstance struct {
	settings          Settings
	obs               *observer.Observer
	stateMachine      *fleetapplier.StateMachine
	server            *exchanger.Server
	replica           atomic.Pointer[committer.Committer]
	eligibleInstances func() []exchanger.Contact // eligible instances that are known
	fs                storer.FS                  // the disk when nil
}

// String names the service for its supervisor.
func (h *controlInstance) String() string { return "hub" }

// Serve keeps a replica running; one whose disk has failed is opened again, which reads back what is durable.
func (h *controlInstance) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := h.serveOnce(ctx)
		if ctx.Err() != nil {
			break
		}
		h.obs.Event("control replica is opened again", "err", err, "folder", h.settings.DataFolder)
		select {
		case <-ctx.Done():
		case <-time.After(reopenDelay):
		}
	}
	return ctx.Err()
}

func (h *controlInstance) serveOnce(ctx context.Context) (err error) {
	c, err := h.openReplica()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- c.Serve(ctx) }()
	h.replica.Store(c)
	for _, m := range h.eligibleInstances() {
		c.Meet(m.Name, m.Address)
	}
	select {
	case <-ctx.Done():
	case <-c.Failing():
		err = errors.New(c.Status().Failure)
	}
	h.replica.Store(nil)
	cancel()
	if serveErr := <-done; err == nil {
		err = serveErr
	}
	return err
}

// open opens the data folder. A damaged one is emptied: the instance then joins under a new identity, which never
// vouches for what the old one had promised.
func (h *controlInstance) openReplica() (*committer.Committer, error) {
	cfg := committer.Config{Name: h.settings.Place.Name, Region: h.settings.Place.Region,
		Folder:   filepath.Join(h.settings.DataFolder, replicaFolder),
		Observer: h.obs, Messenger: messenger.Options{}, SnapshotBytes: snapshotBytes, FS: h.fs,
		Open: &committer.OpenGroup{Address: h.settings.Listen.Advertise, MinVoters: h.settings.MinVoters}}
	c, err := committer.New(cfg, h.stateMachine)
	if corrupt := (*storer.CorruptError)(nil); errors.As(err, &corrupt) {
		h.obs.Event("data folder is damaged and is emptied", "folder", cfg.Folder, "err", err)
		if err := emptyFolder(cfg.Folder); err != nil {
			return nil, err
		}
		c, err = committer.New(cfg, h.stateMachine)
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

// ServeHTTP accepts connections of the other replicas.
func (h *controlInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := h.replica.Load()
	if c == nil {
		http.Error(w, "the replica is not open", http.StatusServiceUnavailable)
		return
	}
	c.Handler().ServeHTTP(w, r)
}

// isQuorate reports whether a majority confirmed this instance lately.
func (h *controlInstance) isQuorate() bool {
	c := h.replica.Load()
	if c == nil {
		return false
	}
	_, at, ok := c.Confirmed()
	return ok && time.Since(at) <= maxConfirmationAge
}

// propose commits a command on enough disks and waits until it is applied here.
func (h *controlInstance) propose(ctx context.Context, cmd fleetapplier.Command) error {
	c := h.replica.Load()
	if c == nil {
		return &UnavailableError{Reason: "the replica is not open"}
	}
	voters := 0
	for _, m := range c.Status().Members {
		if m.Voter {
			voters++
		}
	}
	if voters < h.settings.MinVoters {
		return &UnavailableError{Reason: fmt.Sprintf("%d of %d needed voters have joined", voters, h.settings.MinVoters)}
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

// read returns a state that is at least as new as this call.
func (h *controlInstance) read(ctx context.Context) (fleetapplier.State, error) {
	began := time.Now()
	for {
		if c := h.replica.Load(); c != nil {
			if _, at, ok := c.Confirmed(); ok && at.After(began) {
				return h.stateMachine.State(), nil
			}
		}
		select {
		case <-ctx.Done():
			return fleetapplier.State{}, &UnavailableError{Reason: "no majority confirmed the read: " + ctx.Err().Error()}
		case <-time.After(readPollInterval):
		}
	}
}
