package fleet

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/wire"
)

const (
	// gossipInterval is the average time between a box's gossip exchanges;
	// storeDownGossipInterval applies while the store is down and peers are the only source.
	gossipInterval          = 250 * time.Millisecond
	storeDownGossipInterval = 150 * time.Millisecond
)

// Peers maintains the roster of boxes and exchanges state with them.
type Peers struct {
	sender            *stateSender
	mu                sync.Mutex                       // guards all fields below
	sources           *core.SourceSelector[*wire.Conn] // selects the box to fetch newer state from
	fetching          bool                             // fetchAll is running
	stopped           chan struct{}                    // closed when Run ends
	wake              chan struct{}                    // wakes fetchAll after an advertisement
	lastPreferred     preferredCache
	roster            *core.Roster
	discovery         *core.PeerDiscovery
	rateShares        *core.ShareAllocator
	discovered        bool // most other boxes are known
	state             *State
	seeds             []netip.AddrPort
	isSeed            bool // the seeds given to this box contain itself
	log               *zap.Logger
	network           wire.Network
	handlers          *wire.Handlers
	pool              *wire.Pool
	server            *wire.Server
	group             core.Group
	groupAddresses    []netip.AddrPort // other boxes of the group
	paths             groupPaths       // paths to the other boxes of the group
	remotePartners    []netip.AddrPort // boxes of other groups, or seeds, to gossip with and send updates to
	gossipCount       int              // exchanges begun, for the round robin
	rotatedAt         time.Time        // last change of remotePartners
	aliveBoxes        map[string]bool  // by name, as of the last log of roster changes
	reports           *LoadReports
	budgets           RetryBudgets
	quarantine        *Quarantine
	parts             *PartQuarantine
	limits            *Limits
	forwarded         http.Handler // serves requests that other boxes forward; nil for none
	checkSuspension   func()
	onPlacement       func(time.Time, Placement)
	onBoxGone         func(box string)
	onEvacuating      func(time.Time, Evacuating)
	pendingPlacements []Placement             // batched for the next message
	seenUpdates       []updateKey             // most recent updates, oldest first
	pushing           map[netip.AddrPort]bool // boxes to which placements are being sent
}

// PeersOption configures Peers.
type PeersOption func(*Peers)

// WithPeersLog sets the logger.
func WithPeersLog(log *zap.Logger) PeersOption {
	return func(p *Peers) { p.log = log }
}

// WithLoadReports includes the engines' load reports in gossip.
func WithLoadReports(r *LoadReports) PeersOption {
	return func(p *Peers) {
		p.reports = r
		r.peers = p
	}
}

// WithNetwork sets the network that connects the boxes. The default is the operating system's.
func WithNetwork(n wire.Network) PeersOption {
	return func(p *Peers) { p.network = n }
}

// WithPlacementHandler sets a function that is called with each placement of another box.
func WithPlacementHandler(onPlacement func(time.Time, Placement)) PeersOption {
	return func(p *Peers) { p.onPlacement = onPlacement }
}

// WithBoxGoneHandler sets a function that is called with each box that is suspected or leaves.
func WithBoxGoneHandler(onBoxGone func(box string)) PeersOption {
	return func(p *Peers) { p.onBoxGone = onBoxGone }
}

// WithSuspensionCheck sets a function that checks whether the machine was suspended and, if so,
// calls HandleSuspension. It is called before ages are sent to other boxes.
func WithSuspensionCheck(checkSuspension func()) PeersOption {
	return func(p *Peers) { p.checkSuspension = checkSuspension }
}

