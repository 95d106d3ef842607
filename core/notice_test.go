package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("the estimate of the notice of leaving engines", func() {
	rules := core.DefaultNoticeRules()
	estimateAfter := func(periods ...time.Duration) time.Duration {
		n := core.NewNoticeEstimator(rules)
		for _, p := range periods {
			n.Observe(p)
		}
		return n.Estimate()
	}
	repeat := func(n int, first, step time.Duration) []time.Duration {
		var all []time.Duration
		for i := range n {
			all = append(all, first+time.Duration(i)*step)
		}
		return all
	}

	It("is the default until enough engines were seen to end, unless they end earlier", func() {
		Expect(estimateAfter()).To(Equal(rules.Default))
		Expect(estimateAfter(4 * time.Second)).To(Equal(rules.Default))
		Expect(estimateAfter(time.Second)).To(Equal(time.Second))
	})

	// Guards against a plan that relies on more notice than most engines give, and against one
	// broken connection that shortens it for all.
	It("is a low quantile of the latest observations", func() {
		Expect(estimateAfter(repeat(20, 3*time.Second, 50*time.Millisecond)...)).To(Equal(3100 * time.Millisecond))
		outlier := append(repeat(20, 3*time.Second, 0), time.Millisecond)
		Expect(estimateAfter(outlier...)).To(Equal(3 * time.Second))
		changed := append(repeat(100, 3*time.Second, 0), repeat(64, time.Second, 0)...)
		Expect(estimateAfter(changed...)).To(Equal(time.Second))
	})

	It("ignores periods that can't be a notice", func() {
		Expect(estimateAfter(-time.Second, 0, time.Hour)).To(Equal(rules.Default))
	})
})
