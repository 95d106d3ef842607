package admission_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against engines of other zones being overloaded because their recent placements
// are unknown to this zone's boxes.
var _ = Describe("placements of many boxes in several zones", func() {
	simulate := func(c fleetConfig) fleetResult {
		var all fleetResult
		for seed := range uint64(2) {
			r := c.simulate(seed)
			all.Prompts += r.Prompts
			all.Late += r.Late
			all.CrossZone += r.CrossZone
		}
		return all
	}

	It("meet the first-event target where all zones have the same load", func() {
		r := simulate(newLargeFleet())
		Expect(r.Prompts).To(BeNumerically(">", 3000))
		Expect(r.lateFraction()).To(BeNumerically("<", 0.002))
	})

	It("use other zones' engines where one zone has a higher load", func() {
		c := newLargeFleet()
		c.HotZoneFactor = 1.7
		r := simulate(c)
		Expect(r.CrossZone).To(BeNumerically(">", r.Prompts/100))
		Expect(r.lateFraction()).To(BeNumerically("<", 0.015))
	})
})
