// Package cli implements the cicadasill command, the command line of operators: release notes, settings, the
// state of instances, demonstrations and measurements. Each kind of failure has its own exit code.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/cicadasill/cicadasill/jsonc"
	"github.com/cicadasill/cicadasill/operator"
	"github.com/cicadasill/cicadasill/settings"
)

// Exit codes of the command.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2 // wrong arguments
	ExitInvalid     = 3 // invalid settings or note, or unreadable file
	ExitRefused     = 4 // the instance refused the request
	ExitUnreachable = 5 // the instance did not answer or failed
	ExitBroken      = 6 // the demonstration broke a promise
	ExitNotInForce  = 7 // the note is not in force on every instance
)

const defaultAdminAddr = "127.0.0.1:8082"

// adminEnv names the environment variable that sets the default of --admin.
const adminEnv = "CICADASILL_ADMIN"

// app holds the outputs and the global flags, which all commands share.
type app struct {
	out    io.Writer
	errOut io.Writer
	admin  string
	json   bool
}

// UsageError reports wrong arguments.
type UsageError struct{ Err error }

// Error implements error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// FileError reports a file that cannot be read, parsed or written.
type FileError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("file %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// NotInForceError reports that a note was not in force on every live instance in time.
type NotInForceError struct {
	ID      string
	Missing []string
}

// Error implements error.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("note %s is not in force on %d instances: %v", e.ID, len(e.Missing), e.Missing)
}

// Main runs the command with args and returns its exit code. It writes an error to errOut.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{out: out, errOut: errOut}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(errOut, "cicadasill: %v\n", err)
	return exitCode(err)
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "cicadasill",
		Short: "Operate a cicadasill deployment",
		Long: `cicadasill checks settings and release notes, publishes notes, shows what is in force
on which instances, and runs a demonstration deployment on this machine.

Exit codes: 0 success, 1 failure, 2 wrong arguments, 3 invalid settings or note,
4 refused (for example a conflicting note), 5 instance unreachable,
6 promise broken in a demonstration, 7 note not in force everywhere.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	admin := os.Getenv(adminEnv)
	if admin == "" {
		admin = defaultAdminAddr
	}
	root.PersistentFlags().StringVar(&a.admin, "admin", admin, "admin address, host:port, of any instance (or "+adminEnv+")")
	root.PersistentFlags().BoolVar(&a.json, "json", false, "print JSON instead of a table")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &UsageError{Err: err} })
	root.AddCommand(
		a.settingsCommand(), a.noteCommand(), a.serviceCommand(), a.samplerCommand(),
		a.instanceCommand(), a.statusCommand(), a.drainCommand(), a.demoCommand(), a.platformCommand(), a.capacityCommand(), a.measureCommand(),
		a.explainCommand(),
	)
	return root
}

func (a *app) client() *operator.Client { return operator.NewClient(a.admin) }

// exactArgs is cobra.ExactArgs with its error wrapped in a UsageError.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return &UsageError{Err: err}
		}
		return nil
	}
}

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var (
		usage       *UsageError
		invalid     *jsonc.Errors
		unreadable  *settings.ReadError
		file        *FileError
		unreachable *operator.UnreachableError
		response    *operator.ResponseError
		broken      *BrokenPromiseError
		notInForce  *NotInForceError
	)
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &invalid), errors.As(err, &unreadable), errors.As(err, &file):
		return ExitInvalid
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &broken):
		return ExitBroken
	case errors.As(err, &notInForce):
		return ExitNotInForce
	case errors.As(err, &response):
		return responseExitCode(response)
	default:
		return ExitFailure
	}
}

// responseExitCode returns the exit code for an error response of an instance.
func responseExitCode(e *operator.ResponseError) int {
	switch {
	case e.Detail.Verdict != nil:
		return ExitRefused
	case len(e.Detail.Fields) > 0:
		return ExitInvalid
	case e.Status >= 500:
		return ExitUnreachable
	default:
		return ExitRefused
	}
}
