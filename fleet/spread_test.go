package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/platform/emulator"
	"dillsaddle.example/dillsaddle/routing"
	"dillsaddle.example/dillsaddle/wire"
)

// Callers of a fleet of 73 boxes, most with links of 10 Mbit/s, were answered by an
// older configuration, 3 s and more after a newer one was confirmed. Four boxes had
// it from the store 1.4 s before it was confirmed, and all others asked them for it at
// once: 17 copies of 120 KB, of 1,448 routes, take 1.6 s of one link, and each was given up, whole,
// after the 0.8 s that one question may take, while its bytes were still being sent; 59
// boxes gave up within 25 ms. A box that had given up asked again only when
// somebody told it of the version once more, at one box 3 s later. The evidence: bytes
// and times of each copy in the logs, the links' seconds in the monitoring, and
// processors at 6% of a core.

const (
	// smallLink is 10 Mbit/s, in bytes a second.
	smallLink = 10e6 / 8
	// hop is the way of a byte between two boxes.
	hop = 900 * time.Microsecond
	// inForce is the time in which a change must be in force.
	inForce = 3 * time.Second
	// settle is how long boxes that start together need to know each other.
	settle = 10 * time.Second
)

// smallFleet is boxes in memory, each with its link.
type smallFleet struct {
	network *emulator.Network
	peers   []*fleet.Peers
	beliefs []*fleet.State
	held    []*fleet.Quarantine
	limits  []*fleet.Limits
	placed  []*atomic.Int64 // placements that each box heard of
	start   func(box int)
}

// startFleet starts boxes on links of one speed, each with a configuration and an
// empty list; the first one's address is all that they know. They have met when it
// returns.
func startFleet(t *testing.T, boxes int, bytesPerSecond float64) *smallFleet {
	f := beginFleet(t, boxes, bytesPerSecond, func(*fleet.State) *fleet.LoadReports { return nil })
	time.Sleep(settle)
	return f
}

// beginFleet starts boxes as startFleet does, with what asks their engines.
func beginFleet(t *testing.T, boxes int, bytesPerSecond float64, reports func(*fleet.State) *fleet.LoadReports) *smallFleet {
	n := emulator.NewNetwork(hop)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		// Whatever is still under way ends within this: time stops with the test.
		time.Sleep(settle)
	})
	f := &smallFleet{network: n}
	seed := netip.AddrPortFrom(hostOf(0), 8000)
	f.start = func(i int) {
		n.AddHost(hostOf(i), bytesPerSecond)
		b := fleet.NewState()
		b.ApplySnapshot(time.Now(), snapshot(1))
		q := fleet.NewQuarantine(zap.NewNop())
		limits := fleet.NewLimits(zap.NewNop())
		heard := new(atomic.Int64)
		p, err := fleet.NewPeers(core.Peer{
			Box:        fmt.Sprintf("box-%02d", i),
			Address:    netip.AddrPortFrom(hostOf(i), 8000),
			Zone:       fmt.Sprintf("zone-%d", i%2),
			InstanceID: uint64(i + 1),
		}, []netip.AddrPort{seed}, b, append(reporting(reports(b)), fleet.WithNetwork(n.ForHost(hostOf(i))), fleet.WithQuarantine(q), fleet.WithLimits(limits),
			fleet.WithPlacementHandler(func(time.Time, fleet.Placement) { heard.Add(1) }))...)
		if err != nil {
			t.Fatal(err)
		}
		go p.Run(ctx)
		f.peers = append(f.peers, p)
		f.beliefs = append(f.beliefs, b)
		f.held = append(f.held, q)
		f.limits = append(f.limits, limits)
		f.placed = append(f.placed, heard)
	}
	for i := range boxes {
		f.start(i)
	}
	return f
}

func reporting(r *fleet.LoadReports) []fleet.PeersOption {
	if r == nil {
		return nil
	}
	return []fleet.PeersOption{fleet.WithLoadReports(r)}
}

func hostOf(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}) }

// learn lets one box have a configuration from the store, and changes of endpoints
// that came with it.
func (f *smallFleet) learn(box int, d *routing.Document, changed ...routing.Endpoint) {
	news, _ := f.beliefs[box].ApplyChanges(time.Now(), &fleet.Changes{
		Revision: routing.Revision(d.Version),
		Document: d,
		Updated:  changed,
	})
	f.peers[box].BroadcastUpdate(news)
}

// without counts the boxes that don't have a version or a newer one.
func (f *smallFleet) without(version uint64) int {
	n := 0
	for _, b := range f.beliefs {
		if b.View().ConfigVersion() < version {
			n++
		}
	}
	return n
}

// largeDocument gives a configuration with many routes; names and paths are as
// random as those of operators, and its copies as large.
func largeDocument(version uint64, routes int) *routing.Document {
	random := rand.New(rand.NewPCG(1, uint64(routes)))
	word := func(n int) string {
		const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
		out := make([]byte, n)
		for i := range out {
			out[i] = letters[random.IntN(len(letters))]
		}
		return string(out)
	}
	d := &routing.Document{Version: version}
	for range routes {
		d.Routes = append(d.Routes, routing.Route{
			Name:          "r-" + word(7),
			Host:          "routes.example",
			PathPrefix:    "/" + word(8) + "/",
			Kind:          routing.Repeatable,
			Timeout:       1500 * time.Millisecond,
			LatencyTarget: 300 * time.Millisecond,
			Rank:          random.IntN(4),
			MaxEndpoints:  2,
			Split: []routing.Share{{
				Service: "lookups-api",
				Weight:  1,
			}},
		})
	}
	return d
}

