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
	exitFailed = 1 // the program failed to start or ended with an error
	exitUsage  = 2 // the command line or the settings are invalid, so a restart fails again
)

// Settings are the settings of a program; Check returns an error for invalid values.
type Settings interface {
	Check() error
}

// processNamer is implemented by settings with a process name that is unique in the fleet, for logs and the timeline.
// The default is the name of the program.
type processNamer interface {
	ProcessName() string
}

// settingsKey is the context key of the path of the settings file.
type settingsKey struct{}

// SettingsFile returns the path of the settings file from the context that Run passes to serve, so that a program can
// reload its settings.
func SettingsFile(ctx context.Context) string {
	file, _ := ctx.Value(settingsKey{}).(string) // empty for other contexts
	return file
}

// usageError is an error in the command line or the settings.
type usageError struct{ cause error }

// Error returns the message of the cause.
func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

// Run parses the command line, loads the settings into s, and calls serve, whose context ends at SIGINT or SIGTERM. It
// exits with code 2 if the command line or the settings are invalid, and with code 1 if serve fails.
func Run(name, usage string, s Settings, serve func(ctx context.Context, obs *observer.Observer) error) {
	if code := run(context.Background(), name, usage, s, serve, os.Args, os.Stdout, os.Stderr); code != 0 {
		os.Exit(code)
	}
}

func run(
	ctx context.Context, name, usage string, s Settings, serve func(ctx context.Context, obs *observer.Observer) error,
	args []string, stdout, stderr io.Writer,
) int {
	err := newCommand(name, usage, s, serve, stdout, stderr).Run(ctx, args)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintf(stderr, "%s: %v\n", name, err)
	if usageErr := (*usageError)(nil); errors.As(err, &usageErr) {
		return exitUsage
	}
	return exitFailed
}

func newCommand(
	name, usage string, s Settings, serve func(ctx context.Context, obs *observer.Observer) error,
	stdout, stderr io.Writer,
) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Writer: stdout, ErrWriter: stderr, HideVersion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "path of the settings file, JSON with comments"},
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
				return &usageError{cause: errors.New("flag --config is missing; allowed: the path of a settings file")}
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
			if n, ok := s.(processNamer); ok {
				process = n.ProcessName()
			}
			obs := observer.New(stderr, process)
			if err := serve(context.WithValue(ctx, settingsKey{}, file), obs); err != nil && !errors.Is(err, context.Canceled) {
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
