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

var errFindings = errors.New("checker reported findings")

func main() {
	cmd := &cli.Command{Name: "soaker", Usage: "inject faults into a fleet of node processes and check its guarantees",
		HideVersion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "path of the node program", Value: ".bin/node"},
			&cli.StringFlag{Name: "folder", Usage: "folder for logs and data; a temporary one if empty"},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.IntFlag{Name: "jobs", Usage: "maximum number of concurrent runs", Value: 2},
			&cli.DurationFlag{Name: "for", Usage: "duration of fault injection", Value: 12 * time.Second},
		},
		Action:   run,
		Commands: []*cli.Command{plansCommand()},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soaker:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) (err error) {
	folder, err := runFolder(cmd)
	if err != nil {
		return err
	}
	binary, err := filepath.Abs(cmd.String("node"))
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	semaphore := make(chan struct{}, max(1, cmd.Int("jobs")))
	for i := range cmd.Int("seeds") {
		seed := cmd.Uint64("seed") + uint64(i)
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			r, runErr := soaker.Run(ctx, soaker.Config{Binary: binary, Seed: seed, FaultDuration: cmd.Duration("for"),
				Folder: filepath.Join(folder, fmt.Sprintf("seed%d", seed))})
			mu.Lock()
			defer mu.Unlock()
			report(r, runErr)
			if runErr != nil {
				err = errors.Join(err, runErr)
			} else if len(r.Findings) > 0 {
				err = errFindings
			}
		})
	}
	wg.Wait()
	fmt.Println("logs in", folder)
	return err
}

// runFolder returns the folder for logs and data; without one in the flags, a temporary one.
func runFolder(cmd *cli.Command) (string, error) {
	if folder := cmd.String("folder"); folder != "" {
		return folder, nil
	}
	return os.MkdirTemp("", "soaker")
}

func report(r soaker.Result, err error) {
	fmt.Printf("seed %d: %d served, %d refused, %d failed, %d faults, %d findings\n", r.Seed, r.Served, r.Refused,
		r.Failed, len(r.Injected), len(r.Findings))
	if err != nil {
		fmt.Println("  error:", err)
	}
	fmt.Println("  rollout:", r.Rollout)
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

// plansCommand returns the command that changes the plan of a fleet all the time.
func plansCommand() *cli.Command {
	return &cli.Command{Name: "plans", Usage: "change the plan beside traffic and check which plan each node obeys",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "instances", Usage: "control instances", Value: 5},
			&cli.IntFlag{Name: "routers", Usage: "nodes without a disk", Value: 65},
			&cli.FloatFlag{Name: "instance-share", Usage: "share of a core of each control instance; 0 is unlimited"},
			&cli.FloatFlag{Name: "router-share", Usage: "share of a core of each router; 0 is unlimited"},
			&cli.DurationFlag{Name: "interval", Usage: "mean time between two plans of an operator", Value: time.Second},
			&cli.IntFlag{Name: "routes", Usage: "additional routes of each plan", Value: 10},
			&cli.IntFlag{Name: "loaded", Usage: "nodes that get traffic, control instances first"},
			&cli.IntFlag{Name: "conns", Usage: "connections to each of these nodes", Value: 32},
			&cli.FloatFlag{Name: "link-bytes", Usage: "bytes per second to and from each control instance; 0 is unlimited"},
			&cli.StringFlag{Name: "faults", Usage: "none, stalls, emptyDisk, routers or all", Value: "none"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			binary, err := filepath.Abs(cmd.String("node"))
			if err != nil {
				return err
			}
			folder, err := runFolder(cmd)
			if err != nil {
				return err
			}
			r, err := soaker.RunPlans(ctx, soaker.PlansConfig{
				Config: soaker.Config{Binary: binary, Folder: folder, Seed: cmd.Uint64("seed"),
					FaultDuration: cmd.Duration("for")},
				Instances: cmd.Int("instances"), Routers: cmd.Int("routers"), InstanceShare: cmd.Float("instance-share"),
				RouterShare: cmd.Float("router-share"), Interval: cmd.Duration("interval"), Routes: cmd.Int("routes"),
				LoadedNodes: cmd.Int("loaded"), LoadConns: cmd.Int("conns"), LinkBytes: cmd.Float("link-bytes"),
				Faults: cmd.String("faults")})
			fmt.Printf("seed %d: %d findings, %v\n", cmd.Uint64("seed"), len(r.Findings), r.Counts)
			for _, list := range [][]string{r.Injected, r.Findings, r.Report} {
				for _, line := range list {
					fmt.Println(" ", line)
				}
			}
			if err == nil && len(r.Findings) > 0 {
				err = errFindings
			}
			return err
		}}
}
