package bench

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"text/tabwriter"
)

// Seed is the seed of the arrivals in the published tables.
const Seed = 20261202

// ReplayAll replays every policy on every case of a deployment in parallel. The outcomes
// are ordered by case, then by policy.
func ReplayAll(d Deployment, cases []Case, policies []Policy) []*Outcome {
	all := make([]*Outcome, len(cases)*len(policies))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wait sync.WaitGroup
	for i, c := range cases {
		for j, p := range policies {
			wait.Go(func() {
				slots <- struct{}{}
				all[i*len(policies)+j] = Replay(d, c, p, Seed)
				<-slots
			})
		}
	}
	wait.Wait()
	return all
}

// PrintTiers writes a table with one line per outcome and tier.
func PrintTiers(out io.Writer, all []*Outcome) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "deployment\tcase\tpolicy\ttier\trequests\trefused\tlost\tstall ms\tstall p99\tpreempted\tp50 ms\tp95 ms\tp99 ms\tfirst p95 s\tgoodput/s\tcontrol B/s\tmsg/s\t")
	for _, o := range all {
		for i := range o.Tiers {
			t := &o.Tiers[i]
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%.0f\t%.1f\t\n",
				o.Deployment, o.Case, o.Policy, t.Tier, t.Requests, t.Refused, t.Lost, 1000*t.StallMean, 1000*t.StallP99, t.Preemptions,
				1000*t.TokenGapP50, 1000*t.TokenGapP95, 1000*t.TokenGapP99, t.FirstTokenP95, t.Goodput, o.ControlBytesPerSecond, o.MessagesPerSecond)
		}
	}
	return w.Flush()
}

// PrintGoodput writes a table with one line per case and one column per policy.
func PrintGoodput(out io.Writer, all []*Outcome, policies []Policy) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "goodput/s of deployment\tcase\t")
	for _, p := range policies {
		fmt.Fprintf(w, "%s\t", p.Name)
	}
	fmt.Fprintln(w)
	for i, o := range all {
		if i%len(policies) == 0 {
			fmt.Fprintf(w, "%s\t%s\t", o.Deployment, o.Case)
		}
		fmt.Fprintf(w, "%.0f\t", o.Goodput)
		if i%len(policies) == len(policies)-1 {
			fmt.Fprintln(w)
		}
	}
	return w.Flush()
}