// NewPeers starts to listen on the box's own address. Seeds are the addresses of boxes to
// contact first; they may be stale.
func NewPeers(self core.Peer, seeds []netip.AddrPort, state *State, options ...PeersOption) (*Peers, error) {
	p := &Peers{
		roster:          core.NewRoster(self, core.DefaultRosterRules()),
		discovery:       core.NewPeerDiscovery(time.Now(), core.DefaultPeerDiscoveryRules()),
		rateShares:      core.NewShareAllocator(time.Now(), self.Box, core.DefaultShareRules()),
		state:           state,
		seeds:           withoutAddress(seeds, self.Address),
		isSeed:          slices.Contains(seeds, self.Address),
		log:             zap.NewNop(),
		aliveBoxes:      make(map[string]bool),
		onPlacement:     func(time.Time, Placement) {},
		onBoxGone:       func(string) {},
		onEvacuating:    func(time.Time, Evacuating) {},
		pushing:         make(map[netip.AddrPort]bool),
		sources:         core.NewSourceSelector[*wire.Conn](core.DefaultSourceRules()),
		stopped:         make(chan struct{}),
		wake:            make(chan struct{}, 1),
		network:         wire.TCPNetwork{},
		quarantine:      NewQuarantine(zap.NewNop()),
		parts:           NewPartQuarantine(zap.NewNop()),
		limits:          NewLimits(zap.NewNop()),
		checkSuspension: func() {},
	}
	for _, o := range options {
		o(p)
	}
	p.handlers = wire.NewHandlers(wire.WithOnAnswerSent(p.recordSentChunk), wire.WithNetwork(p.network), wire.WithHTTPHandler(p.forwarded))
	wire.HandleRequest(p.handlers, func(_ context.Context, c *wire.Conn, g Gossip) (Gossip, error) { return p.handleGossip(c, g), nil })
	p.sender = newStateSender(state, p.log)
	wire.HandleRequest(p.handlers, p.sender.handleStateRequest)
	wire.HandleRequest(p.handlers, p.sender.handleChunkRequest)
	wire.HandleRequest(p.handlers, p.handleBorrowRequest)
	wire.HandlePush(p.handlers, p.handlePlacements)
	wire.HandlePush(p.handlers, p.handleEvacuating)
	wire.HandlePush(p.handlers, p.handleUpdate)
	wire.HandlePush(p.handlers, p.handleCrashRecords)
	wire.HandlePush(p.handlers, p.handleLimitRecords)
	wire.HandlePush(p.handlers, p.handlePartRecords)
	p.pool = wire.NewPool(p.handlers)
	server, err := wire.Listen(self.Address, p.handlers)
	if err != nil {
		return nil, err
	}
	p.server = server
	return p, nil
}

// withoutAddress returns the addresses without the given one.
func withoutAddress(all []netip.AddrPort, own netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(all), func(a netip.AddrPort) bool { return a == own })
}

// SetSeeds replaces the seed addresses.
func (p *Peers) SetSeeds(seeds []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = withoutAddress(seeds, p.roster.Self().Address)
	p.isSeed = slices.Contains(seeds, p.roster.Self().Address)
}

// ExpectsPeers implements StartupPeers.
func (p *Peers) ExpectsPeers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.seeds) > 0 && !p.isSeed
}

// Run gossips with other boxes until the context ends.
func (p *Peers) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := gossipInterval
		if p.state.IsStoreDown() {
			interval = storeDownGossipInterval
		}
		if address, ok := p.nextGossipPartner(time.Now()); ok {
			go p.gossipWith(ctx, address)
		}
		Sleep(ctx, interval*3/4+rand.N(interval/2))
	}
	close(p.stopped)
	p.server.Close()
}

// HandleSuspension corrects all recorded times and ages after a machine suspension, which the
// monotonic clock doesn't count.
func (p *Peers) HandleSuspension(d time.Duration) {
	p.state.HandleSuspension(d)
	if p.reports != nil {
		p.reports.Clear()
	}
	p.limits.HandleSuspension(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.HandleSuspension(d)
}

// broadcastToGroup sends a message to all boxes of the group without waiting.
func (p *Peers) broadcastToGroup(m wire.Message) {
	p.mu.Lock()
	groupAddresses := p.groupAddresses
	p.mu.Unlock()
	for _, address := range groupAddresses {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
			defer cancel()
			if c, err := p.pool.Get(ctx, address); err == nil {
				_ = c.Push(ctx, m)
			}
		}()
	}
}

// MarkLeaving makes the following gossip announce that this box is leaving.
func (p *Peers) MarkLeaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.MarkLeaving()
}

// BudgetShare returns this box's place among the boxes that share a retry budget. Their number is
// huge, and the share thus empty, until another box was contacted, unless there are no seeds.
func (p *Peers) BudgetShare() core.BudgetShare {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.roster.HasContact() && len(p.seeds) > 0 {
		return core.BudgetShare{Boxes: math.MaxInt32}
	}
	return p.roster.BudgetShare(time.Now())
}

// Traffic returns the number of messages received from other boxes.
func (p *Peers) Traffic() uint64 { return p.handlers.Traffic().ReceivedMessages.Load() }

// SentBytes returns the number of bytes sent to other boxes, without the framing.
func (p *Peers) SentBytes() uint64 { return p.handlers.Traffic().SentBytes.Load() }

// Self returns this box's name.
func (p *Peers) Self() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Self().Box
}
