package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

// Each box limits its sends to its share of an endpoint's rate limit, so all boxes must learn of
// the limit, and when it is lifted. box/limit_test.go tests the same with whole boxes.

const (
	limitedEndpoint = "e-strained"
	// limitPropagationTime is how long a limit may take to reach all boxes of a few groups.
	limitPropagationTime = 2 * time.Second
)

// countLimited counts the boxes that know the endpoint's limit.
func (f *testFleet) countLimited() int {
	n := 0
	for _, l := range f.limits {
		if _, limited := l.Lookup(time.Now(), limitedEndpoint); limited {
			n++
		}
	}
	return n
}

func (f *testFleet) recordAnswer(box int, limited bool) {
	f.limits[box].RecordAnswer(time.Now(), limitedEndpoint, limited, 4.5)
}

func TestAllBoxesLearnALimitReportedToOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, severalGroupsBoxes, smallLinkBytesPerSecond)
		f.recordAnswer(7, true)
		time.Sleep(limitPropagationTime)
		g.Expect(f.countLimited()).To(gomega.Equal(severalGroupsBoxes))
		perSecond, _ := f.limits[23].Lookup(time.Now(), limitedEndpoint)
		g.Expect(perSecond).To(gomega.Equal(4.5))
		f.recordAnswer(23, false)
		time.Sleep(limitPropagationTime)
		g.Expect(f.countLimited()).To(gomega.BeZero())
	})
}

func TestLimitRemainsWhileAnyBoxObservesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, severalGroupsBoxes, smallLinkBytesPerSecond)
		for range 60 {
			f.recordAnswer(7, true)
			time.Sleep(time.Second)
		}
		g.Expect(f.countLimited()).To(gomega.Equal(severalGroupsBoxes))
		f.start(severalGroupsBoxes)
		time.Sleep(limitPropagationTime)
		g.Expect(f.countLimited()).To(gomega.Equal(severalGroupsBoxes+1), "a box that starts later learns it too")
		time.Sleep(core.DefaultLimitRules().Retention + limitPropagationTime)
		g.Expect(f.countLimited()).To(gomega.BeZero())
	})
}

// Answers without a limit may arrive late, sent before the endpoint became limited.
func TestAnswerInTransitDoesNotLiftALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, severalGroupsBoxes, smallLinkBytesPerSecond)
		f.recordAnswer(7, true)
		time.Sleep(50 * time.Millisecond)
		f.recordAnswer(7, false)
		f.recordAnswer(8, false)
		time.Sleep(limitPropagationTime)
		g.Expect(f.countLimited()).To(gomega.Equal(severalGroupsBoxes))
	})
}
