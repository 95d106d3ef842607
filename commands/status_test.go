package commands_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/box"
)

var _ = Describe("the status of a box", func() {
	// show prints a status as the command receives it from a box.
	show := func(s *box.Status) string {
		s.Program = box.Program
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			defer GinkgoRecover()
			Expect(json.NewEncoder(w).Encode(s)).To(Succeed())
		}))
		DeferCleanup(server.Close)
		code, out := run("status", strings.TrimPrefix(server.URL, "http://"))
		Expect(code).To(Equal(0))
		return out
	}

	It("shows waiting requests and engines", func() {
		s := &box.Status{}
		s.SetWaiting([]box.WaitingRequest{{
			Request:      "R",
			Route:        "long",
			CustomerRank: 1,
			RouteRank:    3,
			Wait:         "120ms",
		}}, 7)
		reported := 0.5
		s.SetEngines([]box.EngineLoad{
			{
				Endpoint:  "e-1",
				Pace:      "21ms",
				Reported:  &reported,
				Estimated: 0.75,
				Sensitive: 4,
			},
			{Endpoint: "e-2"},
		})
		s.PaceClasses = []box.PaceClass{
			{
				Service:      "engines",
				RelativePace: "0.47",
				Engines:      2,
				Pace:         "21ms",
				Exposures:    40,
				Breaks:       3,
			},
			{
				Service:      "engines",
				RelativePace: "1.00",
			},
		}
		out := show(s)
		Expect(out).To(MatchRegexp(`waiting +1 requests here, 7 known from other boxes`))
		Expect(out).To(MatchRegexp(`R +long +1 +3 +120ms`))
		Expect(out).To(MatchRegexp(`e-1 +21ms +0.50 +0.75 +4`))
		Expect(out).To(MatchRegexp(`e-2 +- +- +0.00 +0`))
		Expect(out).To(MatchRegexp(`engines +0.47 +2 +21ms +40 +3`))
		Expect(out).To(MatchRegexp(`engines +1.00 +0 +- +0 +0`))
	})

	// An overload with thousands of waiting requests must not make the status large when it is
	// needed most.
	It("is bounded in length, and counts what it omits", func() {
		var waiting []box.WaitingRequest
		var engines []box.EngineLoad
		for n := range 1000 {
			waiting = append(waiting, box.WaitingRequest{Request: fmt.Sprintf("r-%d", n)})
			engines = append(engines, box.EngineLoad{
				Endpoint:  fmt.Sprintf("e-%03d", n),
				Estimated: float64(n) / 1000,
			})
		}
		s := &box.Status{}
		s.SetWaiting(waiting, 0)
		s.SetEngines(engines)
		Expect(s.Waiting.Own).To(Equal(1000))
		Expect(len(s.Waiting.Requests)).To(BeNumerically("<", 100))
		Expect(s.Waiting.Requests[0].Request).To(Equal("r-0"))
		Expect(len(s.Engines)).To(BeNumerically("<", 100))
		Expect(s.Engines[len(s.Engines)-1].Endpoint).To(Equal("e-999"))
		out := show(s)
		Expect(out).To(ContainSubstring(fmt.Sprintf("%d more\n", 1000-len(s.Waiting.Requests))))
		Expect(out).To(ContainSubstring(fmt.Sprintf("%d more, which are less full", 1000-len(s.Engines))))
	})
})
