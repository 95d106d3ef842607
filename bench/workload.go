package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/standin"
)

// Customer describes one customer's part of the load.
type Customer struct {
	Name      string
	Class     string
	Tier      string
	Rank      int
	Share     float64 // fraction of all requests
	Prompt    standin.LengthDistribution
	Output    standin.LengthDistribution
	MaxLength int // limit of the output tokens
}

// Arrival is one request, with its prompt's and output's lengths in tokens.
type Arrival struct {
	At       time.Duration
	Customer *Customer
	Prompt   int
	Output   int
	Prefix   uint64
	Box      int
}

// Deployment is a named mix of customers.
type Deployment struct {
	Name      string
	Customers []Customer
}

// Case is a load level with at most one disturbance.
type Case struct {
	Name             string
	LoadFactor       float64 // relative to the sustainable rate
	HasBursts        bool    // the rate varies over time
	HasNoisyCustomer bool    // one silver customer sends noisyFactor times its share
	OutputsGrow      bool    // one customer's outputs become ten times as long halfway
	EngineFails      bool    // one engine crashes halfway
	IsPartitioned    bool    // half of the boxes can't reach the owners in the other half for partitionTime
	ReportLag        time.Duration
	Duration         time.Duration
}

// Buscodigo returns a load shaped like the code search deployment's: short completions
// with shared prefixes, and longer summaries.
func Buscodigo() Deployment {
	short := standin.LengthDistribution{Median: 45, Sigma: 0.9, MaxLength: 2000}
	long := standin.LengthDistribution{Median: 350, Sigma: 1.1, MaxLength: 12000}
	prompt := standin.LengthDistribution{Median: 500, Sigma: 0.5, MaxLength: 4000}
	return Deployment{
		Name: "buscodigo",
		Customers: []Customer{
			{Name: "editor", Class: "autocomplete", Tier: "gold", Rank: 0, Share: 0.30, Prompt: prompt, Output: short, MaxLength: 2000},
			{Name: "plugin", Class: "autocomplete", Tier: "gold", Rank: 0, Share: 0.10, Prompt: prompt, Output: short, MaxLength: 2000},
			{Name: "enterprise", Class: "autocomplete", Tier: "silver", Rank: 1, Share: 0.20, Prompt: prompt, Output: short, MaxLength: 2000},
			{Name: "partner-a", Class: "explain", Tier: "silver", Rank: 1, Share: 0.10, Prompt: prompt, Output: long, MaxLength: 12000},
			{Name: "partner-b", Class: "explain", Tier: "silver", Rank: 1, Share: 0.10, Prompt: prompt, Output: long, MaxLength: 12000},
			{Name: "summaries", Class: "summary", Tier: "bronze", Rank: 2, Share: 0.20, Prompt: prompt, Output: long, MaxLength: 12000},
		},
	}
}

// Jordan returns a load shaped like the climate records assistant's: interactive answers
// of medium length, and bulk summaries.
func Jordan() Deployment {
	answer := standin.LengthDistribution{Median: 220, Sigma: 0.8, MaxLength: 6000}
	bulk := standin.LengthDistribution{Median: 600, Sigma: 1.0, MaxLength: 16000}
	prompt := standin.LengthDistribution{Median: 300, Sigma: 0.7, MaxLength: 4000}
	return Deployment{
		Name: "jordan",
		Customers: []Customer{
			{Name: "field", Class: "explain", Tier: "gold", Rank: 0, Share: 0.25, Prompt: prompt, Output: answer, MaxLength: 6000},
			{Name: "clinics", Class: "alert", Tier: "gold", Rank: 0, Share: 0.15, Prompt: prompt, Output: answer, MaxLength: 6000},
			{Name: "water", Class: "explain", Tier: "silver", Rank: 1, Share: 0.15, Prompt: prompt, Output: answer, MaxLength: 6000},
			{Name: "labs", Class: "explain", Tier: "silver", Rank: 1, Share: 0.15, Prompt: prompt, Output: answer, MaxLength: 6000},
			{Name: "farms", Class: "explain", Tier: "silver", Rank: 1, Share: 0.10, Prompt: prompt, Output: answer, MaxLength: 6000},
			{Name: "ministry", Class: "bulk", Tier: "bronze", Rank: 2, Share: 0.20, Prompt: prompt, Output: bulk, MaxLength: 16000},
		},
	}
}

// mean estimates a length distribution's mean by sampling.
func mean(l standin.LengthDistribution) float64 {
	r := rand.New(rand.NewPCG(1, 2))
	sum := 0
	const draws = 20000
	for range draws {
		sum += l.Sample(r)
	}
	return float64(sum) / draws
}

// usableMemoryShare keeps part of the memory free, because usage varies around the mean.
const usableMemoryShare = 0.9

