package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/wire"
)

// partTime bounds the wait for one part of newer views. A part's 16 KB take 13 ms of
// a link of 10 Mbit/s, and a lost packet is sent again within some hundred ms.
const partTime = 800 * time.Millisecond

// These are a giver's ways to say no.
var (
	errBusy    = errors.New("the box gives to others; ask again soon")
	errDropped = errors.New("the box has dropped what it gave parts of; ask for its newest")
	errNothing = errors.New("the box has nothing newer after all; ask another")
)

// offered takes a box's word that it has newer views, and asks for them unless that is
// under way.
func (p *Peers) offered(c *wire.Conn, o core.Advertisement) {
	now := time.Now()
	p.belief.NoteConfigVersion(now, o.ConfigVersion)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !o.NewerThan(offerOf(p.belief.View())) {
		return
	}
	p.pull.RecordAdvertisement(now, c, o)
	if !p.pulling {
		p.pulling = true
		go p.pullAll()
		return
	}
	select {
	case p.woken <- struct{}{}:
	default: // it is awake, or will be
	}
}

// pullAll asks until this box has the newest views that anyone offered. It asks one
// box at a time: copies are large against the links of small boxes.
func (p *Peers) pullAll() {
	for {
		c, o, wait := p.nextHolder()
		if c != nil {
			p.pullFrom(c, o)
			continue
		}
		if wait == 0 {
			return
		}
		select {
		case <-time.After(wait):
		case <-p.woken:
		case <-p.ended:
			return
		}
	}
}

// nextHolder gives whom to ask, or how long to wait; neither ends the asking.
func (p *Peers) nextHolder() (*wire.Conn, core.Advertisement, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		c, o, wait := p.pull.Next(time.Now(), offerOf(p.belief.View()), rand.N)
		if c == nil {
			p.pulling = wait > 0
			return nil, o, wait
		}
		if !c.IsClosed() {
			return c, o, 0
		}
		p.pull.Remove(c)
	}
}

// pullFrom takes the newer views of one box, and tells the others of them.
func (p *Peers) pullFrom(c *wire.Conn, o core.Advertisement) {
	v := p.belief.View()
	want := StateRequest{
		ConfigVersion: v.ConfigVersion(),
		ListRevision:  v.ListRevision,
	}
	if o.ListRevision <= v.ListRevision {
		want.ListRevision = noList
	}
	began := time.Now()
	views, data, err := takeViews(c, want)
	if err != nil {
		p.refused(c, o, began, err)
		return
	}
	p.mu.Lock()
	p.pull.RecordSuccess(c)
	p.mu.Unlock()
	p.viewsCame(c.Remote(), views, len(data), began)
	if want.ListRevision == noList && views.Document != nil {
		p.give.took(views.Document.Version, data)
	}
	p.belief.ApplyPeerState(time.Now(), c.Remote().String(), views)
	p.handOn(v, p.belief.View())
}

// handOn tells the partners of what this box can give since it has taken it.
func (p *Peers) handOn(before, now *View) {
	if now.ConfigVersion() > before.ConfigVersion() {
		p.BroadcastUpdate(Update{Version: now.ConfigVersion()})
	}
	if now.ListRevision > before.ListRevision {
		p.BroadcastUpdate(Update{
			ListRevision: now.ListRevision,
			Age:          time.Since(now.ConfirmedAt),
			Truncated:    true,
		})
	}
}

// refused notes that a box didn't give what it offered.
func (p *Peers) refused(c *wire.Conn, o core.Advertisement, began time.Time, err error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(err, errBusy) {
		viewsBusy.Inc()
		p.pull.Busy(now, c)
		return
	}
	p.pull.Failed(now, c)
	p.log.Info("newer views didn't come", zap.Stringer("box_address", c.Remote()), zap.Uint64("version", o.ConfigVersion), zap.Duration("took", now.Sub(began)), zap.Error(err))
}

// takeViews gives a box's newer views, and their bytes as they came.
func takeViews(c *wire.Conn, want StateRequest) (PeerState, []byte, error) {
	asked := time.Now()
	first, err := askPart(c, want)
	if err != nil {
		return PeerState{}, nil, err
	}
	if first.Size == 0 {
		return PeerState{}, nil, errNothing
	}
	data := first.Data
	for len(data) < first.Size {
		next, err := askPart(c, ChunkRequest{
			Digest: first.Digest,
			Offset: len(data),
		})
		if err != nil {
			return PeerState{}, nil, err
		}
		if next.Digest != first.Digest || len(next.Data) == 0 {
			return PeerState{}, nil, errDropped
		}
		data = append(data, next.Data...)
	}
	views, err := wire.Unpack[PeerState](data)
	views.Age = first.Age
	if first.Age >= 0 {
		views.Age += time.Since(asked)
	}
	return views, data, err
}

// askPart asks for one part. A box that doesn't answer is connected to anew: a stalled
// link doesn't break by itself.
func askPart(c *wire.Conn, q wire.Message) (Chunk, error) {
	ctx, cancel := context.WithTimeout(context.Background(), partTime)
	defer cancel()
	answer, err := wire.Call[Chunk](ctx, c, q)
	switch {
	case err != nil && ctx.Err() != nil:
		c.Close()
		return answer, err
	case err == nil && answer.Busy:
		return answer, errBusy
	}
	return answer, err
}
