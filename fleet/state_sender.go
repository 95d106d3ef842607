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
	// chunkBytes is what one answer holds of packed views: 13 ms of a link of
	// 10 Mbit/s, so that greetings and news on the same connection don't wait for a whole
	// copy, and a part comes or doesn't within partTime.
	chunkBytes = 16 << 10
	// maxCachedStates is how many packed views a box keeps for those that take parts of
	// them: of the last versions, for takers with some different ones.
	maxCachedStates = 4
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

// configOnly in a Want says that only a configuration is asked for.
const configOnly = math.MaxUint64

// stateSender gives this box's views to others, in parts and to a few at a time.
type stateSender struct {
	state   *State
	log     *zap.Logger
	mu      sync.Mutex
	limiter *core.TransferLimiter[*wire.Conn]
	cached  []encodedState // the last used at the end
}

// encodedState is what answers one kind of question.
type encodedState struct {
	request       StateRequest
	advertisement core.Advertisement // the view that it was made from
	digest        uint64
	data          []byte
}

func newStateSender(boxState *State, log *zap.Logger) *stateSender {
	return &stateSender{
		state:   boxState,
		log:     log,
		limiter: core.NewTransferLimiter[*wire.Conn](core.DefaultTransferRules()),
	}
}

// advertisementOf says how new a view is.
func advertisementOf(v *View) core.Advertisement {
	return core.Advertisement{
		ConfigVersion: v.ConfigVersion(),
		ListRevision:  v.ListRevision,
	}
}

// handleStateRequest answers a box that asks for newer views: with all of them where they are
// small, else with the first part or word that it must wait.
func (s *stateSender) handleStateRequest(_ context.Context, c *wire.Conn, w StateRequest) (Chunk, error) {
	v := s.state.View()
	out := Chunk{Age: -1}
	if w.ListRevision != configOnly {
		out.Age = time.Since(v.ConfirmedAt)
	}
	if !advertisementOf(v).NewerThan(core.Advertisement{
		ConfigVersion: w.ConfigVersion,
		ListRevision:  w.ListRevision,
	}) {
		return out, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k, err := s.encode(w, v)
	if err != nil {
		return Chunk{}, err
	}
	if len(k.data) > chunkBytes && !s.limiter.TryStart(time.Now(), c) {
		return Chunk{Busy: true}, nil
	}
	out.Digest = k.digest
	out.Size = len(k.data)
	out.Data = k.data[:min(chunkBytes, len(k.data))]
	return out, nil
}

// handleChunkRequest answers a box that takes the next part.
func (s *stateSender) handleChunkRequest(_ context.Context, c *wire.Conn, w ChunkRequest) (Chunk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.cached, func(k encodedState) bool { return k.digest == w.Digest })
	if i < 0 || w.Offset < 0 || w.Offset >= len(s.cached[i].data) {
		return Chunk{}, nil
	}
	s.limiter.RecordProgress(time.Now(), c)
	k := s.markUsed(i)
	data := k.data
	end := min(w.Offset+chunkBytes, len(data))
	if end == len(data) {
		took := s.limiter.Finish(time.Now(), c)
		s.log.Info("views given", zap.Stringer("box_address", c.Remote()), zap.Uint64("version", k.advertisement.ConfigVersion), zap.Int("bytes", len(data)), zap.Duration("took", took))
	}
	return Chunk{
		Digest: w.Digest,
		Size:   len(data),
		Data:   data[w.Offset:end],
		Age:    -1,
	}, nil
}

// encode gives a view's answer to a question, made once for all that ask the same.
func (s *stateSender) encode(w StateRequest, v *View) (encodedState, error) {
	advertisement := advertisementOf(v)
	if w.ListRevision == configOnly {
		w, advertisement = configOnlyRequest(advertisement.ConfigVersion)
	}
	if i := slices.IndexFunc(s.cached, func(k encodedState) bool { return k.request == w && k.advertisement == advertisement }); i >= 0 {
		return s.markUsed(i), nil
	}
	data, err := wire.Pack(s.newerState(w, v))
	if err != nil {
		return encodedState{}, err
	}
	return s.cache(w, advertisement, data), nil
}

// configOnlyRequest gives the question for a configuration alone, whose answer is the same whatever
// the asker has, and what that answer holds.
func configOnlyRequest(version uint64) (StateRequest, core.Advertisement) {
	return StateRequest{ListRevision: configOnly}, core.Advertisement{ConfigVersion: version}
}

// cacheReceived keeps a configuration as another box packed it, to be given as it came: to pack
// one of 2,850 routes anew takes 3.1 ms of a core.
func (s *stateSender) cacheReceived(version uint64, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request, advertisement := configOnlyRequest(version)
	s.cache(request, advertisement, data)
}

// markUsed gives one of those that are kept, which is dropped after all others now: versions
// that come close together must not push out what somebody is taking.
func (s *stateSender) markUsed(i int) encodedState {
	k := s.cached[i]
	s.cached = append(slices.Delete(s.cached, i, i+1), k)
	return k
}

func (s *stateSender) cache(w StateRequest, advertisement core.Advertisement, data []byte) encodedState {
	k := encodedState{
		request:       w,
		advertisement: advertisement,
		digest:        xxhash.Sum64(data),
		data:          data,
	}
	s.cached = append(s.cached, k)
	if len(s.cached) > maxCachedStates {
		s.cached = slices.Delete(s.cached, 0, 1)
	}
	return k
}

// newerState gives what is newer than somebody has.
func (s *stateSender) newerState(w StateRequest, v *View) PeerState {
	var out PeerState
	if v.ConfigVersion() > w.ConfigVersion {
		out.Document = v.Table.Document()
	}
	if !v.HasEndpointList || v.ListRevision <= w.ListRevision {
		return out
	}
	out.ListRevision = v.ListRevision
	out.Zones = v.Zones
	if updated, removed, ok := s.state.ChangesSince(w.ListRevision); ok {
		out.Partial = true
		out.Endpoints = updated
		out.Removed = removed
		return out
	}
	out.Endpoints = v.endpoints()
	slices.SortFunc(out.Endpoints, func(a, b routing.Endpoint) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}
