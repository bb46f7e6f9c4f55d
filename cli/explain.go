package cli

import (
	"bufio"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// fieldPattern matches the fields of a log line that identify what it is about, and its time.
var fieldPattern = regexp.MustCompile(`\b(time|instance|msg|request|job|item|window|backend|read|took|reason)=("[^"]*"|[^ ]+)`)

// logLine is a log line with the fields that fieldPattern matches.
type logLine struct {
	text   string
	source string // the instance that wrote it, or the file if the line names none
	time   time.Time
	fields map[string]string
}

func parseLogLine(file, text string) logLine {
	line := logLine{text: text, source: file, fields: map[string]string{}}
	for _, m := range fieldPattern.FindAllStringSubmatch(text, -1) {
		if _, known := line.fields[m[1]]; !known { // a quoted value may contain more
			line.fields[m[1]] = strings.Trim(m[2], `"`)
		}
	}
	if instance := line.fields["instance"]; instance != "" {
		line.source = instance
	}
	line.time, _ = time.Parse(time.RFC3339Nano, line.fields["time"]) // a line without a time comes first
	return line
}

// concerns reports whether the line is about the request, item or job with the given ID. Logs name the job of a client account
// ACCOUNT:ID.
func (l *logLine) concerns(id string) bool {
	return l.fields["request"] == id || l.fields["item"] == id || l.fields["job"] == id || strings.HasSuffix(l.fields["job"], ":"+id)
}

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Show the history of a request, an item or a batch job from the logs of the instances",
		Long: `Show the lines about a request, an item or a batch job in the log files of the instances, sorted
by time. For an item, also show the lines about its job that concern no other item. For a refused read of a
job, also show what its instance had lost before the read and what failed during it. For a request that was
refused for its key, also show the configuration that its instance had and what became of it. For window/N, show what
happened to the report of the usage window N, and who held the duty.`,
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
			lines = append(lines, parseLogLine(path, scanner.Text()))
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
// includes the lines about its job that name no item, and for a refused read of a job those about the instance's
// dependencies.
func explain(lines []logLine, id string) []logLine {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.time.Compare(b.time) })
	if window, ok := parseWindow(id); ok {
		return explainWindow(lines, window)
	}
	job := ""
	for i := range lines {
		if lines[i].fields["item"] == id {
			job = lines[i].fields["job"]
		}
	}
	selected := make([]bool, len(lines))
	for i := range lines {
		l := &lines[i]
		selected[i] = l.concerns(id) || (job != "" && l.fields["job"] == job && l.fields["item"] == "")
		if selected[i] && l.fields["msg"] == "read of a job refused" {
			selectDependencies(lines, i, selected)
		}
		if selected[i] && l.fields["msg"] == "request refused" && keyReasons[l.fields["reason"]] {
			selectConfiguration(lines, i, selected)
		}
	}
	var found []logLine
	for i := range lines {
		if selected[i] {
			found = append(found, lines[i])
		}
	}
	return found
}

// dependencyLines are the messages about what an instance depends on when it reads a job, with what they tell the state of. The
// others tell of single events.
var dependencyLines = map[string]string{
	"instance started": "instance", "planned stop": "instance",
	"store lost": "store", "store regained": "store",
	"direct access to the store changed": "direct access",
	"call failed":                        "",
	"kept connections given up":          "",
}

// selectDependencies selects the lines about the dependencies of the instance that refused the read in line n: those written
// during the read, and the state before it.
func selectDependencies(lines []logLine, n int, selected []bool) {
	took, err := time.ParseDuration(lines[n].fields["took"])
	if err != nil {
		return // the line is not complete
	}
	begin, known := lines[n].time.Add(-took), map[string]bool{}
	for i := n - 1; i >= 0; i-- {
		l := &lines[i]
		subject, isDependency := dependencyLines[l.fields["msg"]]
		if !isDependency || l.source != lines[n].source {
			continue
		}
		if !l.time.Before(begin) {
			selected[i] = true
			continue
		}
		if subject += l.fields["read"]; subject != "" && !known[subject] {
			known[subject], selected[i] = true, true
		}
	}
}

// keyReasons are the reasons of refusals that depend on the configuration of the instance.
var keyReasons = map[string]bool{"unknown_key": true, "unconfirmed_key": true, "stale_configuration": true}

// configurationLines are the messages about an instance's configuration, with what they tell the state of.
var configurationLines = map[string]string{
	"instance started":       "instance",
	"configuration in force": "configuration", "configuration not readable": "configuration",
	"configuration grows old": "age", "configuration is fresh again": "age",
	"store lost": "store", "store regained": "store",
}

// selectConfiguration selects the lines that tell what configuration the instance had that refused the request in line n.
func selectConfiguration(lines []logLine, n int, selected []bool) {
	known := map[string]bool{}
	for i := n - 1; i >= 0; i-- {
		l := &lines[i]
		subject, isState := configurationLines[l.fields["msg"]]
		if !isState || l.source != lines[n].source || (subject == "store" && l.fields["read"] != "operators") || known[subject] {
			continue
		}
		known[subject], selected[i] = true, true
	}
}
