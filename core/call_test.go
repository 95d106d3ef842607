package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// stepAll applies events to a call and returns the commands of the last one.
func stepAll(c *core.Call, events ...core.Event) []core.Command {
	var last []core.Command
	for _, ev := range events {
		last = c.Step(noon, ev)
	}
	return last
}

func singleRunCall(allow bool) *core.Call {
	return core.NewCall(core.CallRules{
		MaxEndpoints: 1,
		MaxSends:     3,
	}, func() bool { return allow })
}

func repeatableCall(endpoints int) *core.Call {
	return core.NewCall(core.CallRules{
		Repeatable:   true,
		MaxEndpoints: endpoints,
		MaxSends:     3,
	}, func() bool { return true })
}

func resumableCall(endpoints int) *core.Call {
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
	It("is refused as not run if no endpoint is available", func() {
		Expect(stepAll(singleRunCall(true), core.CallUnplaced{})).To(Equal(refusal(core.NotRun, core.ReasonNoEndpoint)))
	})

	It("is refused as not run if the request is quarantined, or as unknown if it was sent before", func() {
		Expect(stepAll(singleRunCall(true), core.CallQuarantined{})).To(Equal(refusal(core.NotRun, core.ReasonQuarantined)))
		again := core.NewCall(core.CallRules{
			Repeatable:   true,
			MaxEndpoints: 2,
			MaxSends:     3,
		}, func() bool { return true })
		Expect(stepAll(again, core.CallPlaced{}, core.CallBroken{}, core.CallQuarantined{})).
			To(Equal(refusal(core.Unknown, core.ReasonQuarantined)))
	})

	It("is refused as unknown if its connection broke, and isn't sent again", func() {
		Expect(stepAll(singleRunCall(true), core.CallPlaced{}, core.CallBroken{})).To(Equal(refusal(core.Unknown, core.ReasonBroken)))
	})

	It("is refused as unknown if its time limit passes after it was sent", func() {
		Expect(stepAll(singleRunCall(true), core.CallPlaced{}, core.CallExpired{})).To(Equal(refusal(core.Unknown, core.ReasonExpired)))
	})

	It("is refused as not run only if nothing of it was sent when its box ends", func() {
		Expect(stepAll(singleRunCall(true), core.CallInterrupted{})).To(Equal(refusal(core.NotRun, core.ReasonStopping)))
		Expect(stepAll(singleRunCall(true), core.CallPlaced{}, core.CallInterrupted{Unsent: true})).To(Equal(refusal(core.NotRun, core.ReasonStopping)))
		Expect(stepAll(singleRunCall(true), core.CallPlaced{}, core.CallInterrupted{})).To(Equal(refusal(core.Unknown, core.ReasonStopping)))
	})

	It("is placed again without using the budget if no byte of it was sent", func() {
		Expect(stepAll(singleRunCall(false), core.CallPlaced{}, core.CallUnsent{})).To(Equal([]core.Command{core.PlaceCall{}}))
	})

	It("is placed again within the budget if an endpoint refused it", func() {
		Expect(stepAll(singleRunCall(true), core.CallPlaced{}, core.CallRefused{})).To(Equal([]core.Command{core.PlaceCall{}}))
		Expect(stepAll(singleRunCall(false), core.CallPlaced{}, core.CallRefused{})).To(Equal(refusal(core.NotRun, core.ReasonRefused)))
	})

	It("is refused as not run after the maximum number of sends", func() {
		c := singleRunCall(true)
		for range 2 {
			Expect(stepAll(c, core.CallPlaced{}, core.CallRefused{})).To(Equal([]core.Command{core.PlaceCall{}}))
		}
		Expect(stepAll(c, core.CallPlaced{}, core.CallRefused{})).To(Equal(refusal(core.NotRun, core.ReasonRefused)))
	})

	It("returns the endpoint's failure as its response", func() {
		Expect(stepAll(singleRunCall(true), core.CallPlaced{}, core.CallAnswered{Failed: true})).To(Equal([]core.Command{core.PassAnswer{}}))
	})

	It("ignores events after it has ended", func() {
		c := singleRunCall(true)
		stepAll(c, core.CallAbandoned{})
		Expect(stepAll(c, core.CallPlaced{})).To(BeEmpty())
	})
})

