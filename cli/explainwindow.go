package cli

import (
	"strconv"
	"strings"
)

// windowPrefix marks the id of a usage window, as opposed to those of requests, items and jobs.
const windowPrefix = "window/"

// reportSentLine is the message about a usage report that the platform has confirmed.
const reportSentLine = "usage report sent"

// parseWindow returns the number of the usage window that an id names, and false if it names none.
func parseWindow(id string) (int64, bool) {
	number, isWindow := strings.CutPrefix(id, windowPrefix)
	if !isWindow {
		return 0, false
	}
	window, err := strconv.ParseInt(number, 10, 64)
	return window, err == nil
}

// explainWindow returns the lines about usage windows and the holders of duties, from the last report of an earlier window to the
// report of the given one, or to the first later one if it is missing. The lines are sorted by time.
func explainWindow(lines []logLine, window int64) []logLine {
	var found []logLine
	for _, l := range lines {
		message := l.fields["msg"]
		if !strings.HasPrefix(message, "usage ") && !strings.HasPrefix(message, "duty ") {
			continue
		}
		sent, err := strconv.ParseInt(l.fields["window"], 10, 64)
		isReport := message == reportSentLine && err == nil
		if isReport && sent < window {
			found = nil
		}
		found = append(found, l)
		if isReport && sent >= window {
			return found
		}
	}
	return found
}
