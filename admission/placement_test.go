package admission_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The load is that of a fleet of 295 boxes on a calm day, on which engines leave and
// join all the time. Each zone's boxes hear of each other's placements and not of other
// zones'. Late first events, of all prompts, four seeds each:
//
//	                                 before   with other groups' unseen prompts
//	all zones alike                  0.022    0.000
//	one zone with 1.7 times as many  0.053    0.004
var _ = Describe("placements of many boxes in several zones", func() {
	play := func(l fleetLoad) fleetResult {
		var all fleetResult
		for seed := range uint64(2) {
			r := l.play(seed)
			all.Prompts += r.Prompts
			all.Late += r.Late
			all.Crossed += r.Crossed
		}
		return all
	}

	It("are in time where all zones are alike", func() {
		r := play(largeFleet())
		Expect(r.Prompts).To(BeNumerically(">", 3000))
		Expect(r.late()).To(BeNumerically("<", 0.002))
	})

	It("use other zones' engines where one zone has more callers", func() {
		l := largeFleet()
		l.Hot = 1.7
		r := play(l)
		Expect(r.Crossed).To(BeNumerically(">", r.Prompts/100))
		Expect(r.late()).To(BeNumerically("<", 0.015))
	})
})
