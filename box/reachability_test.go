package box_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/box"
	"dillsaddle.example/dillsaddle/platform/emulator"
)

// expectTruthful checks that no request of a load that may run once ran twice, and that none ran
// that its caller was told had not run.
func expectTruthful(d *emulator.Deployment, attempts []attempt) {
	GinkgoHelper()
	runs := d.Runs()
	for _, a := range attempts {
		if a.path == emulator.CallPath || a.path == emulator.StreamPath {
			Expect(len(runs[a.ID])).To(BeNumerically("<=", 1), "%s ran more than once", a.ID)
		}
		if a.PromisesNotRun() {
			Expect(runs[a.ID]).To(BeEmpty(), "%s was told that it had not run", a.ID)
		}
	}
}

// pathFault is a fault of all paths of a box.
type pathFault struct {
	emulator.PathFault
	resetAfter time.Duration // of new connections; see SetResetAfter
}

// Guards against callers of boxes that lost all endpoints failing while other boxes reach these.
var _ = Describe("a box that reaches no endpoint", func() {
	const (
		settleTime = 2 * time.Second // until the boxes know each other
		lossBound  = 3 * time.Second // after which the callers of such a box must be served
		spell      = 4 * time.Second // how long the loss lasts beyond that
		returnTime = 3 * time.Second // until boxes use their own paths again
	)
	const sound = 2 // boxes that keep their paths; the last ones
	var d *emulator.Deployment
	var boxes []*testBox
	start := func(faulty int) {
		d = newDeployment()
		for i := range 3 {
			addServer(d, fmt.Sprintf("i-%d", i), emulator.PlainService)
			addServer(d, fmt.Sprintf("e-%d", i), emulator.ModelService)
		}
		boxes = startReadyBoxes(d, faulty+sound)
		time.Sleep(settleTime)
	}
	setFaults := func(faults []pathFault) {
		for i, fault := range faults {
			boxes[i].paths.SetResetAfter(fault.resetAfter)
			boxes[i].paths.SetFault(fault.PathFault)
		}
	}
	unreachable := func(b *testBox) []box.UnreachableService {
		var status box.Status
		Expect(json.Unmarshal([]byte(b.get("/status")), &status)).To(Succeed())
		return status.Unreachable
	}
	// expectServed checks that callers of boxes without paths are served like those of the others.
	expectServed := func(faults []pathFault, attempts []attempt, from, until time.Time) {
		GinkgoHelper()
		served, failed := make([]int, len(boxes)), make([]int, len(boxes))
		total, totalFailed := 0, 0
		for _, a := range attempts {
			if a.sentAt.Before(from) || a.sentAt.After(until) {
				continue
			}
			total++
			if a.isServed() {
				served[a.box]++
				continue
			}
			failed[a.box]++
			totalFailed++
		}
		for i := range boxes {
			name := "a box with paths"
			if i < len(faults) {
				name = fmt.Sprintf("%s after %s", faults[i].PathFault, faults[i].resetAfter)
			}
			Expect(served[i]).To(BeNumerically(">=", 2*failed[i]), "%s: %d served, %d failed", name, served[i], failed[i])
			Expect(served[i]).NotTo(BeZero(), name)
		}
		Expect(totalFailed).To(BeNumerically("<=", 10+total/50), "failed of %d", total)
	}

	DescribeTable("has its callers served by other boxes, until it has a path again",
		func(faults ...pathFault) {
			start(len(faults))
			load := startLoad(boxes, 50*time.Millisecond, emulator.CallPath, emulator.RepeatPath, emulator.StreamPath, emulator.ResumePath)
			time.Sleep(time.Second)
			setFaults(faults)
			lostAt := time.Now()
			time.Sleep(lossBound + spell)
			setFaults(make([]pathFault, len(faults)))
			backAt := time.Now()
			time.Sleep(returnTime)
			for _, b := range boxes {
				Expect(unreachable(b)).To(BeEmpty(), b.settings.Name)
			}
			attempts := load.stop()
			expectServed(faults, attempts, lostAt.Add(lossBound), backAt)
			expectServed(faults, attempts, backAt.Add(returnTime/2), time.Now())
			expectTruthful(d, attempts)
		},
		Entry("if no connection can be opened",
			pathFault{PathFault: emulator.PathSilent},
			pathFault{PathFault: emulator.PathReset},
			pathFault{PathFault: emulator.PathDropped},
			pathFault{PathFault: emulator.PathRefused},
			pathFault{PathFault: emulator.PathNoReturn},
			pathFault{PathFault: emulator.PathNoDelivery},
		),
		Entry("if something on the path accepts connections, and resets them later or never",
			pathFault{
				PathFault:  emulator.PathDropped,
				resetAfter: 50 * time.Millisecond,
			},
			pathFault{
				PathFault:  emulator.PathDropped,
				resetAfter: 200 * time.Millisecond,
			},
			pathFault{
				PathFault:  emulator.PathDropped,
				resetAfter: 2 * time.Second,
			},
			pathFault{PathFault: emulator.PathSwallowed},
		),
	)

	It("has its callers served soon again when a path that came back is lost once more", func() {
		lost := []pathFault{{
			PathFault:  emulator.PathDropped,
			resetAfter: 200 * time.Millisecond,
		}}
		const (
			backFor   = 1500 * time.Millisecond
			blindTime = time.Second // the reset, the probe's reset and a request in each
		)
		start(len(lost))
		load := startLoad(boxes, 50*time.Millisecond, emulator.CallPath)
		setFaults(lost)
		Eventually(func() []box.UnreachableService { return unreachable(boxes[0]) }).WithTimeout(lossBound).ShouldNot(BeEmpty())
		for range 3 {
			setFaults([]pathFault{{}})
			time.Sleep(backFor)
			setFaults(lost)
			time.Sleep(spell / 2)
		}
		lostAt := time.Now().Add(-spell / 2)
		attempts := load.stop()
		expectServed(lost, attempts, lostAt.Add(blindTime), time.Now())
		expectTruthful(d, attempts)
	})
})

