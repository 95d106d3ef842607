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

// The lines are shortened ones of real boxes.
const (
	placed    = `{"at":"2026-07-19T05:50:10Z","event":"placed","request":"R","route":"long","endpoint":"e-1","backup":""}`
	leaving   = `{"at":"2026-07-19T05:50:11Z","event":"endpoint leaving","endpoint":"e-1","from":"store"}`
	moveFails = `{"at":"2026-07-19T05:50:12Z","event":"copy failed","request":"R","endpoint":"e-1","target":"e-2","error":"EOF"}`
	continued = `{"at":"2026-07-19T05:50:12Z","event":"continued from a copy","request":"R","endpoint":"e-2","last_event":"40"}`
	cut       = `{"at":"2026-07-19T05:50:13Z","event":"cut","request":"R","route":"long","why":"connection broke","status":200,"endpoint":"e-1","sends":1,"last_event":"40","took":"3s"}`
	overdue   = `{"at":"2026-07-19T05:50:12Z","event":"answer overdue","request":"R","endpoint":"e-1","after":"1.2s"}`
	expired   = `{"at":"2026-07-19T05:50:15Z","event":"given up","request":"R","route":"short","why":"time is over","status":504}`
	failed    = `{"at":"2026-07-19T05:50:13Z","event":"answered","request":"R","route":"short","status":500,"took":"30ms"}`
	stutters  = `{"at":"2026-07-19T05:50:19Z","event":"streamed","request":"R","route":"long","customer":"one","rank":1,"status":200,"first_event":"400ms","longest_pause":"300ms","pause_after":"40","late":true}`
	whole     = `{"at":"2026-07-19T05:50:19Z","event":"streamed","request":"R","route":"long","customer":"one","rank":1,"status":200,"first_event":"400ms","longest_pause":"30ms","pause_after":"40","late":false}`
	badKey    = `{"at":"2026-07-19T05:50:13Z","event":"refused","request":"R","route":"long","why":"the key is not known","status":401}`
	ended     = `{"at":"2026-07-19T05:50:13Z","event":"endpoint crashed during a request","request":"R","endpoint":"e-1","after":"240ms","events":0}`
	kept      = `{"at":"2026-07-19T05:50:13Z","event":"refused","request":"R","route":"long","why":"endpoints end under the request","status":503}`
	unknown   = `{"at":"2026-07-19T05:50:13Z","event":"refused","request":"R","why":"no configuration is known yet","status":503}`
)

func report(lines ...string) losses.Report {
	r := losses.NewReader()
	Expect(r.Read(strings.NewReader(strings.Join(lines, "\n")))).To(Succeed())
	return r.Report()
}

