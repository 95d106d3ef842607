package core_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

// homes are the claims' homes of a list, as their schedulers drive them.
type homes struct {
	list  *core.List
	homes map[string]*core.ClaimOwner
}

func startHomes(now time.Time, age time.Duration, boxes int) *homes {
	h := &homes{
		list: &core.List{
			Version: 1,
			Age:     age,
		},
		homes: make(map[string]*core.ClaimOwner),
	}
	for i := range boxes {
		h.list.Boxes = append(h.list.Boxes, core.Member{Name: fmt.Sprintf("box-%d", i)})
	}
	for i := range h.list.Boxes {
		h.start(now, h.list.Boxes[i].Name)
	}
	return h
}

func (h *homes) start(now time.Time, name string) {
	self := core.Box{
		Name:        name,
		Incarnation: core.Incarnation(now.UnixNano()),
	}
	home := core.NewClaimOwner(self, core.DefaultClaimRules(), now)
	home.Step(now, core.ListAdopted{
		List: h.list,
		At:   now,
	})
	h.homes[name] = home
}

// meet has every box ask the others for what they hand over, once.
func (h *homes) meet(now time.Time) {
	for _, m := range h.list.Boxes {
		for _, command := range h.homes[m.Name].Step(now, core.HandoverDue{}) {
			if wanted, ok := command.(core.HandoverWanted); ok {
				h.ask(now, m.Name, wanted)
			}
		}
	}
}

func (h *homes) ask(now time.Time, asker string, wanted core.HandoverWanted) {
	from := h.homes[wanted.From]
	if from == nil {
		return
	}
	asked := core.HandoverAsked{
		From:        h.homes[asker].Self(),
		ListVersion: wanted.ListVersion,
	}
	for _, command := range from.Step(now, asked) {
		if sent, ok := command.(core.HandoverSent); ok {
			h.homes[asker].Step(now, core.HandoverArrived{Handover: sent.Handover})
		}
	}
}

// claim asks a key's home and gives its verdict.
func (h *homes) claim(now time.Time, key string, timed bool) core.ClaimVerdict {
	k := core.ClaimKey{
		Customer: "customer",
		Key:      key,
	}
	home := h.list.ClaimOwner(core.ClaimScope(k), nil)
	for _, command := range h.homes[home].Step(now, core.ClaimAsked{
		Key:         k,
		Attempt:     "attempt of " + key,
		ListVersion: h.list.Version,
		Timed:       timed,
	}) {
		if c, ok := command.(core.ClaimAnswered); ok {
			return c.Verdict
		}
	}
	return ""
}

// verdicts counts the answers to some fresh keys.
func (h *homes) verdicts(now time.Time, timed bool) map[core.ClaimVerdict]int {
	count := make(map[core.ClaimVerdict]int)
	for i := range 60 {
		count[h.claim(now, fmt.Sprintf("key %d at %s", i, now), timed)]++
	}
	return count
}

var _ = Describe("a starting fleet's claims", func() {
	start := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

	for _, timed := range []bool{true, false} {
		It(fmt.Sprintf("wait for the boxes that can still hand over, keys with their time: %t", timed), func() {
			h := startHomes(start, time.Second, 3)
			Expect(h.verdicts(start, timed)).To(HaveLen(1))
			Expect(h.verdicts(start, timed)).To(HaveKey(core.VerdictNotYet))
			for round := range 3 {
				now := start.Add(time.Duration(round) * time.Second)
				h.meet(now)
				Expect(h.verdicts(now, timed)).NotTo(HaveKey(core.VerdictUnknown), "round %d", round)
			}
			Expect(h.verdicts(start.Add(3*time.Second), timed)).To(HaveLen(1))
			Expect(h.verdicts(start.Add(3*time.Second), timed)).To(HaveKey(core.VerdictGranted))
		})
	}

	It("are handed over by the boxes from which keys can have come, and by no other", func() {
		h := startHomes(start, time.Second, 10)
		for round := range 3 {
			h.meet(start.Add(time.Duration(round) * time.Second))
		}
		asks := func(now time.Time, version uint64, members []core.Member) int {
			h.list = &core.List{
				Version: version,
				Age:     time.Hour,
				Boxes:   members,
			}
			count := 0
			for _, m := range members {
				if h.homes[m.Name] == nil {
					h.start(now, m.Name)
				}
				commands := h.homes[m.Name].Step(now, core.ListAdopted{
					List: h.list,
					At:   now,
				})
				for _, command := range commands {
					if wanted, ok := command.(core.HandoverWanted); ok {
						count++
						h.ask(now, m.Name, wanted)
					}
				}
			}
			return count
		}
		all := h.list.Boxes
		Expect(asks(start.Add(time.Hour), 2, all[1:])).To(Equal(9), "each asks the box that left")
		joined := append(slices.Clone(all[1:]), core.Member{Name: "box-new"})
		Expect(asks(start.Add(2*time.Hour), 3, joined)).To(BeNumerically("<=", 9), "the newcomer asks the others")
		for round := range 3 {
			h.meet(start.Add(2*time.Hour + time.Duration(round)*time.Second))
		}
		Expect(h.verdicts(start.Add(2*time.Hour+3*time.Second), false)).To(Equal(map[core.ClaimVerdict]int{core.VerdictGranted: 60}))
	})

	It("are told unknown once a box that may have granted them has left the list", func() {
		h := startHomes(start, time.Second, 3)
		for round := range 3 {
			h.meet(start.Add(time.Duration(round) * time.Second))
		}
		now := start.Add(time.Hour)
		next := &core.List{
			Version: 2,
			Age:     time.Hour,
			Boxes:   h.list.Boxes[1:],
		}
		h.list = next
		delete(h.homes, "box-0")
		for _, home := range h.homes {
			home.Step(now, core.ListAdopted{
				List: next,
				At:   now,
			})
		}
		h.meet(now.Add(time.Second))
		Expect(h.verdicts(now.Add(time.Second), false)).To(And(HaveKey(core.VerdictUnknown), HaveKey(core.VerdictGranted), HaveLen(2)))
	})
})
