package accounts

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Format is a form in which an account is written.
type Format string

// Formats of accounts.
const (
	Table Format = "table"
	JSON  Format = "json"
	SVG   Format = "svg"
)

// ParseFormat returns the format of a name.
func ParseFormat(name string) (Format, error) {
	switch f := Format(name); f {
	case Table, JSON, SVG:
		return f, nil
	}
	return "", fmt.Errorf("the format is %q, want %s, %s or %s", name, Table, JSON, SVG)
}

// Write writes the account in a format.
func (a *Account) Write(w io.Writer, f Format) error {
	switch f {
	case JSON:
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(a)
	case SVG:
		return a.writeChart(w)
	default:
		return a.writeTable(w)
	}
}

// countColumns are the headers of the columns that countCells fills.
var countColumns = []string{
	"offered", "on-time", "late-first", "late-pause", "answered", "refused", "failed", "broken-off", "caller-gone",
	"late-predicted-on-time", "predicted-first-ms", "seen-first-ms", "waited-ms", "max-waited-ms",
}

func countCells(c *Counts) string {
	return fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%d\t",
		c.Offered, c.OnTime, c.LateFirst, c.LatePause, c.Answered, c.Refused, c.Failed, c.BrokenOff, c.CallerGone,
		c.LatePredictedOnTime, c.PredictedFirstMs, c.SeenFirstMs, c.WaitedMs, c.MaxWaitedMs)
}

// writeTable writes a row for each window and class and a total for each class, and a
// second table by data centre.
func (a *Account) writeTable(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%d requests, the first at %s; windows of %v\n\n", a.Requests, a.First, a.Window); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "start-s\tclass\t%s\t\n", strings.Join(countColumns, "\t"))
	for _, r := range a.Windows {
		fmt.Fprintf(t, "%.3f\t%s\t%s\n", *r.StartSeconds, r.Class, countCells(&r.Counts))
	}
	for _, r := range a.Totals {
		fmt.Fprintf(t, "total\t%s\t%s\n", r.Class, countCells(&r.Counts))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "data-centre\tserver-data-centre\toffered\tlate-first\tlate-pause\t\n")
	for _, r := range a.DataCentres {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t\n", r.DataCentre, r.ServerDataCentre, r.Offered, r.LateFirst, r.LatePause)
	}
	return t.Flush()
}
