package admission_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/policy"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func request(id, customer string, rank int, at time.Time) admission.Request {
	return admission.Request{
		ID:           id,
		Customer:     customer,
		Class:        "standard",
		Tier:         fmt.Sprint("tier-", rank),
		Rank:         rank,
		Weight:       1,
		Risk:         0.05,
		PromptTokens: 200,
		MaxTokens:    4000,
		ArrivedAt:    at,
	}
}

func arrive(m *admission.Model, r admission.Request) []core.Command {
	return m.Step(r.ArrivedAt, admission.RequestArrived{Request: r})
}

func lease(endpoint string, until time.Duration, tokens int) admission.LeaseArrived {
	return admission.LeaseArrived{
		Lease:  core.NewLease(endpoint, start, until, tokens, 64),
		Growth: tokens,
	}
}

func newModelWithEngine(tokens int, change func(*admission.Rules)) *admission.Model {
	rules := admission.DefaultRules()
	if change != nil {
		change(&rules)
	}
	m := admission.NewModel(admission.WithRules(rules))
	m.Step(start, admission.EndpointsChanged{Names: []string{"engine-1"}})
	m.Step(start, lease("engine-1", time.Hour, tokens))
	return m
}

func placedIDs(commands []core.Command) []string {
	var ids []string
	for _, c := range commands {
		if p, ok := c.(admission.PlaceRequest); ok {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

func refusals(commands []core.Command) []admission.RefuseRequest {
	var all []admission.RefuseRequest
	for _, c := range commands {
		if r, ok := c.(admission.RefuseRequest); ok {
			all = append(all, r)
		}
	}
	return all
}

// endAndTick ends a generation, advances the time past the prompt interval and returns the
// requests placed.
func endAndTick(m *admission.Model, id string, now time.Time) []string {
	commands := m.Step(now, admission.GenerationEnded{ID: id, Generated: 50, Whole: true})
	return placedIDs(append(commands, m.Step(now.Add(time.Second), admission.Ticked{})...))
}

var _ = Describe("admission", func() {
	It("places nothing on an expired lease", func() {
		m := admission.NewModel()
		m.Step(start, admission.EndpointsChanged{Names: []string{"engine-1"}})
		m.Step(start, lease("engine-1", time.Second, 100000))
		late := request("late", "a", 0, start.Add(2*time.Second))
		Expect(placedIDs(arrive(m, late))).To(BeEmpty())
		Expect(m.Waiting()).To(Equal(1))
	})

	It("never plans more memory than is leased", func() {
		m := newModelWithEngine(5000, nil)
		for i := range 200 {
			arrive(m, request(fmt.Sprint("r", i), "a", 0, start.Add(time.Duration(i)*100*time.Millisecond)))
		}
		Expect(m.Running()).To(BeNumerically(">", 2))
		demands := m.Demands(start.Add(time.Minute), true)
		Expect(demands[0].Profile.Peak(0)).To(BeNumerically("<=", 5000))
	})

	It("places the more urgent rank first, regardless of arrival", func() {
		m := newModelWithEngine(700, nil)
		Expect(placedIDs(arrive(m, request("first", "a", 1, start)))).To(ConsistOf("first"))
		arrive(m, request("low", "b", 2, start.Add(time.Second)))
		arrive(m, request("high", "c", 0, start.Add(2*time.Second)))
		Expect(endAndTick(m, "first", start.Add(3*time.Second))).To(HaveExactElements("high"))
	})

	It("places the customer that was served fewer tokens first, within a rank", func() {
		m := newModelWithEngine(700, nil)
		arrive(m, request("a1", "a", 0, start))
		m.Step(start, admission.TokensMade{ID: "a1", Generated: 400})
		arrive(m, request("a2", "a", 0, start.Add(time.Second)))
		arrive(m, request("b1", "b", 0, start.Add(2*time.Second)))
		Expect(endAndTick(m, "a1", start.Add(3*time.Second))).To(HaveExactElements("b1"))
	})

	It("raises the priority of a less urgent rank while it waits", func() {
		m := newModelWithEngine(700, nil)
		arrive(m, request("first", "a", 0, start))
		arrive(m, request("old", "b", 1, start))
		arrive(m, request("young", "c", 0, start.Add(25*time.Second)))
		Expect(endAndTick(m, "first", start.Add(26*time.Second))).To(HaveLen(1))
	})

	It("refuses at once if the expected wait is too long, with a retry delay", func() {
		m := newModelWithEngine(700, func(r *admission.Rules) {
			r.MaxWait = 5 * time.Second
			r.Aging = 0
		})
		now := start
		var refused []admission.RefuseRequest
		running := placedIDs(arrive(m, request("r0", "a", 0, now)))
		for i := 1; i < 60 && len(refused) == 0; i++ {
			now = now.Add(500 * time.Millisecond)
			refused = refusals(arrive(m, request(fmt.Sprint("r", i), "a", 0, now)))
			if i%4 == 0 && len(running) > 0 {
				running = endAndTick(m, running[0], now)
			}
		}
		Expect(refused).NotTo(BeEmpty())
		Expect(refused[0].Reason).To(BeElementOf(admission.RefuseOverload, admission.RefuseTimeout))
		Expect(refused[0].RetryAfter).To(BeNumerically(">=", time.Second))
	})

	It("follows the tier's policy program, and falls back to the tier's order if it fails", func() {
		refuse, err := policy.Compile("p", "request.prompt_tokens > 100 ? 'refuse' : 'run'", "")
		Expect(err).NotTo(HaveOccurred())
		broken, err := policy.Compile("p", "[1][int(request.prompt_tokens)] == 1 ? 'run' : 'wait'", "")
		Expect(err).NotTo(HaveOccurred())
		for _, c := range []struct {
			program *policy.Program
			want    string
		}{{refuse, "refused"}, {broken, "placed"}} {
			m := newModelWithEngine(10000, func(r *admission.Rules) {
				r.Program = func(string) *policy.Program { return c.program }
			})
			commands := arrive(m, request("r", "a", 0, start))
			if c.want == "refused" {
				Expect(refusals(commands)).To(HaveLen(1))
				continue
			}
			Expect(placedIDs(commands)).To(ConsistOf("r"))
			Expect(commands).To(ContainElement(BeAssignableToTypeOf(admission.PolicyFailed{})))
		}
	})

	It("places a request on the endpoint that probably caches its prefix", func() {
		m := admission.NewModel()
		m.Step(start, admission.EndpointsChanged{Names: []string{"e1", "e2", "e3"}})
		for _, name := range []string{"e1", "e2", "e3"} {
			m.Step(start, lease(name, time.Hour, 100000))
		}
		m.Step(start, admission.PrefixCached{Endpoint: "e2", Prefix: 42})
		r := request("r", "a", 0, start)
		r.Prefix = 42
		Expect(arrive(m, r)).To(ContainElement(HaveField("Endpoint", "e2")))
	})

	It("requests one wake-up for many requests that wait for the prompt interval", func() {
		m := newModelWithEngine(100000, nil)
		wakes := 0
		for i := range 50 {
			for _, c := range arrive(m, request(fmt.Sprint("r", i), "a", 0, start)) {
				if _, ok := c.(admission.Wake); ok {
					wakes++
				}
			}
		}
		Expect(m.Waiting()).To(BeNumerically(">", 40))
		Expect(wakes).To(Equal(1))
	})
})

var _ = Describe("a length estimator", func() {
	key := admission.LengthKey{Customer: "a", Class: "standard"}

	It("learns short lengths, and long ones before the first generation has ended", func() {
		e := admission.NewLengthEstimator(256)
		for range 200 {
			e.ObserveProgress(key, 0, 20)
			e.ObserveEnd(key, 20)
		}
		short := e.Curve(key).Remaining(0, 10000)
		Expect(short).To(BeNumerically("<", 40))
		for range 30 {
			e.ObserveProgress(key, 0, 2000)
		}
		Expect(e.Curve(key).Remaining(0, 10000)).To(BeNumerically(">", 3*short))
	})

	It("expects more tokens of a generation that is longer than usual", func() {
		e := admission.NewLengthEstimator(100)
		c := e.Curve(key)
		Expect(c.Beyond(1000, 100)).To(BeNumerically(">", 0))
		Expect(c.Beyond(10, 10)).To(BeNumerically(">", c.Beyond(10, 100)))
	})
})

var _ = Describe("the shares of an endpoint", func() {
	newShares := func() *admission.Shares {
		ownership := core.NewOwnership("engine", core.DefaultLeaseRules())
		ownership.Step(start, core.HoldTaken{Fresh: true})
		ownership.Step(start, core.ListConfirmed{At: start})
		return admission.NewShares(ownership, 20000, 64, 30*time.Millisecond)
	}

	It("never grant a box more growth than the memory of the slot", func() {
		s := newShares()
		for turn := range 40 {
			promised := 0
			for b := range 4 {
				g := s.Grant(start, fmt.Sprint("box-", b), admission.Demand{Waiting: 1000 * turn})
				promised += g.Growth
			}
			Expect(promised).To(BeNumerically("<=", 4*10000))
			Expect(s.Grant(start, "box-0", admission.Demand{}).Growth).To(BeNumerically("<=", 10000))
		}
	})

	It("grant nothing of an endpoint that is leaving", func() {
		s := newShares()
		s.Ownership().Step(start, core.EndpointLeaving{Leaving: true})
		Expect(s.Grant(start, "box-0", admission.Demand{})).To(Equal(admission.Grant{}))
	})

	It("grant half if the owner's list was not confirmed recently", func() {
		s := newShares()
		late := start.Add(time.Minute)
		for at := start; at.Before(late); at = at.Add(time.Second) {
			s.Ownership().Step(at, core.HoldTicked{})
		}
		Expect(s.Grant(late, "box-0", admission.Demand{}).Tokens).To(Equal(5000))
	})

	It("fit the batch size at which the time between tokens meets the target", func() {
		var fit admission.StepFit
		for n := range 60 {
			fit.Observe(n+1, 10*time.Millisecond+time.Duration(n+1)*500*time.Microsecond)
		}
		Expect(fit.Limit(30 * time.Millisecond)).To(BeNumerically("~", 40, 1))
	})
})
