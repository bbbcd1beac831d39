package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"cactusroute.dev/soaker"
)

var errFindings = errors.New("promises were broken")

func main() {
	cmd := &cli.Command{Name: "soaker", Usage: "inject faults into a fleet of real processes and check its promises",
		HideVersion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "node program", Value: ".bin/node"},
			&cli.StringFlag{Name: "folder", Usage: "for logs and data; empty makes a temporary one"},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.IntFlag{Name: "jobs", Usage: "soaks at once", Value: 2},
			&cli.DurationFlag{Name: "for", Usage: "how long faults are injected", Value: 12 * time.Second},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soaker:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) (err error) {
	folder := cmd.String("folder")
	if folder == "" {
		if folder, err = os.MkdirTemp("", "soaker"); err != nil {
			return err
		}
	}
	binary, err := filepath.Abs(cmd.String("node"))
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, max(1, cmd.Int("jobs")))
	for i := range cmd.Int("seeds") {
		seed := cmd.Uint64("seed") + uint64(i)
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r, rerr := soaker.Run(ctx, soaker.Config{Binary: binary, Seed: seed, FaultDuration: cmd.Duration("for"),
				Folder: filepath.Join(folder, fmt.Sprintf("seed%d", seed))})
			mu.Lock()
			defer mu.Unlock()
			report(r, rerr)
			if rerr != nil {
				err = errors.Join(err, rerr)
			} else if len(r.Findings) > 0 {
				err = errFindings
			}
		})
	}
	wg.Wait()
	fmt.Println("logs in", folder)
	return err
}

func report(r soaker.Result, err error) {
	fmt.Printf("seed %d: %d served, %d refused, %d failed, %d faults, %d findings\n", r.Seed, r.Served, r.Refused,
		r.Failed, len(r.Injected), len(r.Findings))
	if err != nil {
		fmt.Println("  error:", err)
	}
	if len(r.Findings) == 0 {
		return
	}
	for _, f := range r.Findings {
		fmt.Println("  finding:", f)
	}
	for _, f := range r.Injected {
		fmt.Println("  injected:", f)
	}
}
