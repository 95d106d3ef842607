package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/admission"
)

// peakOf returns the highest memory that generations of known lengths hold at once, when
// each generates one token per step.
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
	It("covers the memory that generations hold between its horizons", func() {
		r := rand.New(rand.NewPCG(7, 11))
		for round := range 50 {
			lengths := make(map[string]int)
			m := newModelWithEngine(1<<30, func(rules *admission.Rules) {
				rules.KnownLength = func(id string) int { return lengths[id] }
			})
			var prompts, all []int
			for i := range 1 + r.IntN(12) {
				req := request(fmt.Sprint("r", i), "a", 0, start.Add(time.Duration(i)*time.Second))
				req.PromptTokens = 1 + r.IntN(1000)
				lengths[req.ID] = r.IntN(4000)
				Expect(placedIDs(arrive(m, req))).To(ConsistOf(req.ID))
				prompts = append(prompts, req.PromptTokens)
				all = append(all, lengths[req.ID])
			}
			planned := m.Demands(start.Add(time.Minute), true)[0].Profile
			Expect(planned.Peak(0)).To(BeNumerically(">=", peakOf(prompts, all)), "round %d: lengths %v", round, all)
		}
	})
})
