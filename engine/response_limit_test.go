package engine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/platform/emulator"
)

// Guards against responses without end that fill the memory of the process that reads them.
var _ = Describe("a client with a limit on responses", func() {
	const (
		maxBody      = 256 << 10
		maxAllocated = 16 << 20
		timeout      = 5 * time.Second
	)
	get := func(address string, response *protocol.Response) error {
		c, err := client.NewClient(engine.WithMaxResponse(maxBody), client.WithClientReadTimeout(timeout))
		Expect(err).NotTo(HaveOccurred())
		request := protocol.NewRequest(http.MethodGet, "http://"+address+"/", nil)
		return c.Do(context.Background(), request, response)
	}

	DescribeTable("stops reading one without end",
		func(text, endless string) {
			server, err := emulator.NewServer("endless", emulator.AnyAddress())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Crash)
			server.SetRawAnswer(text, endless)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			Expect(get(server.Address(), &protocol.Response{})).NotTo(Succeed())
			runtime.ReadMemStats(&after)
			Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", maxAllocated), "bytes")
			Expect(time.Since(began)).To(BeNumerically("<", timeout))
		},
		Entry("in its status line", "HTTP/1.1 200 ", "x"),
		Entry("in a header", "HTTP/1.1 200 OK\r\nX-Long: ", "x"),
		Entry("in the number of its headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"),
		Entry("in a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n", "x"),
		Entry("in a body without a length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x"),
		Entry("in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "x"),
		Entry("in the number of its chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
		Entry("in its trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"),
	)

	It("reads one whose body is as large as allowed", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		body := strings.Repeat("x", maxBody)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })}
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
		var response protocol.Response
		Expect(get(l.Addr().String(), &response)).To(Succeed())
		Expect(string(response.Body()) == body).To(BeTrue())
	})
})
