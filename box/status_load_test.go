package box_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/box"
	"dillsaddle.example/dillsaddle/commands"
	"dillsaddle.example/dillsaddle/platform/emulator"
)

// Guards against a status that shows no load while requests wait, when operators need it most.
var _ = Describe("the status of a box whose engine is full", func() {
	const memory = 600
	tokens := emulator.Tokens{
		Prompt:    250,
		MaxOutput: 80,
	}

	It("shows the request that waits, the engine's load and pace, and the class of its pace", func() {
		options := emulator.WithCompetingRoutes(memory)
		d, err := emulator.NewDeployment(options)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		d.Publish(emulator.NewDocument(2, options))
		engine := addServer(d, "e-1", emulator.ModelService)
		engine.MemoryTokens = memory
		engine.Events, engine.EventInterval = 20, 50*time.Millisecond
		engine.SetSlowdown(100)
		b := startReadyBoxes(d, 1)[0]
		done := make(chan emulator.Outcome, 3)
		start := func(id string) {
			go func() {
				done <- b.caller.Do(context.Background(), emulator.Call{
					ID:       id,
					Method:   http.MethodPost,
					Path:     emulator.StreamPath,
					Body:     id,
					Deadline: 15 * time.Second,
					Tokens:   tokens,
				})
			}()
		}
		read := func() box.Status {
			var s box.Status
			Expect(json.Unmarshal([]byte(b.get("/status")), &s)).To(Succeed())
			return s
		}
		// The first stream teaches the box that the engine reports slowdowns.
		start("first")
		Expect((<-done).IsComplete).To(BeTrue())
		start("second")
		Eventually(func() int { return len(engine.Runs()) }).WithTimeout(waitTimeout).Should(Equal(2))
		start("third")
		var s box.Status
		Eventually(func() int { s = read(); return s.Waiting.Own }).WithTimeout(waitTimeout).Should(Equal(1))
		Expect(s.Waiting.Requests).To(HaveLen(1))
		w := s.Waiting.Requests[0]
		Expect(w.Request).To(Equal("third"))
		Expect(w.Route).To(Equal("stream"))
		Expect(time.ParseDuration(w.Wait)).To(BeNumerically("<", 5*time.Second))
		Expect(s.Engines).To(HaveLen(1))
		Expect(s.Engines[0].Endpoint).To(HavePrefix("e-1"))
		Expect(s.Engines[0].Estimated).To(BeNumerically(">", 0.4))
		Expect(s.Engines[0].Sensitive).To(Equal(1))
		Expect((<-done).IsComplete).To(BeTrue())
		Expect((<-done).IsComplete).To(BeTrue())
		// Idle engines report their memory as well.
		Eventually(func() *float64 { s = read(); return s.Engines[0].Reported }).WithTimeout(waitTimeout).ShouldNot(BeNil())
		Expect(s.Waiting.Own).To(BeZero())
		Expect(time.ParseDuration(s.Engines[0].Pace)).To(BeNumerically("~", 50*time.Millisecond, 25*time.Millisecond))
		Expect(s.PaceClasses).To(HaveLen(1))
		Expect(s.PaceClasses[0]).To(And(
			HaveField("Service", emulator.ModelService),
			HaveField("RelativePace", "1.00"),
			HaveField("Engines", 1),
		))
		var shown bytes.Buffer
		Expect(commands.Run([]string{"status", b.statusAddr}, &shown)).To(BeZero())
		Expect(shown.String()).To(MatchRegexp(`engines +1\.00 +1 +`))
	})
})
