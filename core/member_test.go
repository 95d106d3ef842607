package core_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

func boxes(n int) *core.List {
	l := &core.List{Version: 1}
	for i := range n {
		l.Boxes = append(l.Boxes, core.Member{Name: fmt.Sprintf("box-%d", i)})
	}
	return l
}

var _ = Describe("rendezvous over the list", func() {
	It("moves only what belonged to a box that left, and spreads it", func() {
		before := boxes(20)
		after := before.Without("box-7")
		moved, takers := 0, make(map[string]bool)
		for i := range 2000 {
			key := fmt.Sprint("key-", i)
			was, is := before.ClaimOwner(key, nil), after.ClaimOwner(key, nil)
			if was == is {
				continue
			}
			Expect(was).To(Equal("box-7"))
			moved++
			takers[is] = true
		}
		Expect(moved).To(BeNumerically("~", 100, 40))
		Expect(len(takers)).To(BeNumerically(">", 12))
	})

	It("gives an endpoint two owners, and one box both halves only when it is alone", func() {
		for i := range 200 {
			name := fmt.Sprint("engine-", i)
			l := boxes(5)
			Expect(core.NewOwners(l).Of(name, "", 0)).NotTo(Equal(core.NewOwners(l).Of(name, "", 1)))
			alone := boxes(1)
			Expect(core.NewOwners(alone).Of(name, "", 0)).To(Equal(core.NewOwners(alone).Of(name, "", 1)))
		}
	})

	It("keeps an endpoint's owners in its region, in two zones, while the region has a box", func() {
		l := boxes(24)
		for i := range l.Boxes {
			l.Boxes[i].Zone = fmt.Sprint("zone-", i%6)
			l.Boxes[i].Region = fmt.Sprint("region-", i%6/3)
		}
		for i := range 200 {
			name := fmt.Sprint("engine-", i)
			first, second := l.Member(core.NewOwners(l).Of(name, "zone-1", 0)), l.Member(core.NewOwners(l).Of(name, "zone-1", 1))
			Expect(first.Region).To(Equal("region-0"))
			Expect(second.Region).To(Equal("region-0"))
			Expect(second.Zone).NotTo(Equal(first.Zone))
		}
		for i := range l.Boxes {
			l.Boxes[i].Leaving = l.Boxes[i].Region == "region-0"
		}
		Expect(l.Member(core.NewOwners(l).Of("engine-1", "zone-1", 0)).Region).To(Equal("region-1"))
	})

	It("passes leaving boxes over", func() {
		l := boxes(3)
		l.Boxes[1].Leaving = true
		for i := range 100 {
			Expect(l.ClaimOwner(fmt.Sprint(i), nil)).NotTo(Equal("box-1"))
		}
	})
})

var _ = Describe("suspicion", func() {
	start := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

	beats := func(s *core.FailureDetector, box string, every time.Duration, n int) time.Time {
		now := start
		for range n {
			now = now.Add(every)
			s.Step(now, core.HeartbeatReceived{Box: box})
		}
		return now
	}

	It("goes by each box's own rhythm and not by one time-out", func() {
		s := core.NewFailureDetector(core.DefaultFailureDetectorRules())
		last := beats(s, "steady", time.Second, 50)
		Expect(s.OwnSuspects(last.Add(2 * time.Second))).To(BeEmpty())
		Expect(s.OwnSuspects(last.Add(4 * time.Second))).To(ConsistOf("steady"))
		slow := core.NewFailureDetector(core.DefaultFailureDetectorRules())
		last = beats(slow, "slow", 4*time.Second, 50)
		Expect(slow.OwnSuspects(last.Add(4 * time.Second))).To(BeEmpty())
	})

	It("lets one's own fresh sight go before a peer's suspicion, which fades", func() {
		s := core.NewFailureDetector(core.DefaultFailureDetectorRules())
		last := beats(s, "seen", time.Second, 5)
		s.Step(last, core.SuspectsReported{From: "peer", Boxes: []string{"seen", "unseen"}})
		Expect(s.Suspects(last)).To(ConsistOf("unseen"))
		Expect(s.Suspects(last.Add(6 * time.Second))).NotTo(ContainElement("unseen"))
	})
})

var _ = Describe("a retry budget", func() {
	It("bounds retries to a part of first tries", func() {
		b := core.NewRetryBudget(0.1, 5)
		spent := 0
		for range 1000 {
			b.CountFirstAttempt()
			if b.TakeRetry() {
				spent++
			}
		}
		Expect(spent).To(BeNumerically("<=", 105))
		Expect(spent).To(BeNumerically(">=", 95))
	})

	It("backs off exponentially with jitter in the upper half", func() {
		Expect(core.Backoff(1, time.Second, time.Minute, 0)).To(Equal(500 * time.Millisecond))
		Expect(core.Backoff(4, time.Second, time.Minute, 0.999)).To(BeNumerically("~", 8*time.Second, 10*time.Millisecond))
		Expect(core.Backoff(20, time.Second, time.Minute, 1)).To(Equal(time.Minute))
	})
})
