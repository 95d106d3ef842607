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

var _ = Describe("one box's sends to an endpoint that takes a rate", func() {
	begin := time.Unix(1000, 0)
	rules := core.DefaultRateLimiterRules()

	It("are no more than its units within the time of one, whatever was planned and given up", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			share := rapid.IntRange(0, 6).Draw(t, "share")
			each := time.Duration(rapid.IntRange(100, 5000).Draw(t, "each")) * time.Millisecond
			p := core.NewRateLimiter(rules, func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "turn") })
			now := begin
			p.Set(now, share, each)
			held := 0
			var sent []time.Time
			for range 200 {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 4).Draw(t, "what") {
				case 0:
					if p.Reserve(now) {
						held++
					}
				case 1:
					if held > 0 {
						held--
						p.CancelReservation()
					}
				case 2:
					p.Set(now, share, each)
				default:
					if p.Acquire(now, held > 0) {
						sent = append(sent, now)
					}
					held = max(held-1, 0)
				}
				first := 0
				for i, at := range sent {
					for at.Sub(sent[first]) >= each {
						first++
					}
					if i-first+1 > share {
						t.Fatalf("%d sends within %s, %d allowed", i-first+1, each, share)
					}
				}
			}
		})
	})

	It("say when the next one may go", func() {
		p := core.NewRateLimiter(rules, func() float64 { return 0.5 })
		_, has := p.Next(begin)
		Expect(has).To(BeFalse())
		p.Set(begin, 1, 4*time.Second)
		in, has := p.Next(begin)
		Expect(has).To(BeTrue())
		Expect(in).To(Equal(2 * time.Second))
		now := begin.Add(in)
		Expect(p.Acquire(now, false)).To(BeTrue())
		Expect(p.Acquire(now.Add(3*time.Second), false)).To(BeFalse())
		in, _ = p.Next(now.Add(3 * time.Second))
		Expect(in).To(Equal(time.Second))
	})

	It("count on when the box's share falls and rises again", func() {
		p := core.NewRateLimiter(rules, func() float64 { return 0 })
		p.Set(begin, 2, 4*time.Second)
		now := begin.Add(10 * time.Second)
		Expect(p.Acquire(now, false)).To(BeTrue())
		p.Set(now, 1, 4*time.Second)
		Expect(p.Acquire(now.Add(time.Second), false)).To(BeFalse())
	})

	// Endpoints allow one and a half times what they named and five more, in any four
	// seconds, from all boxes together.
	DescribeTable("are no more from all boxes together than the endpoint allows, and use what it takes",
		func(boxes int, perSecond float64) {
			const span = 4 * time.Second
			most := int(1.5*perSecond*span.Seconds()) + 5
			draw := rand.New(rand.NewPCG(uint64(boxes), math.Float64bits(perSecond)))
			units, each := rules.SplitRate(perSecond)
			var paces []*core.RateLimiter
			for i := range boxes {
				self := fmt.Sprintf("box-%d", i)
				d := core.NewShareAllocator(begin, self, core.DefaultShareRules())
				var others []core.Peer
				for j := range boxes {
					if j != i {
						others = append(others, core.Peer{Box: fmt.Sprintf("box-%d", j)})
					}
				}
				d.Observe(begin, others)
				p := core.NewRateLimiter(rules, draw.Float64)
				p.Set(begin, d.Share(begin.Add(time.Minute), "e-1", units), each)
				paces = append(paces, p)
			}
			var sent []time.Time
			// A rush, a lull after which every unit is free, and a rush again.
			for ms := 0; ms < 60000; ms += 20 {
				if ms > 20000 && ms < 35000 {
					continue
				}
				now := begin.Add(time.Duration(ms) * time.Millisecond)
				for _, p := range paces {
					if p.Acquire(now, false) {
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
			Expect(worst).To(BeNumerically("<=", most))
			Expect(float64(len(sent))).To(BeNumerically(">=", 0.9*perSecond*45-float64(units)))
		},
		Entry("one box, next to nothing", 1, 0.2),
		Entry("eight boxes, less than one each", 8, 2.3),
		Entry("eight boxes", 8, 4.7),
		Entry("eight boxes, many", 8, 120.0),
		Entry("three hundred boxes", 300, 4.1),
		Entry("three hundred boxes, many", 300, 90.0),
	)

	It("has no unit at an endpoint that takes nothing", func() {
		units, _ := rules.SplitRate(0)
		Expect(units).To(BeZero())
	})
})

var _ = Describe("what boxes know of limits", func() {
	begin := time.Unix(1000, 0)
	rules := core.DefaultLimitRules()

	It("is the endpoint's newest answer to any box, in whatever order word comes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := begin.Add(rules.Retention)
			ages := rapid.SliceOfNDistinct(rapid.IntRange(0, 15000), 1, 12, rapid.ID[int]).Draw(t, "ages")
			var words []core.LimitRecord
			for _, age := range ages {
				words = append(words, core.LimitRecord{
					Endpoint:  "e-1",
					Limited:   rapid.Bool().Draw(t, "limited"),
					PerSecond: float64(rapid.IntRange(1, 9).Draw(t, "rate")),
					Age:       time.Duration(age) * time.Millisecond,
				})
			}
			newest := slices.MinFunc(words, func(a, b core.LimitRecord) int { return int(a.Age - b.Age) })
			l := core.NewLimits(rules)
			for _, w := range append(rapid.Permutation(words).Draw(t, "first"), rapid.Permutation(words).Draw(t, "again")...) {
				l.Merge(now, []core.LimitRecord{w})
			}
			perSecond, limited := l.Lookup(now, "e-1")
			if limited != newest.Limited || (limited && perSecond != newest.PerSecond) {
				t.Fatalf("%v at %v, the newest is %+v", limited, perSecond, newest)
			}
		})
	})

	It("leaves out what nobody can mean", func() {
		l := core.NewLimits(rules)
		for _, w := range []core.LimitRecord{
			{Endpoint: "e-1", Limited: true, PerSecond: math.NaN()},
			{Endpoint: "e-1", Limited: true, PerSecond: -1},
			{Endpoint: "e-1", Limited: true, PerSecond: math.Inf(1)},
			{Endpoint: "e-1", Limited: true, PerSecond: 1, Age: -time.Second},
			{Endpoint: "e-1", Limited: true, PerSecond: 1, Age: time.Hour},
		} {
			Expect(l.Merge(begin, []core.LimitRecord{w})).To(BeEmpty())
		}
		Expect(l.IsEmpty()).To(BeTrue())
	})

	It("is told at once where it changed by more than a little", func() {
		l := core.NewLimits(rules)
		limited := func(perSecond float64) bool {
			return l.RecordAnswer(begin, core.LimitRecord{Endpoint: "e-1", Limited: true, PerSecond: perSecond})
		}
		Expect(limited(4)).To(BeTrue())
		Expect(limited(4.1)).To(BeFalse())
		Expect(limited(3)).To(BeTrue())
		Expect(l.RecordAnswer(begin.Add(time.Second), core.LimitRecord{Endpoint: "e-1"})).To(BeTrue())
		Expect(l.RecordAnswer(begin.Add(time.Second), core.LimitRecord{Endpoint: "e-2"})).To(BeFalse())
	})
})
