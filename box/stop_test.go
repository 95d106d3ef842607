package box_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	// listenTime is how long a stopping box accepts connections, whether it is busy or not.
	listenTime = 2500 * time.Millisecond
	// longDeadline is after the end of a box's grace period.
	longDeadline = 9 * time.Second
)

// connectRaw opens a connection for raw requests, and closes it after the test.
func connectRaw(b *testBox) *emulator.RawCaller {
	c, err := emulator.DialRaw(b.settings.Front)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

// sendRaw sends a request on a connection.
func sendRaw(c *emulator.RawCaller, text string) {
	Expect(c.Send(text)).To(Succeed())
}

// streamText returns the text of a request for a stream.
func streamText(id string) string {
	return emulator.WithDeadline(strings.Replace(emulator.RequestText(id, "prompt"), emulator.CallPath, emulator.StreamPath, 1), longDeadline)
}

var _ = Describe("a stopping box", func() {
	var engine *emulator.Server
	var b *testBox
	BeforeEach(func() {
		d := newDeployment()
		addServer(d, "i-plain", emulator.PlainService)
		engine = addServer(d, "i-engine", emulator.ModelService)
		engine.Events, engine.EventInterval = 40, 100*time.Millisecond
		b = startBoxes(d, 1)[0]
		Expect(emulator.WaitReady(b.settings.Ready, waitTimeout)).To(Succeed())
	})

	// stopDuringStream stops the box while a stream runs that takes it longer than listenTime.
	stopDuringStream := func() {
		sendRaw(connectRaw(b), streamText("held-1"))
		Eventually(engine.Runs).WithTimeout(waitTimeout).Should(HaveLen(1))
		b.Stop()
	}

	It("answers a request on a connection that it accepted before it stopped listening", func() {
		stopDuringStream()
		time.Sleep(listenTime - 300*time.Millisecond)
		c := connectRaw(b)
		time.Sleep(700 * time.Millisecond)
		sendRaw(c, emulator.RequestText("late-1", "record"))
		o, err := c.ReadAnswer()
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Status).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
	})

	It("answers a request on a kept connection whose head it had read in part when it stopped listening", func() {
		c := connectRaw(b)
		sendRaw(c, emulator.RequestText("kept-1", "record"))
		_, err := c.ReadAnswer()
		Expect(err).NotTo(HaveOccurred())
		stopDuringStream()
		text := emulator.RequestText("kept-2", "record")
		time.Sleep(listenTime - 300*time.Millisecond)
		sendRaw(c, text[:len(text)/2])
		time.Sleep(700 * time.Millisecond)
		sendRaw(c, text[len(text)/2:])
		o, err := c.ReadAnswer()
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Status).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
	})

	It("answers a request that an endpoint has not answered when the grace period ends", func() {
		engine.SetFault(emulator.SilentStream, -1)
		c := connectRaw(b)
		sendRaw(c, streamText("silent-1"))
		Eventually(engine.Runs).WithTimeout(waitTimeout).Should(HaveLen(1))
		b.Stop()
		o, err := c.ReadAnswer()
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Status).To(Equal(http.StatusBadGateway))
	})

	It("answers a request whose body is incomplete when the grace period ends", func() {
		c := connectRaw(b)
		text := emulator.RequestText("half-1", strings.Repeat("x", 4096))
		sendRaw(c, emulator.WithDeadline(text[:len(text)-100], longDeadline))
		b.Stop()
		o, err := c.ReadAnswer()
		Expect(err).NotTo(HaveOccurred())
		Expect(o.PromisesNotRun()).To(BeTrue())
	})
})
