package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/gateway"
	"dillsaddle.example/dillsaddle/platform/emulator"
	"dillsaddle.example/dillsaddle/routing"
)

// quarantinePart records crashes under requests that have only this part in common.
func quarantinePart(q *fleet.PartQuarantine, part string) {
	for i := range 8 {
		q.Crashed(time.Now(), core.Prompt{
			Service: emulator.ModelService,
			Parts:   []core.PartID{core.NewPartID(part)},
			Content: core.NewDigest(fmt.Append(nil, i)),
		}, fmt.Sprintf("x-%d", i), 0)
		time.Sleep(core.DefaultPartRules().MomentLength / 2)
	}
}

// A wait is an additional state in which a request may be lost, sent twice, or answered wrongly.
var _ = Describe("a waiting request", func() {
	var b *waitBed
	BeforeEach(func() {
		b = newWaitBed()
		b.fill("e-1", 30_000)
	})
	It("is dropped when its caller disconnects", func() {
		ctx, cancel := context.WithCancel(context.Background())
		b.start(ctx, emulator.StreamPath, "a")
		b.expectWaiting("a")
		cancel()
		b.expectWaiting()
		Eventually(func() []string { return b.outcomes("a") }).Should(Equal([]string{"left"}))
		b.fill("e-1", 0)
		Consistently(b.engine.Runs, "100ms").Should(BeEmpty())
		b.expectEnded()
	})

	It("is answered as not run when its deadline passes, here by a suspension", func() {
		done := b.startWaiting(emulator.StreamPath, "a")
		b.gateway.HandleSuspension(time.Minute)
		o := <-done
		Expect(o.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(b.outcomes("a")).To(Equal([]string{"expired"}))
		Expect(b.engine.Runs()).To(BeEmpty())
		b.expectEnded()
	})

	It("is refused when it is quarantined", func() {
		quarantine := fleet.NewQuarantine(zap.NewNop())
		b = newWaitBed(gateway.WithQuarantine(quarantine))
		b.fill("e-1", 30_000)
		done := b.startWaiting(emulator.StreamPath, "a")
		placed := core.NewDigest([]byte(emulator.Customer), []byte(http.MethodPost), []byte(emulator.Host), []byte(emulator.StreamPath), []byte("prompt a"))
		for i := range 3 {
			quarantine.Crashed(time.Now(), placed, fmt.Sprintf("x-%d", i))
		}
		var o emulator.Outcome
		Eventually(done, "300ms").Should(Receive(&o))
		Expect(o.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(b.outcomes("a")).To(Equal([]string{"withdrawn"}))
		Expect(b.engine.Runs()).To(BeEmpty())
		b.expectEnded()
	})

	It("is refused when a part of its prompt is quarantined", func() {
		quarantine := fleet.NewPartQuarantine(zap.NewNop())
		b = newWaitBed(gateway.WithPartQuarantine(quarantine))
		b.fill("e-1", 30_000)
		done := b.startWaiting(emulator.StreamPath, "a", "a1", "bad")
		quarantinePart(quarantine, "bad")
		var o emulator.Outcome
		Eventually(done, "300ms").Should(Receive(&o))
		Expect(o.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(o.RetryAfter).NotTo(BeEmpty())
		Expect(b.outcomes("a")).To(Equal([]string{"withdrawn"}))
		Expect(b.engine.Runs()).To(BeEmpty())
		b.expectEnded()
	})

	It("is sent at once regardless of room when the box stops, and later ones don't wait", func() {
		done := b.startWaiting(emulator.StreamPath, "a")
		b.gateway.Stop(time.Now().Add(10*time.Second), time.Now().Add(10*time.Second))
		Eventually(b.engine.Runs, "200ms").Should(HaveLen(1))
		Expect((<-done).IsComplete).To(BeTrue())
		Expect(b.outcomes("a")).To(Equal([]string{"stopping"}))
		Expect((<-b.start(context.Background(), emulator.StreamPath, "b")).IsComplete).To(BeTrue())
		Expect(b.outcomes("b")).To(BeEmpty())
		b.expectEnded()
	})

	It("hands on a deadline from which its wait is deducted", func() {
		done := b.startWaiting(emulator.StreamPath, "a")
		time.Sleep(300 * time.Millisecond)
		b.fill("e-1", 0)
		Expect((<-done).IsComplete).To(BeTrue())
		left, err := strconv.Atoi(b.engine.Runs()[0].Deadline)
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(BeNumerically("<=", 19_700))
	})

	It("is sent while the store is unavailable", func() {
		b.deployment.Store.SetFault(emulator.StoreUnavailable, 0)
		done := b.startWaiting(emulator.StreamPath, "a")
		b.fill("e-1", 0)
		Expect((<-done).IsComplete).To(BeTrue())
	})

	It("is sent to an engine that joins", func() {
		done := b.startWaiting(emulator.StreamPath, "a")
		joined := b.add("e-2", emulator.ModelService)
		Expect((<-done).IsComplete).To(BeTrue())
		Expect(joined.Runs()).To(HaveLen(1))
	})

	// Guards against requests that wait although an engine has room, since an earlier one of the
	// same route and customer can't be sent there.
	It("does not hold up a later one at an engine that refused only itself", func() {
		second := b.add("e-2", emulator.ModelService)
		second.SetFault(emulator.Shed, 1)
		b.fill("e-2", 0)
		first := b.startWaiting(emulator.StreamPath, "a")
		b.fill("e-2", 30_000)
		later := b.start(context.Background(), emulator.StreamPath, "b")
		b.expectWaiting("a", "b")
		b.fill("e-2", 0)
		Eventually(later, "1s").Should(Receive(HaveField("IsComplete", true)))
		Expect(second.Runs()).To(HaveLen(1))
		b.expectWaiting("a")
		b.fill("e-1", 0)
		Expect((<-first).IsComplete).To(BeTrue())
		Expect(b.engine.Runs()).To(HaveLen(1))
	})

	It("waits again after an engine's refusal, and runs once", func() {
		second := b.add("e-2", emulator.ModelService)
		second.SetFault(emulator.Shed, 1)
		b.fill("e-2", 0)
		done := b.startWaiting(emulator.StreamPath, "a")
		b.fill("e-1", 0)
		Expect((<-done).IsComplete).To(BeTrue())
		Expect(b.engine.Runs()).To(HaveLen(1))
		Expect(second.Runs()).To(BeEmpty())
		b.expectEnded()
	})
})

var _ = Describe("a stream that began", func() {
	// Guards against a pause of seconds in a stream whose caller is reading it.
	It("is resumed at once at an engine without room", func() {
		b := newWaitBed()
		b.fill("e-1", 0)
		second := b.add("e-2", emulator.ModelService)
		b.fill("e-2", 30_000)
		b.engine.SetFault(emulator.Cut, 1)
		startedAt := time.Now()
		Expect((<-b.start(context.Background(), emulator.ResumePath, "a")).IsComplete).To(BeTrue())
		Expect(time.Since(startedAt)).To(BeNumerically("<", time.Second))
		Expect(second.Runs()).To(HaveLen(1))
		Expect(b.waitMessages()).To(BeEmpty())
	})
})

var _ = Describe("waiting requests of other boxes", func() {
	var b *waitBed
	BeforeEach(func() {
		b = newWaitBed()
		b.fill("e-1", 25_000) // room for one run of 1,500 tokens below 0.9
	})
	hear := func(m fleet.Waiting) {
		b.gateway.HandlePlacement(time.Now(), fleet.Placement{Waiting: &m})
	}
	remote := func(limit time.Duration) fleet.Waiting {
		return fleet.Waiting{
			Request:  "r",
			Box:      "other",
			Service:  emulator.ModelService,
			Customer: "two",
			Priority: routing.Priority{
				Customer: 1,
				Route:    1,
			},
			DueIn:  time.Second,
			Limit:  limit,
			Tokens: 1500,
			Prompt: 100,
		}
	}
	// heldFor returns how long a request waits behind the other box's.
	heldFor := func(action func()) time.Duration {
		startedAt := time.Now()
		done := b.startWaiting(emulator.StreamPath, "a")
		Expect(b.gateway.Waiting().Remote).To(Equal(1))
		action()
		Expect((<-done).IsComplete).To(BeTrue())
		Expect(b.outcomes("a")).To(Equal([]string{"sent"}))
		return time.Since(startedAt)
	}

	It("of higher order keep their room until their waits end", func() {
		hear(remote(3 * time.Second))
		Expect(heldFor(func() {
			time.Sleep(200 * time.Millisecond)
			hear(fleet.Waiting{
				Request: "r",
				Box:     "other",
				Ended:   true,
			})
		})).To(BeNumerically("~", 200*time.Millisecond, 150*time.Millisecond))
		line := b.log.FilterMessage("waiting for room").All()[0].ContextMap()
		Expect(line["why"]).To(Equal("requests ahead"))
		Expect(line["requests_ahead"]).To(BeEquivalentTo(1))
		Expect(line["heard_age"]).To(BeNumerically(">=", 0))
	})

	It("of a killed box, or whose last message was lost, count until a second after their limit", func() {
		hear(remote(100 * time.Millisecond))
		Expect(heldFor(func() {})).To(BeNumerically("~", 1100*time.Millisecond, 200*time.Millisecond))
	})

	It("of a box that is suspected or gone don't count", func() {
		hear(remote(30 * time.Second))
		Expect(heldFor(func() { b.gateway.HandleBoxGone("other") })).To(BeNumerically("<", 300*time.Millisecond))
	})

	It("don't count after this box was suspended", func() {
		hear(remote(30 * time.Second))
		Expect(heldFor(func() { b.gateway.HandleSuspension(100 * time.Millisecond) })).To(BeNumerically("<", 300*time.Millisecond))
	})

	It("are ignored if the message is this box's own", func() {
		own := remote(30 * time.Second)
		own.Box = "this"
		hear(own)
		Expect(b.gateway.Waiting().Remote).To(BeZero())
	})

	// Guards against a message that counts as one about this box's own requests: its begin would
	// end the process, and its end would leave a request waiting for ever.
	It("are ignored if the message doesn't name their box", func() {
		b.fill("e-1", 30_000)
		done := b.startWaiting(emulator.StreamPath, "a")
		unnamed := remote(30 * time.Second)
		unnamed.Box = ""
		hear(unnamed)
		hear(fleet.Waiting{
			Request: "a",
			Ended:   true,
		})
		b.fill("e-1", 0)
		Expect((<-done).IsComplete).To(BeTrue())
	})

	// Guards against callers that wait in vain instead of trying again later.
	It("ahead for longer than a request has time cause its refusal, with the estimate as Retry-After", func() {
		for i := range 4 {
			b.gateway.HandlePlacement(time.Now(), fleet.Placement{
				Endpoint: "e-1",
				Tokens:   1000,
				Priority: routing.Priority{
					Customer: 1,
					Route:    3,
				},
			})
			m := remote(30 * time.Second)
			m.Request = fmt.Sprintf("r%d", i)
			m.Tokens = 3000
			hear(m)
		}
		o := <-b.start(context.Background(), emulator.StreamPath, "a")
		Expect(o.Status).To(Equal(http.StatusServiceUnavailable))
		after, err := strconv.ParseFloat(o.RetryAfter, 64)
		Expect(err).NotTo(HaveOccurred())
		// 12,000 tokens ahead, and 4,000 in the window of 2 s.
		Expect(after).To(And(BeNumerically(">=", 4.5), BeNumerically("<=", 8)))
		Expect(b.engine.Runs()).To(BeEmpty())
		line := b.log.FilterMessage("refused").All()[0].ContextMap()
		Expect(line["estimate"]).To(BeNumerically("~", 6*time.Second, 500*time.Millisecond))
		Expect(b.waitMessages()).To(BeEmpty())
	})
})

var _ = Describe("a service whose routes leave no time to wait", func() {
	It("gets its requests at once, without messages about them", func() {
		b := newWaitBed()
		b.publish(3, func(d *emulator.Document) {
			for _, r := range d.Routes {
				r["targetLatencyMs"] = 300
			}
		})
		b.fill("e-1", 30_000)
		Expect((<-b.start(context.Background(), emulator.StreamPath, "a")).IsComplete).To(BeTrue())
		Expect(b.waitMessages()).To(BeEmpty())
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, p := range b.sent {
			Expect(p.Priority).To(BeZero())
		}
	})
})
