package cli

import (
	"bufio"
	"fmt"
	"os"
	"regexp"
	"slices"
	"time"

	"github.com/spf13/cobra"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// fieldPattern matches the fields of a log line that identify what it is about, and its time.
var fieldPattern = regexp.MustCompile(`\b(time|request|job|item|backend)=("[^"]*"|[^ ]+)`)

// logLine is a log line with the fields that fieldPattern matches.
type logLine struct {
	text   string
	time   time.Time
	fields map[string]string
}

func parseLogLine(text string) logLine {
	line := logLine{text: text, fields: map[string]string{}}
	for _, m := range fieldPattern.FindAllStringSubmatch(text, -1) {
		line.fields[m[1]] = m[2]
	}
	line.time, _ = time.Parse(time.RFC3339Nano, line.fields["time"]) // a line without a time comes first
	return line
}

// concerns reports whether the line is about the request, item or job with the given ID.
func (l *logLine) concerns(id string) bool {
	return l.fields["request"] == id || l.fields["item"] == id || l.fields["job"] == id
}

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Show the history of a request, an item or a batch job from the logs of the instances",
		Long: `Show the lines about a request, an item or a batch job in the log files of the instances, sorted
by time. For an item, also show the lines about its job that concern no other item.`,
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

// readLogs reads and parses all lines of the log files at paths.
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

// explain returns the lines about the request, item or job with the given ID, sorted by time. For an item it
// includes the lines about its job that name no item.
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
		if l.concerns(id) || (job != "" && l.fields["job"] == job && l.fields["item"] == "") {
			found = append(found, *l)
		}
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return a.time.Compare(b.time) })
	return found
}
