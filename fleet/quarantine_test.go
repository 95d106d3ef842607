package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

// Whichever boxes observe crashes during a request, all others must quarantine it within seconds,
// also across groups. box/crash_test.go tests the same with whole boxes.

const (
	// quarantinePropagationTime allows a request that is repeated about once a second at most
	// one more crash.
	quarantinePropagationTime = 1500 * time.Millisecond
	// afterUrgentGossip is a time after which recent changes are no longer gossiped as such.
	afterUrgentGossip = 20 * time.Second
	// severalGroupsBoxes is a number of boxes that form more than one group.
	severalGroupsBoxes = 30
)

var crashingRequest = core.NewDigest([]byte("deadly"))

// countSending counts the boxes that don't quarantine a request.
func (f *testFleet) countSending(request core.Digest) int {
	n := 0
	for _, q := range f.quarantined {
		if _, quarantined := q.QuarantinedUntil(time.Now(), request); !quarantined {
			n++
		}
	}
	return n
}

// crashThree lets three endpoints crash during the request, each observed by another box.
func (f *testFleet) crashThree(interval time.Duration) {
	for i, box := range []int{5, 14, 27} {
		time.Sleep(interval)
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

// When many engines crash at once, records of all their requests are sent; they must not delay
// the one that counts.
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

// A request that many callers send may be running on several engines that fail for another
// reason. A recent successful run elsewhere must clear it.
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
