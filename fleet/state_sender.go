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
	// chunkBytes is the size of a chunk. At 10 Mbit/s a chunk takes 13 ms, so that gossip and
	// updates on the same connection are not delayed by a whole transfer.
	chunkBytes = 16 << 10
	// maxCachedStates is how many encoded states are kept, for receivers that fetch different
	// versions at the same time.
	maxCachedStates = 4
)

// Chunk is a part of an encoded PeerState.
type Chunk struct {
	Digest uint64        `cbor:"1,keyasint,omitempty"` // digest of the whole encoding, for requests of further chunks
	Size   int           `cbor:"2,keyasint,omitempty"` // size of the whole encoding; 0 if there is nothing newer or the digest is unknown
	Data   []byte        `cbor:"3,keyasint,omitempty"`
	Busy   bool          `cbor:"4,keyasint,omitempty"` // the sender serves other receivers; the request must be repeated later or at another box
	Age    time.Duration `cbor:"5,keyasint"`           // time since the list was confirmed; negative if unknown
	Grace  time.Duration `cbor:"6,keyasint,omitempty"` // rest of the grace period of lapsed entries; only in the first chunk
}

// Kind returns the message's kind.
func (Chunk) Kind() string { return "part" }

// ChunkRequest requests a further chunk of an encoded PeerState.
type ChunkRequest struct {
	Digest uint64 `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`
}

// Kind returns the message's kind.
func (ChunkRequest) Kind() string { return "want-part" }

// configOnly as the list revision of a StateRequest requests only the configuration.
const configOnly = math.MaxUint64

// stateSender sends this box's state to other boxes in chunks, to a few receivers at a time.
type stateSender struct {
	state   *State
	log     *zap.Logger
	mu      sync.Mutex
	limiter *core.TransferLimiter[*wire.Conn]
	cached  []encodedState // most recently used last
}

// encodedState is the encoded answer to a StateRequest.
type encodedState struct {
	request       StateRequest
	advertisement core.Advertisement // versions of the encoded state
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

// advertisementOf returns the versions that a view contains.
func advertisementOf(v *View) core.Advertisement {
	return core.Advertisement{
		ConfigVersion: v.ConfigVersion(),
		ListRevision:  v.ListRevision,
	}
}

// handleStateRequest answers a request for newer state with its first chunk, or with Busy if
// the state is large and too many transfers are running.
func (s *stateSender) handleStateRequest(_ context.Context, c *wire.Conn, req StateRequest) (Chunk, error) {
	v := s.state.View()
	out := Chunk{Age: -1}
	if req.ListRevision != configOnly {
		out.Age = time.Since(v.ConfirmedAt)
		out.Grace = s.state.Grace(time.Now())
	}
	if !advertisementOf(v).NewerThan(core.Advertisement{
		ConfigVersion: req.ConfigVersion,
		ListRevision:  req.ListRevision,
	}) {
		return out, nil
	}
	if req.ListRevision != configOnly && !s.state.KnowsRemovalsSince(req.CompleteAt) {
		req.ListRevision = 0 // the complete list
	}
	req.CompleteAt = 0
	s.mu.Lock()
	defer s.mu.Unlock()
	k, err := s.encode(req, v)
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

// handleChunkRequest answers a request for a further chunk.
func (s *stateSender) handleChunkRequest(_ context.Context, c *wire.Conn, req ChunkRequest) (Chunk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.cached, func(k encodedState) bool { return k.digest == req.Digest })
	if i < 0 || req.Offset < 0 || req.Offset >= len(s.cached[i].data) {
		return Chunk{}, nil
	}
	s.limiter.RecordProgress(time.Now(), c)
	k := s.markUsed(i)
	data := k.data
	end := min(req.Offset+chunkBytes, len(data))
	if end == len(data) {
		took := s.limiter.Finish(time.Now(), c)
		s.log.Info("state sent to box", zap.Stringer("box_address", c.Remote()), zap.Uint64("version", k.advertisement.ConfigVersion), zap.Int("bytes", len(data)), zap.Duration("took", took))
	}
	return Chunk{
		Digest: req.Digest,
		Size:   len(data),
		Data:   data[req.Offset:end],
		Age:    -1,
	}, nil
}

// encode returns the encoded answer to a request, from the cache if it was requested before.
func (s *stateSender) encode(req StateRequest, v *View) (encodedState, error) {
	advertisement := advertisementOf(v)
	if req.ListRevision == configOnly {
		req, advertisement = configOnlyRequest(advertisement.ConfigVersion)
	}
	if i := slices.IndexFunc(s.cached, func(k encodedState) bool { return k.request == req && k.advertisement == advertisement }); i >= 0 {
		return s.markUsed(i), nil
	}
	data, err := wire.Pack(s.newerState(req, v))
	if err != nil {
		return encodedState{}, err
	}
	return s.cache(req, advertisement, data), nil
}

// configOnlyRequest returns the cache key of a transfer of the configuration alone. It doesn't
// depend on the receiver's versions.
func configOnlyRequest(version uint64) (StateRequest, core.Advertisement) {
	return StateRequest{ListRevision: configOnly}, core.Advertisement{ConfigVersion: version}
}

// cacheReceived caches a configuration as another box encoded it, so that it can be forwarded
// without encoding it again: with some 3,000 routes that takes about 3 ms.
func (s *stateSender) cacheReceived(version uint64, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request, advertisement := configOnlyRequest(version)
	s.cache(request, advertisement, data)
}

// markUsed moves a cached state to the end of the eviction order and returns it, so that new
// versions don't evict one that is being transferred.
func (s *stateSender) markUsed(i int) encodedState {
	k := s.cached[i]
	s.cached = append(slices.Delete(s.cached, i, i+1), k)
	return k
}

func (s *stateSender) cache(req StateRequest, advertisement core.Advertisement, data []byte) encodedState {
	k := encodedState{
		request:       req,
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

// newerState returns the part of a view that is newer than the receiver's versions.
func (s *stateSender) newerState(req StateRequest, v *View) PeerState {
	var out PeerState
	if v.ConfigVersion() > req.ConfigVersion {
		out.Document = v.Table.Document()
	}
	if !v.HasEndpointList || v.ListRevision <= req.ListRevision {
		return out
	}
	out.ListRevision = v.ListRevision
	out.CompleteAt = v.CompleteAt
	out.Zones = v.Zones
	if updated, removed, ok := s.state.ChangesSince(req.ListRevision); ok {
		out.Partial = true
		out.Endpoints = updated
		out.Removed = removed
		return out
	}
	out.Endpoints, out.Removed = s.state.List()
	slices.SortFunc(out.Endpoints, func(a, b routing.Endpoint) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}
