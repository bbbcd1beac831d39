package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// settingsPollInterval is the interval at which the settings file is checked, because it may change without a signal.
const settingsPollInterval = 2 * time.Second

// WatchSettings reloads the seeds in the background when the settings file changes or on SIGHUP, until ctx ends.
// Invalid settings are ignored. SIGHUP stays caught after that, because it must not end a process that completes its
// last requests.
func (n *Node) WatchSettings(ctx context.Context, file string, load func(file string) (Settings, error)) {
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	go n.watchSettings(ctx, sighups, file, load)
}

func (n *Node) watchSettings(
	ctx context.Context, sighups <-chan os.Signal, file string, load func(file string) (Settings, error),
) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	lastModified := modTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighups:
		case <-t.C:
			if modTime(file).Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(file)
		s, err := load(file)
		if err != nil {
			n.fleet.log.failure("msg", "settings reload failed", "file", file, "err", err)
			continue
		}
		n.fleet.setSeeds(s.Seeds)
	}
}

// modTime returns the modification time of a file, or zero on an error, which the next load reports.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
