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

// Endpoints under strain named in their answers how many requests a second they take from
// all boxes together, and got up to seven times that in a second: callers saw failures and
// late answers where the endpoints had asked for less. No box read what they named. The
// evidence: eight boxes sent on as before, by zone and chance, and none logged anything
// when the limit came. Kept by each box for itself it would still let the fleet send it
// once for each box, and requests other than first sends would come on top.
var _ = Describe("an endpoint that names a limit", func() {
	const (
		count  = 4
		joined = 6 * time.Second // by then boxes have their parts of what is divided
		told   = 500 * time.Millisecond
		span   = 4 * time.Second
	)
	var d *emulator.Deployment
	var boxes []*started
	BeforeEach(func() { d = newDeployment() })
	add := func(id, service string) *emulator.Server { return addTo(d, id, service) }
	start := func() {
		boxes = startReady(d, count)
		time.Sleep(joined)
	}
	limit := func(perSecond float64, all ...*emulator.Server) {
		for _, s := range all {
			s.SetStatusHeaders(emulator.StatusHeaders{RateLimit: strconv.FormatFloat(perSecond, 'f', -1, 64)})
		}
	}
	// most is what an endpoint may get within a span, by the platform's bound.
	most := func(perSecond float64) int { return int(perSecond*1.5*span.Seconds()) + 5 }

	It("gets no more than that within any four seconds, and the others serve the rest", func() {
		const perSecond = 3.0
		strained, other := add("i-strained", emulator.PlainService), add("i-other", emulator.PlainService)
		start()
		limit(perSecond, strained)
		load(boxes, told)
		from := time.Now()
		got := load(boxes, 9*time.Second)
		Expect(got).To(HaveLen(1))
		Expect(got).To(HaveKey(http.StatusOK))
		arrivals := strained.Arrivals(from)
		Expect(emulator.MaxArrivalsWithin(arrivals, span)).To(BeNumerically("<=", most(perSecond)))
		Expect(len(arrivals)).To(BeNumerically(">=", 9*perSecond/2), "what it takes is sent to it")
		Expect(len(other.Arrivals(from))).To(BeNumerically(">", len(arrivals)))
	})

	It("serves that where all name one, and the rest is refused at once as not run", func() {
		const perSecond = 2.5
		strained := add("i-strained", emulator.PlainService)
		start()
		limit(perSecond, strained)
		load(boxes, told)
		from := time.Now()
		got := load(boxes, 9*time.Second)
		arrivals := strained.Arrivals(from)
		Expect(emulator.MaxArrivalsWithin(arrivals, span)).To(BeNumerically("<=", most(perSecond)))
		Expect(got[http.StatusOK]).To(BeNumerically(">=", 9*perSecond/2))
		Expect(got[http.StatusServiceUnavailable]).To(BeNumerically(">", got[http.StatusOK]))
		Expect(got).To(HaveLen(2))
		var shown bytes.Buffer
		Expect(commands.Run([]string{"status", boxes[0].operators}, &shown)).To(BeZero())
		Expect(shown.String()).To(MatchRegexp(`ENDPOINT THAT ASKED FOR LESS.*\ni-strained +2\.5 +-`))
		Expect(arrivals).To(HaveLen(got[http.StatusOK]))
	})

	It("gets what others got before once it names none any more", func() {
		strained := add("i-strained", emulator.PlainService)
		start()
		limit(1, strained)
		load(boxes, 2*time.Second)
		strained.SetStatusHeaders(emulator.StatusHeaders{})
		Eventually(func() map[int]int { return load(boxes, time.Second) }).WithTimeout(patience).Should(And(
			HaveLen(1),
			HaveKey(http.StatusOK),
		))
	})

	It("gets no more by second sends, by streams and by questions for its load", func() {
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
		send := func(lasts time.Duration) {
			var wait sync.WaitGroup
			until := time.Now().Add(lasts)
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
		send(told)
		from := time.Now()
		send(9 * time.Second)
		for _, s := range append(engines, plain, other) {
			Expect(emulator.MaxArrivalsWithin(s.Arrivals(from), span)).To(BeNumerically("<=", most(perSecond)), s.ID)
			Expect(s.Arrivals(from)).NotTo(BeEmpty(), s.ID)
		}
	})
})
