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

// An endpoint in trouble turned requests away and told each box for how long it wants none
// from it. Boxes came back within a second or two, again and again, and with all they had
// once it served one: what should have given it rest kept it in trouble, and callers'
// retries were spent there. A refusal counted as any failure, whose weight fades within
// three seconds; the time that came with it was not read. The evidence: the boxes were
// back 0.3 to 4.7 s after each of 30 refusals, and by load, not by time.
var _ = Describe("an endpoint that asks a box for rest", func() {
	const (
		rest = 3 * time.Second
		// settle is how long requests that were under way may still arrive; most is how
		// many may within the rest.
		settle = 500 * time.Millisecond
		most   = 2
	)
	var d *emulator.Deployment
	var boxes []*started
	BeforeEach(func() { d = newDeployment() })
	add := func(id, service string) *emulator.Server { return addTo(d, id, service) }
	start := func(n int) { boxes = startReady(d, n) }
	// sender gives the box that sent a request: load puts its number into the id.
	sender := func(a emulator.Arrival) string { return strings.SplitN(a.ID, "-", 2)[0] }
	// disturbed gives the most requests that came within one rest from the box that it was
	// asked of.
	disturbed := func(all []emulator.Arrival) int {
		worst := 0
		for _, refused := range all {
			n := 0
			for _, a := range all {
				after := a.At.Sub(refused.RefusedAt)
				if refused.Backoff > 0 && sender(a) == sender(refused) && after > settle && after < refused.Backoff {
					n++
				}
			}
			worst = max(worst, n)
		}
		return worst
	}

	It("gets it, and the others serve", func() {
		begin := time.Now()
		tired, other := add("i-tired", emulator.PlainService), add("i-other", emulator.PlainService)
		other.SetFault(emulator.InternalError, -1) // the worse of the two, by its failures
		start(2)
		tired.SetStatusHeaders(emulator.StatusHeaders{Backoff: rest})
		tired.SetFault(emulator.Shed, 4)
		got := load(boxes, rest)
		Expect(got).To(HaveKey(http.StatusInternalServerError))
		Expect(disturbed(tired.Arrivals(begin))).To(BeNumerically("<=", most))
		other.SetFault(emulator.NoFault, 0)
		Eventually(func() map[int]int { return load(boxes, time.Second) }).WithTimeout(patience).Should(HaveLen(1))
		Eventually(func() int { load(boxes, 300*time.Millisecond); return len(tired.Runs()) }).WithTimeout(patience).Should(BeNumerically(">", 0), "it serves again")
	})

	It("gets it where there is no other, and requests are refused at once as not run", func() {
		begin := time.Now()
		tired := add("i-tired", emulator.PlainService)
		start(1)
		tired.SetStatusHeaders(emulator.StatusHeaders{Backoff: rest})
		tired.SetFault(emulator.Shed, 1)
		Expect(boxes[0].call("c0-first").Status).To(Equal(http.StatusServiceUnavailable))
		o := boxes[0].call("c0-second")
		Expect(o).To(And(HaveField("Status", http.StatusServiceUnavailable), HaveField("Elapsed", BeNumerically("<", 200*time.Millisecond))))
		Expect(o.RetryAfter).To(MatchRegexp(`^[1-4](\.\d+)?$`), "it is told when the rest ends")
		load(boxes, rest-settle)
		Expect(disturbed(tired.Arrivals(begin))).To(BeNumerically("<=", most))
		Eventually(func() int { return boxes[0].call("c0-later").Status }).WithTimeout(patience).Should(Equal(http.StatusOK))
	})

	It("gets it of an engine, from streams, moves and questions for its load", func() {
		tired := add("e-tired", emulator.ModelService)
		tired.Events = 80
		tired.EventInterval = 50 * time.Millisecond
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
		Eventually(func() int { return len(tired.Runs()) }).WithTimeout(patience).Should(Equal(1))
		add("e-other", emulator.ModelService)
		Eventually(func() string { return boxes[0].get("/status") }).WithTimeout(patience).Should(ContainSubstring(fmt.Sprintf(`"list_changed":%d,`, d.Store.Revision())))
		tired.SetStatusHeaders(emulator.StatusHeaders{Backoff: rest})
		tired.SetFault(emulator.Shed, 1)
		refused := ContainElement(HaveField("Backoff", rest))
		for i := 0; ; i++ {
			Expect(stream(fmt.Sprintf("short-%d", i))).To(HaveField("Status", http.StatusOK))
			if met, _ := refused.Match(tired.Arrivals(time.Time{})); met {
				break
			}
		}
		from := time.Now().Add(settle)
		time.Sleep(rest - 4*settle)
		d.List(tired, emulator.ModelService, "draining") // its run would be moved off now
		time.Sleep(3 * settle)
		Expect(len(tired.Arrivals(from))).To(BeNumerically("<=", most), "%v", tired.Arrivals(from))
		Expect(<-ended).To(HaveField("IsComplete", true))
	})
})
