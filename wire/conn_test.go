package wire_test

import (
	"context"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/wire"
)

func listen(h *wire.Handlers) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	address := l.Addr().(*net.TCPAddr).AddrPort()
	Expect(l.Close()).To(Succeed())
	s, err := wire.Listen(address, h)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	return address
}

var _ = Describe("messages between processes", func() {
	It("carry typed questions and answers, with the sender's versions", func() {
		server := wire.NewHandlers(wire.WithVersions(func() wire.Versions { return wire.Versions{Config: 7} }))
		wire.HandleRequest(server, func(_ context.Context, _ *wire.Conn, q wire.ClaimRequest) (wire.ClaimAnswer, error) {
			return wire.ClaimAnswer{Verdict: core.VerdictGranted, Response: []byte(q.Key.Key)}, nil
		})
		seen := make(chan wire.Versions, 8)
		client := wire.NewHandlers(wire.WithOnVersions(func(_ *wire.Conn, v wire.Versions) { seen <- v }))
		pool := wire.NewPool(client)
		answer, err := wire.Request[wire.ClaimAnswer](context.Background(), pool, listen(server), wire.ClaimRequest{Key: core.ClaimKey{Key: "k"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Verdict).To(Equal(core.VerdictGranted))
		Expect(string(answer.Response)).To(Equal("k"))
		Eventually(seen).Should(Receive(Equal(wire.Versions{Config: 7})))
	})

	It("give each question its own answer, however they cross, and drop a late one", func() {
		server := wire.NewHandlers()
		hold := make(chan struct{})
		wire.HandleRequest(server, func(_ context.Context, _ *wire.Conn, q wire.ClaimRequest) (wire.ClaimAnswer, error) {
			if q.Attempt == "late" {
				<-hold
			}
			return wire.ClaimAnswer{Response: []byte(q.Attempt)}, nil
		})
		client := wire.NewHandlers()
		conn, err := wire.Dial(context.Background(), listen(server), client)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err = wire.Call[wire.ClaimAnswer](ctx, conn, wire.ClaimRequest{Attempt: "late"})
		Expect(err).To(MatchError(ContainSubstring("no answer")))
		close(hold)
		for range 20 {
			answer, err := wire.Call[wire.ClaimAnswer](context.Background(), conn, wire.ClaimRequest{Attempt: "next"})
			Expect(err).NotTo(HaveOccurred())
			Expect(string(answer.Response)).To(Equal("next"))
		}
		Eventually(client.Traffic().LateAnswers.Load).Should(BeEquivalentTo(1))
	})

	It("answer a question of a kind that is only pushed, and stay", func() {
		server := wire.NewHandlers()
		wire.HandlePush(server, func(context.Context, *wire.Conn, wire.Fetch) {})
		pool := wire.NewPool(wire.NewHandlers())
		address := listen(server)
		for range 2 {
			_, err := wire.Request[wire.Done](context.Background(), pool, address, wire.Fetch{})
			Expect(err).To(HaveOccurred(), "an empty answer is none of the kind asked for")
		}
	})

	It("tell the fault of a kind that the other process doesn't know", func() {
		pool := wire.NewPool(wire.NewHandlers())
		_, err := wire.Request[wire.Done](context.Background(), pool, listen(wire.NewHandlers()), wire.StatusRequest{})
		Expect(err).To(MatchError(ContainSubstring("one release on all boxes")))
	})
})

var _ = Describe("the size of a message", func() {
	It("is bounded by short floats in a lease's profile", func() {
		wish := wire.LeaseDemand{Endpoint: "engine-0001", Mean: []float32{1024, 2048}}
		Expect(wire.EncodedSize(wish)).To(BeNumerically("<", 60))
	})
})
