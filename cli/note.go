package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadasill/cicadasill/operator"
	"github.com/cicadasill/cicadasill/release"
)

// inForcePollInterval is how often publish asks whether a note is in force while it waits for it.
const inForcePollInterval = 200 * time.Millisecond

func (a *app) noteCommand() *cobra.Command {
	group := &cobra.Command{Use: "note", Aliases: []string{"notes"}, Short: "Check, publish and follow release notes"}
	group.AddCommand(
		a.noteValidateCommand(), a.notePublishCommand(), a.noteShowCommand(),
		a.noteListCommand(), a.noteDiffCommand(),
	)
	return group
}

func (a *app) noteValidateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a note and report every error by line and field; needs no instance",
		Args:  exactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			note, _, err := readNote(args[0])
			if err != nil {
				return err
			}
			if a.json {
				return a.printJSON(note)
			}
			fmt.Fprintf(a.out, "%s: note %s is valid: %d added, %d changed, %d withdrawn\n",
				args[0], note.ID, len(note.Added), len(note.Changed), len(note.Withdrawn))
			return nil
		},
	}
}

func (a *app) notePublishCommand() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a note and print its verdict",
		Long: `Publish a note and print its verdict. The command is idempotent for the same note ID, so it is
safe to repeat it after a lost answer. With --wait the command returns once the note is in force
on every live instance, or fails with exit code 7.`,
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			note, data, err := readNote(args[0])
			if err != nil {
				return err
			}
			verdict, err := a.client().PublishNote(cmd.Context(), data)
			if err != nil {
				return err
			}
			if err := a.printVerdict(note.ID, verdict); err != nil {
				return err
			}
			if wait <= 0 {
				return nil
			}
			return a.awaitInForce(cmd.Context(), note.ID, wait)
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "maximum time to wait until the note is in force on every instance, for example 8s; 0 does not wait")
	return cmd
}

func (a *app) printVerdict(id string, v release.Verdict) error {
	if a.json {
		return a.printJSON(operator.NoteRecord{ID: id, Verdict: v})
	}
	fmt.Fprintf(a.out, "note %s accepted as revision %d\n", id, v.Revision)
	return nil
}

// awaitInForce polls until the note is in force on every instance. It fails with NotInForceError after wait.
func (a *app) awaitInForce(ctx context.Context, id string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	start := time.Now()
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	missing := []string{}
	for {
		state, err := a.client().InForce(ctx, id)
		if err == nil && state.Everywhere {
			fmt.Fprintf(a.errOut, "in force on %d instances after %s\n", len(state.Instances), time.Since(start).Round(time.Millisecond))
			return nil
		}
		if err == nil {
			missing = instancesWithoutNote(state)
		}
		select {
		case <-ctx.Done():
			return &NotInForceError{ID: id, Missing: missing}
		case <-ticker.C:
		}
	}
}

// instancesWithoutNote returns the IDs of the instances on which the note is not in force.
func instancesWithoutNote(state operator.InForce) []string {
	missing := []string{}
	for _, instance := range state.Instances {
		if !instance.InForce {
			missing = append(missing, instance.ID)
		}
	}
	return missing
}

func (a *app) noteShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show ID",
		Short: "Show the verdict of a note and the instances on which it is in force",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			state, err := a.client().InForce(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			if !a.json {
				fmt.Fprintf(a.out, "note %s: %s\n", state.ID, verdictText(state.Verdict))
			}
			rows := make([][]string, 0, len(state.Instances))
			for _, instance := range state.Instances {
				rows = append(rows, []string{instance.ID, yesNo(instance.InForce), fmt.Sprint(instance.CatalogRevision), instance.Unreachable})
			}
			return a.print(state, []string{"INSTANCE", "IN FORCE", "REVISION", "UNREACHABLE"}, rows)
		},
	}
}

func (a *app) noteListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the recent notes and their verdicts",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			notes, err := a.client().Notes(cmd.Context())
			if err != nil {
				return err
			}
			rows := make([][]string, 0, len(notes))
			for _, n := range notes {
				rows = append(rows, []string{n.ID, yesNo(n.Verdict.Accepted), fmt.Sprint(n.Verdict.Revision), verdictText(n.Verdict)})
			}
			return a.print(notes, []string{"ID", "ACCEPTED", "REVISION", "VERDICT"}, rows)
		},
	}
}

func (a *app) noteDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what a note would change against the services in force",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			note, _, err := readNote(args[0])
			if err != nil {
				return err
			}
			services, err := a.client().Services(cmd.Context())
			if err != nil {
				return err
			}
			changes := release.DiffNote(services, note)
			rows := make([][]string, 0, len(changes))
			for _, c := range changes {
				rows = append(rows, []string{string(c.Kind), c.Object, c.Field, c.Before, c.After})
			}
			return a.print(changes, []string{"CHANGE", "OBJECT", "FIELD", "BEFORE", "AFTER"}, rows)
		},
	}
}

func verdictText(v release.Verdict) string {
	if v.Accepted {
		return fmt.Sprintf("accepted as revision %d", v.Revision)
	}
	return fmt.Sprintf("refused (%s): %s", v.Code, v.Message)
}

// readNote reads and checks a note from the file at path, or from standard input if path is "-".
func readNote(path string) (*release.Note, []byte, error) {
	var (
		data []byte
		err  error
	)
	if path == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, nil, &FileError{Path: path, Err: err}
	}
	note, err := release.ParseNote(path, data)
	return note, data, err
}
