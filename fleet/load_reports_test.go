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
		r.Merge(noon, []routing.Report{{Endpoint: "own", Running: 1}, {Endpoint: "other", Running: 1}})
		later := noon.Add(time.Second)
		Expect(r.Sample(later, nil)).To(HaveLen(2))
		sampled := r.Sample(later, map[string]bool{"own": true})
		Expect(sampled).To(HaveLen(1))
		Expect(sampled[0].Endpoint).To(Equal("own"))
		Expect(sampled[0].Age).To(Equal(time.Second))
	})

	It("are omitted for engines that have long been idle, unless these are leaving", func() {
		r := fleet.NewLoadReports(restartedReporter{}, fleet.NewState(), zap.NewNop(), func(time.Time, routing.Report) {})
		r.Merge(noon, []routing.Report{{Endpoint: "busy", Used: 100}, {Endpoint: "idle"}, {Endpoint: "leaving", Leaving: true}})
		var sampled []string
		for _, report := range r.Sample(noon.Add(time.Second), nil) {
			sampled = append(sampled, report.Endpoint)
		}
		Expect(sampled).To(ConsistOf("busy", "leaving"))
	})

	It("are sent once more when an engine becomes idle", func() {
		r := fleet.NewLoadReports(restartedReporter{}, fleet.NewState(), zap.NewNop(), func(time.Time, routing.Report) {})
		r.Merge(noon, []routing.Report{{Endpoint: "e", Running: 1}})
		r.Merge(noon.Add(time.Second), []routing.Report{{Endpoint: "e"}})
		sampled := r.Sample(noon.Add(1500*time.Millisecond), nil)
		Expect(sampled).To(HaveLen(1))
		Expect(sampled[0].Running).To(BeZero())
	})
})
