package core_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("whom to ask for newer views", func() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rules := core.DefaultSourceRules()
	first := func(int) int { return 0 }
	version := func(v uint64) core.Advertisement { return core.Advertisement{ConfigVersion: v} }
	var p *core.SourceSelector[string]
	BeforeEach(func() { p = core.NewSourceSelector[string](rules) })

	It("is nobody when nobody has anything newer", func() {
		p.RecordAdvertisement(start, "a", version(3))
		key, _, wait := p.Next(start, version(3), first)
		Expect(key).To(BeEmpty())
		Expect(wait).To(BeZero())
	})

	It("is who has the newest, or an older one while that box is busy", func() {
		p.RecordAdvertisement(start, "a", version(4))
		p.RecordAdvertisement(start, "b", version(5))
		key, o, _ := p.Next(start, version(3), first)
		Expect(key).To(Equal("b"))
		Expect(o).To(Equal(version(5)))
		p.Busy(start, "b")
		key, _, _ = p.Next(start, version(3), first)
		Expect(key).To(Equal("a"))
		key, _, _ = p.Next(start.Add(rules.Busy), version(4), first)
		Expect(key).To(Equal("b"))
	})

	It("stays remembered until this box has it, though it failed", func() {
		p.RecordAdvertisement(start, "a", version(4))
		now := start
		for range 6 {
			p.Failed(now, "a")
			key, _, wait := p.Next(now, version(3), first)
			Expect(key).To(BeEmpty())
			Expect(wait).To(And(BeNumerically(">", 0), BeNumerically("<=", rules.MaxBackoff)))
			now = now.Add(wait)
			key, _, _ = p.Next(now, version(3), first)
			Expect(key).To(Equal("a"))
		}
		_, _, wait := p.Next(now, version(4), first)
		Expect(wait).To(BeZero())
	})

	It("is dropped with its connection, and forgotten when it says nothing for long", func() {
		p.RecordAdvertisement(start, "a", version(4))
		p.Remove("a")
		key, _, wait := p.Next(start, version(3), first)
		Expect(key).To(BeEmpty())
		Expect(wait).To(BeZero())
		p.RecordAdvertisement(start, "b", version(4))
		key, _, _ = p.Next(start.Add(rules.AdvertisementLifetime+1), version(3), first)
		Expect(key).To(BeEmpty())
	})

	It("is another one after a box of two that failed", func() {
		p.RecordAdvertisement(start, "a", version(4))
		p.RecordAdvertisement(start, "b", version(4))
		p.Failed(start, "a")
		key, _, _ := p.Next(start, version(3), first)
		Expect(key).To(Equal("b"))
	})
})

// Whatever boxes say and do, a box that something newer was offered to asks for it
// again within the longest pause, as long as who offered it repeats that.
func TestPullNeverForgetsAnOffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := core.DefaultSourceRules()
		p := core.NewSourceSelector[int](rules)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		have := core.Advertisement{}
		var newest core.Advertisement
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			box := rapid.IntRange(0, 3).Draw(t, "box")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				newest.ConfigVersion++
				p.RecordAdvertisement(now, box, newest)
			case 1:
				p.Busy(now, box)
			case 2:
				p.Failed(now, box)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			case 4:
				if key, o, _ := p.Next(now, have, func(n int) int { return n - 1 }); o.NewerThan(have) {
					p.RecordSuccess(key)
					have = o
				}
			}
		}
		p.RecordAdvertisement(now, 0, newest)
		_, o, wait := p.Next(now, have, func(int) int { return 0 })
		switch {
		case !newest.NewerThan(have):
			return
		case o.NewerThan(have):
			return
		case wait <= 0 || wait > rules.MaxBackoff:
			t.Fatalf("something newer is there, and the next question is in %v", wait)
		}
	})
}
