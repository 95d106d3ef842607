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

// testbedMemory is the memory of a testbed's gateway in bytes.
const testbedMemory = 64 << 20

// testbed is a gateway in front of emulated servers; it reads its view from the emulated
// store once, and again on refresh.
type testbed struct {
	deployment      *emulator.Deployment
	state           *fleet.State
	gateway         *gateway.Gateway
	address         string
	caller          *emulator.Caller
	store           *platform.Store
	checkSuspension func() // called at each check for a suspension, or nil
	log             *observer.ObservedLogs
}

// callerTimeout is the deadline of the testbed's calls.
const callerTimeout = 1500 * time.Millisecond

func newTestbed() *testbed { return newTestbedWith(true) }

// newTestbedWith returns a testbed. Its retry budget has no slack at first if firstProcess is
// not set.
func newTestbedWith(firstProcess bool, options ...gateway.Option) *testbed {
	d, err := emulator.NewDeployment()
	Expect(err).NotTo(HaveOccurred())
	observed, log := observer.New(zap.InfoLevel)
	b := &testbed{
		log:        log,
		deployment: d,
		store:      platform.NewStore(netip.MustParseAddrPort(d.StoreAddr)),
	}
	b.state = fleet.NewState(fleet.WithOnChange(func(c fleet.Change) {
		if b.gateway != nil {
			b.gateway.HandleChange(c)
		}
	}))
	b.gateway = gateway.New("zone-a", platform.Protocol{}, b.state.View, gateway.Rules{
		Retry: core.BudgetRules{
			Ratio:  0.2,
			Slack:  50,
			Window: 10 * time.Second,
			Safety: 1,
		},
		MemoryBytes:  testbedMemory,
		FirstProcess: firstProcess,
	}, append([]gateway.Option{
		gateway.WithLog(zap.New(observed)),
		gateway.WithMover(platform.NewEngineClient()),
		gateway.WithSuspensionCheck(func() {
			if b.checkSuspension != nil {
				b.checkSuspension()
			}
		}),
	}, options...)...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: b.gateway}
	go func() { _ = server.Serve(l) }()
	b.address = l.Addr().String()
	b.caller = emulator.NewCaller(b.address, emulator.Key)
	DeferCleanup(func() {
		_ = server.Close()
		d.Close()
	})
	return b
}

// add starts a server and refreshes the gateway's view.
func (b *testbed) add(id, service string) *emulator.Server {
	s, err := b.deployment.Add(id, service)
	Expect(err).NotTo(HaveOccurred())
	b.refresh()
	return s
}

// crashCount returns the number of crashes logged for a request.
func (b *testbed) crashCount(request string) int {
	return b.log.FilterMessage("endpoint crashed during a request").FilterField(zap.String("request", request)).Len()
}

func (b *testbed) refresh() {
	snapshot, err := b.store.Read(context.Background())
	Expect(err).NotTo(HaveOccurred())
	b.state.ApplySnapshot(time.Now(), snapshot)
}

func (b *testbed) call(method, path, id, body string) emulator.Outcome {
	return b.caller.Do(context.Background(), emulator.Call{
		ID:            id,
		Method:        method,
		Path:          path,
		Body:          body,
		Deadline:      callerTimeout,
		ForgesHeaders: true,
	})
}
