package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against long streams that miss their pause target on slow engines while fast ones have
// room, and against meeting it at the cost of late first events.
var _ = Describe("long and short streams on engines of two speeds", func() {
	It("miss far fewer targets than by load alone", func() {
		c := paceLoad{
			Boxes:     8,
			Engines:   57,
			Rate:      60,
			LongShare: 0.5,
			Duration:  40 * time.Second,
		}
		long, short := c.simulate(1)
		c.Baseline = true
		longBefore, shortBefore := c.simulate(1)
		AddReportEntry("long, short; by load alone", []paceResult{long, short, longBefore, shortBefore})
		Expect(long.Streams).To(BeNumerically(">", 500))
		Expect(longBefore.Paused).To(BeNumerically(">", longBefore.Streams/10))
		Expect(long.Paused).To(BeNumerically("<", longBefore.Paused/4))
		Expect(long.LateFirst + short.LateFirst).To(BeNumerically("<=", longBefore.LateFirst+shortBefore.LateFirst+2))
	})
})
