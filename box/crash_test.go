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

// Callers of a fleet of eight boxes lost their streams for twelve seconds: one customer's
// client sent a summary request again and again, to any box, and each engine that began
// to run it ended, with all its streams; eleven engines in all. The client sent it each
// time under a new id, by which alone a box knew it, and until its answer only: to every
// box the eleventh looked like the first. The evidence: eleven ids, each sent once, by six
// boxes, of one customer and route, each broken off 0.24 s after it was sent with its
// engine's port closed, and all of one content.
var _ = Describe("a request that ends every engine that runs it", func() {
	const (
		deadly  = "a prompt that no engine survives"
		repeats = 14
		// endsMost are the engines that may end: the three that prove it, and three more
		// while word of them travels.
		endsMost = 6
		// serving is how many engines there are at any time.
		serving = 4
	)
	var d *emulator.Deployment
	var boxes []*started
	var unlisted map[string]bool
	engines := 0
	addEngine := func() {
		s, err := d.Add(fmt.Sprintf("e-%d", engines), emulator.ModelService)
		Expect(err).NotTo(HaveOccurred())
		s.CrashBody = deadly
		engines++
	}
	list := func(b *started) string { return b.get("/status") }
	// replaceEnded takes the entries of engines that ended away, starts another one for
	// each, and waits until all boxes know that.
	replaceEnded := func() {
		for _, id := range d.Stopped() {
			if !unlisted[id] {
				unlisted[id] = true
				d.Unlist(id)
				addEngine()
			}
		}
		for _, b := range boxes {
			Eventually(list).WithArguments(b).WithTimeout(patience).Should(ContainSubstring(fmt.Sprintf(`"list_changed":%d,`, d.Store.Revision())))
		}
	}
	send := func(b *started, path, id, body string) emulator.Outcome {
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
		for range serving {
			addEngine()
		}
		boxes = startBoxes(d, 3)
		for _, b := range boxes {
			Expect(emulator.WaitReady(b.settings.Ready, patience)).To(Succeed())
			Eventually(func() string { return b.get("/status") }).WithTimeout(patience).Should(ContainSubstring(`"sharers":3`))
			DeferCleanup(b.Stop)
		}
	})

	DescribeTable("is refused by all boxes once three have ended, as not run",
		func(path string) {
			for n := range repeats {
				send(boxes[n%len(boxes)], path, fmt.Sprintf("repeat-%d", n), deadly)
				replaceEnded()
			}
			Expect(len(d.Stopped())).To(BeNumerically("<=", endsMost), "engines ended: %v", d.Stopped())
			for i, b := range boxes {
				id := fmt.Sprintf("late-%d", i)
				Expect(send(b, path, id, deadly)).To(And(
					HaveField("Status", http.StatusServiceUnavailable),
					HaveField("RetryAfter", Not(BeEmpty())),
				))
				Expect(d.Runs()).NotTo(HaveKey(id))
				Expect(send(b, emulator.StreamPath, fmt.Sprintf("well-%d", i), "another prompt")).To(HaveField("IsComplete", true))
				var shown bytes.Buffer
				Expect(commands.Run([]string{"status", b.operators}, &shown)).To(BeZero())
				Expect(shown.String()).To(MatchRegexp(`REQUEST KEPT FROM ENDPOINTS.*\n[0-9a-f]{32} .*e-`))
			}
		},
		Entry("when it may run once", emulator.StreamPath),
		Entry("when its stream may be resumed", emulator.ResumePath),
	)
})
