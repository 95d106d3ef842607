package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
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

// A wait is an additional state in which a request may be lost, sent twice, or answered wrongly.
var _ = Describe("a waiting request", func() {
	var b *waitBed
	BeforeEach(func() {
		b = newWaitBed()
		b.fill("e-1", 30_000)
	})
	// expectEnded checks that the group was notified of as many ends of waits as of begins.
	expectEnded := func() {
		GinkgoHelper()
		balance := 0
		for _, m := range b.waitMessages() {
			if m.Ended {
				balance--
			} else {
				balance++
			}
		}
		Expect(balance).To(BeZero())
		Expect(b.gateway.Waiting().Own).To(BeEmpty())
	}

	It("is dropped when its caller disconnects", func() {
		ctx, cancel := context.WithCancel(context.Background())
		b.start(ctx, emulator.StreamPath, "a")
		b.expectWaiting("a")
		cancel()
		b.expectWaiting()
		Eventually(func() []string { return b.outcomes("a") }).Should(Equal([]string{"left"}))
		b.fill("e-1", 0)
		Consistently(b.engine.Runs, "100ms").Should(BeEmpty())
		expectEnded()
	})

	It("is answered as not run when its deadline passes, here by a suspension", func() {
		done := b.startWaiting(emulator.StreamPath, "a")
		b.gateway.HandleSuspension(time.Minute)
		o := <-done
		Expect(o.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(b.outcomes("a")).To(Equal([]string{"expired"}))
		Expect(b.engine.Runs()).To(BeEmpty())
		expectEnded()
	})

	// Guards against other boxes that overtake the requests of a box which they suspected during
	// its suspension, and whose waits they dropped.
	It("is announced again after a suspension, with the times that are left", func() {
		done := b.startWaiting(emulator.StreamPath, "a")
		b.gateway.HandleSuspension(500 * time.Millisecond)
		all := b.waitMessages()
		Expect(all).To(HaveLen(2))
		first, again := all[0], all[1]
		Expect(again.DueIn).To(And(BeNumerically("<=", first.DueIn-500*time.Millisecond), BeNumerically(">", first.DueIn-time.Second)))
		Expect(again.Limit).To(And(BeNumerically("<=", first.Limit-500*time.Millisecond), BeNumerically(">", first.Limit-time.Second)))
		again.DueIn, again.Limit = first.DueIn, first.Limit
		Expect(again).To(Equal(first))
		b.fill("e-1", 0)
		Expect((<-done).IsComplete).To(BeTrue())
		all = b.waitMessages()
		Expect(all).To(HaveLen(3))
		Expect(all[2]).To(And(HaveField("Request", "a"), HaveField("Ended", true)))
	})

	// Guards against unsynchronized access to the times of a wait, which the race detector finds.
	It("may begin to wait at the moment of a suspension", func() {
		stop := make(chan struct{})
		var suspending sync.WaitGroup
		suspending.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					b.gateway.HandleSuspension(time.Microsecond)
				}
			}
		})
		var all []<-chan emulator.Outcome
		for i := range 20 {
			all = append(all, b.start(context.Background(), emulator.StreamPath, fmt.Sprintf("a-%d", i)))
		}
		Eventually(func() int { return len(b.gateway.Waiting().Own) }).Should(Equal(len(all)))
		close(stop)
		suspending.Wait()
		b.fill("e-1", 0)
		for _, done := range all {
			Expect((<-done).IsComplete).To(BeTrue())
		}
	})

	DescribeTable("is resolved again when the configuration changes:",
		func(status int, change func(*emulator.Document)) {
			done := b.startWaiting(emulator.StreamPath, "a")
			b.publish(3, change)
			b.fill("e-1", 0)
			Expect((<-done).Status).To(Equal(status))
			Expect(b.engine.Runs()).To(BeEmpty())
			Expect(b.outcomes("a")).To(Equal([]string{"withdrawn"}))
			expectEnded()
		},
		Entry("a revoked key gets 401", http.StatusUnauthorized, func(d *emulator.Document) {
			d.Tenants[0]["apiKeys"] = []string{"another key"}
		}),
		Entry("a removed route gets 404", http.StatusNotFound, func(d *emulator.Document) {
			for _, r := range d.Routes {
				if r["name"] == "stream" {
					r["pathPrefix"] = "/elsewhere/"
				}
			}
		}),
		Entry("a removed service gets 503", http.StatusServiceUnavailable, func(d *emulator.Document) {
			for _, r := range d.Routes {
				r["service"] = "unknown"
			}
		}),
	)

	It("is sent to its route's new service", func() {
		done := b.startWaiting(emulator.StreamPath, "a")
		other, err := b.deployment.Add("o-1", "others")
		Expect(err).NotTo(HaveOccurred())
		b.publish(3, func(d *emulator.Document) {
			d.Services = append(d.Services, map[string]any{"name": "others", "healthPath": "/health", "maxConns": 100})
			for _, r := range d.Routes {
				if r["name"] == "stream" {
					r["service"] = "others"
				}
			}
		})
		Expect((<-done).IsComplete).To(BeTrue())
		Expect(other.Runs()).To(HaveLen(1))
		Expect(b.engine.Runs()).To(BeEmpty())
		expectEnded()
	})

	// runOnce makes resumable streams ones that must run only once.
	runOnce := func(d *emulator.Document) {
		for _, r := range d.Routes {
			if r["name"] == "resumable" {
				r["resumable"] = false
				r["maxAttempts"] = 1
			}
		}
	}

	// Guards against a second run under rules that no longer permit one.
	It("that was not sent yet follows the new rules on repeats", func() {
		done := b.startWaiting(emulator.ResumePath, "a")
		second := b.add("e-2", emulator.ModelService)
		b.fill("e-2", 30_000)
		for _, s := range []*emulator.Server{b.engine, second} {
			s.CrashBody = "prompt a"
		}
		b.publish(3, runOnce)
		b.fill("e-1", 0)
		b.fill("e-2", 0)
		Expect((<-done).Status).To(Equal(http.StatusBadGateway))
		Expect(b.deployment.Runs()["a"]).To(HaveLen(1))
	})

	It("that may have run is not sent again once the new rules forbid it, nor answered as not run", func() {
		second := b.add("e-2", emulator.ModelService)
		b.fill("e-2", 0)
		second.CrashBody = "prompt a"
		done := b.startWaiting(emulator.ResumePath, "a")
		Expect(second.Runs()).To(HaveLen(1))
		b.publish(3, runOnce)
		Expect((<-done).Status).To(Equal(http.StatusBadGateway))
		Expect(b.engine.Runs()).To(BeEmpty())
		expectEnded()
	})

	It("waits on under a new configuration that changes nothing for it", func() {
		done := b.startWaiting(emulator.StreamPath, "a")
		b.publish(3, func(*emulator.Document) {})
		Eventually(func() []string { return b.outcomes("a") }).Should(Equal([]string{"resolved"}))
		b.expectWaiting("a")
		b.fill("e-1", 0)
		Expect((<-done).IsComplete).To(BeTrue())
		Expect(b.engine.Runs()).To(HaveLen(1))
		expectEnded()
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
		expectEnded()
	})

	It("is sent at once regardless of room when the box stops, and later ones don't wait", func() {
		done := b.startWaiting(emulator.StreamPath, "a")
		b.gateway.Stop(time.Now().Add(10 * time.Second))
		Eventually(b.engine.Runs, "200ms").Should(HaveLen(1))
		Expect((<-done).IsComplete).To(BeTrue())
		Expect(b.outcomes("a")).To(Equal([]string{"stopping"}))
		Expect((<-b.start(context.Background(), emulator.StreamPath, "b")).IsComplete).To(BeTrue())
		Expect(b.outcomes("b")).To(BeEmpty())
		expectEnded()
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

	It("waits again after an engine's refusal, and runs once", func() {
		second := b.add("e-2", emulator.ModelService)
		second.SetFault(emulator.Shed, 1)
		b.fill("e-2", 0)
		done := b.startWaiting(emulator.StreamPath, "a")
		b.fill("e-1", 0)
		Expect((<-done).IsComplete).To(BeTrue())
		Expect(b.engine.Runs()).To(HaveLen(1))
		Expect(second.Runs()).To(BeEmpty())
		expectEnded()
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
