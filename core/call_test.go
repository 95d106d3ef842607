package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// play steps a call through events and gives the last commands.
func play(c *core.Call, events ...core.Event) []core.Command {
	var last []core.Command
	for _, ev := range events {
		last = c.Step(noon, ev)
	}
	return last
}

func once(allow bool) *core.Call {
	return core.NewCall(core.CallRules{
		MaxEndpoints: 1,
		MaxSends:     3,
	}, func() bool { return allow })
}

func repeatable(endpoints int) *core.Call {
	return core.NewCall(core.CallRules{
		Repeatable:   true,
		MaxEndpoints: endpoints,
		MaxSends:     3,
	}, func() bool { return true })
}

func resumable(endpoints int) *core.Call {
	return core.NewCall(core.CallRules{
		Repeatable:   true,
		Resumable:    true,
		MaxEndpoints: endpoints,
		MaxSends:     3,
	}, func() bool { return true })
}

func refusal(outcome core.Outcome, reason core.Reason) []core.Command {
	return []core.Command{core.RefuseCall{
		Outcome: outcome,
		Reason:  reason,
	}}
}

var _ = Describe("a call that may run once", func() {
	It("is told not run when no endpoint was there", func() {
		Expect(play(once(true), core.CallUnplaced{})).To(Equal(refusal(core.NotRun, core.ReasonNoEndpoint)))
	})

	It("is told not run when endpoints end under it, or unknown once it was sent", func() {
		Expect(play(once(true), core.CallQuarantined{})).To(Equal(refusal(core.NotRun, core.ReasonQuarantined)))
		again := core.NewCall(core.CallRules{
			Repeatable:   true,
			MaxEndpoints: 2,
			MaxSends:     3,
		}, func() bool { return true })
		Expect(play(again, core.CallPlaced{}, core.CallBroken{}, core.CallQuarantined{})).
			To(Equal(refusal(core.Unknown, core.ReasonQuarantined)))
	})

	It("is told unknown when its connection broke, and isn't sent again", func() {
		Expect(play(once(true), core.CallPlaced{}, core.CallBroken{})).To(Equal(refusal(core.Unknown, core.ReasonBroken)))
	})

	It("is told unknown when its time ends under way", func() {
		Expect(play(once(true), core.CallPlaced{}, core.CallExpired{})).To(Equal(refusal(core.Unknown, core.ReasonExpired)))
	})

	It("is placed again when no byte of it left, without the budget", func() {
		Expect(play(once(false), core.CallPlaced{}, core.CallUnsent{})).To(Equal([]core.Command{core.PlaceCall{}}))
	})

	It("is placed again when an endpoint refused it, within the budget", func() {
		Expect(play(once(true), core.CallPlaced{}, core.CallRefused{})).To(Equal([]core.Command{core.PlaceCall{}}))
		Expect(play(once(false), core.CallPlaced{}, core.CallRefused{})).To(Equal(refusal(core.NotRun, core.ReasonRefused)))
	})

	It("is given up as not run after the most sends", func() {
		c := once(true)
		for range 2 {
			Expect(play(c, core.CallPlaced{}, core.CallRefused{})).To(Equal([]core.Command{core.PlaceCall{}}))
		}
		Expect(play(c, core.CallPlaced{}, core.CallRefused{})).To(Equal(refusal(core.NotRun, core.ReasonRefused)))
	})

	It("gets the endpoint's failure as its answer", func() {
		Expect(play(once(true), core.CallPlaced{}, core.CallAnswered{Failed: true})).To(Equal([]core.Command{core.PassAnswer{}}))
	})

	It("does nothing more once it has ended", func() {
		c := once(true)
		play(c, core.CallAbandoned{})
		Expect(play(c, core.CallPlaced{})).To(BeEmpty())
	})
})

