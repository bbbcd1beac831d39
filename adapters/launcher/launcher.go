package launcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"cactusroute.dev/adapters/configurer"
	"cactusroute.dev/adapters/observer"
)

// Exit codes of the programs.
const (
	exitFailed = 1 // the program could not run or ended with an error
	exitUsage  = 2 // the command line or the settings are wrong; a restart doesn't help
)

// Settings are the settings of a program; Check refuses wrong values.
type Settings interface {
	Check() error
}

// named settings give the process a name that is unique in the fleet, for logs and the timeline; other processes are
// called like their program.
type named interface {
	ProcessName() string
}

// fileKey is the key of the settings file in the context of serve.
type fileKey struct{}

// SettingsFile returns the file that the settings were read from, for a program that reads it again; ctx is that of
// serve.
func SettingsFile(ctx context.Context) string {
	file, _ := ctx.Value(fileKey{}).(string) // empty outside of serve
	return file
}

// usageError is an error of the command line or the settings.
type usageError struct{ cause error }

// Error returns the text of the cause.
func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

// Run parses the command line, loads the settings into s, and calls serve until a signal arrives. It ends the
// process with code 2 if the command line or the settings are wrong, and with code 1 if serve fails.
func Run(name, usage string, s Settings, serve func(ctx context.Context, obs *observer.Observer) error) {
	if code := run(context.Background(), name, usage, s, serve, os.Args, os.Stdout, os.Stderr); code != 0 {
		os.Exit(code)
	}
}

func run(
	ctx context.Context, name, usage string, s Settings, serve func(ctx context.Context, obs *observer.Observer) error,
	args []string, stdout, stderr io.Writer,
) int {
	err := command(name, usage, s, serve, stdout, stderr).Run(ctx, args)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintf(stderr, "%s: %v\n", name, err)
	if failed := (*usageError)(nil); errors.As(err, &failed) {
		return exitUsage
	}
	return exitFailed
}

func command(
	name, usage string, s Settings, serve func(ctx context.Context, obs *observer.Observer) error,
	stdout, stderr io.Writer,
) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Writer: stdout, ErrWriter: stderr, HideVersion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings file in JSON with comments"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.BoolFlag{Name: "version", Usage: "print the version and exit"},
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &usageError{cause: err}
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Bool("version") {
				_, err := fmt.Fprintln(stdout, name, version())
				return err
			}
			file := cmd.String("config")
			if file == "" {
				return &usageError{cause: errors.New("--config is missing; allowed: a settings file")}
			}
			if err := configurer.LoadChecked(file, s); err != nil {
				return &usageError{cause: err}
			}
			if cmd.Bool("check") {
				return nil
			}
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			process := name
			if n, ok := s.(named); ok {
				process = n.ProcessName()
			}
			obs := observer.New(stderr, process)
			if err := serve(context.WithValue(ctx, fileKey{}, file), obs); err != nil && !errors.Is(err, context.Canceled) {
				return err
			}
			return nil
		},
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v + " " + info.GoVersion
}
