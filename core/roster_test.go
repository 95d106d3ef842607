package core_test

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("a roster", func() {
	newPeer := func(box string, instanceID uint64, silence time.Duration) core.Peer {
		return core.Peer{
			Box:        box,
			InstanceID: instanceID,
			Silence:    silence,
		}
	}
	boxNames := func(all []core.Peer) []string {
		var out []string
		for _, p := range all {
			out = append(out, p.Box)
		}
		return out
	}
	var roster *core.Roster
	BeforeEach(func() { roster = core.NewRoster(newPeer("self", 1, 0), core.DefaultRosterRules()) })

	It("contains boxes from contacts and from gossip, but not the box itself", func() {
		roster.RecordContact(noon, newPeer("a", 1, 0))
		roster.Merge(noon, []core.Peer{newPeer("b", 1, time.Second), newPeer("self", 9, 0)})
		Expect(boxNames(roster.Alive(noon))).To(Equal([]string{"a", "b"}))
		Expect(roster.BudgetShare(noon).Boxes).To(Equal(3))
	})

	It("suspects a silent box that doesn't answer, but counts it among the sharers", func() {
		roster.RecordContact(noon, newPeer("a", 1, 0))
		soon := noon.Add(time.Second)
		roster.RecordNoAnswer(soon, netip.AddrPort{})
		Expect(boxNames(roster.Alive(soon))).To(Equal([]string{"a"}))
		later := noon.Add(3 * time.Second)
		Expect(boxNames(roster.Alive(later))).To(Equal([]string{"a"}))
		roster.RecordNoAnswer(later, netip.AddrPort{})
		Expect(roster.Alive(later)).To(BeEmpty())
		Expect(roster.BudgetShare(later).Boxes).To(Equal(2))
		Expect(roster.BudgetShare(noon.Add(2 * time.Minute)).Boxes).To(Equal(1))
	})

	It("includes a suspension of the machine in the ages that it sends", func() {
		roster.RecordContact(noon, newPeer("a", 1, 0))
		roster.HandleSuspension(4 * time.Second)
		Expect(roster.Sample(noon.Add(time.Second))[0].Silence).To(Equal(5 * time.Second))
	})

	It("doesn't consider a box alive that was silent for too long", func() {
		roster.RecordContact(noon, newPeer("a", 1, 0))
		Expect(roster.Alive(noon.Add(time.Minute))).To(BeEmpty())
	})

	It("accepts a reported suspicion unless it heard of the box recently", func() {
		suspect := newPeer("a", 1, 3*time.Second)
		suspect.Suspect = true
		roster.RecordContact(noon, newPeer("a", 1, 0))
		roster.Merge(noon.Add(time.Second), []core.Peer{suspect})
		Expect(boxNames(roster.Alive(noon.Add(time.Second)))).To(Equal([]string{"a"}))
		later := noon.Add(4 * time.Second)
		roster.Merge(later, []core.Peer{suspect})
		Expect(roster.Alive(later)).To(BeEmpty())
		roster.Merge(later, []core.Peer{newPeer("a", 1, 2*time.Second)}) // predates the box's silence
		Expect(roster.Alive(later)).To(BeEmpty())
		roster.Merge(later, []core.Peer{newPeer("a", 1, 100*time.Millisecond)})
		Expect(boxNames(roster.Alive(later))).To(Equal([]string{"a"}))
	})

	It("prefers the record that is newer by age, not by arrival", func() {
		roster.RecordContact(noon, newPeer("a", 2, 0))
		roster.Merge(noon.Add(time.Second), []core.Peer{newPeer("a", 1, 5*time.Second)})
		Expect(roster.All(noon)[0].InstanceID).To(BeEquivalentTo(2))
		roster.Merge(noon.Add(time.Second), []core.Peer{newPeer("a", 3, 100*time.Millisecond)})
		Expect(roster.All(noon)[0].InstanceID).To(BeEquivalentTo(3))
	})

	It("keeps a process marked as leaving, but not the next process of the box", func() {
		leaving := newPeer("a", 1, 0)
		leaving.Leaving = true
		roster.RecordContact(noon, leaving)
		roster.Merge(noon.Add(time.Second), []core.Peer{newPeer("a", 1, 0)})
		Expect(roster.Alive(noon.Add(time.Second))).To(BeEmpty())
		roster.RecordContact(noon.Add(2*time.Second), newPeer("a", 2, 0))
		Expect(boxNames(roster.Alive(noon.Add(2 * time.Second)))).To(Equal([]string{"a"}))
	})

	It("sends bounded samples: changed members first, then others in rotation", func() {
		rules := core.DefaultRosterRules()
		for i := range 300 {
			roster.Merge(noon, []core.Peer{newPeer(fmt.Sprintf("box-%03d", i), 1, 0)})
		}
		timesSent := make(map[string]int)
		sendSample := func() []core.Peer {
			sample := roster.Sample(noon)
			for _, p := range sample {
				timesSent[p.Box]++
			}
			return sample
		}
		for range 300 {
			Expect(len(sendSample())).To(BeNumerically("<=", rules.MaxChanged+rules.MinRotated))
		}
		Expect(sendSample()).To(HaveLen(rules.Sample))
		Expect(timesSent).To(HaveLen(300))
		later := noon.Add(4 * time.Second)
		suspect := newPeer("box-200", 1, 4*time.Second)
		suspect.Suspect = true
		roster.Merge(later, []core.Peer{suspect})
		for range rules.ChangeSends {
			sample := roster.Sample(later)
			Expect(sample[0].Box).To(Equal("box-200"))
			Expect(sample[0].Suspect).To(BeTrue())
		}
		clear(timesSent)
		for range 300/rules.Sample + 1 {
			sendSample()
		}
		Expect(timesSent).To(HaveLen(300))
	})

	It("removes a box that was silent for long", func() {
		roster.RecordContact(noon, newPeer("a", 1, 0))
		roster.DropSilent(noon.Add(3 * time.Minute))
		Expect(roster.All(noon)).To(BeEmpty())
	})
})
