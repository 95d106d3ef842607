package core_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("a roster", func() {
	peer := func(box string, life uint64, silence time.Duration) core.Peer {
		return core.Peer{
			Box:     box,
			Life:    life,
			Silence: silence,
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
		r.Meet(noon, peer("a", 1, 0))
		r.Hear(noon, []core.Peer{peer("b", 1, time.Second), peer("self", 9, 0)})
		Expect(names(r.Alive(noon))).To(Equal([]string{"a", "b"}))
		Expect(r.Sharers(noon)).To(Equal(3))
	})

	It("suspects a silent box but still counts it among the sharers", func() {
		r.Meet(noon, peer("a", 1, 0))
		later := noon.Add(20 * time.Second)
		Expect(r.Alive(later)).To(BeEmpty())
		Expect(r.Sharers(later)).To(Equal(2))
		Expect(r.Sharers(noon.Add(2 * time.Minute))).To(Equal(1))
	})

	It("takes the word that is newer by age, not by arrival", func() {
		r.Meet(noon, peer("a", 2, 0))
		r.Hear(noon.Add(time.Second), []core.Peer{peer("a", 1, 5*time.Second)})
		Expect(r.All(noon)[0].Life).To(BeEquivalentTo(2))
		r.Hear(noon.Add(time.Second), []core.Peer{peer("a", 3, 100*time.Millisecond)})
		Expect(r.All(noon)[0].Life).To(BeEquivalentTo(3))
	})

	It("keeps a box leaving within its life, and forgets that with the next life", func() {
		leaving := peer("a", 1, 0)
		leaving.Leaving = true
		r.Meet(noon, leaving)
		r.Hear(noon.Add(time.Second), []core.Peer{peer("a", 1, 0)})
		Expect(r.Alive(noon.Add(time.Second))).To(BeEmpty())
		r.Meet(noon.Add(2*time.Second), peer("a", 2, 0))
		Expect(names(r.Alive(noon.Add(2 * time.Second)))).To(Equal([]string{"a"}))
	})

	It("tells no more than a bounded sample, the freshest first", func() {
		for i := range 300 {
			r.Hear(noon, []core.Peer{peer(fmt.Sprintf("box-%03d", i), 1, time.Duration(i)*10*time.Millisecond)})
		}
		sample := r.Sample(noon)
		Expect(sample).To(HaveLen(core.DefaultRosterRules().Sample))
		Expect(sample[0].Box).To(Equal("box-000"))
	})

	It("drops a box that was silent for long", func() {
		r.Meet(noon, peer("a", 1, 0))
		r.Tick(noon.Add(3 * time.Minute))
		Expect(r.All(noon)).To(BeEmpty())
	})
})
