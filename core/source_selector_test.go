package core_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("the source selector", func() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rules := core.DefaultSourceRules()
	pickFirst := func(int) int { return 0 }
	advertisement := func(v uint64) core.Advertisement { return core.Advertisement{ConfigVersion: v} }
	var selector *core.SourceSelector[string]
	BeforeEach(func() { selector = core.NewSourceSelector[string](rules) })

	It("selects no source when none has newer views", func() {
		selector.RecordAdvertisement(start, "a", advertisement(3))
		key, _, wait := selector.Next(start, advertisement(3), pickFirst)
		Expect(key).To(BeEmpty())
		Expect(wait).To(BeZero())
	})

	It("selects the source with the newest views, or an older one while that is busy", func() {
		selector.RecordAdvertisement(start, "a", advertisement(4))
		selector.RecordAdvertisement(start, "b", advertisement(5))
		key, found, _ := selector.Next(start, advertisement(3), pickFirst)
		Expect(key).To(Equal("b"))
		Expect(found).To(Equal(advertisement(5)))
		selector.Busy(start, "b")
		key, _, _ = selector.Next(start, advertisement(3), pickFirst)
		Expect(key).To(Equal("a"))
		key, _, _ = selector.Next(start.Add(rules.Busy), advertisement(4), pickFirst)
		Expect(key).To(Equal("b"))
	})

	It("keeps a failed source and retries it until this box has caught up", func() {
		selector.RecordAdvertisement(start, "a", advertisement(4))
		now := start
		for range 6 {
			selector.Failed(now, "a")
			key, _, wait := selector.Next(now, advertisement(3), pickFirst)
			Expect(key).To(BeEmpty())
			Expect(wait).To(And(BeNumerically(">", 0), BeNumerically("<=", rules.MaxBackoff)))
			now = now.Add(wait)
			key, _, _ = selector.Next(now, advertisement(3), pickFirst)
			Expect(key).To(Equal("a"))
		}
		_, _, wait := selector.Next(now, advertisement(4), pickFirst)
		Expect(wait).To(BeZero())
	})

	It("forgets a removed source and an expired advertisement", func() {
		selector.RecordAdvertisement(start, "a", advertisement(4))
		selector.Remove("a")
		key, _, wait := selector.Next(start, advertisement(3), pickFirst)
		Expect(key).To(BeEmpty())
		Expect(wait).To(BeZero())
		selector.RecordAdvertisement(start, "b", advertisement(4))
		key, _, _ = selector.Next(start.Add(rules.AdvertisementLifetime+1), advertisement(3), pickFirst)
		Expect(key).To(BeEmpty())
	})

	It("selects another source after a failure", func() {
		selector.RecordAdvertisement(start, "a", advertisement(4))
		selector.RecordAdvertisement(start, "b", advertisement(4))
		selector.Failed(start, "a")
		key, _, _ := selector.Next(start, advertisement(3), pickFirst)
		Expect(key).To(Equal("b"))
	})
})

// TestSourceSelectorKeepsAdvertisements checks that a box with older views asks a source
// that repeats its advertisement within the maximum backoff, whatever events came before.
func TestSourceSelectorKeepsAdvertisements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := core.DefaultSourceRules()
		selector := core.NewSourceSelector[int](rules)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		current := core.Advertisement{}
		var newest core.Advertisement
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			box := rapid.IntRange(0, 3).Draw(t, "box")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				newest.ConfigVersion++
				selector.RecordAdvertisement(now, box, newest)
			case 1:
				selector.Busy(now, box)
			case 2:
				selector.Failed(now, box)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			case 4:
				if key, found, _ := selector.Next(now, current, func(n int) int { return n - 1 }); found.NewerThan(current) {
					selector.RecordSuccess(key)
					current = found
				}
			}
		}
		selector.RecordAdvertisement(now, 0, newest)
		_, found, wait := selector.Next(now, current, func(int) int { return 0 })
		switch {
		case !newest.NewerThan(current):
			return
		case found.NewerThan(current):
			return
		case wait <= 0 || wait > rules.MaxBackoff:
			t.Fatalf("newer views are advertised, but the next request is in %v", wait)
		}
	})
}
