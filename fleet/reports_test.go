package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

var _ = Describe("the reports that a box hands on", func() {
	It("are all it has to its group, and its group's engines' to others", func() {
		r := fleet.NewLoadReports(restartedEngine{}, fleet.NewState(), zap.NewNop(), func(time.Time, routing.Report) {})
		r.Merge(noon, []routing.Report{{Endpoint: "own"}, {Endpoint: "other"}})
		later := noon.Add(time.Second)
		Expect(r.Sample(later, nil)).To(HaveLen(2))
		told := r.Sample(later, map[string]bool{"own": true})
		Expect(told).To(HaveLen(1))
		Expect(told[0].Endpoint).To(Equal("own"))
		Expect(told[0].Age).To(Equal(time.Second))
	})
})
