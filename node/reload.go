package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadInterval is how often the settings file is looked at, because it may change without a signal.
const settingsPollInterval = 2 * time.Second

// Watch takes new seeds from the settings file when it has changed or a hangup signal arrives, until ctx ends. Settings
// that can't be used change nothing. Hangup signals stay caught afterwards, because one must not end a process that is
// finishing its requests. It returns at once.
func (n *Node) WatchSettings(ctx context.Context, file string, load func(file string) (Settings, error)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go n.watchSettings(ctx, hangups, file, load)
}

func (n *Node) watchSettings(
	ctx context.Context, hangups <-chan os.Signal, file string, load func(file string) (Settings, error),
) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	seen := modTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-t.C:
			if modTime(file).Equal(seen) {
				continue
			}
		}
		seen = modTime(file)
		s, err := load(file)
		if err != nil {
			n.fleet.log.failure("msg", "settings not reloaded", "file", file, "err", err)
			continue
		}
		n.fleet.setSeeds(s.Seeds)
	}
}

// modified returns the time of the last change of a file, zero when it can't be told, which the next load reports.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
