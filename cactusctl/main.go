package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"cactusroute.dev/cactusctl/requester"
)

// Exit codes as docs/operators.md documents them.
const (
	exitOK = iota
	exitFailed
	exitUsage
	exitUnreachable
	exitConflict
	exitTimeout
)

// usageError is an error in the command line or the settings.
type usageError struct{ cause error }

// Error returns the message of the cause.
func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

func usagef(format string, args ...any) error { return &usageError{cause: fmt.Errorf(format, args...)} }

// waitTimeoutError says that --wait reached its deadline; the change itself has been applied.
type waitTimeoutError struct{ lastState string }

// Error returns the last state that was read.
func (e *waitTimeoutError) Error() string { return "deadline exceeded while waiting: " + e.lastState }

func exitCode(err error) int {
	var (
		usage       *usageError
		wait        *waitTimeoutError
		apiErr      *requester.APIError
		unreachable *requester.UnreachableError
	)
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &wait):
		return exitTimeout
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &apiErr) && apiErr.IsConflict():
		return exitConflict
	}
	return exitFailed
}

// app holds the streams and intervals of one run of the command line.
type app struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	// pollInterval is the time between two reads of --wait or --follow.
	pollInterval time.Duration
	// minDrainTime is the lease of agents plus the delay of load reports. Until it has passed, requests may still
	// start although none is in flight.
	minDrainTime time.Duration
	// roundDelay is the time between two passes over all control addresses; 0 means the default of requester.
	roundDelay time.Duration
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	a := &app{
		stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, pollInterval: 500 * time.Millisecond,
		minDrainTime: 2500 * time.Millisecond,
	}
	code := a.run(ctx, os.Args)
	stop()
	os.Exit(code)
}

func (a *app) run(ctx context.Context, args []string) int {
	cmd := a.command()
	err := cmd.Run(ctx, args)
	code := exitCode(err)
	if err == nil {
		return code
	}
	if cmd.String("output") == outputJSON {
		body := errorBody{Error: errorDetail{Code: "failed", Message: err.Error()}, ExitCode: code}
		var apiErr *requester.APIError
		if errors.As(err, &apiErr) {
			body.Error = errorDetail{Code: apiErr.Code, Message: apiErr.Message, Details: apiErr.Details}
		}
		_ = json.NewEncoder(a.stderr).Encode(body)
		return code
	}
	_, _ = fmt.Fprintln(a.stderr, "cactusctl:", err)
	return code
}

type errorBody struct {
	Error    errorDetail `json:"error"`
	ExitCode int         `json:"exitCode"`
}

type errorDetail struct {
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Details []string `json:"details,omitempty"`
}

func (a *app) command() *cli.Command {
	root := &cli.Command{
		Name: "cactusctl", Usage: "operate a cactusroute fleet", Writer: a.stdout, ErrWriter: a.stderr,
		HideVersion: true, EnableShellCompletion: true, Suggest: true, Flags: globalFlags(),
		ConfigureShellCompletionCommand: func(c *cli.Command) { c.Hidden = false },
		Commands: []*cli.Command{
			a.controlCommand("status", "show the state of the fleet", "", a.showStatus),
			a.bundleCommand(), a.keyCommand(), a.serviceCommand("failure-domain"), a.serviceCommand("endpoint"),
			a.operationCommand(), a.verdictCommand(),
			a.controlCommand("audit", "list the audit records of changes", "", a.listAuditRecords,
				&cli.Uint64Flag{Name: "after", Usage: "list only records after this `NUMBER`"}),
			a.memberCommand(),
			commandGroup("process", "list routers and agents",
				a.controlCommand("list", "list the connected processes", "", a.listProcesses)),
			a.timelineCommand(),
		},
	}
	setErrorHandlers(root)
	return root
}

// setErrorHandlers sets the handlers of usage errors on every command, because subcommands do not inherit them.
func setErrorHandlers(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &usageError{cause: err}
	}
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if len(cmd.Commands) > 0 {
		names := make([]string, 0, len(cmd.Commands))
		for _, c := range cmd.Commands {
			setErrorHandlers(c)
			names = append(names, c.Name)
		}
		cmd.Action = func(_ context.Context, cmd *cli.Command) error {
			return usagef("%s: unknown command %q; allowed: %s", cmd.FullName(), cmd.Args().First(), strings.Join(names, ", "))
		}
	}
}

func commandGroup(name, usage string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Commands: commands}
}

// invocation is a parsed command line with its settings and, for commands that call control, a client.
type invocation struct {
	*cli.Command
	client   *requester.Client
	settings *settings
}

type action func(ctx context.Context, c *invocation) error

// controlCommand returns a command that calls control. All arguments that argsUsage names are required.
func (a *app) controlCommand(name, usage, argsUsage string, run action, flags ...cli.Flag) *cli.Command {
	return a.localCommand(name, usage, argsUsage, a.withClient(run), flags...)
}

// withClient wraps an action that needs a client of control.
func (a *app) withClient(run action) action {
	return func(ctx context.Context, c *invocation) error {
		if err := c.settings.loadCredentials(); err != nil {
			return err
		}
		c.client = requester.New(requester.Config{
			Controls: c.settings.Controls, Key: c.settings.key, TLS: c.settings.tls, RoundDelay: a.roundDelay,
		})
		return run(ctx, c)
	}
}

// localCommand returns a command that runs without a client. All arguments that argsUsage names are required.
func (a *app) localCommand(name, usage, argsUsage string, run action, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: argsUsage, Flags: flags,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			want := strings.Fields(argsUsage)
			if cmd.NArg() != len(want) || slices.Contains(cmd.Args().Slice(), "") {
				return usagef("%s: got %d arguments; allowed: %s", cmd.FullName(), cmd.NArg(), orDefault(argsUsage, "none"))
			}
			if o := cmd.String("output"); o != outputTable && o != outputJSON {
				return usagef("--output %q; allowed: %s, %s", o, outputTable, outputJSON)
			}
			s, err := loadSettings(cmd)
			if err != nil {
				return &usageError{cause: err}
			}
			return run(ctx, &invocation{Command: cmd, settings: s})
		},
	}
}

func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}
