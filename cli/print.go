package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

const columnPadding = 2

// printJSON writes v as indented JSON.
func (a *app) printJSON(v any) error {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// printTable writes the header and the rows in aligned columns.
func (a *app) printTable(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(a.out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// print writes v as JSON if --json is set, and the header and rows as a table otherwise.
func (a *app) print(v any, header []string, rows [][]string) error {
	if a.json {
		return a.printJSON(v)
	}
	return a.printTable(header, rows)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
