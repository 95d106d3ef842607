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
	// greetEvery spaces a box's greetings; greetLost does so while the store
	// is away, when peers are the only source.
	greetEvery = 250 * time.Millisecond
	greetLost  = 150 * time.Millisecond
)

// Peers exchanges views and the roster with other boxes.
type Peers struct {
	give         *giver
	mu           sync.Mutex // guards all that follows
	pull         *core.SourceSelector[*wire.Conn]
	pulling      bool          // whether newer views are asked for
	ended        chan struct{} // closed when this box greets nobody any more
	woken        chan struct{} // tells who asks for them that somebody offered some
	memo         shareMemo
	roster       *core.Roster
	settling     *core.PeerDiscovery
	division     *core.ShareAllocator
	settled      bool // whether most other boxes are known
	belief       *State
	seeds        []netip.AddrPort
	log          *zap.Logger
	network      wire.Network
	handlers     *wire.Handlers
	pool         *wire.Pool
	server       *wire.Server
	group        core.Group
	fellows      []netip.AddrPort // the other boxes of the group
	paths        groupPaths       // by which messages reach them
	strangers    []netip.AddrPort
	turn         int
	rotated      time.Time
	alive        map[string]bool
	reports      *LoadReports
	budgets      RetryBudgets
	quarantine   *Quarantine
	limits       *Limits
	look         func()
	onPlaced     func(time.Time, Placement)
	onEvacuating func(time.Time, Evacuating)
	untold       []Placement
	seen         []newsKey // the news that were handed on last
	telling      map[netip.AddrPort]bool
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
func WithPlacementHandler(onPlaced func(time.Time, Placement)) PeersOption {
	return func(p *Peers) { p.onPlaced = onPlaced }
}

// WithSuspensionCheck gives what looks whether the machine was suspended and calls Suspended if it
// was; it is called before other boxes are told how old anything is.
func WithSuspensionCheck(look func()) PeersOption {
	return func(p *Peers) { p.look = look }
}

// NewPeers listens on the box's own address for others; seeds are addresses to
// begin with, which may be stale.
func NewPeers(self core.Peer, seeds []netip.AddrPort, belief *State, options ...PeersOption) (*Peers, error) {
	p := &Peers{
		roster:       core.NewRoster(self, core.DefaultRosterRules()),
		settling:     core.NewPeerDiscovery(time.Now(), core.DefaultPeerDiscoveryRules()),
		division:     core.NewShareAllocator(time.Now(), self.Box, core.DefaultShareRules()),
		belief:       belief,
		seeds:        others(seeds, self.Address),
		log:          zap.NewNop(),
		alive:        make(map[string]bool),
		onPlaced:     func(time.Time, Placement) {},
		onEvacuating: func(time.Time, Evacuating) {},
		telling:      make(map[netip.AddrPort]bool),
		pull:         core.NewSourceSelector[*wire.Conn](core.DefaultSourceRules()),
		ended:        make(chan struct{}),
		woken:        make(chan struct{}, 1),
		network:      wire.TCPNetwork{},
		quarantine:   NewQuarantine(zap.NewNop()),
		limits:       NewLimits(zap.NewNop()),
		look:         func() {},
	}
	for _, o := range options {
		o(p)
	}
	p.handlers = wire.NewHandlers(wire.WithOnAnswerSent(p.answered), wire.WithNetwork(p.network))
	wire.HandleRequest(p.handlers, func(_ context.Context, c *wire.Conn, g Gossip) (Gossip, error) { return p.greeted(c, g), nil })
	p.give = newGiver(belief, p.log)
	wire.HandleRequest(p.handlers, p.give.first)
	wire.HandleRequest(p.handlers, p.give.more)
	wire.HandleRequest(p.handlers, p.lend)
	wire.HandlePush(p.handlers, p.heard)
	wire.HandlePush(p.handlers, p.evacuating)
	wire.HandlePush(p.handlers, p.newsCame)
	wire.HandlePush(p.handlers, p.endsTold)
	wire.HandlePush(p.handlers, p.limitsTold)
	p.pool = wire.NewPool(p.handlers)
	server, err := wire.Listen(self.Address, p.handlers)
	if err != nil {
		return nil, err
	}
	p.server = server
	return p, nil
}

// others gives addresses without one's own.
func others(all []netip.AddrPort, own netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(all), func(a netip.AddrPort) bool { return a == own })
}

// SetSeeds replaces the addresses to begin with.
func (p *Peers) SetSeeds(seeds []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = others(seeds, p.roster.Self().Address)
}

// Run greets other boxes until the context ends.
func (p *Peers) Run(ctx context.Context) {
	for ctx.Err() == nil {
		every := greetEvery
		if p.belief.IsStoreDown() {
			every = greetLost
		}
		if address, ok := p.nextPartner(time.Now()); ok {
			go p.greet(ctx, address)
		}
		Sleep(ctx, every*3/4+rand.N(every/2))
	}
	close(p.ended)
	p.server.Close()
}

// HandleSuspension takes that the machine was suspended for a time, which its steady clock didn't
// count.
func (p *Peers) HandleSuspension(d time.Duration) {
	p.belief.HandleSuspension(d)
	if p.reports != nil {
		p.reports.Clear()
	}
	p.limits.HandleSuspension(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.HandleSuspension(d)
}

// tellFellows tells the boxes of the group of something at once, without waiting.
func (p *Peers) tellFellows(m wire.Message) {
	p.mu.Lock()
	fellows := p.fellows
	p.mu.Unlock()
	for _, address := range fellows {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), greetTime)
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
func (p *Peers) Traffic() uint64 { return p.handlers.Traffic().ReceivedMessages.Load() }

// Self gives the name of this box.
func (p *Peers) Self() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Self().Box
}
