package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Names of the policies that a summary compares.
const (
	PolicyOurs          = "dillsaddle"
	PolicyOracle        = "oracle"
	PolicyReservation   = "reservation"
	PolicyLeastReported = "least reported"
)

// Summary compares the project's own policy with the baselines in one case.
type Summary struct {
	Case                string
	VersusOracle        float64 // our goodput divided by the oracle's
	VersusReservation   float64
	VersusLeastReported float64
	GoldSilverPreempted int     // preemptions
	GoldTokenGapP99     float64 // seconds
	GoldFirstTokenP95   float64 // seconds
	GoldStall           float64 // mean, in seconds per stream
	ControlBytes        float64 // per second and box
	BronzePreempted     int     // preemptions
	Computed            float64 // share of prompt tokens computed, not read from a prefix cache
}

// noisyCase and quietCase differ only in the noisy customer's load.
const (
	noisyCase = "noisy"
	quietCase = "0.7"
)

// NoisyCustomerCost returns the share of goodput that a noisy customer costs the others of
// its tier. customers holds the tier's customers, the noisy one first.
func NoisyCustomerCost(all []*Outcome, customers []string) float64 {
	others := func(name string) float64 {
		sum := 0.0
		for _, o := range all {
			if o.Case != name || o.Policy != PolicyOurs {
				continue
			}
			for _, customer := range customers[1:] {
				sum += o.ByCustomer[customer]
			}
		}
		return sum
	}
	quiet := others(quietCase)
	if quiet == 0 {
		return 0
	}
	return 1 - others(noisyCase)/quiet
}

// NoisyTierCustomers returns the customers of the noisy customer's tier, starting with the
// noisy one.
func (d *Deployment) NoisyTierCustomers() []string {
	noisy := &d.Customers[noisyCustomer]
	names := []string{noisy.Name}
	for i := range d.Customers {
		c := &d.Customers[i]
		if c.Tier == noisy.Tier && c.Name != noisy.Name {
			names = append(names, c.Name)
		}
	}
	return names
}

// Summarise compares the project's own policy with the baselines, case by case.
func Summarise(all []*Outcome) []Summary {
	byCase := make(map[string]map[string]*Outcome)
	var order []string
	for _, o := range all {
		if byCase[o.Case] == nil {
			byCase[o.Case] = make(map[string]*Outcome)
			order = append(order, o.Case)
		}
		byCase[o.Case][o.Policy] = o
	}
	summaries := make([]Summary, 0, len(order))
	for _, name := range order {
		summaries = append(summaries, summarise(name, byCase[name]))
	}
	return summaries
}

func summarise(name string, by map[string]*Outcome) Summary {
	ours := by[PolicyOurs]
	gold := ours.Tier("gold")
	return Summary{
		Case:                name,
		VersusOracle:        ours.Goodput / by[PolicyOracle].Goodput,
		VersusReservation:   ours.Goodput / by[PolicyReservation].Goodput,
		VersusLeastReported: ours.Goodput / by[PolicyLeastReported].Goodput,
		GoldSilverPreempted: gold.Preemptions + ours.Tier("silver").Preemptions,
		BronzePreempted:     ours.Tier("bronze").Preemptions,
		GoldTokenGapP99:     gold.TokenGapP99,
		GoldFirstTokenP95:   gold.FirstTokenP95,
		GoldStall:           gold.StallMean,
		ControlBytes:        ours.ControlBytesPerSecond,
		Computed:            ours.Computed,
	}
}

// PrintSummary writes a table with one line per case.
func PrintSummary(out io.Writer, deployment string, all []Summary) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "deployment\tcase\tof oracle\tof reservation\tof least rep.\ttop preempted\tbronze preempted\tgold p99 ms\tgold first p95 s\tgold stall ms\tcontrol B/s\tprompts computed\t")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.2f\t%.2f\t%d\t%d\t%.1f\t%.2f\t%.0f\t%.0f\t%.2f\t\n", deployment, s.Case, s.VersusOracle, s.VersusReservation,
			s.VersusLeastReported, s.GoldSilverPreempted, s.BronzePreempted, 1000*s.GoldTokenGapP99, s.GoldFirstTokenP95, 1000*s.GoldStall, s.ControlBytes, s.Computed)
	}
	return w.Flush()
}
