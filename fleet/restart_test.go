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

// startedEndpoint returns an endpoint whose server reported its start.
func startedEndpoint(name string, start int64, revision routing.Revision, leaving bool) routing.Endpoint {
	e := endpoint(routing.IncarnationID(name, start), revision, leaving)
	e.Started = start
	return e
}

var _ = Describe("a server that restarts under its name", func() {
	var state *fleet.State
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
		state = fleet.NewState(fleet.WithOnChange(func(c fleet.Change) { changes = append(changes, c) }))
		state.ApplySnapshot(noon, snapshot(10, startedEndpoint("a", 1000, 1, false), startedEndpoint("b", 1000, 2, false)))
		changes = nil
	})
	restart := func() {
		state.ApplyChanges(noon, &fleet.Changes{
			Revision: 11,
			Updated:  []routing.Endpoint{startedEndpoint("a", 5000, 11, false)},
		})
	}

	It("is a new endpoint, and the previous one is removed", func() {
		restart()
		Expect(serving(state)).To(Equal([]string{"a@5000", "b@1000"}))
		_, known := state.View().Endpoint("a@1000")
		Expect(known).To(BeFalse())
		Expect(kinds()).To(Equal([]fleet.ChangeKind{fleet.EndpointRestarted, fleet.EndpointJoined}))
		Expect(changes[0].Endpoint.ID).To(Equal("a@1000"))
	})

	It("gets requests though its previous incarnation was leaving", func() {
		state.ApplyChanges(noon, &fleet.Changes{
			Revision: 11,
			Updated:  []routing.Endpoint{startedEndpoint("a", 1000, 11, true)},
		})
		Expect(serving(state)).To(Equal([]string{"b@1000"}))
		state.ApplyChanges(noon, &fleet.Changes{
			Revision: 12,
			Updated:  []routing.Endpoint{startedEndpoint("a", 5000, 12, false)},
		})
		Expect(serving(state)).To(Equal([]string{"a@5000", "b@1000"}))
	})

	It("is not reverted by a late list, whatever its revisions are", func() {
		restart()
		state.ApplyPeerState(noon, "peer", fleet.PeerState{
			ListRevision: 20,
			Endpoints:    []routing.Endpoint{startedEndpoint("a", 1000, 20, false), startedEndpoint("b", 1000, 2, false)},
		})
		Expect(serving(state)).To(Equal([]string{"a@5000", "b@1000"}))
	})

	It("is removed by its name when its entry is removed", func() {
		restart()
		state.ApplyChanges(noon, &fleet.Changes{
			Revision: 12,
			Removed: []fleet.Removal{{
				Name:     "a",
				Revision: 12,
			}},
		})
		Expect(serving(state)).To(Equal([]string{"b@1000"}))
	})

	It("is detected by its load report before its entry changes", func() {
		former, _ := state.View().Endpoint("a@1000")
		state.MarkRestarted("engine", former, 5000)
		Expect(serving(state)).To(Equal([]string{"a@5000", "b@1000"}))
		// Late reports and entries of the previous incarnation, and repeated reports, change nothing.
		state.MarkRestarted("engine", former, 5000)
		state.MarkRestarted("engine", former, 900)
		state.ApplyChanges(noon, &fleet.Changes{
			Revision: 11,
			Updated:  []routing.Endpoint{startedEndpoint("a", 1000, 11, false)},
		})
		Expect(serving(state)).To(Equal([]string{"a@5000", "b@1000"}))
		restart()
		Expect(kinds()).To(Equal([]fleet.ChangeKind{fleet.EndpointRestarted, fleet.EndpointJoined}))
	})

	It("reaches a box that is behind through a partial list", func() {
		behind := fleet.NewState()
		behind.ApplySnapshot(noon, snapshot(10, startedEndpoint("a", 1000, 1, false), startedEndpoint("b", 1000, 2, false)))
		restart()
		updated, removed, ok := state.ChangesSince(behind.View().ListRevision)
		Expect(ok).To(BeTrue())
		behind.ApplyPeerState(noon, "peer", fleet.PeerState{
			ListRevision: state.View().ListRevision,
			Endpoints:    updated,
			Removed:      removed,
			Partial:      true,
		})
		Expect(serving(behind)).To(Equal(serving(state)))
	})
})

