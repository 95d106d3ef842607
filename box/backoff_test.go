package box_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// Guards against boxes that keep sending to an overloaded endpoint during the backoff that
// it asked for with a refusal.
var _ = Describe("an endpoint that asks a box to back off", func() {
	const (
		backoff = 3 * time.Second
		// inFlightTime is how long requests sent before the refusal may still arrive, and
		// maxDuringBackoff how many may arrive during the rest of the backoff.
		inFlightTime     = 500 * time.Millisecond
		maxDuringBackoff = 2
	)
	var d *emulator.Deployment
	var boxes []*testBox
	BeforeEach(func() { d = newDeployment() })
	add := func(id, service string) *emulator.Server { return addServer(d, id, service) }
	start := func(n int) { boxes = startReadyBoxes(d, n) }
	// sender returns the box that sent a request; runLoad puts its number into the ID.
	sender := func(a emulator.Arrival) string { return strings.SplitN(a.ID, "-", 2)[0] }
	// maxRequestsDuringBackoff returns the most requests that one box sent during a
	// backoff that it had been asked for.
	maxRequestsDuringBackoff := func(all []emulator.Arrival) int {
		worst := 0
		for _, refused := range all {
			n := 0
			for _, a := range all {
				after := a.At.Sub(refused.RefusedAt)
				if refused.Backoff > 0 && sender(a) == sender(refused) && after > inFlightTime && after < refused.Backoff {
					n++
				}
			}
			worst = max(worst, n)
		}
		return worst
	}

	It("gets no requests during the backoff while another endpoint serves", func() {
		begin := time.Now()
		overloaded, other := add("i-tired", emulator.PlainService), add("i-other", emulator.PlainService)
		other.SetFault(emulator.InternalError, -1) // all its answers are failures, so it ranks lower
		start(2)
		overloaded.SetStatusHeaders(emulator.StatusHeaders{Backoff: backoff})
		overloaded.SetFault(emulator.Shed, 4)
		got := runLoad(boxes, backoff)
		Expect(got).To(HaveKey(http.StatusInternalServerError))
		Expect(maxRequestsDuringBackoff(overloaded.Arrivals(begin))).To(BeNumerically("<=", maxDuringBackoff))
		other.SetFault(emulator.NoFault, 0)
		Eventually(func() map[int]int { return runLoad(boxes, time.Second) }).WithTimeout(waitTimeout).Should(HaveLen(1))
		Eventually(func() int { runLoad(boxes, 300*time.Millisecond); return len(overloaded.Runs()) }).WithTimeout(waitTimeout).Should(BeNumerically(">", 0), "it serves again after the backoff")
	})

	It("gets no requests when it is the only endpoint; they are refused at once as not run", func() {
		begin := time.Now()
		overloaded := add("i-tired", emulator.PlainService)
		start(1)
		overloaded.SetStatusHeaders(emulator.StatusHeaders{Backoff: backoff})
		overloaded.SetFault(emulator.Shed, 1)
		Expect(boxes[0].call("c0-first").Status).To(Equal(http.StatusServiceUnavailable))
		o := boxes[0].call("c0-second")
		Expect(o).To(And(HaveField("Status", http.StatusServiceUnavailable), HaveField("Elapsed", BeNumerically("<", 200*time.Millisecond))))
		Expect(o.RetryAfter).To(MatchRegexp(`^[1-4](\.\d+)?$`), "Retry-After is the end of the backoff")
		runLoad(boxes, backoff-inFlightTime)
		Expect(maxRequestsDuringBackoff(overloaded.Arrivals(begin))).To(BeNumerically("<=", maxDuringBackoff))
		Eventually(func() int { return boxes[0].call("c0-later").Status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	})

	It("gets no streams, moves or load queries if it is an engine", func() {
		overloaded := add("e-tired", emulator.ModelService)
		overloaded.Events = 80
		overloaded.EventInterval = 50 * time.Millisecond
		start(1)
		time.Sleep(time.Second)
		ended := make(chan emulator.Outcome, 1)
		stream := func(id string) emulator.Outcome {
			return boxes[0].caller.Do(context.Background(), emulator.Call{
				ID:       id,
				Method:   http.MethodPost,
				Path:     emulator.StreamPath,
				Deadline: 10 * time.Second,
				Tokens: emulator.Tokens{
					Prompt:    100,
					MaxOutput: 200,
				},
			})
		}
		go func() { ended <- stream("long") }()
		Eventually(func() int { return len(overloaded.Runs()) }).WithTimeout(waitTimeout).Should(Equal(1))
		add("e-other", emulator.ModelService)
		Eventually(func() string { return boxes[0].get("/status") }).WithTimeout(waitTimeout).Should(ContainSubstring(fmt.Sprintf(`"list_changed":%d,`, d.Store.Revision())))
		overloaded.SetStatusHeaders(emulator.StatusHeaders{Backoff: backoff})
		overloaded.SetFault(emulator.Shed, 1)
		refused := ContainElement(HaveField("Backoff", backoff))
		for i := 0; ; i++ {
			Expect(stream(fmt.Sprintf("short-%d", i))).To(HaveField("Status", http.StatusOK))
			if met, _ := refused.Match(overloaded.Arrivals(time.Time{})); met {
				break
			}
		}
		from := time.Now().Add(inFlightTime)
		time.Sleep(backoff - 4*inFlightTime)
		d.PutEntry(overloaded, emulator.ModelService, "draining") // without the backoff, its run would be moved now
		time.Sleep(3 * inFlightTime)
		Expect(len(overloaded.Arrivals(from))).To(BeNumerically("<=", maxDuringBackoff), "%v", overloaded.Arrivals(from))
		Expect(<-ended).To(HaveField("IsComplete", true))
	})
})
