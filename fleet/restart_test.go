package fleet_test

import (
	"context"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/platform/emulator"
	"dillsaddle.example/dillsaddle/routing"
)

// started gives an endpoint of a server that tells when it started.
func started(name string, start int64, revision routing.Revision, leaving bool) routing.Endpoint {
	e := endpoint(routing.IncarnationID(name, start), revision, leaving)
	e.Started = start
	return e
}

var _ = Describe("a server that starts again under its name", func() {
	var b *fleet.State
	var changes []fleet.Change
	kinds := func() []fleet.ChangeKind {
		var out []fleet.ChangeKind
		for _, c := range changes {
			out = append(out, c.Kind)
		}
		return out
	}
	BeforeEach(func() {
		changes = nil
		b = fleet.NewState(fleet.WithOnChange(func(c fleet.Change) { changes = append(changes, c) }))
		b.ApplySnapshot(noon, snapshot(10, started("a", 1000, 1, false), started("b", 1000, 2, false)))
		changes = nil
	})
	restart := func() {
		b.ApplyChanges(noon, &fleet.Changes{
			Revision: 11,
			Updated:  []routing.Endpoint{started("a", 5000, 11, false)},
		})
	}

	It("is another endpoint, and the former one is gone", func() {
		restart()
		Expect(serving(b)).To(Equal([]string{"a@5000", "b@1000"}))
		_, known := b.View().Endpoint("a@1000")
		Expect(known).To(BeFalse())
		Expect(kinds()).To(Equal([]fleet.ChangeKind{fleet.EndpointRestarted, fleet.EndpointJoined}))
		Expect(changes[0].Endpoint.ID).To(Equal("a@1000"))
	})

	It("serves though its former life was leaving", func() {
		b.ApplyChanges(noon, &fleet.Changes{
			Revision: 11,
			Updated:  []routing.Endpoint{started("a", 1000, 11, true)},
		})
		Expect(serving(b)).To(Equal([]string{"b@1000"}))
		b.ApplyChanges(noon, &fleet.Changes{
			Revision: 12,
			Updated:  []routing.Endpoint{started("a", 5000, 12, false)},
		})
		Expect(serving(b)).To(Equal([]string{"a@5000", "b@1000"}))
	})

	It("isn't undone by a list that comes late, whatever its revisions say", func() {
		restart()
		b.ApplyPeerState(noon, "peer", fleet.PeerState{
			ListRevision: 20,
			Endpoints:    []routing.Endpoint{started("a", 1000, 20, false), started("b", 1000, 2, false)},
		})
		Expect(serving(b)).To(Equal([]string{"a@5000", "b@1000"}))
	})

	It("goes by its name when its entry goes", func() {
		restart()
		b.ApplyChanges(noon, &fleet.Changes{
			Revision: 12,
			Removed: []fleet.Removal{{
				Name:     "a",
				Revision: 12,
			}},
		})
		Expect(serving(b)).To(Equal([]string{"b@1000"}))
	})

	It("is noticed by its report, before its entry tells", func() {
		former, _ := b.View().Endpoint("a@1000")
		b.MarkRestarted("engine", former, 5000)
		Expect(serving(b)).To(Equal([]string{"a@5000", "b@1000"}))
		// Word of the former life that comes late, and the same word again, change nothing.
		b.MarkRestarted("engine", former, 5000)
		b.MarkRestarted("engine", former, 900)
		b.ApplyChanges(noon, &fleet.Changes{
			Revision: 11,
			Updated:  []routing.Endpoint{started("a", 1000, 11, false)},
		})
		Expect(serving(b)).To(Equal([]string{"a@5000", "b@1000"}))
		restart()
		Expect(kinds()).To(Equal([]fleet.ChangeKind{fleet.EndpointRestarted, fleet.EndpointJoined}))
	})

	It("brings a box that is behind to the same list", func() {
		behind := fleet.NewState()
		behind.ApplySnapshot(noon, snapshot(10, started("a", 1000, 1, false), started("b", 1000, 2, false)))
		restart()
		updated, removed, ok := b.ChangesSince(behind.View().ListRevision)
		Expect(ok).To(BeTrue())
		behind.ApplyPeerState(noon, "peer", fleet.PeerState{
			ListRevision: b.View().ListRevision,
			Endpoints:    updated,
			Removed:      removed,
			Partial:      true,
		})
		Expect(serving(behind)).To(Equal(serving(b)))
	})
})

