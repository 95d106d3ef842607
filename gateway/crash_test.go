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
	var b *bench
	BeforeEach(func() { b = newBench() })

	// serve keeps some endpoints of a service there; each one that ended has another in
	// its place.
	endpoints := 0
	var serving []*emulator.Server
	serve := func(service string, most int) {
		for len(b.deployment.Stopped())+most > endpoints {
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

	It("that ends each endpoint are sent on three times, and not run from then on", func() {
		for n := range 8 {
			serve(emulator.ModelService, 3)
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

	It("that ends each endpoint are not sent to another one by the box either, once three ended", func() {
		for n := range 6 {
			serve(emulator.PlainService, 3)
			b.call(http.MethodPost, emulator.RepeatPath, fmt.Sprintf("r%d", n), deadly)
		}
		Expect(b.deployment.Stopped()).To(HaveLen(3))
	})

	// Callers leave a silent stream before its own time is over.
	It("that silence each endpoint are not run either, once three fell silent", func() {
		for n := range 3 {
			serve(emulator.ModelService, 3)
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
			Eventually(func() int { return b.ends(fmt.Sprintf("dark-%d", n)) }).Should(Equal(1))
			cancel()
			<-done
			serve(emulator.ModelService, 3)
		}
		Expect(stream("dark-4", deadly).Status).To(Equal(http.StatusServiceUnavailable))
		Expect(b.deployment.Stopped()).To(HaveLen(3))
	})

	It("of another customer, path or body are served meanwhile", func() {
		for n := range 4 {
			serve(emulator.ModelService, 3)
			stream(fmt.Sprintf("r%d", n), deadly)
		}
		serve(emulator.ModelService, 3)
		Expect(stream("other-body", "another prompt").IsComplete).To(BeTrue())
		Expect(b.caller.Do(context.Background(), emulator.Call{
			ID:       "other-path",
			Method:   http.MethodPost,
			Path:     emulator.StreamPath + "elsewhere",
			Body:     "another prompt",
			Deadline: 5 * time.Second,
		}).IsComplete).To(BeTrue())
	})

	DescribeTable("whose endpoint stays are sent on each time after",
		func(fault emulator.Fault) {
			s := b.add("i-1", emulator.PlainService)
			for n := range 5 {
				s.SetFault(fault, 1)
				Expect(b.call(http.MethodPost, emulator.CallPath, fmt.Sprintf("r%d", n), "body").Status).To(Equal(http.StatusBadGateway))
			}
			Expect(s.Runs()).To(HaveLen(5))
		},
		Entry("a reset", emulator.Reset),
		Entry("an answer that breaks off", emulator.Cut),
		Entry("bytes that are no answer", emulator.Garble),
	)

	It("that a crowded endpoint closes the connection of say nothing against them", func() {
		s := b.add("i-1", emulator.ModelService)
		s.Events, s.EventInterval = 60, 20*time.Millisecond
		done := make(chan emulator.Outcome, 1)
		go func() { done <- stream("long", "a long prompt") }()
		Eventually(s.Runs).Should(HaveLen(1))
		s.RejectConnections()
		Expect(stream("short", "prompt").Status).To(Equal(http.StatusBadGateway))
		Expect((<-done).IsComplete).To(BeTrue())
		Expect(b.ends("short")).To(BeZero())
	})

	// A planned end says nothing against what ran there, such as a long stream that goes
	// on at one engine after the other while all are replaced.
	It("that an endpoint cuts as it leaves are sent on each time", func() {
		for n := range 5 {
			s := b.add(fmt.Sprintf("i-%d", n), emulator.ModelService)
			s.Events, s.EventInterval = 200, 20*time.Millisecond
			done := make(chan emulator.Outcome, 1)
			go func() { done <- stream(fmt.Sprintf("r%d", n), "prompt") }()
			Eventually(s.Runs).Should(HaveLen(1))
			b.deployment.List(s, emulator.ModelService, "draining")
			b.refresh()
			s.Crash()
			<-done
		}
	})
})
