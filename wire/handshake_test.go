package wire_test

import (
	"bufio"
	"context"
	"crypto/sha1"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/wire"
)

// Guards against taking what isn't valid HTTP/1.1 for a box.
var _ = Describe("a handshake", func() {
	DescribeTable("is accepted only if it is valid:",
		func(statusLine, line string, accepted bool) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(l.Close)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				sum := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
				_, _ = fmt.Fprintf(c, "%s\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Accept: %s\r\n%s\r\n", statusLine, base64.StdEncoding.EncodeToString(sum[:]), line)
			}()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			conn, err := wire.Dial(ctx, l.Addr().(*net.TCPAddr).AddrPort(), wire.NewHandlers())
			Expect(err == nil).To(Equal(accepted))
			if err == nil {
				conn.Close()
			}
		},
		Entry("a change of protocols", "HTTP/1.1 101 Switching Protocols", "", true),
		Entry("status 000", "HTTP/1.1 000 None", "", false),
		Entry("no change of protocols", "HTTP/1.1 200 OK", "", false),
		Entry("another version", "HTTP/2.0 101 Switching Protocols", "", false),
		Entry("a blank in a name", "HTTP/1.1 101 Switching Protocols", "X Other: a\r\n", false),
		Entry("a blank after a name", "HTTP/1.1 101 Switching Protocols", "X-Other : a\r\n", false),
		Entry("a control byte in a name", "HTTP/1.1 101 Switching Protocols", "X\x01Other: a\r\n", false),
	)
})
