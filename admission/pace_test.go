package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("long and short streams on engines of two speeds", func() {
	load := paceLoad{
		Boxes:     8,
		Engines:   57,
		Rate:      60,
		LongShare: 0.5,
		Duration:  40 * time.Second,
	}
	baseline := load
	baseline.Baseline = true

	// Guards against long streams that miss their pause target on slow engines while fast ones
	// have room, and against meeting it at the cost of late first events.
	It("miss far fewer targets than by load alone", func() {
		now, before := load.simulate(1), baseline.simulate(1)
		AddReportEntry("long, short; by load alone", []paceResult{now.long, now.short, before.long, before.short})
		Expect(now.long.Streams).To(BeNumerically(">", 500))
		Expect(before.long.Paused).To(BeNumerically(">", before.long.Streams/15))
		Expect(now.long.Paused).To(BeNumerically("<", before.long.Paused/5))
		Expect(now.long.LateFirst + now.short.LateFirst).To(BeNumerically("<=", before.long.LateFirst+before.short.LateFirst+2))
	})

	// Guards against an advantage that depends on every message.
	It("miss fewer targets also if a third of the messages is lost", func() {
		lossy, lossyBaseline := load, baseline
		lossy.LostShare, lossyBaseline.LostShare = 0.33, 0.33
		now, before := lossy.simulate(2), lossyBaseline.simulate(2)
		AddReportEntry("long; by load alone", []paceResult{now.long, before.long})
		Expect(now.long.Paused).To(BeNumerically("<", before.long.Paused/3))
	})

	// Guards against a box that misses targets for long after its start.
	It("miss few targets at a box that started some seconds ago", func() {
		joined := load
		joined.FreshBoxAt = 15 * time.Second
		joined.Duration = 60 * time.Second
		fresh := joined.simulate(3).fresh
		AddReportEntry("long at the box", fresh)
		Expect(fresh.Streams).To(BeNumerically(">", 80))
		Expect(fresh.Paused).To(BeNumerically("<", fresh.Streams/20))
	})
})