var _ = Describe("an unusable store entry", func() {
	var state *fleet.State
	var kinds []fleet.ChangeKind
	BeforeEach(func() {
		state = fleet.NewState(fleet.WithOnChange(func(c fleet.Change) { kinds = append(kinds, c.Kind) }))
		state.ApplySnapshot(noon, snapshot(10, startedEndpoint("a", 1000, 1, false), startedEndpoint("b", 1000, 2, false)))
		kinds = nil
	})
	writeUnusable := func(name string, revision routing.Revision) {
		state.ApplyChanges(noon, &fleet.Changes{
			Revision: revision,
			Updated:  []routing.Endpoint{routing.UnusableEndpoint(name, revision)},
		})
	}

	It("removes its server and no other", func() {
		writeUnusable("a", 11)
		Expect(serving(state)).To(Equal([]string{"b@1000"}))
		Expect(kinds).To(Equal([]fleet.ChangeKind{fleet.EndpointUnusable}))
	})

	It("is replaced when the server's entry is valid again", func() {
		writeUnusable("a", 11)
		state.ApplyChanges(noon, &fleet.Changes{
			Revision: 12,
			Updated:  []routing.Endpoint{startedEndpoint("a", 1000, 12, false)},
		})
		Expect(serving(state)).To(Equal([]string{"a@1000", "b@1000"}))
	})

	It("causes no change if it never belonged to a server, however often it is written", func() {
		for revision := routing.Revision(11); revision < 100; revision++ {
			writeUnusable("x", revision)
		}
		Expect(kinds).To(BeEmpty())
		Expect(serving(state)).To(Equal([]string{"a@1000", "b@1000"}))
	})

	It("reaches a box that gets the list from a peer", func() {
		behind := fleet.NewState()
		behind.ApplySnapshot(noon, snapshot(10, startedEndpoint("a", 1000, 1, false), startedEndpoint("b", 1000, 2, false)))
		writeUnusable("a", 11)
		updated, removed, _ := state.ChangesSince(10)
		behind.ApplyPeerState(noon, "peer", fleet.PeerState{
			ListRevision: state.View().ListRevision,
			Endpoints:    updated,
			Removed:      removed,
			Partial:      true,
		})
		Expect(serving(behind)).To(Equal([]string{"b@1000"}))
	})
})

// restartedReporter answers as a later incarnation than the queried one.
type restartedReporter struct{}

func (restartedReporter) Report(context.Context, routing.Endpoint) (routing.Report, error) {
	return routing.Report{}, &fleet.RestartedError{Started: 5000}
}

var _ = Describe("a load query answered by a restarted server", func() {
	It("replaces the endpoint by the new incarnation", func() {
		state := fleet.NewState()
		state.ApplySnapshot(time.Now(), &fleet.Snapshot{
			Revision: 10,
			Document: &routing.Document{
				Version: 1,
				Services: []routing.Service{{
					Name:   "s",
					Engine: &routing.Engine{Slots: 8},
				}},
			},
			Endpoints: []routing.Endpoint{startedEndpoint("a", 1000, 1, false)},
		})
		reports := fleet.NewLoadReports(restartedReporter{}, state, zap.NewNop(), func(time.Time, routing.Report) {})
		addresses, err := emulator.FreeAddresses(1)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p, err := fleet.NewPeers(core.Peer{
			Box:     "a",
			Address: netip.MustParseAddrPort(addresses[0]),
		}, nil, state, fleet.WithLoadReports(reports))
		Expect(err).NotTo(HaveOccurred())
		go p.Run(ctx)
		go reports.Run(ctx)
		Eventually(func() []string { return serving(state) }).WithTimeout(5 * time.Second).Should(Equal([]string{"a@5000"}))
	})
})
