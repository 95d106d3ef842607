package engine_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/platform/emulator"
)

// Guards against responses that the HTTP library takes for whole, or for responses at all.
var _ = Describe("a client that checks responses", func() {
	const timeout = 300 * time.Millisecond
	parts := emulator.AnswerParts{Body: "found"}
	var server *emulator.Server
	BeforeEach(func() {
		var err error
		server, err = emulator.NewServer("raw", emulator.AnyAddress())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Crash)
	})
	post := func(body string) (*protocol.Response, error) {
		c, err := client.NewClient(engine.WithMaxResponse(1<<20), client.WithClientReadTimeout(timeout), client.WithKeepAlive(false))
		Expect(err).NotTo(HaveOccurred())
		var response protocol.Response
		request := protocol.NewRequest(http.MethodPost, "http://"+server.Address()+"/", strings.NewReader(body))
		return &response, c.Do(context.Background(), request, &response)
	}

	It("returns no response that isn't valid in HTTP/1.1", func() {
		var accepted []string
		for _, r := range slices.Concat(parts.InvalidStatuses(), parts.InvalidFields(), parts.FieldsAfterBlanks(), parts.InvalidFraming()) {
			server.SetRawAnswer(r.Text, "")
			if response, err := post(""); err == nil {
				accepted = append(accepted, r.What+": "+string(response.Body()))
			}
		}
		Expect(accepted).To(BeEmpty())
	})

	It("returns the response if it is unusual in HTTP/1.1", func() {
		var failed []string
		for _, r := range slices.Concat(parts.ValidStatuses(), parts.ValidFields(), parts.ValidFraming()) {
			server.SetRawAnswer(r.Text, "")
			response, err := post("")
			if err != nil || response.StatusCode() != http.StatusOK || string(response.Body()) != parts.Body {
				failed = append(failed, r.What)
			}
		}
		// The library doesn't read these.
		Expect(failed).To(ConsistOf("two spaces before the status", "a value in two lines", "several chunks, with extensions and a trailer"))
	})

	It("returns no response whose length the library doesn't read", func() {
		server.SetRawAnswer("HTTP/1.1 200 OK\r\nContent-Length:\t3\r\nConnection: close\r\n\r\nfound", "")
		_, err := post("")
		Expect(err).To(HaveOccurred())
	})

	DescribeTable("returns no response that ends with its connection and is cut",
		func(status string, requestBytes int, readFirst int64, end emulator.ConnEnd) {
			server.SetEarlyAnswer("HTTP/1.1 "+status+"\r\n\r\nfou", readFirst, end)
			for range 10 {
				_, err := post(strings.Repeat("x", requestBytes))
				Expect(err).To(HaveOccurred())
			}
		},
		Entry("by a reset", "200 OK", 0, int64(-1), emulator.EndReset),
		Entry("by a reset during an upload", "200 OK", 8<<20, int64(0), emulator.EndReset),
		Entry("by a close during an upload", "200 OK", 8<<20, int64(0), emulator.EndClose),
		Entry("by a reset during an upload, of a refusal", "413 Too Large", 8<<20, int64(0), emulator.EndReset),
		Entry("by a close during an upload, of a refusal", "413 Too Large", 8<<20, int64(0), emulator.EndClose),
		Entry("by the client's timeout", "200 OK", 0, int64(-1), emulator.EndKeepOpen),
	)

	It("returns a response that ends with its connection, after an upload", func() {
		server.SetEarlyAnswer("HTTP/1.1 200 OK\r\n\r\nfound", -1, emulator.EndClose)
		response, err := post(strings.Repeat("x", 8<<20))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body())).To(Equal("found"))
	})
})
