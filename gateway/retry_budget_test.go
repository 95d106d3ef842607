package gateway_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/gateway"
	"dillsaddle.example/dillsaddle/platform/emulator"
)

var _ = Describe("a box that is asked to transfer sends of its retry budget", func() {
	// Ten boxes share a slack of 50.
	shared := gateway.WithBudgetShare(func() core.BudgetShare { return core.BudgetShare{Boxes: 10} })
	const share = 5
	// totalTransferred returns how many sends the box transfers when asked repeatedly.
	totalTransferred := func(b *testbed) int {
		total := 0
		for range 20 {
			total += b.gateway.TransferOut(time.Now(), emulator.ModelService, 1)
			time.Sleep(10 * time.Millisecond)
		}
		return total
	}

	It("transfers its whole share when it has no streams", func() {
		b := newTestbedWith(true, shared)
		b.add("e-1", emulator.ModelService)
		Expect(totalTransferred(b)).To(Equal(share))
	})

	It("keeps one send when it has a stream", func() {
		b := newTestbedWith(true, shared)
		s := b.add("e-1", emulator.ModelService)
		s.Events = 1000
		s.EventInterval = 20 * time.Millisecond
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go b.caller.Do(ctx, emulator.Call{
			ID:       "s1",
			Method:   http.MethodPost,
			Path:     emulator.StreamPath + "x",
			Deadline: 20 * time.Second,
		})
		Eventually(s.Runs).Should(HaveLen(1))
		Expect(totalTransferred(b)).To(Equal(share - 1))
	})
})
