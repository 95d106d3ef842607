package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/routing"
)

var _ = Describe("a waiting list", func() {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	var l *admission.WaitingList
	BeforeEach(func() { l = admission.NewWaitingList() })
	waiting := func(id string, route int, dueIn time.Duration) admission.WaitingRequest {
		return admission.WaitingRequest{
			ID:       id,
			Service:  "m",
			Customer: "customer of " + id,
			Priority: routing.Priority{
				Customer: 1,
				Route:    route,
			},
			DueAt:   now.Add(dueIn),
			LimitAt: now.Add(dueIn + 5*time.Second),
			Tokens:  1000,
		}
	}
	remote := func(box string, r admission.WaitingRequest) admission.WaitingRequest {
		r.Box = box
		return r
	}
	add := func(all ...admission.WaitingRequest) {
		for _, r := range all {
			l.Add(now, r)
		}
	}
	ids := func(all []*admission.WaitingRequest) []string {
		var out []string
		for _, r := range all {
			out = append(out, r.ID)
		}
		return out
	}
	order := func(at time.Time) []string { return ids(l.Order(at, "m")) }

	It("orders by priority, then those that can meet their target, then by due time, then by ID", func() {
		other := waiting("other-service", 0, 0)
		other.Service = "n"
		sold := waiting("customer-rank-0", 9, time.Hour)
		sold.Priority.Customer = 0
		add(
			waiting("late", 1, -time.Second),
			remote("b", waiting("d", 1, time.Second)),
			waiting("c", 1, time.Second),
			waiting("first", 1, 500*time.Millisecond),
			waiting("patient", 3, time.Millisecond),
			sold,
			other,
		)
		Expect(order(now)).To(Equal([]string{"customer-rank-0", "first", "c", "d", "late", "patient"}))
		Expect(order(now.Add(700 * time.Millisecond))).To(Equal([]string{"customer-rank-0", "c", "d", "late", "first", "patient"}))
	})

	It("returns the requests ahead of one, whether it is in the list or not", func() {
		r := waiting("c", 1, time.Second)
		add(waiting("b", 1, time.Second), waiting("d", 1, time.Second), waiting("urgent", 0, time.Second))
		Expect(ids(l.Ahead(now, r))).To(Equal([]string{"urgent", "b"}))
		add(r)
		Expect(ids(l.Ahead(now, r))).To(Equal([]string{"urgent", "b"}))
		Expect(ids(l.Ahead(now, remote("x", r)))).To(Equal([]string{"urgent", "b", "c"}))
	})

	It("reports requests of the same or a higher priority", func() {
		add(waiting("a", 2, time.Second))
		Expect(l.HasUrgent(waiting("a", 2, time.Second))).To(BeFalse())
		Expect(l.HasUrgent(waiting("b", 2, time.Second))).To(BeTrue())
		Expect(l.HasUrgent(waiting("b", 1, time.Second))).To(BeFalse())
	})

	// Guards against a customer at many times its usual rate that crowds out the others.
	It("orders what a customer has beyond half of a priority's tokens behind the others", func() {
		for i := range 8 {
			r := waiting(fmt.Sprintf("bulk-%d", i), 1, time.Second)
			r.Customer = "bulk"
			add(r)
		}
		add(waiting("x", 1, 2*time.Second), waiting("y", 1, 2*time.Second), waiting("z", 2, 0))
		Expect(order(now)).To(Equal([]string{
			"bulk-0", "bulk-1", "bulk-2", "bulk-3", "bulk-4", "x", "y", "bulk-5", "bulk-6", "bulk-7", "z",
		}))
	})

	It("doesn't order a customer's only request behind smaller ones", func() {
		large := waiting("large", 1, time.Second)
		large.Tokens = 9000
		add(large, waiting("small", 1, 2*time.Second))
		Expect(order(now)).To(Equal([]string{"large", "small"}))
	})

	It("drops the requests of a box that is gone, and no others", func() {
		add(remote("a", waiting("1", 1, 0)), remote("b", waiting("2", 1, 0)), waiting("3", 1, 0))
		l.DropBox("a")
		Expect(order(now)).To(Equal([]string{"2", "3"}))
		l.DropBox("")
		Expect(order(now)).To(Equal([]string{"2", "3"}))
		l.Remove("b", "2")
		Expect(order(now)).To(Equal([]string{"3"}))
		Expect(l.Remote()).To(BeZero())
	})

	It("drops other boxes' requests a second after their limit, and own ones never", func() {
		add(remote("a", waiting("1", 1, 0)), waiting("2", 1, 0))
		l.Expire(now.Add(6 * time.Second))
		Expect(order(now)).To(Equal([]string{"1", "2"}))
		l.Expire(now.Add(6*time.Second + time.Millisecond))
		Expect(order(now)).To(Equal([]string{"2"}))
	})

	// Guards against a wrong message that blocks all boxes that receive it.
	It("bounds other boxes' waits and their number", func() {
		add(remote("a", waiting("long", 1, 24*time.Hour)))
		l.Expire(now.Add(62 * time.Second))
		Expect(order(now)).To(BeEmpty())
		for i := range 5000 {
			add(remote("a", waiting(fmt.Sprint(i), 1, 0)))
		}
		Expect(l.Remote()).To(Equal(4096))
		add(waiting("own", 1, 0))
		Expect(order(now)).To(HaveLen(4097))
	})

	It("drops other boxes' requests after a suspension, and ages its own", func() {
		add(remote("a", waiting("1", 1, 0)), waiting("2", 1, time.Second))
		l.HandleSuspension(3 * time.Second)
		all := l.Order(now, "m")
		Expect(ids(all)).To(Equal([]string{"2"}))
		Expect(all[0].DueAt).To(Equal(now.Add(-2 * time.Second)))
		Expect(all[0].LimitAt).To(Equal(now.Add(3 * time.Second)))
	})
})

