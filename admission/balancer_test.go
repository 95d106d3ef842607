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

var _ = Describe("a balancer", func() {
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
	req := admission.Requirements{
		Tokens: 1000,
		Memory: 10_000,
	}
	pick := func(all []routing.Endpoint, changed admission.Requirements) string {
		e, ok := s.Pick(now, all, changed)
		if !ok {
			return ""
		}
		return e.ID
	}

	It("distributes requests evenly over equal endpoints", func() {
		counts := make(map[string]int)
		for range 40 {
			id := pick(engines(4), req)
			s.BeginSend(now, id, 1000, 0)
			s.AddPrompt(now, id, 500)
			counts[id]++
		}
		for id, n := range counts {
			Expect(n).To(BeNumerically("~", 10, 2), id)
		}
	})

	It("compares all engines only if other boxes report their placements", func() {
		all := engines(20)
		shared := req
		shared.Shared = true
		balancer := admission.NewBalancer("z", rand.New(rand.NewPCG(1, 2)).Float64)
		emptiest := func() int {
			n := 0
			for range 100 {
				if e, _ := balancer.Pick(now, all, shared); e.ID == "e0" {
					n++
				}
			}
			return n
		}
		for i, e := range all {
			balancer.Memory(now, routing.Report{
				Endpoint: e.ID,
				Used:     500 * i,
				Total:    10_000,
			})
		}
		// Each pick compares two of the 20 engines, or all of them.
		Expect(emptiest()).To(BeNumerically("~", 10, 6))
		balancer.AddRemotePrompt(now, "e19", 10)
		Expect(emptiest()).To(Equal(100))
	})

	It("compares few engines of its group if there are engines outside the group", func() {
		all := engines(21)
		own := make(map[string]bool)
		balancer := admission.NewBalancer("z", rand.New(rand.NewPCG(1, 2)).Float64)
		for i, e := range all {
			own[e.ID] = i < 20
			balancer.Memory(now, routing.Report{
				Endpoint: e.ID,
				Used:     400 * i,
				Total:    10_000,
			})
		}
		balancer.SetGroupEngines(own)
		n := 0
		for range 100 {
			if e, _ := balancer.Pick(now, all, req); e.ID == "e0" {
				n++
			}
		}
		// Each pick compares five of the 20 engines of the group.
		Expect(n).To(BeNumerically("~", 25, 9))
	})

	It("avoids an engine that reports its memory as full", func() {
		s.Memory(now, routing.Report{
			Endpoint: "e0",
			Used:     9800,
			Total:    10_000,
		})
		Expect(pick(engines(2), req)).To(Equal("e1"))
	})

	It("avoids an engine with queued prompts of other boxes", func() {
		s.AddPrompt(now, "e0", 20_000)
		Expect(pick(engines(2), req)).To(Equal("e1"))
	})

	It("counts the memory of other boxes' prompts until the engine's next report", func() {
		changed := req
		changed.MaxMemoryUse = 0.5
		for _, id := range []string{"e0", "e1"} {
			s.Memory(now, routing.Report{
				Endpoint: id,
				Total:    10_000,
			})
		}
		for range 5 {
			s.AddRemotePrompt(now, "e0", 1000)
		}
		Expect(pick(engines(1), changed)).To(BeEmpty())
		Expect(pick(engines(2), changed)).To(Equal("e1"))
		s.Memory(now.Add(time.Second), routing.Report{
			Endpoint: "e0",
			Used:     0,
			Total:    10_000,
		})
		Expect(pick(engines(1), changed)).To(Equal("e0"))
	})

	It("counts the memory of other boxes' copies until the engine's next report", func() {
		for range 3 {
			s.AddRemoteCopy(now, "e0", 2000)
		}
		changed := req
		changed.MaxMemoryUse = 0.5
		s.Memory(now, routing.Report{
			Endpoint: "e0",
			Total:    10_000,
		})
		Expect(pick(engines(1), changed)).To(BeEmpty())
		s.Memory(now.Add(time.Second), routing.Report{
			Endpoint: "e0",
			Total:    10_000,
		})
		Expect(pick(engines(1), changed)).To(Equal("e0"))
	})

	It("doesn't pick an engine whose memory use would exceed the limit", func() {
		changed := req
		changed.MaxMemoryUse = 0.5
		s.Memory(now, routing.Report{
			Endpoint: "e0",
			Used:     4500,
			Total:    10_000,
		})
		Expect(pick(engines(1), changed)).To(BeEmpty())
	})

	It("avoids an unresponsive endpoint unless it is the only one", func() {
		s.Failed(now, "e0", true)
		Expect(pick(engines(2), req)).To(Equal("e1"))
		Expect(pick(engines(1), req)).To(Equal("e0"))
		later := now.Add(time.Minute)
		e, _ := s.Pick(later, engines(2)[:1], req)
		Expect(e.ID).To(Equal("e0"))
	})

	It("doesn't pick excluded endpoints", func() {
		changed := req
		changed.Exclude = map[string]bool{"e0": true}
		Expect(pick(engines(1), changed)).To(BeEmpty())
	})

	It("prefers its own zone among equal endpoints", func() {
		all := engines(2)
		all[0].Zone = "far"
		Expect(pick(all, admission.Requirements{})).To(Equal("e1"))
	})
})

var _ = Describe("an engine without a report", func() {
	It("is estimated by what other boxes placed there", func() {
		now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
		s := admission.NewBalancer("z", func() float64 { return 0.5 })
		e := routing.Endpoint{
			ID:    "new",
			Zone:  "z",
			Slots: 8,
		}
		req := admission.Requirements{
			Tokens: 1000,
			Memory: 10_000,
		}
		Expect(s.Estimate(now, e, req).MemoryUse).To(BeNumerically("~", 0.1, 0.001))
		for range 5 {
			s.AddRemotePrompt(now, e.ID, 1000)
		}
		Expect(s.Estimate(now, e, req).MemoryUse).To(BeNumerically("~", 0.6, 0.001))
		Expect(s.Estimate(now.Add(6*time.Second), e, req).MemoryUse).To(BeNumerically("~", 0.1, 0.001), "after the placements have expired")
	})
})
