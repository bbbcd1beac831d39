package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"cactusroute.dev/devfleet"
)

func main() {
	cmd := &cli.Command{
		Name: "devfleet", Usage: "run a small fleet on loopback until interrupted",
		Flags: []cli.Flag{&cli.IntFlag{Name: "port", Value: 18000, Usage: "first of 100 consecutive ports to use"}},
		Action: func(ctx context.Context, cmd *cli.Command) (err error) {
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			f := devfleet.New(devfleet.Config{BasePort: cmd.Int("port"), Logs: os.Stderr})
			keys, err := os.MkdirTemp("", "cactusroute-keys-")
			if err != nil {
				return fmt.Errorf("create folder for keys: %w", err)
			}
			defer func() { err = errors.Join(err, os.RemoveAll(keys)) }()
			if err := devfleet.WriteKeys(keys); err != nil {
				return err
			}
			fmt.Print(f.UsageText(keys))
			if err := f.Serve(ctx); err != nil && !errors.Is(err, context.Canceled) {
				return err
			}
			return nil
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "devfleet:", err)
		os.Exit(1)
	}
}