// SustainableRate returns the requests per second that a number of engines can serve. An
// engine's slots and memory limit the number of requests that it runs at once: a request with
// an output of n tokens holds its prompt and, on average, n/2 tokens for n steps.
func (d *Deployment) SustainableRate(engines int, rules standin.BatchRules, slots int) float64 {
	output, held := 0.0, 0.0
	for i := range d.Customers {
		c := &d.Customers[i]
		prompt, length := mean(c.Prompt), mean(c.Output)
		output += c.Share * length
		held += c.Share * length * (prompt + secondMoment(c.Output)/(2*length))
	}
	atOnce := math.Min(float64(slots), usableMemoryShare*float64(rules.MemoryTokens)/(held/output))
	step := rules.StepBase + time.Duration(atOnce*float64(rules.StepPerSeq))
	return float64(engines) * atOnce / step.Seconds() / output
}

// secondMoment estimates a length distribution's second moment by sampling.
func secondMoment(l standin.LengthDistribution) float64 {
	r := rand.New(rand.NewPCG(3, 4))
	sum := 0.0
	const draws = 20000
	for range draws {
		n := float64(l.Sample(r))
		sum += n * n
	}
	return sum / draws
}

// noisyCustomer is the index of the customer that sends noisyFactor times its share in the
// noisy case and whose outputs grow in the growth case.
const (
	noisyCustomer = 2
	noisyFactor   = 5
)

// Arrivals generates the requests of a case.
func (d *Deployment) Arrivals(c Case, rate float64, boxes int, seed uint64) []Arrival {
	r := rand.New(rand.NewPCG(seed, 7))
	weights := make([]float64, len(d.Customers))
	total := 0.0
	for i := range d.Customers {
		weights[i] = d.Customers[i].Share
		if c.HasNoisyCustomer && i == noisyCustomer {
			weights[i] *= noisyFactor
		}
		total += weights[i]
	}
	var all []Arrival
	now := time.Duration(0)
	for {
		current := rate * c.LoadFactor * total
		if c.HasBursts {
			current *= burstFactor(now)
		}
		now += time.Duration(r.ExpFloat64() / current * float64(time.Second))
		if now > c.Duration {
			return all
		}
		all = append(all, d.sampleArrival(r, c, weights, now, boxes))
	}
}

// burstFactor returns the factor of the arrival rate at a time: in every 20 s, 3 for 2 s,
// 1 for 8 s and 0.6 for the rest.
func burstFactor(now time.Duration) float64 {
	switch second := int(now.Seconds()) % 20; {
	case second < 2:
		return 3
	case second < 10:
		return 1
	}
	return 0.6
}

// sampleArrival draws one request; weights are the customers' shares in this case.
func (d *Deployment) sampleArrival(r *rand.Rand, c Case, weights []float64, now time.Duration, boxes int) Arrival {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := r.Float64() * sum
	pick := 0
	for ; pick < len(weights)-1 && at >= weights[pick]; pick++ {
		at -= weights[pick]
	}
	customer := &d.Customers[pick]
	a := Arrival{
		At:       now,
		Customer: customer,
		Prompt:   customer.Prompt.Sample(r),
		Output:   customer.Output.Sample(r),
		Prefix:   uint64(pick*1000 + 1 + r.IntN(12)),
		Box:      r.IntN(boxes),
	}
	if c.OutputsGrow && pick == noisyCustomer && now > c.Duration/2 {
		a.Output = min(a.Output*10, customer.MaxLength)
	}
	return a
}

// Cases returns the published cases, each with arrivals over a duration.
func Cases(duration time.Duration) []Case {
	cases := []Case{
		{Name: "0.7", LoadFactor: 0.7},
		{Name: "1.0", LoadFactor: 1.0},
		{Name: "1.3", LoadFactor: 1.3},
		{Name: "burst", LoadFactor: 1.0, HasBursts: true},
		{Name: "noisy", LoadFactor: 0.7, HasNoisyCustomer: true},
		{Name: "growth", LoadFactor: 1.0, OutputsGrow: true},
		{Name: "death", LoadFactor: 1.0, EngineFails: true},
		{Name: "cut", LoadFactor: 1.0, IsPartitioned: true},
		{Name: "lag", LoadFactor: 1.0, ReportLag: 5 * time.Second},
	}
	for i := range cases {
		cases[i].Duration = duration
	}
	return cases
}

// FindCase returns the case with a name.
func FindCase(cases []Case, name string) (Case, error) {
	at := slices.IndexFunc(cases, func(c Case) bool { return c.Name == name })
	if at < 0 {
		return Case{}, fmt.Errorf("no case is named %q; leave the name out to see all", name)
	}
	return cases[at], nil
}
