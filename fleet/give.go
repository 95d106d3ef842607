package fleet

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
	"dillsaddle.example/dillsaddle/wire"
)

const (
	// partBytes is what one answer holds of packed views: 13 ms of a link of
	// 10 Mbit/s, so that greetings and news on the same connection don't wait for a whole
	// copy, and a part comes or doesn't within partTime.
	partBytes = 16 << 10
	// packedKept is how many packed views a box keeps for those that take parts of
	// them: of the last versions, for takers with some different ones.
	packedKept = 4
)

// Chunk is a piece of packed views.
type Chunk struct {
	Digest uint64        `cbor:"1,keyasint,omitempty"` // of the whole, to ask for more of it
	Size   int           `cbor:"2,keyasint,omitempty"` // of the whole; 0 when there is nothing newer, or no such digest
	Data   []byte        `cbor:"3,keyasint,omitempty"`
	Busy   bool          `cbor:"4,keyasint,omitempty"` // the box gives to others; ask again, or another
	Age    time.Duration `cbor:"5,keyasint"`           // since the list in it was confirmed; below 0 when that isn't known
}

// Kind names the message.
func (Chunk) Kind() string { return "part" }

// ChunkRequest asks for more of packed views.
type ChunkRequest struct {
	Digest uint64 `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`
}

// Kind names the message.
func (ChunkRequest) Kind() string { return "want-part" }

// noList in a Want says that only a configuration is asked for.
const noList = math.MaxUint64

// giver gives this box's views to others, in parts and to a few at a time.
type giver struct {
	belief *State
	log    *zap.Logger
	mu     sync.Mutex
	giving *core.TransferLimiter[*wire.Conn]
	kept   []packed // the last used at the end
}

// packed is what answers one kind of question.
type packed struct {
	want   StateRequest
	of     core.Advertisement // the view that it was made from
	digest uint64
	data   []byte
}

func newGiver(b *State, log *zap.Logger) *giver {
	return &giver{
		belief: b,
		log:    log,
		giving: core.NewTransferLimiter[*wire.Conn](core.DefaultTransferRules()),
	}
}

// offerOf says how new a view is.
func offerOf(v *View) core.Advertisement {
	return core.Advertisement{
		ConfigVersion: v.ConfigVersion(),
		ListRevision:  v.ListRevision,
	}
}

// first answers a box that asks for newer views: with all of them where they are
// small, else with the first part or word that it must wait.
func (g *giver) first(_ context.Context, c *wire.Conn, w StateRequest) (Chunk, error) {
	v := g.belief.View()
	out := Chunk{Age: -1}
	if w.ListRevision != noList {
		out.Age = time.Since(v.ConfirmedAt)
	}
	if !offerOf(v).NewerThan(core.Advertisement{
		ConfigVersion: w.ConfigVersion,
		ListRevision:  w.ListRevision,
	}) {
		return out, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	k, err := g.pack(w, v)
	if err != nil {
		return Chunk{}, err
	}
	if len(k.data) > partBytes && !g.giving.TryStart(time.Now(), c) {
		return Chunk{Busy: true}, nil
	}
	out.Digest = k.digest
	out.Size = len(k.data)
	out.Data = k.data[:min(partBytes, len(k.data))]
	return out, nil
}

// more answers a box that takes the next part.
func (g *giver) more(_ context.Context, c *wire.Conn, w ChunkRequest) (Chunk, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.kept, func(k packed) bool { return k.digest == w.Digest })
	if i < 0 || w.Offset < 0 || w.Offset >= len(g.kept[i].data) {
		return Chunk{}, nil
	}
	g.giving.RecordProgress(time.Now(), c)
	k := g.use(i)
	data := k.data
	end := min(w.Offset+partBytes, len(data))
	if end == len(data) {
		took := g.giving.Finish(time.Now(), c)
		g.log.Info("views given", zap.Stringer("box_address", c.Remote()), zap.Uint64("version", k.of.ConfigVersion), zap.Int("bytes", len(data)), zap.Duration("took", took))
	}
	return Chunk{
		Digest: w.Digest,
		Size:   len(data),
		Data:   data[w.Offset:end],
		Age:    -1,
	}, nil
}

// pack gives a view's answer to a question, made once for all that ask the same.
func (g *giver) pack(w StateRequest, v *View) (packed, error) {
	of := offerOf(v)
	if w.ListRevision == noList {
		w, of = alone(of.ConfigVersion)
	}
	if i := slices.IndexFunc(g.kept, func(k packed) bool { return k.want == w && k.of == of }); i >= 0 {
		return g.use(i), nil
	}
	data, err := wire.Pack(g.views(w, v))
	if err != nil {
		return packed{}, err
	}
	return g.keep(w, of, data), nil
}

// alone gives the question for a configuration alone, whose answer is the same whatever
// the asker has, and what that answer holds.
func alone(version uint64) (StateRequest, core.Advertisement) {
	return StateRequest{ListRevision: noList}, core.Advertisement{ConfigVersion: version}
}

// took keeps a configuration as another box packed it, to be given as it came: to pack
// one of 2,850 routes anew takes 3.1 ms of a core.
func (g *giver) took(version uint64, data []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	want, of := alone(version)
	g.keep(want, of, data)
}

// use gives one of those that are kept, which is dropped after all others now: versions
// that come close together must not push out what somebody is taking.
func (g *giver) use(i int) packed {
	k := g.kept[i]
	g.kept = append(slices.Delete(g.kept, i, i+1), k)
	return k
}

func (g *giver) keep(w StateRequest, of core.Advertisement, data []byte) packed {
	k := packed{
		want:   w,
		of:     of,
		digest: xxhash.Sum64(data),
		data:   data,
	}
	g.kept = append(g.kept, k)
	if len(g.kept) > packedKept {
		g.kept = slices.Delete(g.kept, 0, 1)
	}
	return k
}

// views gives what is newer than somebody has.
func (g *giver) views(w StateRequest, v *View) PeerState {
	var out PeerState
	if v.ConfigVersion() > w.ConfigVersion {
		out.Document = v.Table.Document()
	}
	if !v.HasEndpointList || v.ListRevision <= w.ListRevision {
		return out
	}
	out.ListRevision = v.ListRevision
	out.Zones = v.Zones
	if updated, removed, ok := g.belief.ChangesSince(w.ListRevision); ok {
		out.Partial = true
		out.Endpoints = updated
		out.Removed = removed
		return out
	}
	out.Endpoints = v.all()
	slices.SortFunc(out.Endpoints, func(a, b routing.Endpoint) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}
