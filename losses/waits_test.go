package losses_test

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/losses"
)

// Log lines about waits, shortened.
const (
	waiting     = `{"at":"2026-07-19T05:50:09Z","event":"waiting for room","request":"R","route":"long","why":"memory","requests_ahead":3,"estimate":"0s","priority":"1.3"}`
	waitedLong  = `{"at":"2026-07-19T05:50:11Z","event":"waited for room","request":"R","route":"long","for":"2s","outcome":"sent"}`
	waitedShort = `{"at":"2026-07-19T05:50:10Z","event":"waited for room","request":"R","route":"long","for":"100ms","outcome":"sent"}`
	leftWaiting = `{"at":"2026-07-19T05:50:11Z","event":"waited for room","request":"R","route":"long","for":"2s","outcome":"left"}`
	callerLeft  = `{"at":"2026-07-19T05:50:11Z","event":"caller left","request":"R","route":"long","status":499}`
	tooLong     = `{"at":"2026-07-19T05:50:09Z","event":"refused","request":"R","route":"long","why":"no room in time","status":503,"estimate":"4s"}`
)

// streamLine is the end of a stream on the route "long" at engine e-1.
func streamLine(request, first, pause string, late bool) string {
	return fmt.Sprintf(`{"at":"2026-07-19T05:50:19Z","event":"streamed","request":%q,"route":"long","status":200,"endpoint":"e-1","first_event":%q,"longest_pause":%q,"pause_after":"4","late":%t}`, request, first, pause, late)
}

var _ = Describe("a report on waits", func() {
	// Without these distinctions an operator can't tell whether engines lack memory, are slow to
	// begin, or pause.
	DescribeTable("tells why a stream was late",
		func(moment losses.Moment, cause losses.Cause, lines ...string) {
			rows := report(append(lines, streamLine("on time", "900ms", "170ms", false))...).Rows
			Expect(rows).To(HaveLen(1))
			Expect(rows[0].Late).To(BeTrue())
			Expect(rows[0].Moment).To(Equal(moment))
			Expect(rows[0].Cause).To(Equal(cause))
		},
		Entry("a long wait", losses.WhileWaiting, losses.LongWait, waiting, waitedLong, placed, streamLine("R", "2.5s", "30ms", true)),
		Entry("a long wait, though others had longer pauses", losses.WhileWaiting, losses.LongWait, waiting, waitedLong, placed, streamLine("R", "2.5s", "160ms", true)),
		Entry("a first event that was late at the engine, after a short wait", losses.AtAnswer, losses.SlowFirst, waiting, waitedShort, placed, streamLine("R", "2.5s", "30ms", true)),
		Entry("a first event that was late at the engine, without a wait", losses.AtAnswer, losses.SlowFirst, placed, streamLine("R", "2.5s", "160ms", true)),
		Entry("a pause, after a wait that met the target", losses.BetweenEvents, losses.PauseAtEngine, waiting, waitedShort, placed, streamLine("R", "800ms", "190ms", true)),
	)

	DescribeTable("names the moment and the cause of a loss",
		func(moment losses.Moment, cause losses.Cause, lines ...string) {
			rows := report(lines...).Rows
			Expect(rows).To(HaveLen(1))
			Expect(rows[0].Late).To(BeFalse())
			Expect(rows[0].Moment).To(Equal(moment))
			Expect(rows[0].Cause).To(Equal(cause))
		},
		Entry("a box that ended", losses.WhileWaiting, losses.BoxCrashed, waiting),
		Entry("a caller that left", losses.WhileWaiting, losses.CallerDisconnected, waiting, leftWaiting, callerLeft),
		Entry("a box that ended while the request waited again after an engine's refusal", losses.WhileWaiting, losses.BoxCrashed, waiting, waitedShort, placed, waiting),
		Entry("a caller that left while the request waited again", losses.WhileWaiting, losses.CallerDisconnected, waiting, waitedShort, placed, waiting, leftWaiting, callerLeft),
		Entry("a caller that left an engine after a wait", losses.AwaitingFirst, losses.CallerDisconnected, waiting, waitedLong, placed, callerLeft),
		Entry("a refusal for the estimated wait", losses.BeforeSend, losses.EstimateTooLong, tooLong),
	)

	It("summarizes waits, refusals and engines", func() {
		r := report(
			waiting, waitedLong, placed, streamLine("R", "2.5s", "30ms", true),
			strings.ReplaceAll(waiting, `"R"`, `"S"`),
			strings.ReplaceAll(tooLong, `"R"`, `"T"`),
			strings.ReplaceAll(strings.ReplaceAll(tooLong, `"R"`, `"U"`), "4s", "2s"),
			strings.ReplaceAll(badKey, `"R"`, `"V"`),
			`{"at":"2026-07-19T05:50:11Z","event":"engine pace changed","endpoint":"e-1"}`,
			streamLine("W", "300ms", "400ms", true),
			streamLine("X", "400ms", "170ms", false),
		)
		Expect(r.Waits).To(HaveLen(1))
		Expect(r.Waits[0].Requests).To(Equal(2))
		Expect(r.Waits[0].Failed).To(Equal(2))
		Expect(r.Waits[0].Outcomes).To(Equal(map[string]int{"sent": 1, "unknown": 1}))
		Expect(r.Waits[0].Median).To(BeNumerically("~", 2*time.Second, 20*time.Millisecond))
		Expect(r.Refusals).To(HaveLen(2))
		Expect(r.Refusals[0].Reason).To(Equal("no room in time"))
		Expect(r.Refusals[0].Count).To(Equal(2))
		Expect(r.Refusals[0].Estimate).To(Equal(3 * time.Second))
		Expect(r.Refusals[1].Status).To(Equal(401))
		Expect(r.Engines).To(Equal([]losses.EngineStats{{
			Endpoint:    "e-1",
			LatePauses:  1,
			PaceChanges: 1,
		}}))
		var out bytes.Buffer
		Expect(r.WriteText(&out)).To(Succeed())
		Expect(out.String()).To(MatchRegexp(`long +2 +2\S*s +2\S*s +2 +sent 1, unknown 1`))
		Expect(out.String()).To(MatchRegexp(`long +no room in time +503 +2 +3s +T U`))
		Expect(out.String()).To(MatchRegexp(`e-1 +1 +0 +1`))
	})

	It("counts lines whose fields are missing or have another type", func() {
		r := report(
			`{"at":"2026-07-19T05:50:09Z","event":"waiting for room","request":"R","route":"long","why":"memory","requests_ahead":{"requests":2}}`,
			`{"at":"2026-07-19T05:50:10Z","event":"waited for room","request":"R","route":"long","for":0.5,"outcome":7}`,
			`{"at":"2026-07-19T05:50:10Z","event":"refused","request":"S","route":"long","status":503,"estimate":"unknown"}`,
		)
		Expect(r.Skipped.Count).To(BeZero())
		Expect(r.Waits).To(HaveLen(1))
		Expect(r.Waits[0].Outcomes).To(Equal(map[string]int{"unknown": 1}))
		Expect(r.Waits[0].Median).To(BeNumerically("~", time.Second, 10*time.Millisecond), "the time between the lines")
		Expect(r.Refusals).To(HaveLen(1))
	})
})
