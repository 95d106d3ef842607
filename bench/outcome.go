package bench

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// A generation counts as goodput if its first token comes within firstTokenLimit and at
// least minOnTimeShare of its token gaps are within tokenGapLimitSeconds.
const (
	firstTokenLimit      = 2 * time.Second
	tokenGapLimitSeconds = 0.030
	minOnTimeShare       = 0.95
)

// TierOutcome holds the results of one tier's requests.
type TierOutcome struct {
	Tier          string
	Requests      int
	Refused       int
	Lost          int // their engine crashed
	Completed     int
	StallMean     float64 // seconds per stream
	StallP99      float64
	Preemptions   int
	TokenGapP50   float64 // quantiles of the time between tokens, in seconds
	TokenGapP95   float64
	TokenGapP99   float64
	FirstTokenP95 float64 // quantile of the time to the first token, in seconds
	Goodput       float64 // tokens per second of generations within the limits
	tokens        float64
}

// Outcome holds the results of one replay.
type Outcome struct {
	Deployment            string
	Case                  string
	Policy                string
	Tiers                 []TierOutcome
	Goodput               float64            // tokens per second of generations within the limits
	ByCustomer            map[string]float64 // goodput by customer
	ControlBytesPerSecond float64            // per box
	MessagesPerSecond     float64            // control messages per box
	Computed              float64            // share of prompt tokens computed, not read from a prefix cache
}

// Tier returns the results of a tier, which are zero if it had no requests.
func (o *Outcome) Tier(name string) *TierOutcome {
	for i := range o.Tiers {
		if o.Tiers[i].Tier == name {
			return &o.Tiers[i]
		}
	}
	return &TierOutcome{}
}

// metTargets reports whether a generation completed within the limits. start is the start of
// the replay.
func (r *request) metTargets(start time.Time) bool {
	if !r.done || r.firstTokenAt.Sub(start.Add(r.arrival.At)) > firstTokenLimit {
		return false
	}
	onTime := 0
	for _, gap := range r.tokenGaps {
		if gap <= tokenGapLimitSeconds {
			onTime++
		}
	}
	return float64(onTime) >= minOnTimeShare*float64(len(r.tokenGaps))
}

// tierSamples collects the requests' figures of one tier; times are in seconds.
type tierSamples struct {
	out             TierOutcome
	tokenGaps       []float64
	firstTokenTimes []float64
	stalls          []float64
}

// outcome evaluates all requests of a replay.
func (sim *simulation) outcome(d Deployment, p Policy) *Outcome {
	out := &Outcome{
		Deployment: d.Name,
		Case:       sim.testCase.Name,
		Policy:     p.Name,
		ByCustomer: make(map[string]float64),
	}
	tiers := make(map[string]*tierSamples)
	computed, prompts := 0, 0
	var order []string
	for _, r := range sim.requests {
		tier := r.arrival.Customer.Tier
		if tiers[tier] == nil {
			tiers[tier] = &tierSamples{out: TierOutcome{Tier: tier}}
			order = append(order, tier)
		}
		sim.addRequest(tiers[tier], r, out)
		if r.seq != nil {
			computed += r.seq.Computed
			prompts += r.seq.Prompt
		}
	}
	slices.SortFunc(order, func(a, b string) int { return rankOf(d, a) - rankOf(d, b) })
	for _, tier := range order {
		out.Tiers = append(out.Tiers, tiers[tier].result(sim.testCase.Duration))
	}
	for i := range out.Tiers {
		out.Goodput += out.Tiers[i].Goodput
	}
	out.Computed = float64(computed) / float64(max(1, prompts))
	seconds := sim.testCase.Duration.Seconds() * float64(len(sim.boxes))
	out.ControlBytesPerSecond = float64(sim.controlBytes) / seconds
	out.MessagesPerSecond = float64(sim.controlMessages) / seconds
	return out
}

func rankOf(d Deployment, tier string) int {
	for i := range d.Customers {
		if d.Customers[i].Tier == tier {
			return d.Customers[i].Rank
		}
	}
	return 0
}

// addRequest adds a request's figures to its tier, and its goodput to its customer.
func (sim *simulation) addRequest(g *tierSamples, r *request, out *Outcome) {
	g.out.Requests++
	switch {
	case r.refused:
		g.out.Refused++
	case r.lost:
		g.out.Lost++
	case r.done:
		g.out.Completed++
	}
	if r.seq != nil {
		g.out.Preemptions += r.seq.Preempted
	}
	g.tokenGaps = append(g.tokenGaps, r.tokenGaps...)
	if !r.firstTokenAt.IsZero() {
		g.firstTokenTimes = append(g.firstTokenTimes, r.firstTokenAt.Sub(sim.start.Add(r.arrival.At)).Seconds())
		g.stalls = append(g.stalls, r.stallSeconds)
	}
	if r.metTargets(sim.start) {
		g.out.tokens += float64(r.seq.Emitted)
		out.ByCustomer[r.arrival.Customer.Name] += float64(r.seq.Emitted) / sim.testCase.Duration.Seconds()
	}
}

// result computes the tier's quantiles and rates over a duration.
func (g *tierSamples) result(duration time.Duration) TierOutcome {
	slices.Sort(g.tokenGaps)
	slices.Sort(g.firstTokenTimes)
	slices.Sort(g.stalls)
	o := g.out
	o.TokenGapP50 = quantile(g.tokenGaps, 0.50)
	o.TokenGapP95 = quantile(g.tokenGaps, 0.95)
	o.TokenGapP99 = quantile(g.tokenGaps, 0.99)
	o.FirstTokenP95 = quantile(g.firstTokenTimes, 0.95)
	o.StallP99 = quantile(g.stalls, 0.99)
	if len(g.stalls) > 0 {
		o.StallMean = stat.Mean(g.stalls, nil)
	}
	o.Goodput = o.tokens / duration.Seconds()
	return o
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return stat.Quantile(q, stat.Empirical, sorted, nil)
}
