package box_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/commands"
	"dillsaddle.example/dillsaddle/platform/emulator"
)

// Guards against boxes that ignore the request rate that an endpoint under load announces in
// its responses, or that apply it per box and not to the fleet.
var _ = Describe("an endpoint that announces a rate limit", func() {
	const (
		boxCount   = 4
		settleTime = 6 * time.Second        // until boxes have received their rate shares
		noticeTime = 500 * time.Millisecond // until all boxes have received the announced limit
		window     = 4 * time.Second        // over which the platform bounds the requests
	)
	var d *emulator.Deployment
	var boxes []*testBox
	BeforeEach(func() { d = newDeployment() })
	add := func(id, service string) *emulator.Server { return addServer(d, id, service) }
	start := func() {
		boxes = startReadyBoxes(d, boxCount)
		time.Sleep(settleTime)
	}
	limit := func(perSecond float64, all ...*emulator.Server) {
		for _, s := range all {
			s.SetStatusHeaders(emulator.StatusHeaders{RateLimit: strconv.FormatFloat(perSecond, 'f', -1, 64)})
		}
	}
	// maxArrivals is the most requests that an endpoint may get in a window by the platform's bound.
	maxArrivals := func(perSecond float64) int { return int(perSecond*1.5*window.Seconds()) + 5 }

	It("gets no more than that in any four seconds, while others serve the rest", func() {
		const perSecond = 3.0
		limited, other := add("i-strained", emulator.PlainService), add("i-other", emulator.PlainService)
		start()
		limit(perSecond, limited)
		runLoad(boxes, noticeTime)
		from := time.Now()
		got := runLoad(boxes, 9*time.Second)
		Expect(got).To(HaveLen(1))
		Expect(got).To(HaveKey(http.StatusOK))
		arrivals := limited.Arrivals(from)
		Expect(emulator.MaxArrivalsWithin(arrivals, window)).To(BeNumerically("<=", maxArrivals(perSecond)))
		Expect(len(arrivals)).To(BeNumerically(">=", 9*perSecond/2), "its capacity is used")
		Expect(len(other.Arrivals(from))).To(BeNumerically(">", len(arrivals)))
	})

	It("serves up to its limit when all endpoints have one; other requests are refused at once as not run", func() {
		const perSecond = 2.5
		limited := add("i-strained", emulator.PlainService)
		start()
		limit(perSecond, limited)
		runLoad(boxes, noticeTime)
		from := time.Now()
		got := runLoad(boxes, 9*time.Second)
		arrivals := limited.Arrivals(from)
		Expect(emulator.MaxArrivalsWithin(arrivals, window)).To(BeNumerically("<=", maxArrivals(perSecond)))
		Expect(got[http.StatusOK]).To(BeNumerically(">=", 9*perSecond/2))
		Expect(got[http.StatusServiceUnavailable]).To(BeNumerically(">", got[http.StatusOK]))
		Expect(got).To(HaveLen(2))
		var shown bytes.Buffer
		Expect(commands.Run([]string{"status", boxes[0].statusAddr}, &shown)).To(BeZero())
		Expect(shown.String()).To(MatchRegexp(`ENDPOINT THAT ASKED FOR LESS.*\ni-strained +2\.5 +-`))
		Expect(arrivals).To(HaveLen(got[http.StatusOK]))
	})

	It("gets unlimited requests again once it announces no limit", func() {
		limited := add("i-strained", emulator.PlainService)
		start()
		limit(1, limited)
		runLoad(boxes, 2*time.Second)
		limited.SetStatusHeaders(emulator.StatusHeaders{})
		Eventually(func() map[int]int { return runLoad(boxes, time.Second) }).WithTimeout(waitTimeout).Should(And(
			HaveLen(1),
			HaveKey(http.StatusOK),
		))
	})

	It("gets no more through retries, streams and load queries", func() {
		const perSecond = 2.0
		var engines []*emulator.Server
		for i := range 2 {
			engines = append(engines, add(fmt.Sprintf("e-%d", i), emulator.ModelService))
		}
		plain := add("i-fails", emulator.PlainService)
		plain.SetFault(emulator.InternalError, -1)
		other := add("i-fails-too", emulator.PlainService)
		other.SetFault(emulator.InternalError, -1)
		start()
		limit(perSecond, append(engines, plain, other)...)
		send := func(duration time.Duration) {
			var wait sync.WaitGroup
			until := time.Now().Add(duration)
			for i, b := range boxes {
				for _, path := range []string{emulator.RepeatPath, emulator.StreamPath, emulator.ResumePath} {
					wait.Go(func() {
						for n := 0; time.Now().Before(until); n++ {
							b.caller.Do(context.Background(), emulator.Call{
								ID:       fmt.Sprintf("s%d-%s-%d-%d", i, path[1:4], n, until.UnixNano()),
								Method:   http.MethodPost,
								Path:     path,
								Deadline: time.Second,
								Tokens: emulator.Tokens{
									Prompt:    100,
									MaxOutput: 20,
								},
							})
							time.Sleep(50 * time.Millisecond)
						}
					})
				}
			}
			wait.Wait()
		}
		send(noticeTime)
		from := time.Now()
		send(9 * time.Second)
		for _, s := range append(engines, plain, other) {
			Expect(emulator.MaxArrivalsWithin(s.Arrivals(from), window)).To(BeNumerically("<=", maxArrivals(perSecond)), s.ID)
			Expect(s.Arrivals(from)).NotTo(BeEmpty(), s.ID)
		}
	})
})
