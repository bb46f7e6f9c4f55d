package cli

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"regexp"
	"slices"

	"github.com/spf13/cobra"
)

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

// fieldPattern finds the fields of a log line that name something of a request.
var fieldPattern = regexp.MustCompile(`\b(time|request|job|item|backend)=("[^"]*"|[^ ]+)`)

// logLine is a line of a log with the fields that name something.
type logLine struct {
	text   string
	fields map[string]string
}

func parseLogLine(text string) logLine {
	line := logLine{text: text, fields: map[string]string{}}
	for _, m := range fieldPattern.FindAllStringSubmatch(text, -1) {
		line.fields[m[1]] = m[2]
	}
	return line
}

// names reports whether the line is about the request, item or job with an id.
func (l *logLine) names(id string) bool {
	return l.fields["request"] == id || l.fields["item"] == id || l.fields["job"] == id
}

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Show what became of a request, an item or a batch job, from the instances' logs",
		Long: `Show the log lines of all instances that concern a request, an item or a batch job, in the order
of time. For an item the lines of its job that are about no other item are shown as well.`,
		Args: func(cmd *cobra.Command, args []string) error {
			if err := cobra.MinimumNArgs(2)(cmd, args); err != nil {
				return &UsageError{Err: err}
			}
			return nil
		},
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			for _, l := range explain(lines, args[0]) {
				fmt.Fprintln(a.out, l.text)
			}
			return nil
		},
	}
}

func readLogs(paths []string) ([]logLine, error) {
	var lines []logLine
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, &FileError{Path: path, Err: err}
		}
		scanner := bufio.NewScanner(file)
		scanner.Buffer(nil, maxLogLine)
		for scanner.Scan() {
			lines = append(lines, parseLogLine(scanner.Text()))
		}
		err = scanner.Err()
		_ = file.Close()
		if err != nil {
			return nil, &FileError{Path: path, Err: err}
		}
	}
	return lines, nil
}

// explain returns the lines about an id, and those of its job, in the order of time.
func explain(lines []logLine, id string) []logLine {
	job := ""
	for i := range lines {
		if lines[i].fields["item"] == id {
			job = lines[i].fields["job"]
		}
	}
	var found []logLine
	for i := range lines {
		l := &lines[i]
		if l.names(id) || (job != "" && l.fields["job"] == job && l.fields["item"] == "") {
			found = append(found, *l)
		}
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Compare(a.fields["time"], b.fields["time"]) })
	return found
}
