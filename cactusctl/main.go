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

// Exit codes, which docs/operators.md lists.
const (
	exitDone = iota
	exitRefused
	exitUsage
	exitUnreachable
	exitConflict
	exitTimeout
)

// usageError is an error of the command line or the settings.
type usageError struct{ cause error }

// Error returns the text of the cause.
func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

func usagef(format string, args ...any) error { return &usageError{cause: fmt.Errorf(format, args...)} }

// waitError says that a wait has reached its deadline; the change itself has been made.
type waitError struct{ state string }

// Error gives the last state.
func (e *waitError) Error() string { return "timed out while waiting: " + e.state }

func exitCode(err error) int {
	var (
		usage       *usageError
		wait        *waitError
		refusal     *requester.APIError
		unreachable *requester.UnreachableError
	)
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &wait):
		return exitTimeout
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &refusal) && refusal.IsConflict():
		return exitConflict
	}
	return exitRefused
}

// app is one run of the command line.
type app struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	// poll is the time between two reads while waiting or following.
	poll time.Duration
	// settle is the lease of agents plus the delay of load reports; before it has passed, a count of zero requests
	// in flight does not mean that none follows.
	settle time.Duration
	// pause is the time between two rounds over all control addresses; 0 means the default of requester.
	pause time.Duration
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	a := &app{
		stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, poll: 500 * time.Millisecond,
		settle: 2500 * time.Millisecond,
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
		var refusal *requester.APIError
		if errors.As(err, &refusal) {
			body.Error = errorDetail{Code: refusal.Code, Message: refusal.Message, Details: refusal.Details}
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
			a.leaf("status", "show the state of the fleet", "", a.status),
			a.bundleCommand(), a.keyCommand(), a.serviceCommand("failure-domain"), a.serviceCommand("endpoint"),
			a.operationCommand(), a.verdictCommand(),
			a.leaf("audit", "show who changed what and when", "", a.audit,
				&cli.Uint64Flag{Name: "after", Usage: "`NUMBER` of the last record already seen"}),
			a.memberCommand(),
			group("process", "routers and agents", a.leaf("list", "list the connected processes", "", a.processes)),
			a.timelineCommand(),
		},
	}
	harden(root)
	return root
}

// harden gives every command the same treatment of wrong use, because cli does not pass it on to subcommands.
func harden(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &usageError{cause: err}
	}
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if len(cmd.Commands) > 0 {
		names := make([]string, 0, len(cmd.Commands))
		for _, c := range cmd.Commands {
			harden(c)
			names = append(names, c.Name)
		}
		cmd.Action = func(_ context.Context, cmd *cli.Command) error {
			return usagef("%s: unknown command %q; allowed: %s", cmd.FullName(), cmd.Args().First(), strings.Join(names, ", "))
		}
	}
}

func group(name, usage string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Commands: commands}
}

// call is what an action works with.
type call struct {
	*cli.Command
	client   *requester.Client
	settings *settings
}

type action func(ctx context.Context, c *call) error

// leaf returns a command that calls control; argsUsage names its arguments, which must all be given.
func (a *app) leaf(name, usage, argsUsage string, run action, flags ...cli.Flag) *cli.Command {
	return a.local(name, usage, argsUsage, a.online(run), flags...)
}

// online gives an action a client of control.
func (a *app) online(run action) action {
	return func(ctx context.Context, c *call) error {
		if err := c.settings.needControl(); err != nil {
			return err
		}
		c.client = requester.New(requester.Config{
			Controls: c.settings.Controls, Key: c.settings.key, TLS: c.settings.tls, Pause: a.pause,
		})
		return run(ctx, c)
	}
}

// local returns a command that works without control.
func (a *app) local(name, usage, argsUsage string, run action, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: argsUsage, Flags: flags,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			want := strings.Fields(argsUsage)
			if cmd.NArg() != len(want) || slices.Contains(cmd.Args().Slice(), "") {
				return usagef("%s: %d arguments; allowed: %s", cmd.FullName(), cmd.NArg(), orText(argsUsage, "none"))
			}
			if o := cmd.String("output"); o != outputTable && o != outputJSON {
				return usagef("--output %q; allowed: %s, %s", o, outputTable, outputJSON)
			}
			s, err := loadSettings(cmd)
			if err != nil {
				return &usageError{cause: err}
			}
			return run(ctx, &call{Command: cmd, settings: s})
		},
	}
}

func orText(text, otherwise string) string {
	if text == "" {
		return otherwise
	}
	return text
}
