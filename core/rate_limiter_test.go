package core_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("the rate limiter", func() {
	begin := time.Unix(1000, 0)
	rules := core.DefaultRateLimiterRules()

	It("allows no more sends per interval than units, whatever is reserved and canceled", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			share := rapid.IntRange(0, 6).Draw(t, "share")
			interval := time.Duration(rapid.IntRange(100, 5000).Draw(t, "interval")) * time.Millisecond
			limiter := core.NewRateLimiter(rules, func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "random") })
			now := begin
			limiter.Set(now, share, interval)
			reserved := 0
			var sent []time.Time
			for range 200 {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 4).Draw(t, "action") {
				case 0:
					if limiter.Reserve(now) {
						reserved++
					}
				case 1:
					if reserved > 0 {
						reserved--
						limiter.CancelReservation()
					}
				case 2:
					limiter.Set(now, share, interval)
				default:
					if limiter.Acquire(now, reserved > 0) {
						sent = append(sent, now)
					}
					reserved = max(reserved-1, 0)
				}
				first := 0
				for i, at := range sent {
					for at.Sub(sent[first]) >= interval {
						first++
					}
					if i-first+1 > share {
						t.Fatalf("%d sends within %s, %d allowed", i-first+1, interval, share)
					}
				}
			}
		})
	})

	It("returns the time until the next send", func() {
		limiter := core.NewRateLimiter(rules, func() float64 { return 0.5 })
		_, hasUnit := limiter.Next(begin)
		Expect(hasUnit).To(BeFalse())
		limiter.Set(begin, 1, 4*time.Second)
		wait, hasUnit := limiter.Next(begin)
		Expect(hasUnit).To(BeTrue())
		Expect(wait).To(Equal(2 * time.Second))
		now := begin.Add(wait)
		Expect(limiter.Acquire(now, false)).To(BeTrue())
		Expect(limiter.Acquire(now.Add(3*time.Second), false)).To(BeFalse())
		wait, _ = limiter.Next(now.Add(3 * time.Second))
		Expect(wait).To(Equal(time.Second))
	})

	It("still counts recent sends after the share shrinks", func() {
		limiter := core.NewRateLimiter(rules, func() float64 { return 0 })
		limiter.Set(begin, 2, 4*time.Second)
		now := begin.Add(10 * time.Second)
		Expect(limiter.Acquire(now, false)).To(BeTrue())
		limiter.Set(now, 1, 4*time.Second)
		Expect(limiter.Acquire(now.Add(time.Second), false)).To(BeFalse())
	})

	// Endpoints tolerate one and a half times their limit plus five requests in any four
	// seconds, from all boxes together.
	DescribeTable("keeps all boxes together within the endpoint's limit and uses most of it",
		func(boxes int, perSecond float64) {
			const span = 4 * time.Second
			maxSends := int(1.5*perSecond*span.Seconds()) + 5
			random := rand.New(rand.NewPCG(uint64(boxes), math.Float64bits(perSecond)))
			units, interval := rules.SplitRate(perSecond)
			var limiters []*core.RateLimiter
			for i := range boxes {
				self := fmt.Sprintf("box-%d", i)
				allocator := core.NewShareAllocator(begin, self, core.DefaultShareRules())
				var others []core.Peer
				for j := range boxes {
					if j != i {
						others = append(others, core.Peer{Box: fmt.Sprintf("box-%d", j)})
					}
				}
				allocator.Observe(begin, others)
				limiter := core.NewRateLimiter(rules, random.Float64)
				limiter.Set(begin, allocator.Share(begin.Add(time.Minute), "e-1", units), interval)
				limiters = append(limiters, limiter)
			}
			var sent []time.Time
			// A burst, an idle period after which every unit is free, and another burst.
			for ms := 0; ms < 60000; ms += 20 {
				if ms > 20000 && ms < 35000 {
					continue
				}
				now := begin.Add(time.Duration(ms) * time.Millisecond)
				for _, limiter := range limiters {
					if limiter.Acquire(now, false) {
						sent = append(sent, now)
					}
				}
			}
			slices.SortFunc(sent, time.Time.Compare)
			worst, first := 0, 0
			for i, at := range sent {
				for at.Sub(sent[first]) >= span {
					first++
				}
				worst = max(worst, i-first+1)
			}
			Expect(worst).To(BeNumerically("<=", maxSends))
			Expect(float64(len(sent))).To(BeNumerically(">=", 0.9*perSecond*45-float64(units)))
		},
		Entry("one box, a very low rate", 1, 0.2),
		Entry("eight boxes, less than one send per second each", 8, 2.3),
		Entry("eight boxes", 8, 4.7),
		Entry("eight boxes, a high rate", 8, 120.0),
		Entry("three hundred boxes", 300, 4.1),
		Entry("three hundred boxes, a high rate", 300, 90.0),
	)

	It("has no unit for a limit of zero", func() {
		units, _ := rules.SplitRate(0)
		Expect(units).To(BeZero())
	})
})
