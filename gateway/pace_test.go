package gateway_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
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
	"dillsaddle.example/dillsaddle/routing"
)

// slowdownProtocol is the platform's protocol where all answers report a slowdown, and where a
// continuation takes longer than a pause may.
type slowdownProtocol struct{ platform.Protocol }

func (slowdownProtocol) Answer(status int, h http.Header) gateway.Answer {
	a := platform.Protocol{}.Answer(status, h)
	a.Load = &gateway.Load{
		Slots:       8,
		Slowdown:    1,
		HasSlowdown: true,
	}
	return a
}

func (slowdownProtocol) Outbound(h http.Header, o gateway.Outbound) {
	if o.ContinueAt != "" {
		time.Sleep(2 * pauseTarget)
	}
	platform.Protocol{}.Outbound(h, o)
}

// placementLog records the placements that the group was notified of.
type placementLog struct {
	mu     sync.Mutex
	placed []fleet.Placement
}

func (l *placementLog) add(p fleet.Placement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.placed = append(l.placed, p)
}

func (l *placementLog) all() []fleet.Placement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.placed)
}

// stoppingWriter is the connection of a caller that stops reading for a while.
type stoppingWriter struct {
	*httptest.ResponseRecorder
	writes int
}

func (w *stoppingWriter) Write(b []byte) (int, error) {
	w.writes++
	if w.writes == 8 {
		time.Sleep(2 * pauseTarget)
	}
	return w.ResponseRecorder.Write(b)
}

// pauseTarget is the target for pauses of the streams below, whose engines make an event every
// 4 ms or every 180 ms.
const (
	pauseTarget  = 150 * time.Millisecond
	fastInterval = 4 * time.Millisecond
	slowInterval = 180 * time.Millisecond
)

