package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

// The boxes' part of the story that box/crash_test.go tells: whichever boxes see a request
// end endpoints, all others must refuse its repeats within seconds, in a fleet of several
// groups too.

const (
	// quarantinePropagationTime is half of the three seconds in which word of a leaving endpoint must
	// be everywhere, so that repeats that come about once a second end one more at most.
	quarantinePropagationTime = 1500 * time.Millisecond
	// afterUrgentGossip is after how long what is told only while it is new is told no more.
	afterUrgentGossip = 20 * time.Second
	// severalGroupsBoxes are more boxes than work as one group.
	severalGroupsBoxes = 30
)

var crashingRequest = core.NewDigest([]byte("deadly"))

// countSending counts the boxes that would send a request on.
func (f *testFleet) countSending(request core.Digest) int {
	n := 0
	for _, q := range f.quarantined {
		if _, quarantined := q.QuarantinedUntil(time.Now(), request); !quarantined {
			n++
		}
	}
	return n
}

// crashThree lets three endpoints end under the request, each seen by another box.
func (f *testFleet) crashThree(apart time.Duration) {
	for i, box := range []int{5, 14, 27} {
		time.Sleep(apart)
		f.quarantined[box].Crashed(time.Now(), crashingRequest, fmt.Sprintf("e-%d", i))
	}
}

func TestAllBoxesQuarantineARequestThatCrashedThreeEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, severalGroupsBoxes, smallLinkBytesPerSecond)
		f.crashThree(900 * time.Millisecond)
		time.Sleep(quarantinePropagationTime)
		g.Expect(f.countSending(crashingRequest)).To(gomega.BeZero())
	})
}

// Many engines that end at once put each of their requests on the same way; word of the
// one that counts must not wait behind them.
func TestCrashRecordsAreNotDelayedByThoseOfOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, severalGroupsBoxes, smallLinkBytesPerSecond)
		for i := range 8 * severalGroupsBoxes {
			f.quarantined[i%severalGroupsBoxes].Crashed(time.Now(), core.NewDigest(fmt.Appendf(nil, "bystander %d", i)), "e-0")
		}
		f.crashThree(300 * time.Millisecond)
		time.Sleep(quarantinePropagationTime)
		g.Expect(f.countSending(crashingRequest)).To(gomega.BeZero())
		g.Expect(f.countSending(core.NewDigest([]byte("bystander 1")))).To(gomega.Equal(severalGroupsBoxes))
	})
}

func TestBoxThatStartsLaterQuarantinesTheRequestToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, severalGroupsBoxes, smallLinkBytesPerSecond)
		f.crashThree(300 * time.Millisecond)
		time.Sleep(afterUrgentGossip)
		f.start(severalGroupsBoxes)
		time.Sleep(quarantinePropagationTime)
		g.Expect(f.countSending(crashingRequest)).To(gomega.BeZero())
	})
}

// A request that many callers send alike runs at several engines at once. When these fail
// together, the boxes that saw it run well a moment before speak for it.
func TestRequestThatSucceededElsewhereIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, severalGroupsBoxes, smallLinkBytesPerSecond)
		f.quarantined[17].RecordSuccess(time.Now(), crashingRequest)
		f.crashThree(0)
		time.Sleep(quarantinePropagationTime)
		g.Expect(f.countSending(crashingRequest)).To(gomega.Equal(severalGroupsBoxes))
	})
}
