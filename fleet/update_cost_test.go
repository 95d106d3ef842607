package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// receivedMessages returns the number of messages that all boxes received.
func (f *testFleet) receivedMessages() float64 {
	total := uint64(0)
	for _, p := range f.peers {
		total += p.Traffic()
	}
	return float64(total)
}

// Guards against flooding: with many groups, a change must reach all boxes within a fraction of a
// second without each of them sending it to its whole group and to other groups.
func TestUpdateReachesAllGroupsWithFewMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		for _, boxes := range []int{72, 144} {
			f := startFleet(t, boxes, 20*smallLinkBytesPerSecond)
			for _, state := range f.states {
				state.ApplySnapshot(time.Now(), engineSnapshot(2*boxes))
			}
			time.Sleep(discoveryTime)
			const observationTime = 60 * time.Millisecond
			before := f.receivedMessages()
			time.Sleep(observationTime)
			gossip := f.receivedMessages() - before
			added := endpoint("added", 3, false)
			update, _ := f.states[0].ApplyChanges(time.Now(), &fleet.Changes{
				Revision: 3,
				Updated:  []routing.Endpoint{added},
			})
			f.peers[0].BroadcastUpdate(update)
			before = f.receivedMessages()
			time.Sleep(observationTime)
			perBox := (f.receivedMessages() - before - gossip) / float64(boxes)
			reached := 0
			for _, s := range f.states {
				if s.View().IsAvailable(added.ID) {
					reached++
				}
			}
			g.Expect(reached).To(gomega.BeNumerically(">=", boxes*95/100), "within %v", observationTime)
			g.Expect(perBox).To(gomega.BeNumerically("<=", 5), "messages a box, %d boxes", boxes)
			time.Sleep(time.Second)
			for i, s := range f.states {
				g.Expect(s.View().IsAvailable(added.ID)).To(gomega.BeTrue(), "box %d", i)
			}
		}
	})
}