// Guards against boxes that take trouble of endpoints for a lost path: their callers would be refused,
// or wait, though endpoints are back.
var _ = Describe("a box whose path is sound", func() {
	DescribeTable("doesn't take itself for cut off when", func(trouble func([]*emulator.Server)) {
		d := newDeployment()
		var servers []*emulator.Server
		for i := range 3 {
			servers = append(servers, addServer(d, fmt.Sprintf("i-%d", i), emulator.PlainService))
		}
		boxes := startReadyBoxes(d, 2)
		load := startLoad(boxes, 20*time.Millisecond, emulator.CallPath)
		time.Sleep(time.Second)
		trouble(servers)
		for range 30 {
			for _, b := range boxes {
				Expect(b.get("/status")).NotTo(ContainSubstring(`"unreachable":`))
			}
			time.Sleep(100 * time.Millisecond)
		}
		expectTruthful(d, load.stop())
	},
		Entry("requests break all connections", func(all []*emulator.Server) {
			for _, s := range all {
				s.SetFault(emulator.Reset, 20)
			}
		}),
		Entry("requests get no answer", func(all []*emulator.Server) {
			for _, s := range all {
				s.SetFault(emulator.NoAnswer, 20)
			}
		}),
		Entry("endpoints turn all requests away", func(all []*emulator.Server) {
			for _, s := range all {
				s.SetFault(emulator.Shed, -1)
			}
		}),
		Entry("all endpoints are silent for a second", func(all []*emulator.Server) {
			for _, s := range all {
				s.FallSilent(time.Second)
			}
		}),
	)
})

// Guards against requests that are lost, held or run twice on their way through a second box.
var _ = Describe("requests that a box forwards", func() {
	const settleTime = 2 * time.Second // until the boxes know each other
	var d *emulator.Deployment
	var engines []*emulator.Server
	var boxes []*testBox
	BeforeEach(func() {
		d = newDeployment()
		engines = nil
		for i := range 3 {
			addServer(d, fmt.Sprintf("i-%d", i), emulator.PlainService)
			e := addServer(d, fmt.Sprintf("e-%d", i), emulator.ModelService)
			e.Events = 40
			e.EventInterval = 50 * time.Millisecond
			engines = append(engines, e)
		}
		boxes = startReadyBoxes(d, 2)
		time.Sleep(settleTime)
	})
	stream := func(ctx context.Context, b *testBox, path, id string) <-chan emulator.Outcome {
		ended := make(chan emulator.Outcome, 1)
		go func() {
			ended <- b.caller.Do(ctx, emulator.Call{
				ID:       id,
				Method:   http.MethodPost,
				Path:     path,
				Deadline: 10 * time.Second,
				Tokens: emulator.Tokens{
					Prompt:    100,
					MaxOutput: 400,
				},
			})
		}()
		return ended
	}
	runs := func(id string) func() []emulator.Run { return func() []emulator.Run { return d.Runs()[id] } }
	// loseEndpoints cuts a box off and waits until it knows.
	loseEndpoints := func(b *testBox, fault emulator.PathFault, servers ...*emulator.Server) {
		GinkgoHelper()
		b.paths.SetFault(fault, servers...)
		Eventually(func() string {
			b.caller.Do(context.Background(), emulator.Call{
				ID:       fmt.Sprintf("lost-%d", time.Now().UnixNano()),
				Method:   http.MethodPost,
				Path:     emulator.RepeatPath,
				Deadline: time.Second,
			})
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			<-stream(ctx, b, emulator.ResumePath, fmt.Sprintf("lost-%d", time.Now().UnixNano()))
			return b.get("/status")
		}).WithTimeout(waitTimeout).Should(ContainSubstring(`"unreachable":`))
	}

	It("end when their callers leave", func() {
		loseEndpoints(boxes[0], emulator.PathRefused)
		ctx, leave := context.WithCancel(context.Background())
		ended := stream(ctx, boxes[0], emulator.StreamPath, "left")
		Eventually(runs("left")).WithTimeout(waitTimeout).Should(HaveLen(1))
		leave()
		<-ended
		Eventually(runs("left")).WithTimeout(500 * time.Millisecond).Should(ConsistOf(HaveField("CallerLeft", true)))
	})

	It("run to their ends while the box that serves them stops", func() {
		loseEndpoints(boxes[0], emulator.PathRefused)
		ended := stream(context.Background(), boxes[0], emulator.StreamPath, "kept")
		Eventually(runs("kept")).WithTimeout(waitTimeout).Should(HaveLen(1))
		boxes[1].Stop()
		Expect(<-ended).To(And(HaveField("IsComplete", true), HaveField("Events", 40)))
		Expect(runs("kept")()).To(HaveLen(1))
	})

	It("are refused at once as not run when no box reaches an endpoint", func() {
		loseEndpoints(boxes[0], emulator.PathSilent)
		loseEndpoints(boxes[1], emulator.PathSilent)
		time.Sleep(3 * time.Second)
		for i := range 5 {
			o := boxes[i%2].call(fmt.Sprintf("none-%d", i))
			Expect(o).To(And(HaveField("Status", http.StatusServiceUnavailable), HaveField("RetryAfter", Not(BeEmpty())), HaveField("Elapsed", BeNumerically("<", 300*time.Millisecond))))
			Expect(runs(o.ID)()).To(BeEmpty())
		}
	})

	It("are only those for the service that the box doesn't reach", func() {
		loseEndpoints(boxes[0], emulator.PathSilent, engines...)
		boxes[1].paths.SetFault(emulator.PathSilent, d.Servers(emulator.PlainService)...)
		for i := range 3 {
			Expect(boxes[0].call(fmt.Sprintf("near-%d", i)).Status).To(Equal(http.StatusOK))
			Expect(<-stream(context.Background(), boxes[0], emulator.StreamPath, fmt.Sprintf("far-%d", i))).To(HaveField("IsComplete", true))
		}
	})

	It("continue from a copy of a run whose connection was lost", func() {
		broken := stream(context.Background(), boxes[0], emulator.StreamPath, "first")
		Eventually(runs("first")).WithTimeout(waitTimeout).Should(HaveLen(1))
		boxes[0].paths.SetFault(emulator.PathReset)
		<-broken // from now on, runs get backup copies
		boxes[0].paths.SetFault(emulator.PathOpen)
		Eventually(func() int { return boxes[0].call(fmt.Sprintf("back-%d", time.Now().UnixNano())).Status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
		ended := stream(context.Background(), boxes[0], emulator.StreamPath, "second")
		Eventually(runs("second")).WithTimeout(waitTimeout).Should(HaveLen(1))
		time.Sleep(500 * time.Millisecond)
		boxes[0].paths.SetFault(emulator.PathReset)
		Expect(<-ended).To(And(HaveField("IsComplete", true), HaveField("Fault", ""), HaveField("Events", 40)))
		Expect(runs("second")()).To(ConsistOf(HaveField("ResumedFrom", ""), HaveField("ResumedFrom", Not(BeEmpty()))))
	})
})
