package standin

import (
	"slices"
	"time"
)

// BatchRules configure the memory, batch size and step times of one engine. A step takes
// StepBase, and in addition StepPerSeq for each sequence and PrefillPerToken for each prompt
// token that it computes.
type BatchRules struct {
	MemoryTokens    int
	BlockTokens     int // memory is allocated in blocks of this size
	MaxBatch        int // maximum number of sequences in the batch
	StepBase        time.Duration
	StepPerSeq      time.Duration
	PrefillPerToken time.Duration
	CacheTokens     int // part of the memory reserved for cached prompt prefixes
}

// DefaultBatchRules returns rules whose step takes 12 ms when empty and 30 ms with 60
// sequences.
func DefaultBatchRules() BatchRules {
	return BatchRules{
		MemoryTokens:    40000,
		BlockTokens:     16,
		MaxBatch:        256,
		StepBase:        12 * time.Millisecond,
		StepPerSeq:      300 * time.Microsecond,
		PrefillPerToken: 20 * time.Microsecond,
		CacheTokens:     8000,
	}
}

// Sequence is one generation in an engine's batch or queue.
type Sequence struct {
	ID           string
	Priority     int    // 0 is the highest
	Prompt       int    // length of the prompt in tokens
	Prefix       uint64 // hash of the prompt prefix; 0 for none
	OutputLength int    // in tokens; unknown to callers
	Emitted      int    // tokens generated so far
	Preempted    int    // number of preemptions
	arrival      int    // position in the order of arrival
	Computed     int    // prefill tokens computed, including those repeated after preemptions
}

// blocks returns the number of memory blocks that the sequence needs, including space for its
// next token.
func (s *Sequence) blocks(blockTokens int) int {
	return (s.Prompt + s.Emitted + blockTokens) / blockTokens
}

// Step is the result of one batch step.
type Step struct {
	Duration  time.Duration
	Emitted   []*Sequence // generated a token
	Finished  []*Sequence // reached their output length
	Preempted []*Sequence // lost their memory and were queued again
}

// Batch simulates an engine's continuous batching over a limited memory of blocks. It reads no
// clock: each step returns its duration and the sequences that it advanced.
type Batch struct {
	Rules      BatchRules
	waiting    []*Sequence
	running    []*Sequence
	usedBlocks int
	arrivals   int
	cache      *prefixCache
}

// NewBatch returns an empty batch.
func NewBatch(rules BatchRules) *Batch {
	return &Batch{
		Rules: rules,
		cache: newPrefixCache(rules.CacheTokens),
	}
}

// Submit queues a sequence. The queue is ordered by priority, then by arrival.
func (b *Batch) Submit(s *Sequence) {
	b.arrivals++
	s.arrival = b.arrivals
	b.enqueue(s)
}

func (b *Batch) enqueue(s *Sequence) {
	at, _ := slices.BinarySearchFunc(b.waiting, s, compareQueueOrder)
	b.waiting = slices.Insert(b.waiting, at, s)
}

func compareQueueOrder(a, b *Sequence) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	return a.arrival - b.arrival
}

// Cancel removes a sequence from the queue or the batch.
func (b *Batch) Cancel(id string) {
	match := func(s *Sequence) bool { return s.ID == id }
	b.waiting = slices.DeleteFunc(b.waiting, match)
	for _, s := range b.running {
		if s.ID == id {
			b.usedBlocks -= s.blocks(b.Rules.BlockTokens)
		}
	}
	b.running = slices.DeleteFunc(b.running, match)
}

// Running returns the number of sequences in the batch.
func (b *Batch) Running() int { return len(b.running) }

// Waiting returns the number of queued sequences.
func (b *Batch) Waiting() int { return len(b.waiting) }

// Used returns the memory in use, in tokens.
func (b *Batch) Used() int { return b.usedBlocks * b.Rules.BlockTokens }

func (b *Batch) totalBlocks() int { return b.Rules.MemoryTokens / b.Rules.BlockTokens }

// IsIdle reports whether no sequence is running or queued.
func (b *Batch) IsIdle() bool { return len(b.running)+len(b.waiting) == 0 }

// Step admits queued sequences and generates one token for each running sequence.
func (b *Batch) Step() Step {
	var out Step
	prefill := b.admit()
	for _, s := range slices.Clone(b.running) {
		// An earlier sequence of this step may have preempted it.
		if !slices.Contains(b.running, s) {
			continue
		}
		b.generateToken(s, &out)
	}
	size := len(b.running) + len(out.Finished)
	out.Duration = b.Rules.StepBase + time.Duration(size)*b.Rules.StepPerSeq + time.Duration(prefill)*b.Rules.PrefillPerToken
	return out
}

// admit moves queued sequences into the batch while memory and batch size allow, and returns
// the number of tokens to prefill.
func (b *Batch) admit() int {
	prefill := 0
	for len(b.waiting) > 0 && len(b.running) < b.Rules.MaxBatch {
		next := b.waiting[0]
		need := next.blocks(b.Rules.BlockTokens)
		if b.usedBlocks+need > b.totalBlocks() && len(b.running) > 0 {
			break
		}
		b.waiting = b.waiting[1:]
		b.usedBlocks += need
		b.running = append(b.running, next)
		missing := max(0, next.Prompt+next.Emitted-b.cache.hit(next.Prefix, next.Prompt))
		next.Computed += missing
		prefill += missing
	}
	return prefill
}

// generateToken adds a token to a sequence. If the memory is full, it preempts others, or the
// sequence itself.
func (b *Batch) generateToken(s *Sequence, out *Step) {
	before := s.blocks(b.Rules.BlockTokens)
	s.Emitted++
	need := s.blocks(b.Rules.BlockTokens) - before
	b.usedBlocks += need
	for b.usedBlocks > b.totalBlocks() {
		victim := b.victim()
		if victim == nil {
			break
		}
		b.preempt(victim, out)
	}
	out.Emitted = append(out.Emitted, s)
	if s.Emitted >= s.OutputLength {
		b.finish(s, out)
	}
}

// victim returns the sequence to preempt: of the lowest priority, the one that arrived last.
func (b *Batch) victim() *Sequence {
	if len(b.running) < 2 {
		return nil
	}
	return slices.MaxFunc(b.running, compareQueueOrder)
}

func (b *Batch) preempt(s *Sequence, out *Step) {
	b.usedBlocks -= s.blocks(b.Rules.BlockTokens)
	b.running = slices.DeleteFunc(b.running, func(r *Sequence) bool { return r == s })
	s.Preempted++
	b.enqueue(s)
	out.Preempted = append(out.Preempted, s)
}

// finish removes a sequence that has reached its output length. The sequence is queued if its
// last token made the engine preempt it.
func (b *Batch) finish(s *Sequence, out *Step) {
	at := slices.Index(b.running, s)
	if at >= 0 {
		b.running = slices.Delete(b.running, at, at+1)
		b.usedBlocks -= s.blocks(b.Rules.BlockTokens)
	} else {
		b.waiting = slices.DeleteFunc(b.waiting, func(w *Sequence) bool { return w == s })
	}
	out.Finished = append(out.Finished, s)
}

// prefixCache is an LRU cache of prompt prefixes.
type prefixCache struct {
	capacity         int
	leastRecentFirst []uint64
	size             map[uint64]int
	usedTokens       int
	events           []CacheEvent
}

// CacheEvent records that a prefix was cached or evicted.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Dropped  bool   `json:"dropped,omitempty"`
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		size:     make(map[uint64]int),
	}
}

// prefixFraction is the fraction of a prompt that its cached prefix covers.
const prefixFraction = 0.6

func (c *prefixCache) hit(prefix uint64, prompt int) int {
	if prefix == 0 {
		return 0
	}
	size, held := c.size[prefix]
	if held {
		at := slices.Index(c.leastRecentFirst, prefix)
		c.leastRecentFirst = append(slices.Delete(c.leastRecentFirst, at, at+1), prefix)
		return min(size, prompt)
	}
	c.insert(prefix, int(float64(prompt)*prefixFraction))
	return 0
}

func (c *prefixCache) insert(prefix uint64, size int) {
	for c.usedTokens+size > c.capacity && len(c.leastRecentFirst) > 0 {
		oldest := c.leastRecentFirst[0]
		c.leastRecentFirst = c.leastRecentFirst[1:]
		c.usedTokens -= c.size[oldest]
		delete(c.size, oldest)
		c.addEvent(oldest, true)
	}
	c.size[prefix] = size
	c.leastRecentFirst = append(c.leastRecentFirst, prefix)
	c.usedTokens += size
	c.addEvent(prefix, false)
}

func (c *prefixCache) addEvent(prefix uint64, dropped bool) {
	c.events = append(c.events, CacheEvent{
		Sequence: len(c.events) + 1,
		Prefix:   prefix,
		Dropped:  dropped,
	})
}
