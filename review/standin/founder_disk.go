package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { scenarios["founderDisk"] = founderDisk }

// founderDisk kills the machine that founds the control group 0.35 s after the first start of the fleet; it comes back
// within a second with an empty disk. Then the operator sends a configuration.
func founderDisk(ctx context.Context, rec *record, trouble bool) (breaks []string, err error) {
	const (
		killAfter = 350 * time.Millisecond
		ackTime   = 4 * time.Second // ackMs of the settings
	)
	f, err := startFleet(rec, 3, 0)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	time.Sleep(killAfter)
	if trouble {
		m := f.machines[0]
		f.signal(m, syscall.SIGKILL)
		<-m.exited
		if err := os.RemoveAll(filepath.Join(m.dir, "data")); err != nil {
			return nil, err
		}
		time.Sleep(700 * time.Millisecond)
		if err := f.start(m, false); err != nil {
			return nil, err
		}
	}
	time.Sleep(stabilityWindow)
	start := time.Now()
	orderCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	f.version++
	err = f.order(orderCtx, http.MethodPut, "/config", fmt.Sprintf(`{"version":%d,%s}`, f.version, labelsConfig))
	if waited := time.Since(start); waited > ackTime {
		breaks = append(breaks, fmt.Sprintf("a configuration was not acknowledged within %.0f s: %v", waited.Seconds(), err))
	}
	return breaks, nil
}
