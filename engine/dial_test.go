package engine_test

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/engine"
)

// userTimeoutOption is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
const userTimeoutOption = 18

// option returns an integer option of a TCP connection.
func option(g *gomega.WithT, c net.Conn, name int) int {
	raw, err := c.(syscall.Conn).SyscallConn()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	value := 0
	g.Expect(raw.Control(func(fd uintptr) {
		value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name)
	})).To(gomega.Succeed())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return value
}

// Guards against connections that one lost keep-alive probe ends: with TCP_USER_TIMEOUT, Linux gives
// up by time and not by the number of probes.
func TestConnectionOutlivesLostKeepAliveProbes(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer l.Close()
	c, err := engine.Dial(t.Context(), netip.MustParseAddrPort(l.Addr().String()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	idle := time.Duration(option(g, c, syscall.TCP_KEEPIDLE)) * time.Second
	interval := time.Duration(option(g, c, syscall.TCP_KEEPINTVL)) * time.Second
	timeout := time.Duration(option(g, c, userTimeoutOption)) * time.Millisecond
	g.Expect(timeout).NotTo(gomega.BeZero())
	probes := int((timeout - idle) / interval)
	g.Expect(probes).To(gomega.BeNumerically(">=", 3), "probes before the connection is given up")
	g.Expect(probes).To(gomega.BeNumerically("<=", option(g, c, syscall.TCP_KEEPCNT)))
	g.Expect(timeout).To(gomega.BeNumerically(">", engine.MaxSoundSilence))
	g.Expect(timeout).To(gomega.BeNumerically("<=", 6*time.Second), "a lost path is found")
}
