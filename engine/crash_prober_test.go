package engine_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/engine"
)

// dialAfter returns a dial function whose connections hang until a time after its first call.
func dialAfter(silence time.Duration) engine.DialFunc {
	var soundAt time.Time
	return func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		if soundAt.IsZero() {
			soundAt = time.Now().Add(silence)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Until(soundAt)):
			local, _ := net.Pipe()
			return local, nil
		}
	}
}

// Guards against requests that are quarantined because sound endpoints were silent for a moment.
func TestSilentEndpointHasCrashedOnlyIfItStaysSilent(t *testing.T) {
	for silence, crashed := range map[time.Duration]bool{
		time.Second:             false,
		1500 * time.Millisecond: false,
		time.Minute:             true,
	} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			neverHeard := func(time.Time) bool { return false }
			state, hasCrashed := engine.NewCrashProber(dialAfter(silence)).Crashed("e", netip.AddrPort{}, neverHeard)
			g.Expect(hasCrashed).To(gomega.Equal(crashed), "silent for %v: %s", silence, state)
		})
	}
}
