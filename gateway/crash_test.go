package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

var _ = Describe("repeats of a request", func() {
	const deadly = "no endpoint survives this"
	var b *testbed
	BeforeEach(func() { b = newTestbed() })

	// keepServing starts servers until count are running, replacing those that crashed.
	endpoints := 0
	var serving []*emulator.Server
	keepServing := func(service string, count int) {
		for len(b.deployment.Stopped())+count > endpoints {
			s := b.add(fmt.Sprintf("i-%d", endpoints), service)
			s.CrashBody = deadly
			serving = append(serving, s)
			endpoints++
		}
	}
	BeforeEach(func() {
		endpoints = 0
		serving = nil
	})
	stream := func(id, body string) emulator.Outcome {
		return b.caller.Do(context.Background(), emulator.Call{
			ID:       id,
			Method:   http.MethodPost,
			Path:     emulator.StreamPath,
			Body:     body,
			Deadline: 5 * time.Second,
		})
	}

	It("that crash every endpoint are sent three times and then quarantined", func() {
		for n := range 8 {
			keepServing(emulator.ModelService, 3)
			o := stream(fmt.Sprintf("r%d", n), deadly)
			if n < 3 {
				Expect(o.Status).To(Equal(http.StatusBadGateway))
				continue
			}
			Expect(o.Status).To(Equal(http.StatusServiceUnavailable))
			Expect(o.RetryAfter).To(Equal("600"))
		}
		Expect(b.deployment.Stopped()).To(HaveLen(3))
		Expect(b.deployment.Runs()).To(HaveLen(3))
	})

	It("that crash every endpoint are not retried by the box either once three crashed", func() {
		for n := range 6 {
			keepServing(emulator.PlainService, 3)
			b.call(http.MethodPost, emulator.RepeatPath, fmt.Sprintf("r%d", n), deadly)
		}
		Expect(b.deployment.Stopped()).To(HaveLen(3))
	})

	// The caller of a silent stream leaves before the request's deadline.
	It("that make every endpoint fall silent are quarantined once three did", func() {
		for n := range 3 {
			keepServing(emulator.ModelService, 3)
			Expect(stream(fmt.Sprintf("well-%d", n), "another prompt").IsComplete).To(BeTrue())
		}
		for n := range 3 {
			for _, s := range serving {
				s.CrashSilently = true
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				b.caller.Do(ctx, emulator.Call{
					ID:       fmt.Sprintf("dark-%d", n),
					Method:   http.MethodPost,
					Path:     emulator.StreamPath,
					Body:     deadly,
					Deadline: 5 * time.Second,
				})
			}()
			Eventually(b.deployment.Stopped).Should(HaveLen(n + 1))
			Eventually(func() int { return b.crashCount(fmt.Sprintf("dark-%d", n)) }).Should(Equal(1))
			cancel()
			<-done
			keepServing(emulator.ModelService, 3)
		}
		Expect(stream("dark-4", deadly).Status).To(Equal(http.StatusServiceUnavailable))
		Expect(b.deployment.Stopped()).To(HaveLen(3))
	})

	It("are quarantined without those of another path or body", func() {
		for n := range 4 {
			keepServing(emulator.ModelService, 3)
			stream(fmt.Sprintf("r%d", n), deadly)
		}
		keepServing(emulator.ModelService, 3)
		Expect(stream("other-body", "another prompt").IsComplete).To(BeTrue())
		Expect(b.caller.Do(context.Background(), emulator.Call{
			ID:       "other-path",
			Method:   http.MethodPost,
			Path:     emulator.StreamPath + "elsewhere",
			Body:     "another prompt",
			Deadline: 5 * time.Second,
		}).IsComplete).To(BeTrue())
	})

	DescribeTable("that fail without a crash are sent every time, after",
		func(fault emulator.Fault) {
			s := b.add("i-1", emulator.PlainService)
			for n := range 5 {
				s.SetFault(fault, 1)
				Expect(b.call(http.MethodPost, emulator.CallPath, fmt.Sprintf("r%d", n), "body").Status).To(Equal(http.StatusBadGateway))
			}
			Expect(s.Runs()).To(HaveLen(5))
		},
		Entry("a connection reset", emulator.Reset),
		Entry("a truncated answer", emulator.Cut),
		Entry("a malformed answer", emulator.Garble),
	)

	It("whose connection an overloaded endpoint closes are not counted as crashes", func() {
		s := b.add("i-1", emulator.ModelService)
		s.Events, s.EventInterval = 60, 20*time.Millisecond
		done := make(chan emulator.Outcome, 1)
		go func() { done <- stream("long", "a long prompt") }()
		Eventually(s.Runs).Should(HaveLen(1))
		s.RejectConnections()
		Expect(stream("short", "prompt").Status).To(Equal(http.StatusBadGateway))
		Expect((<-done).IsComplete).To(BeTrue())
		Expect(b.crashCount("short")).To(BeZero())
	})

	// Guards against quarantining long streams that continue from one engine to the next
	// while all engines are replaced.
	It("whose endpoint leaves as planned are sent every time", func() {
		for n := range 5 {
			s := b.add(fmt.Sprintf("i-%d", n), emulator.ModelService)
			s.Events, s.EventInterval = 200, 20*time.Millisecond
			done := make(chan emulator.Outcome, 1)
			go func() { done <- stream(fmt.Sprintf("r%d", n), "prompt") }()
			Eventually(s.Runs).Should(HaveLen(1))
			b.deployment.PutEntry(s, emulator.ModelService, "draining")
			b.refresh()
			s.Crash()
			<-done
		}
	})
})