var _ = Describe("a repeatable call", func() {
	It("is sent to as many endpoints as its route permits", func() {
		c := repeatableCall(2)
		Expect(stepAll(c, core.CallPlaced{}, core.CallAnswered{Failed: true})).To(Equal([]core.Command{core.PlaceCall{}}))
		Expect(stepAll(c, core.CallPlaced{}, core.CallAnswered{Failed: true})).To(Equal([]core.Command{core.PassAnswer{}}))
	})

	It("is not sent again under new rules that forbid it, though an endpoint refused it before", func() {
		c := repeatableCall(2)
		stepAll(c, core.CallPlaced{}, core.CallRefused{})
		c.SetRules(core.CallRules{
			MaxEndpoints: 1,
			MaxSends:     3,
		})
		Expect(stepAll(c, core.CallPlaced{}, core.CallBroken{})).To(Equal(refusal(core.Unknown, core.ReasonBroken)))
	})

	It("gets another box's refusal only if it was executed nowhere before", func() {
		Expect(stepAll(repeatableCall(2), core.CallPlaced{}, core.CallDeclined{})).To(Equal([]core.Command{core.PassAnswer{}}))
		Expect(stepAll(repeatableCall(2), core.CallPlaced{}, core.CallBroken{}, core.CallPlaced{}, core.CallDeclined{})).To(Equal(refusal(core.Unknown, core.ReasonRefused)))
	})

	It("is sent again if its connection broke", func() {
		Expect(stepAll(repeatableCall(2), core.CallPlaced{}, core.CallBroken{})).To(Equal([]core.Command{core.PlaceCall{}}))
		Expect(stepAll(repeatableCall(1), core.CallPlaced{}, core.CallBroken{})).To(Equal(refusal(core.Unknown, core.ReasonBroken)))
	})
})

var _ = Describe("a stream in progress", func() {
	streaming := func(allow bool) *core.Call {
		c := singleRunCall(allow)
		stepAll(c, core.CallPlaced{}, core.CallProgressed{})
		return c
	}
	cut := func(reason core.Reason) []core.Command {
		return []core.Command{core.CutAnswer{Reason: reason}}
	}

	It("continues at the endpoint that has a copy", func() {
		Expect(stepAll(streaming(true), core.CallBroken{Copy: true})).To(Equal([]core.Command{core.ContinueCall{}}))
	})

	It("is cut without a copy or without budget", func() {
		Expect(stepAll(streaming(true), core.CallBroken{})).To(Equal(cut(core.ReasonBroken)))
		Expect(stepAll(streaming(false), core.CallBroken{Copy: true})).To(Equal(cut(core.ReasonBudget)))
	})

	// The text of a refusal inside a stream would make it look complete.
	It("is cut, and gets no second response, if the endpoint with the copy can't continue", func() {
		for _, tt := range []struct {
			ev     core.Event
			reason core.Reason
		}{
			{core.CallUnsent{}, core.ReasonUnreachable},
			{core.CallRefused{}, core.ReasonRefused},
			{core.CallAnswered{}, core.ReasonBroken},
			{core.CallAnswered{Failed: true}, core.ReasonBroken},
			{core.CallBroken{}, core.ReasonBroken},
			{core.CallExpired{}, core.ReasonExpired},
			{core.CallInterrupted{}, core.ReasonStopping},
			{core.CallUnplaced{}, core.ReasonBroken},
		} {
			c := streaming(true)
			stepAll(c, core.CallBroken{Copy: true})
			Expect(stepAll(c, tt.ev)).To(Equal(cut(tt.reason)), "%T", tt.ev)
		}
	})
})

var _ = Describe("a resumable stream", func() {
	startEvents := []core.Event{core.CallPlaced{}, core.CallProgressed{}}

	It("is sent again before its first event, and resumed in another run after it", func() {
		Expect(stepAll(resumableCall(2), core.CallPlaced{}, core.CallBroken{})).To(Equal([]core.Command{core.PlaceCall{}}))
		Expect(stepAll(resumableCall(2), append(startEvents, core.CallBroken{})...)).To(Equal([]core.Command{core.ResumeCall{}}))
	})

	It("is resumed at no more endpoints than its route permits", func() {
		Expect(stepAll(resumableCall(2), append(startEvents, core.CallBroken{}, core.CallBroken{})...)).To(Equal([]core.Command{core.CutAnswer{Reason: core.ReasonBroken}}))
		Expect(stepAll(resumableCall(1), append(startEvents, core.CallBroken{})...)).To(Equal([]core.Command{core.CutAnswer{Reason: core.ReasonBroken}}))
	})

	It("continues from its copy, or is resumed if the copy is unreachable", func() {
		broken := core.CallBroken{Copy: true}
		Expect(stepAll(resumableCall(2), append(startEvents, broken)...)).To(Equal([]core.Command{core.ContinueCall{}}))
		Expect(stepAll(resumableCall(2), append(startEvents, broken, core.CallUnsent{})...)).To(Equal([]core.Command{core.ResumeCall{}}))
		Expect(stepAll(resumableCall(2), append(startEvents, broken, core.CallRefused{})...)).To(Equal([]core.Command{core.ResumeCall{}}))
	})

	It("is cut if no endpoint is available to resume it", func() {
		Expect(stepAll(resumableCall(2), append(startEvents, core.CallBroken{}, core.CallUnplaced{})...)).To(Equal([]core.Command{core.CutAnswer{Reason: core.ReasonBroken}}))
	})
})
