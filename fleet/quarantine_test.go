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
	// refusedWithin is half of the three seconds in which word of a leaving endpoint must
	// be everywhere, so that repeats that come about once a second end one more at most.
	refusedWithin = 1500 * time.Millisecond
	// wordIsOld is after how long what is told only while it is new is told no more.
	wordIsOld = 20 * time.Second
	// severalGroups are more boxes than work as one group.
	severalGroups = 30
)

var deadly = core.NewDigest([]byte("deadly"))

// sendsOn counts the boxes that would send a request on.
func (f *smallFleet) sendsOn(request core.Digest) int {
	n := 0
	for _, q := range f.held {
		if _, held := q.QuarantinedUntil(time.Now(), request); !held {
			n++
		}
	}
	return n
}

// endThree lets three endpoints end under the request, each seen by another box.
func (f *smallFleet) endThree(apart time.Duration) {
	for i, box := range []int{5, 14, 27} {
		time.Sleep(apart)
		f.held[box].Crashed(time.Now(), deadly, fmt.Sprintf("e-%d", i))
	}
}

func TestAllBoxesRefuseARequestUnderWhichThreeEndpointsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, severalGroups, smallLink)
		f.endThree(900 * time.Millisecond)
		time.Sleep(refusedWithin)
		g.Expect(f.sendsOn(deadly)).To(gomega.BeZero())
	})
}

// Many engines that end at once put each of their requests on the same way; word of the
// one that counts must not wait behind them.
func TestWordOfARequestIsNotHeldUpByOthersThatEndpointsEndedUnder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, severalGroups, smallLink)
		for i := range 8 * severalGroups {
			f.held[i%severalGroups].Crashed(time.Now(), core.NewDigest(fmt.Appendf(nil, "bystander %d", i)), "e-0")
		}
		f.endThree(300 * time.Millisecond)
		time.Sleep(refusedWithin)
		g.Expect(f.sendsOn(deadly)).To(gomega.BeZero())
		g.Expect(f.sendsOn(core.NewDigest([]byte("bystander 1")))).To(gomega.Equal(severalGroups))
	})
}

func TestABoxThatStartsLaterRefusesTheRequestToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, severalGroups, smallLink)
		f.endThree(300 * time.Millisecond)
		time.Sleep(wordIsOld)
		f.start(severalGroups)
		time.Sleep(refusedWithin)
		g.Expect(f.sendsOn(deadly)).To(gomega.BeZero())
	})
}

// A request that many callers send alike runs at several engines at once. When these fail
// together, the boxes that saw it run well a moment before speak for it.
func TestARequestThatRanWellElsewhereIsSentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, severalGroups, smallLink)
		f.held[17].RecordSuccess(time.Now(), deadly)
		f.endThree(0)
		time.Sleep(refusedWithin)
		g.Expect(f.sendsOn(deadly)).To(gomega.Equal(severalGroups))
	})
}
