package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// raw is a caller that writes its own bytes.
type raw struct {
	net.Conn
	reader *bufio.Reader
}

func dialRaw(b *bench) *raw {
	c, err := net.Dial("tcp", b.front)
	Expect(err).NotTo(HaveOccurred())
	Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	DeferCleanup(c.Close)
	return &raw{
		Conn:   c,
		reader: bufio.NewReader(c),
	}
}

func (r *raw) say(text string) {
	_, err := io.WriteString(r, text)
	Expect(err).NotTo(HaveOccurred())
}

func (r *raw) answer() (status int, id, body string) {
	a, err := http.ReadResponse(r.reader, nil)
	Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(a.Body)
	Expect(err).NotTo(HaveOccurred())
	return a.StatusCode, a.Header.Get("X-Request-Id"), string(data)
}

// requestText writes a request that carries its length.
func requestText(id, body string, extra ...string) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nApi-Key: %s\r\nX-Deadline-Ms: 5000\r\nContent-Length: %d\r\n",
		emulator.CallPath, emulator.Host, id, emulator.Key, len(body))
	return head + strings.Join(append(extra, ""), "\r\n") + "\r\n" + body
}

var _ = Describe("a caller's connection", func() {
	var b *bench
	var s *emulator.Server
	BeforeEach(func() {
		b = newBench()
		s = b.add("i-1", emulator.Plain)
	})

	It("with pipelined requests gets the answers in order, each its own", func() {
		c := dialRaw(b)
		c.say(requestText("p1", "one") + requestText("p2", "two") + requestText("p3", "three"))
		for i, want := range []string{"one", "two", "three"} {
			status, id, _ := c.answer()
			Expect(status).To(Equal(http.StatusOK))
			Expect(id).To(Equal(fmt.Sprintf("p%d", i+1)))
			Expect(s.Runs()[i].Body).To(Equal(want))
		}
		Expect(s.Runs()).To(HaveLen(3))
	})

	// A caller that closes its connection looks the same at first, and its runs
	// must stop within half a second.
	It("that is half closed after the request counts as closed", func() {
		s.WorkTime = 5 * time.Second
		c := dialRaw(b)
		c.say(requestText("h1", "body"))
		Eventually(s.Runs).Should(HaveLen(1))
		Expect(c.Conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		_, err := c.reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(b.gateway.Active()).To(BeZero())
	})

	It("that asks to be closed is closed after its answer and not before", func() {
		c := dialRaw(b)
		c.say(requestText("k1", "body", "Connection: close"))
		status, _, _ := c.answer()
		Expect(status).To(Equal(http.StatusOK))
		_, err := c.reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("with a body shorter than its length never has it run", func() {
		c := dialRaw(b)
		text := requestText("s1", "whole body")
		c.say(text[:len(text)-4])
		Expect(c.Conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		_, _ = io.ReadAll(c.reader)
		Consistently(s.Runs).WithTimeout(200 * time.Millisecond).Should(BeEmpty())
	})

	DescribeTable("never has a request run that hides in the body of another",
		func(extra string) {
			c := dialRaw(b)
			c.say(requestText("outer", "0\r\n\r\n"+requestText("inner", "x"), extra))
			_, err := io.ReadAll(c.reader)
			Expect(err).NotTo(HaveOccurred())
			for _, run := range s.Runs() {
				Expect(run.ID).To(Equal("outer"))
			}
		},
		Entry("with two lengths", "Content-Length: 3"),
		Entry("with a length beside chunks", "Transfer-Encoding: chunked"),
	)
})
