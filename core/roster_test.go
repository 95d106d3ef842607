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
	peer := func(box string, life uint64, silence time.Duration) core.Peer {
		return core.Peer{
			Box:        box,
			InstanceID: life,
			Silence:    silence,
		}
	}
	names := func(all []core.Peer) []string {
		var out []string
		for _, p := range all {
			out = append(out, p.Box)
		}
		return out
	}
	var r *core.Roster
	BeforeEach(func() { r = core.NewRoster(peer("self", 1, 0), core.DefaultRosterRules()) })

	It("knows boxes it met and boxes it heard of, and never itself", func() {
		r.RecordContact(noon, peer("a", 1, 0))
		r.Merge(noon, []core.Peer{peer("b", 1, time.Second), peer("self", 9, 0)})
		Expect(names(r.Alive(noon))).To(Equal([]string{"a", "b"}))
		Expect(r.Sharers(noon)).To(Equal(3))
	})

	It("suspects a silent box that doesn't answer, but still counts it among the sharers", func() {
		r.RecordContact(noon, peer("a", 1, 0))
		soon := noon.Add(time.Second)
		r.RecordNoAnswer(soon, netip.AddrPort{})
		Expect(names(r.Alive(soon))).To(Equal([]string{"a"}))
		later := noon.Add(3 * time.Second)
		Expect(names(r.Alive(later))).To(Equal([]string{"a"}))
		r.RecordNoAnswer(later, netip.AddrPort{})
		Expect(r.Alive(later)).To(BeEmpty())
		Expect(r.Sharers(later)).To(Equal(2))
		Expect(r.Sharers(noon.Add(2 * time.Minute))).To(Equal(1))
	})

	It("tells others how old its word is, a suspension of its machine counted", func() {
		r.RecordContact(noon, peer("a", 1, 0))
		r.HandleSuspension(4 * time.Second)
		Expect(r.Sample(noon.Add(time.Second))[0].Silence).To(Equal(5 * time.Second))
	})

	It("holds a box for gone that nobody speaks of any more", func() {
		r.RecordContact(noon, peer("a", 1, 0))
		Expect(r.Alive(noon.Add(time.Minute))).To(BeEmpty())
	})

	It("takes another's suspicion unless it heard of the box lately itself", func() {
		suspect := peer("a", 1, 3*time.Second)
		suspect.Suspect = true
		r.RecordContact(noon, peer("a", 1, 0))
		r.Merge(noon.Add(time.Second), []core.Peer{suspect})
		Expect(names(r.Alive(noon.Add(time.Second)))).To(Equal([]string{"a"}))
		later := noon.Add(4 * time.Second)
		r.Merge(later, []core.Peer{suspect})
		Expect(r.Alive(later)).To(BeEmpty())
		r.Merge(later, []core.Peer{peer("a", 1, 2*time.Second)}) // from before it fell silent
		Expect(r.Alive(later)).To(BeEmpty())
		r.Merge(later, []core.Peer{peer("a", 1, 100*time.Millisecond)})
		Expect(names(r.Alive(later))).To(Equal([]string{"a"}))
	})

	It("takes the word that is newer by age, not by arrival", func() {
		r.RecordContact(noon, peer("a", 2, 0))
		r.Merge(noon.Add(time.Second), []core.Peer{peer("a", 1, 5*time.Second)})
		Expect(r.All(noon)[0].InstanceID).To(BeEquivalentTo(2))
		r.Merge(noon.Add(time.Second), []core.Peer{peer("a", 3, 100*time.Millisecond)})
		Expect(r.All(noon)[0].InstanceID).To(BeEquivalentTo(3))
	})

	It("keeps a box leaving within its life, and forgets that with the next life", func() {
		leaving := peer("a", 1, 0)
		leaving.Leaving = true
		r.RecordContact(noon, leaving)
		r.Merge(noon.Add(time.Second), []core.Peer{peer("a", 1, 0)})
		Expect(r.Alive(noon.Add(time.Second))).To(BeEmpty())
		r.RecordContact(noon.Add(2*time.Second), peer("a", 2, 0))
		Expect(names(r.Alive(noon.Add(2 * time.Second)))).To(Equal([]string{"a"}))
	})

	It("tells no more than a bounded sample: what changed first, and each member in turn", func() {
		rules := core.DefaultRosterRules()
		for i := range 300 {
			r.Merge(noon, []core.Peer{peer(fmt.Sprintf("box-%03d", i), 1, 0)})
		}
		told := make(map[string]int)
		tell := func() []core.Peer {
			sample := r.Sample(noon)
			for _, p := range sample {
				told[p.Box]++
			}
			return sample
		}
		for range 300 {
			Expect(len(tell())).To(BeNumerically("<=", rules.MaxChanged+rules.MinRotated))
		}
		Expect(tell()).To(HaveLen(rules.Sample))
		Expect(told).To(HaveLen(300))
		later := noon.Add(4 * time.Second)
		suspect := peer("box-200", 1, 4*time.Second)
		suspect.Suspect = true
		r.Merge(later, []core.Peer{suspect})
		for range rules.ChangeSends {
			sample := r.Sample(later)
			Expect(sample[0].Box).To(Equal("box-200"))
			Expect(sample[0].Suspect).To(BeTrue())
		}
		clear(told)
		for range 300/rules.Sample + 1 {
			tell()
		}
		Expect(told).To(HaveLen(300))
	})

	It("drops a box that was silent for long", func() {
		r.RecordContact(noon, peer("a", 1, 0))
		r.DropSilent(noon.Add(3 * time.Minute))
		Expect(r.All(noon)).To(BeEmpty())
	})
})
