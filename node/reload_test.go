package node

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against seeds that are not reloaded on SIGHUP, and against a SIGHUP that ends a process while it completes its
// last requests.
func TestHangupReloadsSettings(t *testing.T) {
	f := newTestFleet(t, 1, 0)
	f.startAll()
	n := f.nodes[0].Node
	file := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, os.WriteFile(file, nil, 0o600))
	seeds := make(chan []string, 1)
	seeds <- []string{"new"}
	ctx, cancel := context.WithCancel(t.Context())
	n.WatchSettings(ctx, file, func(string) (Settings, error) {
		select {
		case s := <-seeds:
			return Settings{Seeds: s}, nil
		default:
			return Settings{}, errors.New("already reloaded")
		}
	})
	eventually(t, "new seeds", func() bool {
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		n.fleet.mu.Lock()
		defer n.fleet.mu.Unlock()
		return len(n.fleet.seeds) == 1 && n.fleet.seeds[0] == "new"
	})
	cancel()
	time.Sleep(20 * time.Millisecond) // lets the watcher stop
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(20 * time.Millisecond) // an uncaught signal would end the test process
}