var _ = Describe("an entry that names no server", func() {
	var b *fleet.State
	var kinds []fleet.ChangeKind
	BeforeEach(func() {
		b = fleet.NewState(fleet.WithOnChange(func(c fleet.Change) { kinds = append(kinds, c.Kind) }))
		b.ApplySnapshot(noon, snapshot(10, started("a", 1000, 1, false), started("b", 1000, 2, false)))
		kinds = nil
	})
	spoil := func(name string, revision routing.Revision) {
		b.ApplyChanges(noon, &fleet.Changes{
			Revision: revision,
			Updated:  []routing.Endpoint{routing.UnusableEndpoint(name, revision)},
		})
	}

	It("takes its server out, and the others hold", func() {
		spoil("a", 11)
		Expect(serving(b)).To(Equal([]string{"b@1000"}))
		Expect(kinds).To(Equal([]fleet.ChangeKind{fleet.EndpointUnusable}))
	})

	It("gives the server back when its own entry is there again", func() {
		spoil("a", 11)
		b.ApplyChanges(noon, &fleet.Changes{
			Revision: 12,
			Updated:  []routing.Endpoint{started("a", 1000, 12, false)},
		})
		Expect(serving(b)).To(Equal([]string{"a@1000", "b@1000"}))
	})

	It("tells nothing when it was never a server's, however often it is written", func() {
		for revision := routing.Revision(11); revision < 100; revision++ {
			spoil("x", revision)
		}
		Expect(kinds).To(BeEmpty())
		Expect(serving(b)).To(Equal([]string{"a@1000", "b@1000"}))
	})

	It("reaches a box that has the list from a peer", func() {
		behind := fleet.NewState()
		behind.ApplySnapshot(noon, snapshot(10, started("a", 1000, 1, false), started("b", 1000, 2, false)))
		spoil("a", 11)
		updated, removed, _ := b.ChangesSince(10)
		behind.ApplyPeerState(noon, "peer", fleet.PeerState{
			ListRevision: b.View().ListRevision,
			Endpoints:    updated,
			Removed:      removed,
			Partial:      true,
		})
		Expect(serving(behind)).To(Equal([]string{"b@1000"}))
	})
})

// restartedEngine answers for another incarnation than the one that is asked.
type restartedEngine struct{}

func (restartedEngine) Report(context.Context, routing.Endpoint) (routing.Report, error) {
	return routing.Report{}, &fleet.RestartedError{Started: 5000}
}

var _ = Describe("the reports of a server that started again", func() {
	It("replace what is believed of it", func() {
		b := fleet.NewState()
		b.ApplySnapshot(time.Now(), &fleet.Snapshot{
			Revision: 10,
			Document: &routing.Document{
				Version: 1,
				Services: []routing.Service{{
					Name:   "s",
					Engine: &routing.Engine{Slots: 8},
				}},
			},
			Endpoints: []routing.Endpoint{started("a", 1000, 1, false)},
		})
		reports := fleet.NewLoadReports(restartedEngine{}, b, zap.NewNop(), func(time.Time, routing.Report) {})
		addresses, err := emulator.FreeAddresses(1)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p, err := fleet.NewPeers(core.Peer{
			Box:     "a",
			Address: netip.MustParseAddrPort(addresses[0]),
		}, nil, b, fleet.WithLoadReports(reports))
		Expect(err).NotTo(HaveOccurred())
		go p.Run(ctx)
		go reports.Run(ctx)
		Eventually(func() []string { return serving(b) }).WithTimeout(5 * time.Second).Should(Equal([]string{"a@5000"}))
	})
})
