package box_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

var _ = Describe("a caller's connection", func() {
	It("is not reset while its caller still sends a body that was refused", func() {
		d := newDeployment()
		addServer(d, "i-plain", emulator.PlainService)
		b := startReadyBoxes(d, 1)[0]
		c := connectRaw(b)
		const chunks = 12
		chunk := strings.Repeat("x", 256<<10)
		head, _, _ := strings.Cut(emulator.RequestText("large-1", ""), "Content-Length")
		sendRaw(c, head+"Content-Length: 3145728\r\n\r\n")
		for range chunks {
			sendRaw(c, chunk)
			time.Sleep(100 * time.Millisecond)
		}
		o, err := c.ReadAnswer()
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Status).To(Equal(http.StatusRequestEntityTooLarge))
	})

	// Guards against callers whose heads of many headers fill a box's memory.
	It("is closed with 400 if the head of its request has too many lines", func() {
		d := newDeployment()
		addServer(d, "i-plain", emulator.PlainService)
		b := startReadyBoxes(d, 1)[0]
		requestLine, rest, _ := strings.Cut(emulator.RequestText("long-1", ""), "\r\n")
		c := connectRaw(b)
		for range 2 { // the second request reuses the connection
			sendRaw(c, requestLine+"\r\n"+strings.Repeat("A: b\r\n", 200)+rest)
			Expect(c.ReadAnswer()).To(HaveField("Status", http.StatusOK))
		}
		sendRaw(c, requestLine+"\r\n"+strings.Repeat("A: b\r\n", 2000))
		sentAt := time.Now()
		Expect(c.ReadAnswer()).To(HaveField("Status", http.StatusBadRequest))
		Expect(time.Since(sentAt)).To(BeNumerically("<", time.Second))
	})
})
