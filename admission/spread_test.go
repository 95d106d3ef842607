package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/routing"
)

var _ = Describe("a spread of requests", func() {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	var s *admission.Balancer
	BeforeEach(func() { s = admission.NewBalancer("z", func() float64 { return 0.5 }) })
	engines := func(n int) []routing.Endpoint {
		var out []routing.Endpoint
		for i := range n {
			out = append(out, routing.Endpoint{
				ID:    fmt.Sprintf("e%d", i),
				Zone:  "z",
				Slots: 8,
			})
		}
		return out
	}
	want := admission.Requirements{
		Tokens: 1000,
		Memory: 10_000,
	}
	pick := func(all []routing.Endpoint, w admission.Requirements) string {
		e, ok := s.Pick(now, all, w)
		if !ok {
			return ""
		}
		return e.ID
	}

	It("shares requests evenly between endpoints that are alike", func() {
		counts := make(map[string]int)
		for range 40 {
			id := pick(engines(4), want)
			s.BeginSend(now, id, 1000, 0)
			s.AddPrompt(now, id, 500)
			counts[id]++
		}
		for id, n := range counts {
			Expect(n).To(BeNumerically("~", 10, 2), id)
		}
	})

	It("takes the emptiest engine only where it hears what other boxes place", func() {
		all := engines(20)
		shared := want
		shared.Shared = true
		random := admission.NewBalancer("z", rand.New(rand.NewPCG(1, 2)).Float64)
		emptiest := func() int {
			n := 0
			for range 100 {
				if e, _ := random.Pick(now, all, shared); e.ID == "e0" {
					n++
				}
			}
			return n
		}
		for i, e := range all {
			random.Memory(now, routing.Report{
				Endpoint: e.ID,
				Used:     500 * i,
				Total:    10_000,
			})
		}
		// Of 20, each pick draws two, or all.
		Expect(emptiest()).To(BeNumerically("~", 10, 6))
		random.AddRemotePrompt(now, "e19", 10)
		Expect(emptiest()).To(Equal(100))
	})

	It("compares few engines of its group where others place on engines that it doesn't hear of", func() {
		all := engines(21)
		own := make(map[string]bool)
		random := admission.NewBalancer("z", rand.New(rand.NewPCG(1, 2)).Float64)
		for i, e := range all {
			own[e.ID] = i < 20
			random.Memory(now, routing.Report{
				Endpoint: e.ID,
				Used:     400 * i,
				Total:    10_000,
			})
		}
		random.SetGroupEngines(own)
		n := 0
		for range 100 {
			if e, _ := random.Pick(now, all, want); e.ID == "e0" {
				n++
			}
		}
		// Five of 20.
		Expect(n).To(BeNumerically("~", 25, 9))
	})

	It("avoids an engine whose memory is full, by its report", func() {
		s.Memory(now, routing.Report{
			Endpoint: "e0",
			Used:     9800,
			Total:    10_000,
		})
		Expect(pick(engines(2), want)).To(Equal("e1"))
	})

	It("avoids an engine where prompts of other boxes wait", func() {
		s.AddPrompt(now, "e0", 20_000)
		Expect(pick(engines(2), want)).To(Equal("e1"))
	})

	It("counts memory that prompts of other boxes will take, until a report tells", func() {
		w := want
		w.MaxMemoryUse = 0.5
		for _, id := range []string{"e0", "e1"} {
			s.Memory(now, routing.Report{
				Endpoint: id,
				Total:    10_000,
			})
		}
		for range 5 {
			s.AddRemotePrompt(now, "e0", 1000)
		}
		Expect(pick(engines(1), w)).To(BeEmpty())
		Expect(pick(engines(2), w)).To(Equal("e1"))
		s.Memory(now.Add(time.Second), routing.Report{
			Endpoint: "e0",
			Used:     0,
			Total:    10_000,
		})
		Expect(pick(engines(1), w)).To(Equal("e0"))
	})

	It("counts memory that copies of other boxes will take, and no wait for them", func() {
		for range 3 {
			s.AddRemoteCopy(now, "e0", 2000)
		}
		w := want
		w.MaxMemoryUse = 0.5
		s.Memory(now, routing.Report{
			Endpoint: "e0",
			Total:    10_000,
		})
		Expect(pick(engines(1), w)).To(BeEmpty())
		s.Memory(now.Add(time.Second), routing.Report{
			Endpoint: "e0",
			Total:    10_000,
		})
		Expect(pick(engines(1), w)).To(Equal("e0"))
	})

	It("refuses copies where they would take too much", func() {
		w := want
		w.MaxMemoryUse = 0.5
		s.Memory(now, routing.Report{
			Endpoint: "e0",
			Used:     4500,
			Total:    10_000,
		})
		Expect(pick(engines(1), w)).To(BeEmpty())
	})

	It("avoids an endpoint that was silent, but uses it when there is no other", func() {
		s.Failed(now, "e0", true)
		Expect(pick(engines(2), want)).To(Equal("e1"))
		Expect(pick(engines(1), want)).To(Equal("e0"))
		later := now.Add(time.Minute)
		e, _ := s.Pick(later, engines(2)[:1], want)
		Expect(e.ID).To(Equal("e0"))
	})

	It("leaves out endpoints that had the request", func() {
		w := want
		w.Exclude = map[string]bool{"e0": true}
		Expect(pick(engines(1), w)).To(BeEmpty())
	})

	It("prefers its own zone between endpoints that are alike", func() {
		all := engines(2)
		all[0].Zone = "far"
		Expect(pick(all, admission.Requirements{})).To(Equal("e1"))
	})
})

var _ = Describe("an engine that has told nothing yet", func() {
	It("counts what other boxes placed there", func() {
		now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
		s := admission.NewBalancer("z", func() float64 { return 0.5 })
		e := routing.Endpoint{
			ID:    "new",
			Zone:  "z",
			Slots: 8,
		}
		want := admission.Requirements{
			Tokens: 1000,
			Memory: 10_000,
		}
		Expect(s.Estimate(now, e, want).MemoryUse).To(BeNumerically("~", 0.1, 0.001))
		for range 5 {
			s.AddRemotePrompt(now, e.ID, 1000)
		}
		Expect(s.Estimate(now, e, want).MemoryUse).To(BeNumerically("~", 0.6, 0.001))
		Expect(s.Estimate(now.Add(6*time.Second), e, want).MemoryUse).To(BeNumerically("~", 0.1, 0.001), "once those are over")
	})
})
