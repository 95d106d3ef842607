package fleet

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/wire"
)

const (
	// gossipInterval spaces a box's greetings; greetLost does so while the store
	// is away, when peers are the only source.
	gossipInterval          = 250 * time.Millisecond
	storeDownGossipInterval = 150 * time.Millisecond
)

// Peers exchanges views and the roster with other boxes.
type Peers struct {
	sender            *stateSender
	mu                sync.Mutex // guards all that follows
	sources           *core.SourceSelector[*wire.Conn]
	fetching          bool          // whether newer views are asked for
	stopped           chan struct{} // closed when this box greets nobody any more
	wake              chan struct{} // tells who asks for them that somebody offered some
	lastPreferred     preferredCache
	roster            *core.Roster
	discovery         *core.PeerDiscovery
	rateShares        *core.ShareAllocator
	discovered        bool // whether most other boxes are known
	state             *State
	seeds             []netip.AddrPort
	log               *zap.Logger
	network           wire.Network
	handlers          *wire.Handlers
	pool              *wire.Pool
	server            *wire.Server
	group             core.Group
	groupAddresses    []netip.AddrPort // the other boxes of the group
	paths             groupPaths       // by which messages reach them
	remotePartners    []netip.AddrPort
	gossipCount       int
	rotatedAt         time.Time
	aliveBoxes        map[string]bool
	reports           *LoadReports
	budgets           RetryBudgets
	quarantine        *Quarantine
	limits            *Limits
	checkSuspension   func()
	onPlacement       func(time.Time, Placement)
	onEvacuating      func(time.Time, Evacuating)
	pendingPlacements []Placement
	seenUpdates       []updateKey // the news that were handed on last
	pushing           map[netip.AddrPort]bool
}

// PeersOption changes how peers are built.
type PeersOption func(*Peers)

// WithPeersLog gives the log of changes of the roster.
func WithPeersLog(log *zap.Logger) PeersOption {
	return func(p *Peers) { p.log = log }
}

// WithLoadReports lets greetings carry the engines' reports.
func WithLoadReports(r *LoadReports) PeersOption {
	return func(p *Peers) {
		p.reports = r
		r.peers = p
	}
}

// WithNetwork gives what the connections between boxes run over; without it, the
// operating system's.
func WithNetwork(n wire.Network) PeersOption {
	return func(p *Peers) { p.network = n }
}

// WithPlacementHandler is called with each placement of a partner.
func WithPlacementHandler(onPlacement func(time.Time, Placement)) PeersOption {
	return func(p *Peers) { p.onPlacement = onPlacement }
}

// WithSuspensionCheck gives what looks whether the machine was suspended and calls Suspended if it
// was; it is called before other boxes are told how old anything is.
func WithSuspensionCheck(checkSuspension func()) PeersOption {
	return func(p *Peers) { p.checkSuspension = checkSuspension }
}

// NewPeers listens on the box's own address for others; seeds are addresses to
// begin with, which may be stale.
func NewPeers(self core.Peer, seeds []netip.AddrPort, state *State, options ...PeersOption) (*Peers, error) {
	p := &Peers{
		roster:          core.NewRoster(self, core.DefaultRosterRules()),
		discovery:       core.NewPeerDiscovery(time.Now(), core.DefaultPeerDiscoveryRules()),
		rateShares:      core.NewShareAllocator(time.Now(), self.Box, core.DefaultShareRules()),
		state:           state,
		seeds:           withoutAddress(seeds, self.Address),
		log:             zap.NewNop(),
		aliveBoxes:      make(map[string]bool),
		onPlacement:     func(time.Time, Placement) {},
		onEvacuating:    func(time.Time, Evacuating) {},
		pushing:         make(map[netip.AddrPort]bool),
		sources:         core.NewSourceSelector[*wire.Conn](core.DefaultSourceRules()),
		stopped:         make(chan struct{}),
		wake:            make(chan struct{}, 1),
		network:         wire.Sockets{},
		quarantine:      NewQuarantine(zap.NewNop()),
		limits:          NewLimits(zap.NewNop()),
		checkSuspension: func() {},
	}
	for _, o := range options {
		o(p)
	}
	p.handlers = wire.NewHandlers(wire.WithOnAnswered(p.recordSentChunk), wire.WithNetwork(p.network))
	wire.Answer(p.handlers, func(_ context.Context, c *wire.Conn, g Gossip) (Gossip, error) { return p.handleGossip(c, g), nil })
	p.sender = newStateSender(state, p.log)
	wire.Answer(p.handlers, p.sender.handleStateRequest)
	wire.Answer(p.handlers, p.sender.handleChunkRequest)
	wire.Answer(p.handlers, p.handleBorrowRequest)
	wire.Take(p.handlers, p.handlePlacements)
	wire.Take(p.handlers, p.handleEvacuating)
	wire.Take(p.handlers, p.handleUpdate)
	wire.Take(p.handlers, p.handleCrashRecords)
	wire.Take(p.handlers, p.handleLimitRecords)
	p.pool = wire.NewPool(p.handlers)
	server, err := wire.Listen(self.Address, p.handlers)
	if err != nil {
		return nil, err
	}
	p.server = server
	return p, nil
}

// withoutAddress gives addresses without one's own.
func withoutAddress(all []netip.AddrPort, own netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(all), func(a netip.AddrPort) bool { return a == own })
}

// SetSeeds replaces the addresses to begin with.
func (p *Peers) SetSeeds(seeds []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = withoutAddress(seeds, p.roster.Self().Address)
}

// Run greets other boxes until the context ends.
func (p *Peers) Run(ctx context.Context) {
	for ctx.Err() == nil {
		every := gossipInterval
		if p.state.IsStoreDown() {
			every = storeDownGossipInterval
		}
		if address, ok := p.nextGossipPartner(time.Now()); ok {
			go p.gossipWith(ctx, address)
		}
		Sleep(ctx, every*3/4+rand.N(every/2))
	}
	close(p.stopped)
	p.server.Close()
}

// HandleSuspension takes that the machine was suspended for a time, which its steady clock didn't
// count.
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

// broadcastToGroup tells the boxes of the group of something at once, without waiting.
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

// MarkLeaving tells the other boxes, with the greetings that follow, that this one
// is leaving.
func (p *Peers) MarkLeaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.MarkLeaving()
}

// Sharers counts the boxes that share a budget with this one. Before any other
// box was met, the share is as small as can be, unless there is no other.
func (p *Peers) Sharers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.roster.HasContact() && len(p.seeds) > 0 {
		return math.MaxInt32
	}
	return p.roster.Sharers(time.Now())
}

// Traffic counts the messages that came from other boxes.
func (p *Peers) Traffic() uint64 { return p.handlers.Traffic().Received.Load() }

// Self gives the name of this box.
func (p *Peers) Self() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Self().Box
}
