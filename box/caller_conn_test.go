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
})
