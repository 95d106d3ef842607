package core_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

// owners runs the claim owners of all boxes of a list.
type owners struct {
	list   *core.List
	owners map[string]*core.ClaimOwner
}

func newOwners(now time.Time, age time.Duration, boxes int) *owners {
	o := &owners{
		list: &core.List{
			Version: 1,
			Age:     age,
		},
		owners: make(map[string]*core.ClaimOwner),
	}
	for i := range boxes {
		o.list.Boxes = append(o.list.Boxes, core.Member{Name: fmt.Sprintf("box-%d", i)})
	}
	for i := range o.list.Boxes {
		o.start(now, o.list.Boxes[i].Name)
	}
	return o
}

func (o *owners) start(now time.Time, name string) {
	self := core.Box{
		Name:        name,
		Incarnation: core.Incarnation(now.UnixNano()),
	}
	owner := core.NewClaimOwner(self, core.DefaultClaimRules(), now)
	owner.Step(now, core.ListAdopted{
		List: o.list,
		At:   now,
	})
	o.owners[name] = owner
}

// exchangeHandovers lets every box request its missing handovers once.
func (o *owners) exchangeHandovers(now time.Time) {
	for _, m := range o.list.Boxes {
		for _, command := range o.owners[m.Name].Step(now, core.HandoverDue{}) {
			if wanted, ok := command.(core.HandoverWanted); ok {
				o.sendHandover(now, m.Name, wanted)
			}
		}
	}
}

func (o *owners) sendHandover(now time.Time, asker string, wanted core.HandoverWanted) {
	from := o.owners[wanted.From]
	if from == nil {
		return
	}
	asked := core.HandoverAsked{
		From:        o.owners[asker].Self(),
		ListVersion: wanted.ListVersion,
	}
	for _, command := range from.Step(now, asked) {
		if sent, ok := command.(core.HandoverSent); ok {
			o.owners[asker].Step(now, core.HandoverArrived{Handover: sent.Handover})
		}
	}
}

// claim claims a key at its owner and returns the verdict.
func (o *owners) claim(now time.Time, key string, timed bool) core.ClaimVerdict {
	k := core.ClaimKey{
		Customer: "customer",
		Key:      key,
	}
	owner := o.list.ClaimOwner(core.ClaimScope(k), nil)
	for _, command := range o.owners[owner].Step(now, core.ClaimAsked{
		Key:         k,
		Attempt:     "attempt of " + key,
		ListVersion: o.list.Version,
		Timed:       timed,
	}) {
		if c, ok := command.(core.ClaimAnswered); ok {
			return c.Verdict
		}
	}
	return ""
}

// claimFreshKeys claims new keys and returns the number of each verdict.
func (o *owners) claimFreshKeys(now time.Time, timed bool) map[core.ClaimVerdict]int {
	count := make(map[core.ClaimVerdict]int)
	for i := range 60 {
		count[o.claim(now, fmt.Sprintf("key %d at %s", i, now), timed)]++
	}
	return count
}

var _ = Describe("claims in a starting fleet", func() {
	start := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

	for _, timed := range []bool{true, false} {
		It(fmt.Sprintf("are granted only after all listed boxes have handed over, keys with creation time: %t", timed), func() {
			o := newOwners(start, time.Second, 3)
			Expect(o.claimFreshKeys(start, timed)).To(HaveLen(1))
			Expect(o.claimFreshKeys(start, timed)).To(HaveKey(core.VerdictNotYet))
			for round := range 3 {
				now := start.Add(time.Duration(round) * time.Second)
				o.exchangeHandovers(now)
				Expect(o.claimFreshKeys(now, timed)).NotTo(HaveKey(core.VerdictUnknown), "round %d", round)
			}
			Expect(o.claimFreshKeys(start.Add(3*time.Second), timed)).To(HaveLen(1))
			Expect(o.claimFreshKeys(start.Add(3*time.Second), timed)).To(HaveKey(core.VerdictGranted))
		})
	}

	It("are handed over only by boxes that may have owned the keys", func() {
		o := newOwners(start, time.Second, 10)
		for round := range 3 {
			o.exchangeHandovers(start.Add(time.Duration(round) * time.Second))
		}
		countRequests := func(now time.Time, version uint64, members []core.Member) int {
			o.list = &core.List{
				Version: version,
				Age:     time.Hour,
				Boxes:   members,
			}
			count := 0
			for _, m := range members {
				if o.owners[m.Name] == nil {
					o.start(now, m.Name)
				}
				commands := o.owners[m.Name].Step(now, core.ListAdopted{
					List: o.list,
					At:   now,
				})
				for _, command := range commands {
					if wanted, ok := command.(core.HandoverWanted); ok {
						count++
						o.sendHandover(now, m.Name, wanted)
					}
				}
			}
			return count
		}
		all := o.list.Boxes
		Expect(countRequests(start.Add(time.Hour), 2, all[1:])).To(Equal(9), "each box asks the one that left")
		joined := append(slices.Clone(all[1:]), core.Member{Name: "box-new"})
		Expect(countRequests(start.Add(2*time.Hour), 3, joined)).To(BeNumerically("<=", 9), "the new box asks the others")
		for round := range 3 {
			o.exchangeHandovers(start.Add(2*time.Hour + time.Duration(round)*time.Second))
		}
		Expect(o.claimFreshKeys(start.Add(2*time.Hour+3*time.Second), false)).To(Equal(map[core.ClaimVerdict]int{core.VerdictGranted: 60}))
	})

	It("are answered unknown if a box that may have granted them left without a handover", func() {
		o := newOwners(start, time.Second, 3)
		for round := range 3 {
			o.exchangeHandovers(start.Add(time.Duration(round) * time.Second))
		}
		now := start.Add(time.Hour)
		next := &core.List{
			Version: 2,
			Age:     time.Hour,
			Boxes:   o.list.Boxes[1:],
		}
		o.list = next
		delete(o.owners, "box-0")
		for _, owner := range o.owners {
			owner.Step(now, core.ListAdopted{
				List: next,
				At:   now,
			})
		}
		o.exchangeHandovers(now.Add(time.Second))
		Expect(o.claimFreshKeys(now.Add(time.Second), false)).To(And(HaveKey(core.VerdictUnknown), HaveKey(core.VerdictGranted), HaveLen(2)))
	})
})
