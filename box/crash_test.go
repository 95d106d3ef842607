package box_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/commands"
	"dillsaddle.example/dillsaddle/platform/emulator"
)

// Guards against a request that crashes every engine it runs on and that a client repeats
// under new IDs at different boxes.
var _ = Describe("a request that crashes every engine that runs it", func() {
	const (
		crashingPrompt = "a prompt that no engine survives"
		repeats        = 14
		// maxCrashes allows for the three crashes of the quarantine's threshold and three
		// more while the boxes notify each other.
		maxCrashes = 6
		// engineCount is the number of engines that run at any time.
		engineCount = 4
	)
	var d *emulator.Deployment
	var boxes []*testBox
	var unlisted map[string]bool
	engines := 0
	addEngine := func() {
		s, err := d.Add(fmt.Sprintf("e-%d", engines), emulator.ModelService)
		Expect(err).NotTo(HaveOccurred())
		s.CrashBody = crashingPrompt
		engines++
	}
	status := func(b *testBox) string { return b.get("/status") }
	// replaceCrashed removes the entries of crashed engines, starts a new engine for each,
	// and waits until all boxes have the new list.
	replaceCrashed := func() {
		for _, id := range d.Stopped() {
			if !unlisted[id] {
				unlisted[id] = true
				d.RemoveEntry(id)
				addEngine()
			}
		}
		for _, b := range boxes {
			Eventually(status).WithArguments(b).WithTimeout(waitTimeout).Should(ContainSubstring(fmt.Sprintf(`"list_changed":%d,`, d.Store.Revision())))
		}
	}
	send := func(b *testBox, path, id, body string) emulator.Outcome {
		return b.caller.Do(context.Background(), emulator.Call{
			ID:       id,
			Method:   http.MethodPost,
			Path:     path,
			Body:     body,
			Deadline: 5 * time.Second,
			Tokens: emulator.Tokens{
				Prompt:    100,
				MaxOutput: 50,
			},
		})
	}
	BeforeEach(func() {
		var err error
		d, err = emulator.NewDeployment()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		engines = 0
		unlisted = make(map[string]bool)
		for range engineCount {
			addEngine()
		}
		boxes = startBoxes(d, 3)
		for _, b := range boxes {
			Expect(emulator.WaitReady(b.settings.Ready, waitTimeout)).To(Succeed())
			Eventually(func() string { return b.get("/status") }).WithTimeout(waitTimeout).Should(ContainSubstring(`"sharers":3`))
			DeferCleanup(b.Stop)
		}
	})

	DescribeTable("is refused by all boxes as not run after three crashes",
		func(path string) {
			for n := range repeats {
				send(boxes[n%len(boxes)], path, fmt.Sprintf("repeat-%d", n), crashingPrompt)
				replaceCrashed()
			}
			Expect(len(d.Stopped())).To(BeNumerically("<=", maxCrashes), "engines crashed: %v", d.Stopped())
			for i, b := range boxes {
				id := fmt.Sprintf("late-%d", i)
				Expect(send(b, path, id, crashingPrompt)).To(And(
					HaveField("Status", http.StatusServiceUnavailable),
					HaveField("RetryAfter", Not(BeEmpty())),
				))
				Expect(d.Runs()).NotTo(HaveKey(id))
				Expect(send(b, emulator.StreamPath, fmt.Sprintf("well-%d", i), "another prompt")).To(HaveField("IsComplete", true))
				var shown bytes.Buffer
				Expect(commands.Run([]string{"status", b.statusAddr}, &shown)).To(BeZero())
				Expect(shown.String()).To(MatchRegexp(`REQUEST KEPT FROM ENDPOINTS.*\n[0-9a-f]{32} .*e-`))
			}
		},
		Entry("on a route whose requests run at most once", emulator.StreamPath),
		Entry("on a route with resumable streams", emulator.ResumePath),
	)
})
