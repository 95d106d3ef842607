package box_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

var _ = Describe("requests that wait for room at several boxes", func() {
	// Guards against boxes that each send their own requests when an engine has room for one.
	It("are sent in one order, since the boxes know of each other's", func() {
		d := newDeployment()
		document := emulator.NewDocument(2)
		for _, r := range document.Routes {
			switch r["name"] {
			case "stream":
				r["targetLatencyMs"] = 8000
			case "resumable":
				r["targetLatencyMs"] = 1500
			}
		}
		d.Publish(document)
		engine := addServer(d, "e-1", emulator.ModelService)
		engine.WorkTime = 3 * time.Second // as long as the first prompt's prefill at the initial rate
		boxes := startReadyBoxes(d, 5)
		for _, b := range boxes {
			Eventually(func() string { return b.get("/status") }).WithTimeout(waitTimeout).Should(ContainSubstring(`"sharers":5`))
		}
		time.Sleep(time.Second) // boxes need a moment to form a group after they meet
		done := make(chan emulator.Outcome, 6)
		start := func(b *testBox, id string, prompt int) {
			go func() {
				done <- b.caller.Do(context.Background(), emulator.Call{
					ID:       id,
					Method:   http.MethodPost,
					Path:     emulator.StreamPath,
					Body:     id,
					Deadline: 25 * time.Second,
					Tokens: emulator.Tokens{
						Prompt:    prompt,
						MaxOutput: 10,
					},
				})
			}()
			time.Sleep(200 * time.Millisecond)
		}
		start(boxes[0], "first", 24_000)
		start(boxes[1], "second", 8000)
		for _, i := range []int{0, 2, 3, 4} {
			start(boxes[i], fmt.Sprintf("later-%d", i), 100)
		}
		for range cap(done) {
			Expect((<-done).IsComplete).To(BeTrue())
		}
		runs := engine.Runs()
		Expect(runs).To(HaveLen(cap(done)))
		Expect(runs[1].ID).To(Equal("second"))
		Expect(runs[1].StartedAt.Sub(runs[0].StartedAt)).To(BeNumerically(">", 2*time.Second))
		// The second prompt takes a second to prefill.
		for _, later := range runs[2:] {
			Expect(later.StartedAt.Sub(runs[1].StartedAt)).To(BeNumerically(">", 500*time.Millisecond), later.ID)
		}
	})
})