var _ = Describe("what a log tells of lost requests", func() {
	DescribeTable("names moment and cause",
		func(moment losses.Moment, cause losses.Cause, late bool, lines ...string) {
			rows := report(lines...).Rows
			Expect(rows).To(HaveLen(1))
			Expect(rows[0].Moment).To(Equal(moment))
			Expect(rows[0].Cause).To(Equal(cause))
			Expect(rows[0].Late).To(Equal(late))
			Expect(rows[0].Requests).To(Equal([]string{"R"}))
		},
		Entry("an engine that left", losses.BetweenEvents, losses.EngineLeft, false, leaving, placed, cut),
		Entry("while its run was moved", losses.WhileMoving, losses.EngineLeft, false, placed, leaving, moveFails, cut),
		Entry("an engine that broke off", losses.BetweenEvents, losses.ConnectionBroke, false, placed, cut),
		Entry("an engine that ended", losses.BetweenEvents, losses.EndpointCrashed, false, placed, ended, cut),
		Entry("a request that no engine gets any more", losses.BeforeSend, losses.RequestQuarantined, false, kept),
		Entry("a silent endpoint", losses.AwaitingFirst, losses.AnswerOverdue, false, placed, overdue, expired),
		Entry("a time that was too short", losses.AwaitingFirst, losses.TimeOver, false, placed, expired),
		Entry("the endpoint's failure", losses.AwaitingFirst, losses.EndpointFailed, false, placed, failed),
		Entry("a box that ended", losses.InProgress, losses.BoxCrashed, false, placed),
		Entry("a box that knew nothing yet", losses.BeforeSend, losses.NoConfiguration, false, unknown),
		Entry("a pause where it went on", losses.BetweenEvents, losses.PauseAtSeam, true, placed, continued, stutters),
		Entry("a pause at its engine", losses.BetweenEvents, losses.PauseAtEngine, true, placed, stutters),
	)

	It("counts whole answers and refusals that are the caller's affair as none", func() {
		Expect(report(placed, whole).Rows).To(BeEmpty())
		Expect(report(badKey).Rows).To(BeEmpty())
	})

	It("tells what callers felt, by route, customer and rank", func() {
		r := report(placed, whole)
		Expect(r.Routes).To(HaveLen(1))
		Expect(r.Routes[0].Streams).To(BeEquivalentTo(1))
		Expect(r.Routes[0].FirstMedian).To(BeNumerically("~", 400*time.Millisecond, 10*time.Millisecond))
		Expect(r.Customers[0].Name).To(Equal("one"))
		Expect(r.Ranks[0].Name).To(Equal("1"))
		Expect(report(placed, stutters).Routes[0].Stutters).To(Equal(1))
	})

	It("tells by what boxes believed how prompts fared, and what was true", func() {
		prompt := func(second int, request, engine, full, age string) string {
			return fmt.Sprintf(`{"at":"2026-07-19T05:50:%02dZ","event":"placed","request":%q,"route":"long","endpoint":%q,"full":%s,"report_age":%q}`, second, request, engine, full, age)
		}
		r := report(
			prompt(1, "A", "e-1", "0.15", "100ms"),
			prompt(2, "B", "e-1", "0.2", "600ms"),
			prompt(2, "C", "e-2", "0.1", "100ms"),
			`{"at":"2026-07-19T05:50:03Z","event":"streamed","request":"C","route":"long","status":200}`,
			// Two runs are at e-1, none at e-2 any more.
			prompt(4, "R", "e-1", "0.35", "700ms"),
			stutters,
			`{"at":"2026-07-19T05:50:04Z","event":"placed","request":"call","route":"plain","endpoint":"i-1"}`,
		)
		var full, age []losses.PlacementStats
		for _, p := range r.Placements {
			if p.By == "full" {
				full = append(full, p)
			} else {
				age = append(age, p)
			}
		}
		Expect(full).To(HaveLen(2))
		Expect(full[0].Count).To(Equal(2))
		Expect(full[1].RangeStart).To(BeNumerically("~", 0.2, 0.001))
		Expect(full[1].Count).To(Equal(2))
		Expect(full[1].Runs).To(BeNumerically("~", 1.5, 0.001))
		Expect(full[1].MinRuns).To(BeNumerically("~", 0.5, 0.001))
		Expect(age).To(HaveLen(2))
		Expect(age[1].RangeStart).To(BeNumerically("~", 0.5, 0.001))
		var out bytes.Buffer
		Expect(r.WriteText(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("prompts placed by"))
	})

	It("skips what a collector puts before a line, and says which lines it couldn't read", func() {
		r := report("  12.5 box-1 "+placed, "no line of a box", `{"broken":`, "box-1 "+whole)
		Expect(r.Lines).To(Equal(4))
		Expect(r.Skipped.Count).To(Equal(2))
		Expect(r.Skipped.First).To(Equal(2))
		Expect(r.Skipped.FirstError).To(ContainSubstring("JSON"))
		Expect(r.Totals).To(HaveLen(1))
		var out bytes.Buffer
		Expect(r.WriteText(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("2 of them skipped; the first is line 2"))
	})
})
