package core_test

import (
	"math"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("endpoint limits", func() {
	begin := time.Unix(1000, 0)
	rules := core.DefaultLimitRules()

	It("follow the endpoint's newest answer to any box, in whatever order records arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := begin.Add(rules.Retention)
			ages := rapid.SliceOfNDistinct(rapid.IntRange(0, 15000), 1, 12, rapid.ID[int]).Draw(t, "ages")
			var records []core.LimitRecord
			for _, age := range ages {
				records = append(records, core.LimitRecord{
					Endpoint:  "e-1",
					Limited:   rapid.Bool().Draw(t, "limited"),
					PerSecond: float64(rapid.IntRange(1, 9).Draw(t, "rate")),
					Age:       time.Duration(age) * time.Millisecond,
				})
			}
			newest := slices.MinFunc(records, func(a, b core.LimitRecord) int { return int(a.Age - b.Age) })
			limits := core.NewLimits(rules)
			for _, record := range append(rapid.Permutation(records).Draw(t, "first"), rapid.Permutation(records).Draw(t, "again")...) {
				limits.Merge(now, []core.LimitRecord{record})
			}
			perSecond, limited := limits.Lookup(now, "e-1")
			if limited != newest.Limited || (limited && perSecond != newest.PerSecond) {
				t.Fatalf("got limited %v at %v, the newest record is %+v", limited, perSecond, newest)
			}
		})
	})

	It("ignore invalid and expired records", func() {
		limits := core.NewLimits(rules)
		for _, record := range []core.LimitRecord{
			{Endpoint: "e-1", Limited: true, PerSecond: math.NaN()},
			{Endpoint: "e-1", Limited: true, PerSecond: -1},
			{Endpoint: "e-1", Limited: true, PerSecond: math.Inf(1)},
			{Endpoint: "e-1", Limited: true, PerSecond: 1, Age: -time.Second},
			{Endpoint: "e-1", Limited: true, PerSecond: 1, Age: time.Hour},
		} {
			Expect(limits.Merge(begin, []core.LimitRecord{record})).To(BeEmpty())
		}
		Expect(limits.IsEmpty()).To(BeTrue())
	})

	It("are broadcast at once only after a notable change", func() {
		limits := core.NewLimits(rules)
		limited := func(perSecond float64) bool {
			return limits.RecordAnswer(begin, core.LimitRecord{Endpoint: "e-1", Limited: true, PerSecond: perSecond})
		}
		Expect(limited(4)).To(BeTrue())
		Expect(limited(4.1)).To(BeFalse())
		Expect(limited(3)).To(BeTrue())
		Expect(limits.RecordAnswer(begin.Add(time.Second), core.LimitRecord{Endpoint: "e-1"})).To(BeTrue())
		Expect(limits.RecordAnswer(begin.Add(time.Second), core.LimitRecord{Endpoint: "e-2"})).To(BeFalse())
	})
})
