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

// chunkTimeout bounds the wait for one chunk. At 10 Mbit/s a chunk takes 13 ms, and a lost
// packet is retransmitted within a few hundred milliseconds.
const chunkTimeout = 800 * time.Millisecond

// Reasons why a sender doesn't deliver its state.
var (
	errBusy     = errors.New("box is busy with other transfers")
	errEvicted  = errors.New("box no longer has the version whose transfer began")
	errNotNewer = errors.New("box has no newer state")
)

// handleAdvertisement records that a box has newer state, and starts or wakes the fetching
// goroutine.
func (p *Peers) handleAdvertisement(c *wire.Conn, ad core.Advertisement) {
	now := time.Now()
	p.state.NoteConfigVersion(now, ad.ConfigVersion)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ad.NewerThan(advertisementOf(p.state.View())) {
		return
	}
	p.sources.RecordAdvertisement(now, c, ad)
	if !p.fetching {
		p.fetching = true
		go p.fetchAll()
		return
	}
	select {
	case p.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// IsFetching implements StartupPeers.
func (p *Peers) IsFetching() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fetching
}

// fetchAll fetches until this box has the newest advertised state. It fetches from one box at a
// time, since transfers are large compared to the links of small boxes.
func (p *Peers) fetchAll() {
	for {
		c, ad, wait := p.nextSource()
		if c != nil {
			p.fetchFrom(c, ad)
			continue
		}
		if wait == 0 {
			return
		}
		select {
		case <-time.After(wait):
		case <-p.wake:
		case <-p.stopped:
			return
		}
	}
}

// nextSource returns the box to fetch from, or how long to wait. With neither, fetching ends.
func (p *Peers) nextSource() (*wire.Conn, core.Advertisement, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		c, ad, wait := p.sources.Next(time.Now(), advertisementOf(p.state.View()), rand.N)
		if c == nil {
			p.fetching = wait > 0
			return nil, ad, wait
		}
		if !c.IsClosed() {
			return c, ad, 0
		}
		p.sources.Remove(c)
	}
}

// fetchFrom fetches and applies newer state of one box, then announces it to the partners.
func (p *Peers) fetchFrom(c *wire.Conn, ad core.Advertisement) {
	v := p.state.View()
	request := StateRequest{
		ConfigVersion: v.ConfigVersion(),
		ListRevision:  v.ListRevision,
		CompleteAt:    v.CompleteAt,
	}
	if ad.ListRevision <= v.ListRevision {
		request.ListRevision = configOnly
	}
	startedAt := time.Now()
	newer, data, err := fetchState(c, request)
	if err != nil {
		p.handleFetchError(c, ad, startedAt, err)
		return
	}
	p.mu.Lock()
	p.sources.RecordSuccess(c)
	p.mu.Unlock()
	p.recordFetchedState(c.Remote(), newer, len(data), startedAt)
	if request.ListRevision == configOnly && newer.Document != nil {
		p.sender.cacheReceived(newer.Document.Version, data)
	}
	p.state.ApplyPeerState(time.Now(), c.Remote().String(), newer)
	p.announceFetched(v, p.state.View())
}

// announceFetched announces to the partners what this box has fetched and can now send.
func (p *Peers) announceFetched(before, now *View) {
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

// handleFetchError records a failed fetch, which delays the next attempt at that box.
func (p *Peers) handleFetchError(c *wire.Conn, ad core.Advertisement, startedAt time.Time, err error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(err, errBusy) {
		busyAnswers.Inc()
		p.sources.Busy(now, c)
		return
	}
	p.sources.Failed(now, c)
	p.log.Info("fetching newer state from box failed", zap.Stringer("box_address", c.Remote()), zap.Uint64("version", ad.ConfigVersion), zap.Duration("took", now.Sub(startedAt)), zap.Error(err))
}

// fetchState fetches a box's newer state. It also returns the state's encoding as received.
func fetchState(c *wire.Conn, request StateRequest) (PeerState, []byte, error) {
	requestedAt := time.Now()
	first, err := requestChunk(c, request)
	if err != nil {
		return PeerState{}, nil, err
	}
	if first.Size == 0 {
		return PeerState{}, nil, errNotNewer
	}
	data := first.Data
	for len(data) < first.Size {
		next, err := requestChunk(c, ChunkRequest{
			Digest: first.Digest,
			Offset: len(data),
		})
		if err != nil {
			return PeerState{}, nil, err
		}
		if next.Digest != first.Digest || len(next.Data) == 0 {
			return PeerState{}, nil, errEvicted
		}
		data = append(data, next.Data...)
	}
	newer, err := wire.Unpack[PeerState](data)
	newer.Age = first.Age
	newer.Grace = first.Grace
	if first.Age >= 0 {
		newer.Age += time.Since(requestedAt)
	}
	return newer, data, err
}

// requestChunk requests one chunk. On a timeout it closes the connection, since a stalled link
// is not detected otherwise.
func requestChunk(c *wire.Conn, req wire.Message) (Chunk, error) {
	ctx, cancel := context.WithTimeout(context.Background(), chunkTimeout)
	defer cancel()
	answer, err := wire.Call[Chunk](ctx, c, req)
	switch {
	case err != nil && ctx.Err() != nil:
		c.Close()
		return answer, err
	case err == nil && answer.Busy:
		return answer, errBusy
	}
	return answer, err
}
