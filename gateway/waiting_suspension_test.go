package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

var _ = Describe("a waiting request of a box that is suspended", func() {
	var b *waitBed
	BeforeEach(func() {
		b = newWaitBed()
		b.fill("e-1", 30_000)
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
})