var _ = Describe("a stream with a target for its pauses", func() {
	var b *testbed
	var placed *placementLog
	start := func(protocol gateway.Protocol) {
		// A gateway of an earlier test may still end its work, so it has its own variables.
		bed, own := newTestbed(), &placementLog{}
		b, placed = bed, own
		view := func() *fleet.View {
			v := *bed.state.View()
			if v.Table != nil {
				d := *v.Table.Document()
				d.Routes = slices.Clone(d.Routes)
				for i := range d.Routes {
					d.Routes[i].PauseTarget = pauseTarget
				}
				v.Table = routing.NewTable(&d)
			}
			return &v
		}
		observed, log := observer.New(zap.InfoLevel)
		b.log = log
		b.gateway = gateway.New("zone-a", protocol, view, gateway.Rules{
			Retry: core.BudgetRules{
				Ratio:  0.2,
				Slack:  50,
				Window: 10 * time.Second,
				Safety: 1,
			},
			MemoryBytes:  64 << 20,
			FirstProcess: true,
		}, gateway.WithLog(zap.New(observed)), gateway.WithMover(platform.NewEngineClient()), gateway.WithOnPlaced(own.add))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: b.gateway}
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
		b.caller = emulator.NewCaller(l.Addr().String(), emulator.Key)
	}
	add := func(id string, events int, interval time.Duration) *emulator.Server {
		s, err := b.deployment.Add(id, emulator.ModelService)
		Expect(err).NotTo(HaveOccurred())
		s.Events, s.EventInterval = events, interval
		b.refresh()
		return s
	}
	// stream runs a stream and returns the placements that the group was notified of.
	stream := func(id string) []fleet.Placement {
		before := len(placed.all())
		o := b.caller.Do(context.Background(), emulator.Call{
			ID:       id,
			Method:   http.MethodPost,
			Path:     emulator.StreamPath,
			Body:     "prompt",
			Deadline: 20 * time.Second,
			Tokens: emulator.Tokens{
				Prompt:    100,
				MaxOutput: 400,
			},
		})
		Expect(o.IsComplete).To(BeTrue())
		Eventually(func() bool {
			all := placed.all()
			return len(all) > before && all[len(all)-1].RunEnded
		}).Should(BeTrue())
		return placed.all()[before:]
	}

	// Guards against boxes that don't learn of each other's observations, and against a message
	// for each stream at an engine whose pace they know.
	It("notifies the group of its engine's pace once it is new, and of its result", func() {
		start(slowdownProtocol{})
		e := add("e-1", 20, fastInterval)
		all := stream("a0") // before it, the box doesn't know that slowdowns are reported
		Expect(all[0].Sensitive).To(BeFalse())
		Expect(all).To(HaveLen(3))
		Expect(all[1].Pace.EventInterval).To(BeNumerically("~", fastInterval, fastInterval))
		Expect(all[1].RunEnded).To(BeFalse())
		Expect(b.log.FilterMessage("engine pace changed").Len()).To(Equal(1))

		time.AfterFunc(10*fastInterval, func() {
			b.gateway.HandlePlacement(time.Now(), fleet.Placement{
				Endpoint: all[0].Endpoint,
				Tokens:   10,
			})
		})
		all = stream("a1")
		Expect(all).To(HaveLen(2))
		Expect(all[0].Sensitive).To(BeTrue())
		Expect(all[1].RunEnded).To(BeTrue())
		Expect(all[1].Sensitive).To(BeTrue())
		Expect(all[1].Pace.EventInterval).To(BeNumerically(">", 0))
		Expect(all[1].Pace.Ended).To(BeTrue())
		Expect(all[1].Pace.Broken).To(BeFalse())
		Expect(all[1].Pace.Exposures).To(Equal(1))
		Expect(e.Runs()).To(HaveLen(2))
		Expect(b.gateway.EnginePaces()[emulator.ModelService]).To(HaveLen(1))
	})

	It("notifies the group at once of a pause beyond the target, and only then", func() {
		start(slowdownProtocol{})
		add("e-1", 7, slowInterval)
		stream("b0")
		all := stream("b1")
		Expect(all).To(HaveLen(3))
		Expect(all[1].RunEnded).To(BeFalse())
		Expect(all[1].Sensitive).To(BeTrue())
		Expect(*all[1].Pace).To(Equal(fleet.EnginePace{
			Broken: true,
			Ended:  true,
		}))
		Expect(all[2].RunEnded).To(BeTrue())
		Expect(all[2].Sensitive).To(BeFalse())
		Expect(all[2].Pace.Ended).To(BeFalse())
		Expect(all[2].Pace.EventInterval).To(BeNumerically("~", slowInterval, slowInterval/4))
		// The first stream's pause was before the pace of its engine was known.
		Expect(b.gateway.EnginePaces()[emulator.ModelService][0].Breaks).To(BeNumerically("~", 1, 0.1))
	})

	// Guards against blaming an engine for the time that a continuation took.
	It("that pauses between two engines no longer counts, but is no break of either", func() {
		start(slowdownProtocol{})
		first := add("e-1", 20, fastInterval)
		stream("s0")
		second := add("e-2", 20, fastInterval)
		first.SetFault(emulator.Cut, 1)
		b.gateway.HandlePlacement(time.Now(), fleet.Placement{
			Endpoint:     "e-9",
			StreamBroken: true,
		})
		b.gateway.HandlePlacement(time.Now(), fleet.Placement{
			Endpoint: b.state.View().Serving(emulator.ModelService)[1].ID,
			Tokens:   2000,
		})
		all := slices.DeleteFunc(stream("s1"), func(p fleet.Placement) bool { return !p.Sensitive && p.Pace == nil })
		Expect(second.Runs()[0].ResumedFrom).NotTo(BeEmpty())
		Expect(all).To(HaveLen(6))
		Expect(all[1].RunEnded).To(BeTrue())
		Expect(all[1].Sensitive).To(BeTrue())
		Expect(all[1].Pace.Broken).To(BeFalse())
		Expect(all[2].Copy).To(BeTrue())
		Expect(*all[3].Pace).To(Equal(fleet.EnginePace{Broken: true}))
		Expect(all[3].Sensitive).To(BeTrue())
		Expect(all[4].Pace.EventInterval).To(BeNumerically(">", 0))
		Expect(all[5].Sensitive).To(BeFalse())
		Expect(all[5].Pace.Broken).To(BeFalse())
		Expect(all[5].Pace.Ended).To(BeTrue())
		Expect(b.gateway.EnginePaces()[emulator.ModelService][0].Breaks).To(BeZero())
	})

	// Guards against blaming an engine for a caller that reads its stream slowly.
	It("whose caller stops reading for a while is no observation of its engine", func() {
		start(slowdownProtocol{})
		add("e-1", 30, fastInterval)
		stream("f0")
		before := len(placed.all())
		r, err := b.caller.NewRequest(context.Background(), emulator.Call{
			ID:       "f1",
			Method:   http.MethodPost,
			Path:     emulator.StreamPath,
			Body:     "prompt",
			Deadline: 20 * time.Second,
			Tokens: emulator.Tokens{
				Prompt:    100,
				MaxOutput: 400,
			},
		})
		Expect(err).NotTo(HaveOccurred())
		r.RequestURI = emulator.StreamPath
		b.gateway.ServeHTTP(&stoppingWriter{ResponseRecorder: httptest.NewRecorder()}, r)
		all := placed.all()[before:]
		Expect(all).To(HaveLen(2))
		Expect(all[1].RunEnded).To(BeTrue())
		Expect(all[1].Sensitive).To(BeTrue())
		Expect(all[1].Pace).To(BeNil())
	})

	// Guards against changes for deployments whose endpoints report no slowdowns.
	It("is served as one without where endpoints report no slowdowns", func() {
		start(platform.Protocol{})
		add("e-1", 7, slowInterval)
		stream("c0")
		all := stream("c1")
		Expect(all).To(HaveLen(2))
		for _, p := range all {
			Expect(p.Sensitive).To(BeFalse())
			Expect(p.Pace).To(BeNil())
		}
		Expect(b.gateway.EnginePaces()).To(BeEmpty())
		Expect(b.log.FilterMessage("placed").All()[1].ContextMap()).NotTo(HaveKey("pace"))
	})

	// Guards against a box that learns only from its own streams, and against counting messages
	// about pace as prompts.
	It("goes to an engine of which other boxes reported no long pauses", func() {
		start(slowdownProtocol{})
		add("e-1", 5, fastInterval)
		add("e-2", 5, fastInterval)
		stream("d0")
		for _, e := range b.state.View().Serving(emulator.ModelService) {
			slow := strings.HasPrefix(e.ID, "e-1")
			interval := 17 * time.Millisecond
			if slow {
				interval = 38 * time.Millisecond
			}
			for range 40 {
				b.gateway.HandlePlacement(time.Now(), fleet.Placement{
					Endpoint: e.ID,
					Pace: &fleet.EnginePace{
						EventInterval: interval,
						Exposures:     2,
						Broken:        slow,
						Ended:         true,
					},
				})
			}
			for range 20 {
				b.gateway.HandlePlacement(time.Now(), fleet.Placement{
					Endpoint: e.ID,
					Tokens:   1,
				})
			}
		}
		for i := range 8 {
			Expect(stream("d" + string(rune('1'+i)))[0].Endpoint).To(HavePrefix("e-2"))
		}
		fields := b.log.FilterMessage("placed").All()[1].ContextMap()
		Expect(fields).To(HaveKeyWithValue("break_probability", BeNumerically("<", 0.05)))
		Expect(fields).To(HaveKeyWithValue("expected_misses", BeNumerically("<", 0.9)))
	})
})
