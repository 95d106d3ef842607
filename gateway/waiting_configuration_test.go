package gateway_test

import (
	"bytes"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// The configuration may change while a request waits; the one in force when it is sent decides.
var _ = Describe("a waiting request under a new configuration", func() {
	var b *waitBed
	BeforeEach(func() {
		b = newWaitBed()
		b.fill("e-1", 30_000)
	})

	DescribeTable("is resolved again when the configuration changes:",
		func(status int, change func(*emulator.Document)) {
			done := b.startWaiting(emulator.StreamPath, "a")
			b.publish(3, change)
			b.fill("e-1", 0)
			Expect((<-done).Status).To(Equal(status))
			Expect(b.engine.Runs()).To(BeEmpty())
			Expect(b.outcomes("a")).To(Equal([]string{"withdrawn"}))
			b.expectEnded()
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
		b.expectEnded()
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
		b.expectEnded()
	})

	It("waits on under a new configuration that changes nothing for it", func() {
		done := b.startWaiting(emulator.StreamPath, "a")
		b.publish(3, func(*emulator.Document) {})
		Eventually(func() []string { return b.outcomes("a") }).Should(Equal([]string{"resolved"}))
		b.expectWaiting("a")
		b.fill("e-1", 0)
		Expect((<-done).IsComplete).To(BeTrue())
		Expect(b.engine.Runs()).To(HaveLen(1))
		b.expectEnded()
	})

	// Guards against a second run where an engine refused the request before its wait.
	It("that was refused by an engine follows the new rules on repeats", func() {
		refusing, third := b.add("e-2", emulator.ModelService), b.add("e-3", emulator.ModelService)
		refusing.SetFault(emulator.Shed, 1)
		b.fill("e-2", 0)
		b.fill("e-3", 30_000)
		done := b.startWaiting(emulator.ResumePath, "a")
		Expect(refusing.Runs()).To(BeEmpty())
		for _, s := range []*emulator.Server{b.engine, third} {
			s.CrashBody = "prompt a"
		}
		b.publish(3, runOnce)
		b.fill("e-1", 0)
		b.fill("e-3", 0)
		Expect((<-done).Status).To(Equal(http.StatusBadGateway))
		Expect(b.deployment.Runs()["a"]).To(HaveLen(1))
	})

	// Guards against begins and ends of waits that operators can't match.
	It("is logged and counted with the route by which it waited", func() {
		done := b.startWaiting(emulator.StreamPath, "a")
		b.publish(3, func(d *emulator.Document) {
			for _, r := range d.Routes {
				if r["name"] == "stream" {
					r["name"] = "renamed"
				}
			}
		})
		Eventually(func() []string { return b.outcomes("a") }).Should(Equal([]string{"resolved"}))
		b.fill("e-1", 0)
		Expect((<-done).IsComplete).To(BeTrue())
		var begins, ends []any
		for _, line := range b.log.FilterMessage("waiting for room").All() {
			begins = append(begins, line.ContextMap()["route"])
		}
		for _, line := range b.log.FilterMessage("waited for room").All() {
			ends = append(ends, line.ContextMap()["route"])
		}
		Expect(begins).To(Equal([]any{"stream", "renamed"}))
		Expect(ends).To(Equal(begins))
		var shown bytes.Buffer
		metrics.WritePrometheus(&shown, false)
		Expect(shown.String()).To(And(
			ContainSubstring(`dillsaddle_waits_total{route="stream",outcome="resolved"}`),
			Not(ContainSubstring(`dillsaddle_waits_total{route="renamed",outcome="resolved"}`)),
		))
	})
})
