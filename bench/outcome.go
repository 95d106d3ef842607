package bench

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// The brief's limits on one generation.
const (
	firstTokenLimit = 2 * time.Second
	betweenLimit    = 0.030
	withinLimit     = 0.95
)

// TierOutcome is what one tier's callers had.
type TierOutcome struct {
	Tier        string
	Requests    int
	Refused     int
	Lost        int
	Whole       int
	StallMean   float64 // seconds a stream
	StallP99    float64
	Preemptions int
	Between50   float64 // seconds
	Between95   float64
	Between99   float64
	First95     float64
	Goodput     float64 // tokens a second
	tokens      float64
}

// Outcome is what one replay gave.
type Outcome struct {
	Deployment string
	Case       string
	Policy     string
	Tiers      []TierOutcome
	Goodput    float64
	ByCustomer map[string]float64
	Bytes      float64 // control bytes a second and box
	Messages   float64
	Computed   float64 // part of the prompts' tokens that engines computed
}

// Tier finds a tier's part.
func (o *Outcome) Tier(name string) *TierOutcome {
	for i := range o.Tiers {
		if o.Tiers[i].Tier == name {
			return &o.Tiers[i]
		}
	}
	return &TierOutcome{}
}

// met reports whether a generation met the brief's limits.
func (r *request) met(start time.Time) bool {
	if !r.done || r.first.Sub(start.Add(r.arrival.At)) > firstTokenLimit {
		return false
	}
	within := 0
	for _, gap := range r.gaps {
		if gap <= betweenLimit {
			within++
		}
	}
	return float64(within) >= withinLimit*float64(len(r.gaps))
}

type gathered struct {
	out    TierOutcome
	gaps   []float64
	firsts []float64
	stalls []float64
}

func (n *run) outcome(d Deployment, p Policy) *Outcome {
	out := &Outcome{
		Deployment: d.Name,
		Case:       n.c.Name,
		Policy:     p.Name,
		ByCustomer: make(map[string]float64),
	}
	tiers := make(map[string]*gathered)
	computed, prompts := 0, 0
	var order []string
	for _, r := range n.all {
		tier := r.arrival.Customer.Tier
		if tiers[tier] == nil {
			tiers[tier] = &gathered{out: TierOutcome{Tier: tier}}
			order = append(order, tier)
		}
		n.gather(tiers[tier], r, out)
		if r.seq != nil {
			computed += r.seq.Computed
			prompts += r.seq.Prompt
		}
	}
	slices.SortFunc(order, func(a, b string) int { return rankOf(d, a) - rankOf(d, b) })
	for _, tier := range order {
		out.Tiers = append(out.Tiers, tiers[tier].finish(n.c.Duration))
	}
	for i := range out.Tiers {
		out.Goodput += out.Tiers[i].Goodput
	}
	out.Computed = float64(computed) / float64(max(1, prompts))
	seconds := n.c.Duration.Seconds() * float64(len(n.boxes))
	out.Bytes = float64(n.bytes) / seconds
	out.Messages = float64(n.messages) / seconds
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

func (n *run) gather(g *gathered, r *request, out *Outcome) {
	g.out.Requests++
	switch {
	case r.refused:
		g.out.Refused++
	case r.lost:
		g.out.Lost++
	case r.done:
		g.out.Whole++
	}
	if r.seq != nil {
		g.out.Preemptions += r.seq.Preempted
	}
	g.gaps = append(g.gaps, r.gaps...)
	if !r.first.IsZero() {
		g.firsts = append(g.firsts, r.first.Sub(n.start.Add(r.arrival.At)).Seconds())
		g.stalls = append(g.stalls, r.stall)
	}
	if r.met(n.start) {
		g.out.tokens += float64(r.seq.Emitted)
		out.ByCustomer[r.arrival.Customer.Name] += float64(r.seq.Emitted) / n.c.Duration.Seconds()
	}
}

func (g *gathered) finish(duration time.Duration) TierOutcome {
	slices.Sort(g.gaps)
	slices.Sort(g.firsts)
	slices.Sort(g.stalls)
	o := g.out
	o.Between50 = quantile(g.gaps, 0.50)
	o.Between95 = quantile(g.gaps, 0.95)
	o.Between99 = quantile(g.gaps, 0.99)
	o.First95 = quantile(g.firsts, 0.95)
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
