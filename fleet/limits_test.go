package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

// The boxes' part of the story that box/limit_test.go tells: each box keeps its share of
// what an endpoint takes from all of them, so that all must know what it takes, and when
// it takes any number again.

const (
	strained = "e-strained"
	// knownWithin is how long word of a limit may take to reach all boxes of a few groups.
	knownWithin = 2 * time.Second
)

// limitedAt counts the boxes that know of the endpoint's limit.
func (f *smallFleet) limitedAt() int {
	n := 0
	for _, l := range f.limits {
		if _, limited := l.Lookup(time.Now(), strained); limited {
			n++
		}
	}
	return n
}

func (f *smallFleet) answered(box int, limited bool) {
	f.limits[box].RecordAnswer(time.Now(), strained, limited, 4.5)
}

func TestAllBoxesKnowALimitThatAnEndpointNamedToOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, severalGroups, smallLink)
		f.answered(7, true)
		time.Sleep(knownWithin)
		g.Expect(f.limitedAt()).To(gomega.Equal(severalGroups))
		perSecond, _ := f.limits[23].Lookup(time.Now(), strained)
		g.Expect(perSecond).To(gomega.Equal(4.5))
		f.answered(23, false)
		time.Sleep(knownWithin)
		g.Expect(f.limitedAt()).To(gomega.BeZero())
	})
}

func TestALimitHoldsAsLongAsAnyBoxIsToldOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, severalGroups, smallLink)
		for range 60 {
			f.answered(7, true)
			time.Sleep(time.Second)
		}
		g.Expect(f.limitedAt()).To(gomega.Equal(severalGroups))
		f.start(severalGroups)
		time.Sleep(knownWithin)
		g.Expect(f.limitedAt()).To(gomega.Equal(severalGroups+1), "the box that starts later knows it too")
		time.Sleep(core.DefaultLimitRules().Retention + knownWithin)
		g.Expect(f.limitedAt()).To(gomega.BeZero())
	})
}

// Answers to two boxes cross: one was made before the endpoint came under strain.
func TestAnAnswerThatWasUnderWayDoesNotEndALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, severalGroups, smallLink)
		f.answered(7, true)
		time.Sleep(50 * time.Millisecond)
		f.answered(7, false)
		f.answered(8, false)
		time.Sleep(knownWithin)
		g.Expect(f.limitedAt()).To(gomega.Equal(severalGroups))
	})
}
