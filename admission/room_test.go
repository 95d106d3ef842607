package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/routing"
)

// roomEngines returns engines of one zone and reports each with an amount of memory in use.
func roomEngines(s *admission.Balancer, now time.Time, used ...int) []routing.Endpoint {
	var all []routing.Endpoint
	for i, n := range used {
		e := routing.Endpoint{
			ID:    fmt.Sprintf("e%d", i),
			Zone:  "z",
			Slots: 8,
		}
		s.Memory(now, routing.Report{
			Endpoint: e.ID,
			Used:     n,
			Total:    10_000,
		})
		all = append(all, e)
	}
	return all
}

var _ = Describe("a pick with room", func() {
	var now time.Time
	var s *admission.Balancer
	BeforeEach(func() {
		now = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
		s = admission.NewBalancer("z", func() float64 { return 0.5 })
	})
	req := admission.Requirements{
		Tokens:          1000,
		Prompt:          800,
		Memory:          10_000,
		MaxMemoryUse:    0.9,
		MaxPrefillDelay: 150 * time.Millisecond,
	}
	pick := func(all []routing.Endpoint, req admission.Requirements, ahead ...admission.Need) string {
		e, ok := s.PickWithRoom(now, all, ahead, req)
		if !ok {
			return ""
		}
		return e.ID
	}

	It("finds no engine whose memory would exceed the limit", func() {
		all := roomEngines(s, now, 8100)
		Expect(pick(all, req)).To(BeEmpty())
		Expect(s.WhyNoRoom(now, all, req)).To(Equal(admission.ReasonMemory))
		urgent := req
		urgent.MaxMemoryUse = 1
		Expect(pick(all, urgent)).To(Equal("e0"))
	})

	It("finds no engine where the prompt would be queued for longer than the limit", func() {
		all := roomEngines(s, now, 0)
		s.AddPrompt(now, "e0", 1300) // 0.16 s at the initial rate
		Expect(pick(all, req)).To(BeEmpty())
		Expect(s.WhyNoRoom(now, all, req)).To(Equal(admission.ReasonPrefill))
		urgent := req
		urgent.MaxPrefillDelay = 500 * time.Millisecond
		Expect(pick(all, urgent)).To(Equal("e0"))
	})

	It("reserves room for the requests ahead at the engine with the most room", func() {
		all := roomEngines(s, now, 6000, 7500)
		ahead := admission.Need{Tokens: 2900}
		Expect(pick(all, req)).To(Equal("e0"))
		Expect(pick(all, req, ahead)).To(Equal("e1"))
		Expect(pick(all, req, ahead, admission.Need{Tokens: 1000})).To(BeEmpty())
		Expect(s.WhyNoRoom(now, all, req)).To(Equal(admission.ReasonOrder))
	})

	// Guards against small requests that take the memory for which a large one waits, time and
	// again.
	It("finds none while a request ahead finds none", func() {
		all := roomEngines(s, now, 6000, 6500)
		Expect(pick(all, req)).To(Equal("e0"))
		Expect(pick(all, req, admission.Need{Tokens: 3500})).To(BeEmpty())
	})

	// Guards against two requests of a box that take the same room, since the first one counts at
	// its engine only when its connection is there.
	It("counts what requests take that are being sent, whether it is there or not", func() {
		all := roomEngines(s, now, 7500, 7900)
		Expect(pick(all, req, admission.Need{
			Tokens:   1000,
			Endpoint: "e0",
		})).To(Equal("e1"))
		Expect(pick(all, req, admission.Need{
			Tokens:   4000,
			Endpoint: "e0",
		}, admission.Need{
			Tokens:   1000,
			Endpoint: "gone",
		})).To(Equal("e1"))
	})

	// Guards against a request that waits until an engine is empty, and against all others
	// waiting with it.
	It("reserves half of an engine at most for a request", func() {
		all := roomEngines(s, now, 3500, 7900)
		large := req
		large.Tokens = 9500
		Expect(pick(all, large)).To(Equal("e0"))
		Expect(pick(all, req, admission.Need{Tokens: 9500})).To(Equal("e1"))
		Expect(pick(roomEngines(s, now.Add(time.Second), 4500, 7900), large)).To(BeEmpty())
	})

	It("finds no excluded engine, which counts for the requests ahead", func() {
		all := roomEngines(s, now, 0, 7900)
		retry := req
		retry.Exclude = map[string]bool{"e0": true}
		Expect(pick(all, retry, admission.Need{Tokens: 5000})).To(Equal("e1"))
		retry.Exclude["e1"] = true
		Expect(pick(all, retry)).To(BeEmpty())
	})

	It("treats an engine without a recent report as one with its known prompts only", func() {
		all := roomEngines(s, now, 10_000)
		Expect(pick(all, req)).To(BeEmpty())
		e, ok := s.PickWithRoom(now.Add(6*time.Second), all, nil, req)
		Expect(ok).To(BeTrue())
		Expect(e.ID).To(Equal("e0"))
	})

	// Guards against sending everything to an engine that is gone, which looks empty while all
	// others are full.
	It("finds none at engines that don't respond or failed repeatedly, for a while", func() {
		all := roomEngines(s, now, 0, 0, 10_000)
		s.Failed(now, "e0", true)
		s.Failed(now, "e1", false)
		Expect(pick(all, req)).To(Equal("e1"))
		s.Failed(now, "e1", false)
		Expect(pick(all, req)).To(BeEmpty())
		Expect(pick(all, req, admission.Need{Tokens: 1000})).To(BeEmpty())
		now = now.Add(3 * time.Second)
		Expect(pick(all, req)).NotTo(BeEmpty())
	})

	It("prefers room in its own zone to room in another one", func() {
		all := roomEngines(s, now, 5000, 5000)
		all[0].Zone = "far"
		Expect(pick(all, req)).To(Equal("e1"))
		Expect(pick(all[:1], req)).To(Equal("e0"))
	})
})

