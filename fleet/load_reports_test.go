package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

var _ = Describe("the load reports in gossip", func() {
	It("are all known ones within the group, and those of preferred endpoints to other groups", func() {
		r := fleet.NewLoadReports(restartedReporter{}, fleet.NewState(), zap.NewNop(), func(time.Time, routing.Report) {})
		r.Merge(noon, []routing.Report{{Endpoint: "own"}, {Endpoint: "other"}})
		later := noon.Add(time.Second)
		Expect(r.Sample(later, nil)).To(HaveLen(2))
		sampled := r.Sample(later, map[string]bool{"own": true})
		Expect(sampled).To(HaveLen(1))
		Expect(sampled[0].Endpoint).To(Equal("own"))
		Expect(sampled[0].Age).To(Equal(time.Second))
	})
})
