package losses

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as tables.
func (r *Report) WriteText(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "route\tasked\tlost\tlate\n")
	for _, total := range r.Totals {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\n", nameOrDash(total.Route), total.RequestCount, total.Lost, total.Late)
	}
	fmt.Fprintf(t, "\nlosses\troute\tmoment\tcause\trequests\n")
	for _, row := range r.Rows {
		kind := "lost"
		if row.Late {
			kind = "late"
		}
		fmt.Fprintf(t, "%d %s\t%s\t%s\t%s\t%s\n", row.Count, kind, nameOrDash(row.Route), row.Moment, row.Cause, strings.Join(row.Requests, " "))
	}
	for _, part := range []struct {
		head string
		all  []StreamStats
	}{
		{"streams by route", r.Routes},
		{"by customer", r.Customers},
		{"by rank", r.Ranks},
	} {
		fmt.Fprintf(t, "\n%s\tstreams\tfirst event p50\tp99\tlongest pause p50\tp99\tstutters\n", part.head)
		for _, s := range part.all {
			fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%d\n", nameOrDash(s.Name), s.Streams,
				formatDuration(s.FirstMedian), formatDuration(s.FirstTail), formatDuration(s.PauseMedian), formatDuration(s.PauseTail), s.Stutters)
		}
	}
	fmt.Fprintf(t, "\nprompts placed by\tfrom\tprompts\tlate or lost\truns there\tfewest anywhere\n")
	for _, p := range r.Placements {
		fmt.Fprintf(t, "%s\t%.2f\t%d\t%.2f\t%.1f\t%.1f\n", p.By, p.RangeStart, p.Count, p.Late, p.Runs, p.MinRuns)
	}
	fmt.Fprintf(t, "\n%d lines read", r.Lines)
	if r.Skipped.Count > 0 {
		fmt.Fprintf(t, ", %d of them skipped; the first is line %d: %s", r.Skipped.Count, r.Skipped.First, r.Skipped.FirstError)
	}
	fmt.Fprintln(t)
	return t.Flush()
}

func nameOrDash(name string) string {
	if name == "" {
		return "-"
	}
	return name
}

func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }
