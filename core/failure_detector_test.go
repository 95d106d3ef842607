package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("the failure detector", func() {
	start := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

	sendHeartbeats := func(detector *core.FailureDetector, box string, every time.Duration, n int) time.Time {
		now := start
		for range n {
			now = now.Add(every)
			detector.Step(now, core.HeartbeatReceived{Box: box})
		}
		return now
	}

	It("adapts to each box's heartbeat interval", func() {
		detector := core.NewFailureDetector(core.DefaultFailureDetectorRules())
		last := sendHeartbeats(detector, "steady", time.Second, 50)
		Expect(detector.OwnSuspects(last.Add(2 * time.Second))).To(BeEmpty())
		Expect(detector.OwnSuspects(last.Add(4 * time.Second))).To(ConsistOf("steady"))
		slowDetector := core.NewFailureDetector(core.DefaultFailureDetectorRules())
		last = sendHeartbeats(slowDetector, "slow", 4*time.Second, 50)
		Expect(slowDetector.OwnSuspects(last.Add(4 * time.Second))).To(BeEmpty())
	})

	It("prefers its own recent heartbeat over a peer's report, which expires", func() {
		detector := core.NewFailureDetector(core.DefaultFailureDetectorRules())
		last := sendHeartbeats(detector, "seen", time.Second, 5)
		detector.Step(last, core.SuspectsReported{From: "peer", Boxes: []string{"seen", "unseen"}})
		Expect(detector.Suspects(last)).To(ConsistOf("unseen"))
		Expect(detector.Suspects(last.Add(6 * time.Second))).NotTo(ContainElement("unseen"))
	})
})