var _ = Describe("the rate of what was sent", func() {
	It("counts requests of a priority and lower ones of a service", func() {
		now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
		s := admission.NewBalancer("z", rand.Float64)
		high, low := routing.Priority{Customer: 1}, routing.Priority{Customer: 1, Route: 3}
		for range 10 {
			s.CountSent(now, "m", high, 1000)
			s.CountSent(now, "m", low, 200)
			s.CountSent(now, "other", low, 9000)
		}
		Expect(s.SentPerSecond(now, "m", high)).To(BeNumerically("~", 6000, 1))
		Expect(s.SentPerSecond(now, "m", low)).To(BeNumerically("~", 1000, 1))
		Expect(s.SentPerSecond(now, "m", routing.Priority{Customer: 2})).To(BeZero())
		Expect(s.SentPerSecond(now.Add(4*time.Second), "m", low)).To(BeNumerically("<", 200))
	})
})

// BenchmarkPickWithRoom measures the placement of a request, which may take 50 µs with nobody
// ahead. Each engine has what arrives for it between two reports.
func BenchmarkPickWithRoom(b *testing.B) {
	for _, c := range []struct{ engines, ahead int }{{44, 0}, {110, 0}, {44, 50}, {110, 50}} {
		b.Run(fmt.Sprintf("%d-engines-%d-ahead", c.engines, c.ahead), func(b *testing.B) {
			now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
			s := admission.NewBalancer("z", rand.Float64)
			all := roomEngines(s, now, make([]int, c.engines)...)
			for i := range 10 * c.engines {
				s.AddRemotePrompt(now, all[i%c.engines].ID, 100)
			}
			req := admission.Requirements{
				Tokens:          100,
				Prompt:          10,
				Memory:          10_000,
				Shared:          true,
				MaxMemoryUse:    0.9,
				MaxPrefillDelay: 150 * time.Millisecond,
			}
			ahead := make([]admission.Need, c.ahead)
			for i := range ahead {
				ahead[i] = admission.Need{Tokens: 100, Prompt: 10}
			}
			for b.Loop() {
				if _, ok := s.PickWithRoom(now, all, ahead, req); !ok {
					b.Fatal("no room")
				}
			}
		})
	}
}
