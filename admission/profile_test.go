package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/admission"
)

// peakOf is the most that generations of known lengths hold at once, all making a
// token a step.
func peakOf(prompts, lengths []int) float64 {
	peak := 0
	for step := range 6000 {
		held := 0
		for i, length := range lengths {
			if step <= length {
				held += prompts[i] + step
			}
		}
		peak = max(peak, held)
	}
	return float64(peak)
}

var _ = Describe("a memory profile", func() {
	It("covers what generations hold between its horizons", func() {
		r := rand.New(rand.NewPCG(7, 11))
		for round := range 50 {
			lengths := make(map[string]int)
			m := oneEngine(1<<30, func(rules *admission.Rules) {
				rules.KnownLength = func(id string) int { return lengths[id] }
			})
			var prompts, all []int
			for i := range 1 + r.IntN(12) {
				q := request(fmt.Sprint("r", i), "a", 0, start.Add(time.Duration(i)*time.Second))
				q.PromptTokens = 1 + r.IntN(1000)
				lengths[q.ID] = r.IntN(4000)
				Expect(placements(arrive(m, q))).To(ConsistOf(q.ID))
				prompts = append(prompts, q.PromptTokens)
				all = append(all, lengths[q.ID])
			}
			planned := m.Demands(start.Add(time.Minute), true)[0].Profile
			Expect(planned.Peak(0)).To(BeNumerically(">=", peakOf(prompts, all)), "round %d: lengths %v", round, all)
		}
	})
})