var _ = Describe("the decision on a request that is about to be sent", func() {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	rules := admission.DefaultWaitRules()
	state := func(change func(*admission.WaitState)) admission.WaitState {
		s := admission.WaitState{
			Request: admission.WaitingRequest{
				DueAt:   now.Add(time.Second),
				LimitAt: now.Add(4 * time.Second),
			},
			Target:        2 * time.Second,
			Contended:     true,
			AheadTokens:   10_000,
			SentPerSecond: 4000,
		}
		change(&s)
		return s
	}
	DescribeTable("is",
		func(action admission.WaitAction, estimate time.Duration, change func(*admission.WaitState)) {
			Expect(rules.Decide(now, state(change))).To(Equal(admission.WaitDecision{
				Action:   action,
				Estimate: estimate,
			}))
		},
		Entry("to refuse it if its estimate exceeds the time left and half of its target", admission.Refuse, 2500*time.Millisecond, func(*admission.WaitState) {}),
		Entry("to wait if the estimate doesn't", admission.Wait, 2*time.Second, func(s *admission.WaitState) { s.AheadTokens = 8000 }),
		Entry("to wait if the estimate is unknown", admission.Wait, time.Duration(0), func(s *admission.WaitState) { s.SentPerSecond = 0 }),
		Entry("to wait if none of its priority or a higher one waits", admission.Wait, 2500*time.Millisecond, func(s *admission.WaitState) { s.Contended = false }),
		Entry("to wait on if it has begun to wait", admission.Wait, 2500*time.Millisecond, func(s *admission.WaitState) { s.HasBegun = true }),
		Entry("to send it if there is room", admission.SendToRoom, time.Duration(0), func(s *admission.WaitState) { s.HasRoom = true }),
		Entry("to send it regardless of room at its limit", admission.SendAnywhere, time.Duration(0), func(s *admission.WaitState) { s.Request.LimitAt = now }),
		Entry("to send it regardless of room if the box stops", admission.SendAnywhere, time.Duration(0), func(s *admission.WaitState) { s.IsStopping = true }),
		Entry("to refuse it with a bounded estimate", admission.Refuse, time.Minute, func(s *admission.WaitState) { s.SentPerSecond = 1 }),
	)

	It("has a limit of 2.5 times the target, or what a typical answer leaves of the deadline", func() {
		times := admission.WaitTimes{
			Start:    now,
			Target:   4 * time.Second,
			Deadline: now.Add(30 * time.Second),
			Prefill:  500 * time.Millisecond,
			Answer:   6 * time.Second,
		}
		due, limit := rules.Bounds(times)
		Expect(due).To(Equal(now.Add(3500 * time.Millisecond)))
		Expect(limit).To(Equal(now.Add(10 * time.Second)))
		times.Deadline = now.Add(8 * time.Second)
		_, limit = rules.Bounds(times)
		Expect(limit).To(Equal(now.Add(2 * time.Second)))
	})

	It("never names a Retry-After below 0.3 s", func() {
		Expect(rules.RetryAfter(10 * time.Millisecond)).To(Equal(300 * time.Millisecond))
		Expect(rules.RetryAfter(2 * time.Second)).To(Equal(2 * time.Second))
	})

	It("limits the room of requests with time to wait, and a third of the target for others", func() {
		patient := rules.Limits(admission.Requirements{}, 4*time.Second, true)
		Expect(patient.MaxMemoryUse).To(Equal(0.9))
		Expect(patient.MaxPrefillDelay).To(Equal(150 * time.Millisecond))
		urgent := rules.Limits(admission.Requirements{}, 1500*time.Millisecond, false)
		Expect(urgent.MaxMemoryUse).To(Equal(1.0))
		Expect(urgent.MaxPrefillDelay).To(Equal(500 * time.Millisecond))
	})
})

// BenchmarkWaitingOrder measures ordering what a group has waiting in a heavy burst, as happens
// at each evaluation of a box's waiting requests.
func BenchmarkWaitingOrder(b *testing.B) {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	l := admission.NewWaitingList()
	for i := range 300 {
		l.Add(now, admission.WaitingRequest{
			ID:       fmt.Sprint(i * 7919 % 300),
			Box:      fmt.Sprint(i % 75),
			Service:  "m",
			Customer: fmt.Sprint(i % 9),
			Priority: routing.Priority{Route: i % 2},
			DueAt:    now.Add(time.Duration(i*7919%300) * time.Millisecond),
			LimitAt:  now.Add(time.Minute),
			Tokens:   1000,
		})
	}
	for b.Loop() {
		l.Order(now, "m")
	}
}