func TestLargeConfigurationIsInForceInTimeOverSmallLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, 18, smallLink)
		f.learn(0, largeDocument(7, 2850))
		time.Sleep(inForce)
		g.Expect(f.without(7)).To(gomega.BeZero(), "boxes without the configuration after %v", inForce)
	})
}

func TestConfigurationsCloseTogetherAreInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, 18, smallLink)
		const apart = 400 * time.Millisecond
		for version := uint64(7); version < 13; version++ {
			f.learn(int(version)%3, largeDocument(version, 2850))
			time.Sleep(apart)
		}
		time.Sleep(inForce - apart)
		g.Expect(f.without(12)).To(gomega.BeZero(), "boxes without the last configuration after %v", inForce)
	})
}

// A box that falls silent while it gives keeps its takers for one part's time, and no
// longer: others have the version by then.
func TestConfigurationIsInForceInTimeThoughItsFirstGiverFallsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, 18, smallLink)
		f.learn(0, largeDocument(7, 2850))
		time.Sleep(30 * time.Millisecond)
		f.network.SilenceHost(hostOf(0))
		f.learn(1, largeDocument(7, 2850))
		time.Sleep(inForce - 30*time.Millisecond)
		g.Expect(f.without(7)).To(gomega.BeZero(), "boxes without the configuration after %v", inForce)
	})
}

// Word of a leaving endpoint that came with a configuration waited at each box until
// that had taken the configuration, and crossed the fleet at the speed of the copies.
func TestEndpointsDoNotWaitForTheConfigurationTheyCameWith(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, 30, smallLink)
		f.learn(0, document(2), endpoint("x", 3, false))
		time.Sleep(inForce)
		f.learn(0, largeDocument(7, 2850), endpoint("x", 8, true))
		time.Sleep(60 * time.Millisecond)
		for i, b := range f.beliefs {
			g.Expect(serving(b)).To(gomega.BeEmpty(), "box %d still sends to an endpoint that leaves", i)
		}
	})
}

// Greetings waited behind copies on the same links until they were given up: 185
// times a box that was well was suspected, and others took its place as readers.
func TestNobodyIsSuspectedWhileConfigurationsGoRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, 18, smallLink)
		for version := uint64(7); version < 19; version++ {
			f.learn(int(version)%3, largeDocument(version, 2850))
			for range 4 {
				time.Sleep(100 * time.Millisecond)
				for i, p := range f.peers {
					g.Expect(p.Group().Members).To(gomega.HaveLen(17), "box %d misses others", i)
				}
			}
		}
	})
}

// A box that took a configuration alone also took the giver's word that its list was
// whole, without having the list: it then believed an old one to be fresh.
func TestAConfigurationAloneSaysNothingOfTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, 2, smallLink)
		f.learn(0, document(2), endpoint("x", 3, false))
		time.Sleep(inForce)
		// Its list was whole just now, so that no greeting asks for another one.
		f.beliefs[1].Confirm(time.Now(), 3, 0)
		before := f.beliefs[1].View()
		g.Expect(before.ListRevision).To(gomega.BeEquivalentTo(3))
		// A change of the list that the other box doesn't hear of, and then a configuration.
		f.beliefs[0].ApplyChanges(time.Now(), &fleet.Changes{
			Revision: 9,
			Updated:  []routing.Endpoint{endpoint("x", 9, true)},
		})
		f.learn(0, document(10))
		time.Sleep(10 * time.Millisecond)
		after := f.beliefs[1].View()
		g.Expect(after.ConfigVersion()).To(gomega.BeEquivalentTo(10))
		g.Expect(after.ListRevision).To(gomega.BeEquivalentTo(3))
		g.Expect(after.ConfirmedAt).To(gomega.Equal(before.ConfirmedAt))
	})
}

// A box whose machine was suspended took its list for as fresh as before, and told others so,
// who then believed that nothing had changed meanwhile.
func TestASuspendedBoxTellsNobodyThatItsListIsFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := startFleet(t, 2, smallLink)
		f.beliefs[0].Confirm(time.Now(), f.beliefs[0].View().ListRevision, 0)
		f.peers[0].HandleSuspension(time.Minute)
		time.Sleep(2 * time.Second)
		for i, b := range f.beliefs {
			g.Expect(time.Since(b.View().ConfirmedAt)).To(gomega.BeNumerically(">=", settle), "box %d", i)
		}
	})
}

// BenchmarkPackedConfiguration measures what a box saves that gives a configuration on as
// it came, for 2,850 routes: 3.1 ms of a core for each version before, none now.
func BenchmarkPackedConfiguration(b *testing.B) {
	views := fleet.PeerState{Document: largeDocument(7, 2850)}
	for b.Loop() {
		if _, err := wire.Pack(views); err != nil {
			b.Fatal(err)
		}
	}
}
