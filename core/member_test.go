package core_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

func newList(n int) *core.List {
	list := &core.List{Version: 1}
	for i := range n {
		list.Boxes = append(list.Boxes, core.Member{Name: fmt.Sprintf("box-%d", i)})
	}
	return list
}

var _ = Describe("rendezvous hashing over the list", func() {
	It("moves only the keys of a box that left, and spreads them", func() {
		before := newList(20)
		after := before.Without("box-7")
		moved, newOwners := 0, make(map[string]bool)
		for i := range 2000 {
			key := fmt.Sprint("key-", i)
			oldOwner, newOwner := before.ClaimOwner(key, nil), after.ClaimOwner(key, nil)
			if oldOwner == newOwner {
				continue
			}
			Expect(oldOwner).To(Equal("box-7"))
			moved++
			newOwners[newOwner] = true
		}
		Expect(moved).To(BeNumerically("~", 100, 40))
		Expect(len(newOwners)).To(BeNumerically(">", 12))
	})

	It("gives an endpoint two different owners unless there is only one box", func() {
		for i := range 200 {
			name := fmt.Sprint("engine-", i)
			list := newList(5)
			Expect(core.NewOwners(list).Of(name, "", 0)).NotTo(Equal(core.NewOwners(list).Of(name, "", 1)))
			alone := newList(1)
			Expect(core.NewOwners(alone).Of(name, "", 0)).To(Equal(core.NewOwners(alone).Of(name, "", 1)))
		}
	})

	It("chooses an endpoint's owners in two zones of its region while the region has a box", func() {
		list := newList(24)
		for i := range list.Boxes {
			list.Boxes[i].Zone = fmt.Sprint("zone-", i%6)
			list.Boxes[i].Region = fmt.Sprint("region-", i%6/3)
		}
		for i := range 200 {
			name := fmt.Sprint("engine-", i)
			first, second := list.Member(core.NewOwners(list).Of(name, "zone-1", 0)), list.Member(core.NewOwners(list).Of(name, "zone-1", 1))
			Expect(first.Region).To(Equal("region-0"))
			Expect(second.Region).To(Equal("region-0"))
			Expect(second.Zone).NotTo(Equal(first.Zone))
		}
		for i := range list.Boxes {
			list.Boxes[i].Leaving = list.Boxes[i].Region == "region-0"
		}
		Expect(list.Member(core.NewOwners(list).Of("engine-1", "zone-1", 0)).Region).To(Equal("region-1"))
	})

	It("passes over leaving boxes", func() {
		list := newList(3)
		list.Boxes[1].Leaving = true
		for i := range 100 {
			Expect(list.ClaimOwner(fmt.Sprint(i), nil)).NotTo(Equal("box-1"))
		}
	})
})

var _ = Describe("a retry budget", func() {
	It("bounds retries to a fraction of first attempts", func() {
		b := core.NewRetryBudget(0.1, 5)
		retries := 0
		for range 1000 {
			b.CountFirstAttempt()
			if b.TakeRetry() {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("<=", 105))
		Expect(retries).To(BeNumerically(">=", 95))
	})

	It("backs off exponentially with jitter in the upper half", func() {
		Expect(core.Backoff(1, time.Second, time.Minute, 0)).To(Equal(500 * time.Millisecond))
		Expect(core.Backoff(4, time.Second, time.Minute, 0.999)).To(BeNumerically("~", 8*time.Second, 10*time.Millisecond))
		Expect(core.Backoff(20, time.Second, time.Minute, 1)).To(Equal(time.Minute))
	})
})
