package wire_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
	"dillsaddle.example/dillsaddle/wire"
)

// callOver asks another process over a link in virtual time, which answers after a
// pause with a configuration of some bytes.
func callOver(t *testing.T, bytesPerSecond float64, size int, pause time.Duration, ask func(c *wire.Conn) error) error {
	var err error
	synctest.Test(t, func(t *testing.T) {
		n := emulator.NewNetwork(time.Millisecond)
		here, there := netip.MustParseAddrPort("10.0.0.1:9"), netip.MustParseAddrPort("10.0.0.2:9")
		n.AddHost(here.Addr(), bytesPerSecond)
		n.AddHost(there.Addr(), bytesPerSecond)
		handlers := wire.NewHandlers(wire.WithNetwork(n.ForHost(there.Addr())))
		wire.HandleRequest(handlers, func(context.Context, *wire.Conn, wire.Fetch) (wire.Snapshot, error) {
			time.Sleep(pause)
			return wire.Snapshot{Config: make([]byte, size)}, nil
		})
		s, listenErr := wire.Listen(there, handlers)
		if listenErr != nil {
			t.Fatal(listenErr)
		}
		c, dialErr := wire.Dial(t.Context(), there, wire.NewHandlers(wire.WithNetwork(n.ForHost(here.Addr()))))
		if dialErr != nil {
			t.Fatal(dialErr)
		}
		err = ask(c)
		c.Close()
		s.Close()
		time.Sleep(time.Minute)
	})
	return err
}

// A snapshot of a megabyte takes 1.7 s of a link of 5 Mbit/s. A bound on the whole of it
// threw it away after a second, and had it sent again: each time.
func TestAnAnswerThatKeepsComingIsWaitedFor(t *testing.T) {
	g := gomega.NewWithT(t)
	err := callOver(t, 5e6/8, 1<<20, 0, func(c *wire.Conn) error {
		s, err := wire.CallWithIdleTimeout[wire.Snapshot](context.Background(), c, wire.Fetch{}, time.Second)
		g.Expect(s.Config).To(gomega.HaveLen(1 << 20))
		return err
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

func TestAnAnswerThatDoesNotBeginIsNotWaitedFor(t *testing.T) {
	g := gomega.NewWithT(t)
	var took time.Duration
	err := callOver(t, 5e6/8, 10, 20*time.Second, func(c *wire.Conn) error {
		began := time.Now()
		_, err := wire.CallWithIdleTimeout[wire.Snapshot](context.Background(), c, wire.Fetch{}, time.Second)
		took = time.Since(began)
		return err
	})
	g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
	g.Expect(took).To(gomega.Equal(time.Second))
}
