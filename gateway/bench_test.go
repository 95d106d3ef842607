package gateway_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/gateway"
	"dillsaddle.example/dillsaddle/platform"
	"dillsaddle.example/dillsaddle/platform/emulator"
)

// bench is a gateway before emulated servers; the belief is read once from the
// emulated store.
type bench struct {
	deployment *emulator.Deployment
	belief     *fleet.State
	gateway    *gateway.Gateway
	front      string
	caller     *emulator.Caller
	store      *platform.Store
	look       func() // for a suspension, or nil
	log        *observer.ObservedLogs
}

// callerWaits is the deadline of the bench's calls.
const callerWaits = 1500 * time.Millisecond

func newBench() *bench { return newBenchWith(true) }

// newBenchWith builds one; a box that isn't fresh has no slack at first.
func newBenchWith(fresh bool, options ...gateway.Option) *bench {
	d, err := emulator.NewDeployment()
	Expect(err).NotTo(HaveOccurred())
	kept, log := observer.New(zap.InfoLevel)
	b := &bench{
		log:        log,
		deployment: d,
		store:      platform.NewStore(netip.MustParseAddrPort(d.StoreAddr)),
	}
	b.belief = fleet.NewState(fleet.WithOnChange(func(c fleet.Change) {
		if b.gateway != nil {
			b.gateway.HandleChange(c)
		}
	}))
	b.gateway = gateway.New("zone-a", platform.Protocol{}, b.belief.View, gateway.Rules{
		Retry: core.BudgetRules{
			Ratio:  0.2,
			Slack:  50,
			Window: 10 * time.Second,
			Safety: 1,
		},
		MemoryBytes:  64 << 20,
		FirstProcess: fresh,
	}, append([]gateway.Option{
		gateway.WithLog(zap.New(kept)),
		gateway.WithMover(platform.NewEngineClient()),
		gateway.WithSuspensionCheck(func() {
			if b.look != nil {
				b.look()
			}
		}),
	}, options...)...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: b.gateway}
	go func() { _ = server.Serve(l) }()
	b.front = l.Addr().String()
	b.caller = emulator.NewCaller(b.front, emulator.Key)
	DeferCleanup(func() {
		_ = server.Close()
		d.Close()
	})
	return b
}

// add starts a server and lets the gateway know it.
func (b *bench) add(id, service string) *emulator.Server {
	s, err := b.deployment.Add(id, service)
	Expect(err).NotTo(HaveOccurred())
	b.refresh()
	return s
}

// ends counts the lines on endpoints that ended under a request.
func (b *bench) ends(request string) int {
	return b.log.FilterMessage("endpoint crashed during a request").FilterField(zap.String("request", request)).Len()
}

func (b *bench) refresh() {
	snapshot, err := b.store.Read(context.Background())
	Expect(err).NotTo(HaveOccurred())
	b.belief.ApplySnapshot(time.Now(), snapshot)
}

func (b *bench) call(method, path, id, body string) emulator.Outcome {
	return b.caller.Do(context.Background(), emulator.Call{
		ID:            id,
		Method:        method,
		Path:          path,
		Body:          body,
		Deadline:      callerWaits,
		ForgesHeaders: true,
	})
}