var _ = Describe("a repeatable call", func() {
	It("goes to as many endpoints as its route permits", func() {
		c := repeatable(2)
		Expect(play(c, core.CallPlaced{}, core.CallAnswered{Failed: true})).To(Equal([]core.Command{core.PlaceCall{}}))
		Expect(play(c, core.CallPlaced{}, core.CallAnswered{Failed: true})).To(Equal([]core.Command{core.PassAnswer{}}))
	})

	It("is sent again when its connection broke", func() {
		Expect(play(repeatable(2), core.CallPlaced{}, core.CallBroken{})).To(Equal([]core.Command{core.PlaceCall{}}))
		Expect(play(repeatable(1), core.CallPlaced{}, core.CallBroken{})).To(Equal(refusal(core.Unknown, core.ReasonBroken)))
	})
})

var _ = Describe("a stream under way", func() {
	streaming := func(allow bool) *core.Call {
		c := once(allow)
		play(c, core.CallPlaced{}, core.CallProgressed{})
		return c
	}
	cut := func(reason core.Reason) []core.Command {
		return []core.Command{core.CutAnswer{Reason: reason}}
	}

	It("goes on at the endpoint with its copy", func() {
		Expect(play(streaming(true), core.CallBroken{Copy: true})).To(Equal([]core.Command{core.ContinueCall{}}))
	})

	It("is cut without a copy or a budget", func() {
		Expect(play(streaming(true), core.CallBroken{})).To(Equal(cut(core.ReasonBroken)))
		Expect(play(streaming(false), core.CallBroken{Copy: true})).To(Equal(cut(core.ReasonBudget)))
	})

	// A refusal's text written into a stream made it look complete: ORDER in
	// hunt 6f21 (scale-2, seed 330461723771).
	It("is cut, and never answered anew, when the copy's endpoint can't go on", func() {
		for _, one := range []struct {
			ev     core.Event
			reason core.Reason
		}{
			{core.CallUnsent{}, core.ReasonUnreachable},
			{core.CallRefused{}, core.ReasonRefused},
			{core.CallAnswered{}, core.ReasonBroken},
			{core.CallAnswered{Failed: true}, core.ReasonBroken},
			{core.CallBroken{}, core.ReasonBroken},
			{core.CallExpired{}, core.ReasonExpired},
			{core.CallUnplaced{}, core.ReasonBroken},
		} {
			c := streaming(true)
			play(c, core.CallBroken{Copy: true})
			Expect(play(c, one.ev)).To(Equal(cut(one.reason)), "%T", one.ev)
		}
	})
})

var _ = Describe("a stream that may be resumed", func() {
	begun := []core.Event{core.CallPlaced{}, core.CallProgressed{}}

	It("is sent again before its first event, and goes on in another run after it", func() {
		Expect(play(resumable(2), core.CallPlaced{}, core.CallBroken{})).To(Equal([]core.Command{core.PlaceCall{}}))
		Expect(play(resumable(2), append(begun, core.CallBroken{})...)).To(Equal([]core.Command{core.ResumeCall{}}))
	})

	It("goes on at no more endpoints than its route permits", func() {
		Expect(play(resumable(2), append(begun, core.CallBroken{}, core.CallBroken{})...)).To(Equal([]core.Command{core.CutAnswer{Reason: core.ReasonBroken}}))
		Expect(play(resumable(1), append(begun, core.CallBroken{})...)).To(Equal([]core.Command{core.CutAnswer{Reason: core.ReasonBroken}}))
	})

	It("prefers its copy, and another run to none when the copy can't be reached", func() {
		broken := core.CallBroken{Copy: true}
		Expect(play(resumable(2), append(begun, broken)...)).To(Equal([]core.Command{core.ContinueCall{}}))
		Expect(play(resumable(2), append(begun, broken, core.CallUnsent{})...)).To(Equal([]core.Command{core.ResumeCall{}}))
		Expect(play(resumable(2), append(begun, broken, core.CallRefused{})...)).To(Equal([]core.Command{core.ResumeCall{}}))
	})

	It("is cut when no endpoint is there to go on", func() {
		Expect(play(resumable(2), append(begun, core.CallBroken{}, core.CallUnplaced{})...)).To(Equal([]core.Command{core.CutAnswer{Reason: core.ReasonBroken}}))
	})
})
