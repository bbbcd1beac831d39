package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"cactusroute.dev/loader"
	"cactusroute.dev/loader/measurer"
	"cactusroute.dev/loader/replayer"
	"cactusroute.dev/loader/reporter"
)

func main() {
	cmd := &cli.Command{
		Name: "loader", Usage: "send load to a fleet and measure how it is served",
		Commands: []*cli.Command{{
			Name: "chat", Usage: "send one chat request and print the response",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "router", Value: "127.0.0.1:18000", Usage: "host:port of a router"},
				&cli.StringFlag{Name: "key", Usage: "workspace key"},
			},
			Action: func(ctx context.Context, cmd *cli.Command) error {
				text, err := loader.Chat(ctx, cmd.String("router"), cmd.String("key"))
				fmt.Println(text)
				return err
			},
		}, {
			Name: "replay", Usage: "simulate placement policies on traces of chats and print the results as JSON lines",
			Flags: []cli.Flag{
				&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds, starting from 1"},
			},
			Action: replay,
		}, {
			Name:  "measure",
			Usage: "run local fleets of the sizes of both user firms, inject failures and print the results as JSON lines",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "bin", Value: ".bin", Usage: "folder with the programs"},
				&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the traces"},
				&cli.IntFlag{Name: "chats", Value: 1200, Usage: "number of chats open at a time"},
				&cli.StringFlag{Name: "firm", Usage: "measure only firmA or firmB"},
				&cli.BoolFlag{Name: "keep", Usage: "keep the work folder with settings and logs"},
			},
			Action: measure,
		}, {
			Name:  "slope",
			Usage: "measure control instances and a router with 100, 300 and 920 endpoints and fit a line to each value",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "bin", Value: ".bin", Usage: "folder with the programs"},
				&cli.BoolFlag{Name: "keep", Usage: "keep the work folder with settings and logs"},
			},
			Action: measureScaling,
		}},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "loader:", err)
		os.Exit(1)
	}
}

func replay(_ context.Context, cmd *cli.Command) error {
	seeds := make([]uint64, cmd.Int("seeds"))
	for n := range seeds {
		seeds[n] = uint64(n + 1)
	}
	ok, err := replayer.Measure(os.Stdout, seeds)
	if err == nil && !ok {
		err = errors.New("a measured value violates its bound")
	}
	return err
}

func measure(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	cfg := measurer.Config{
		BinDir: cmd.String("bin"), Seed: cmd.Uint64("seed"), ConcurrentChats: cmd.Int("chats"), Progress: os.Stderr,
		KeepWorkDir: cmd.Bool("keep"),
	}
	for _, scenario := range []measurer.Scenario{measurer.FirmA(), measurer.FirmB()} {
		if name := cmd.String("firm"); name == "" || name == scenario.Name {
			cfg.Scenarios = append(cfg.Scenarios, scenario)
		}
	}
	rep := reporter.New(os.Stdout)
	return finish(rep, measurer.Run(ctx, cfg, rep))
}

func measureScaling(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	cfg := measurer.Config{BinDir: cmd.String("bin"), Progress: os.Stderr, KeepWorkDir: cmd.Bool("keep")}
	rep := reporter.New(os.Stdout)
	return finish(rep, measurer.MeasureScaling(ctx, cfg, rep))
}

// finish writes the summary and returns err, or an error if a value violates its bound.
func finish(rep *reporter.Reporter, err error) error {
	rep.WriteSummary(os.Stderr)
	if violations := rep.Violations(); err == nil && len(violations) > 0 {
		err = fmt.Errorf("%d measured values violate their bounds", len(violations))
	}
	return err
}
