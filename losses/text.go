package losses

import (
	"fmt"
	"io"
	"maps"
	"slices"
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
	r.writeWaits(t)
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

// writeWaits writes the tables of waits, refusals and engines; those without rows are omitted.
func (r *Report) writeWaits(t io.Writer) {
	if len(r.Waits) > 0 {
		fmt.Fprintf(t, "\nwaits by route\trequests\tp50\tp99\tlate or lost\toutcomes\n")
	}
	for _, w := range r.Waits {
		var outcomes []string
		for _, name := range slices.Sorted(maps.Keys(w.Outcomes)) {
			outcomes = append(outcomes, fmt.Sprintf("%s %d", name, w.Outcomes[name]))
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%d\t%s\n", nameOrDash(w.Route), w.Requests, formatDuration(w.Median), formatDuration(w.Tail), w.Failed, strings.Join(outcomes, ", "))
	}
	if len(r.Refusals) > 0 {
		fmt.Fprintf(t, "\nrefusals by route\treason\tstatus\trequests\tmean estimate\texamples\n")
	}
	for _, s := range r.Refusals {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%s\n", nameOrDash(s.Route), nameOrDash(s.Reason), s.Status, s.Count, formatDuration(s.Estimate), strings.Join(s.Requests, " "))
	}
	if len(r.Engines) > 0 {
		fmt.Fprintf(t, "\nengines\tlate for a pause\tlate for the first event\tchanges of pace\n")
	}
	for _, e := range r.Engines {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\n", nameOrDash(e.Endpoint), e.LatePauses, e.LateFirsts, e.PaceChanges)
	}
}

func nameOrDash(name string) string {
	if name == "" {
		return "-"
	}
	return name
}

func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }
