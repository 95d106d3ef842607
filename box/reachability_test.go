package box_test

import (
	"encoding/json"
	"fmt"
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
		if a.path != emulator.RepeatPath {
			Expect(len(runs[a.ID])).To(BeNumerically("<=", 1), "%s ran more than once", a.ID)
		}
		if a.PromisesNotRun() {
			Expect(runs[a.ID]).To(BeEmpty(), "%s was told that it had not run", a.ID)
		}
	}
}

// Guards against callers of boxes that lost all endpoints failing while other boxes reach these.
var _ = Describe("a box that reaches no endpoint", func() {
	const (
		settleTime = 2 * time.Second // until the boxes know each other
		lossBound  = 3 * time.Second // after which the callers of such a box must be served
		spell      = 4 * time.Second // how long the loss lasts beyond that
		returnTime = 3 * time.Second // until boxes use their own paths again
	)
	faults := []emulator.PathFault{
		emulator.PathSilent,
		emulator.PathReset,
		emulator.PathRefused,
		emulator.PathNoReturn,
		emulator.PathNoDelivery,
	}
	const sound = 2 // boxes that keep their paths; the last ones
	var d *emulator.Deployment
	var boxes []*testBox
	BeforeEach(func() {
		d = newDeployment()
		for i := range 3 {
			addServer(d, fmt.Sprintf("i-%d", i), emulator.PlainService)
			addServer(d, fmt.Sprintf("e-%d", i), emulator.ModelService)
		}
		boxes = startReadyBoxes(d, len(faults)+sound)
		time.Sleep(settleTime)
	})
	setFaults := func(isLost bool) {
		for i, fault := range faults {
			if !isLost {
				fault = emulator.PathOpen
			}
			boxes[i].paths.SetFault(fault)
		}
	}
	unreachable := func(b *testBox) []box.UnreachableService {
		var status box.Status
		Expect(json.Unmarshal([]byte(b.get("/status")), &status)).To(Succeed())
		return status.Unreachable
	}
	// expectServed checks that callers of boxes without paths are served like those of the others.
	expectServed := func(attempts []attempt, from, until time.Time) {
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
				name = string(faults[i])
			}
			Expect(served[i]).To(BeNumerically(">=", 2*failed[i]), "%s: %d served, %d failed", name, served[i], failed[i])
			Expect(served[i]).NotTo(BeZero(), name)
		}
		Expect(totalFailed).To(BeNumerically("<=", 10+total/50), "failed of %d", total)
	}

	It("has its callers served by other boxes, until it has a path again", func() {
		load := startLoad(boxes, 50*time.Millisecond, emulator.CallPath, emulator.RepeatPath, emulator.StreamPath, emulator.ResumePath)
		time.Sleep(time.Second)
		setFaults(true)
		lostAt := time.Now()
		time.Sleep(lossBound + spell)
		setFaults(false)
		backAt := time.Now()
		time.Sleep(returnTime)
		for _, b := range boxes {
			Expect(unreachable(b)).To(BeEmpty(), b.settings.Name)
		}
		attempts := load.stop()
		expectServed(attempts, lostAt.Add(lossBound), backAt)
		expectServed(attempts, backAt.Add(returnTime/2), time.Now())
		expectTruthful(d, attempts)
	})
})
