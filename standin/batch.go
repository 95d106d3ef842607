package standin

import (
	"slices"
	"time"
)

// BatchRules are the sizes and times of one engine.
type BatchRules struct {
	MemoryTokens int
	BlockTokens  int
	MaxBatch     int
	StepBase     time.Duration
	StepPerSeq   time.Duration
	PrefillToken time.Duration
	CacheTokens  int // part of the memory kept for prompt prefixes
}

// DefaultBatchRules gives an engine with a step of 12 ms alone and 30 ms at a
// batch of 60.
func DefaultBatchRules() BatchRules {
	return BatchRules{
		MemoryTokens: 40000,
		BlockTokens:  16,
		MaxBatch:     256,
		StepBase:     12 * time.Millisecond,
		StepPerSeq:   300 * time.Microsecond,
		PrefillToken: 20 * time.Microsecond,
		CacheTokens:  8000,
	}
}

// Sequence is one generation in an engine.
type Sequence struct {
	ID           string
	Priority     int // 0 is served first
	Prompt       int
	Prefix       uint64
	OutputLength int // drawn, unknown to callers
	Emitted      int
	Preempted    int
	arrival      int
	Computed     int // prompt tokens computed, those after a preemption included
}

func (s *Sequence) blocks(size int) int { return (s.Prompt + s.Emitted + size) / size }

// Step is what one step of the batch did.
type Step struct {
	Duration  time.Duration
	Emitted   []*Sequence
	Finished  []*Sequence
	Preempted []*Sequence
}

// Batch is an engine's continuous batching over a limited memory of blocks. It
// is pure: each step tells how long it takes and what it made.
type Batch struct {
	Rules    BatchRules
	waiting  []*Sequence
	running  []*Sequence
	used     int
	arrivals int
	cache    *prefixCache
}

// NewBatch starts empty.
func NewBatch(rules BatchRules) *Batch {
	return &Batch{
		Rules: rules,
		cache: newPrefixCache(rules.CacheTokens),
	}
}

// Submit adds a sequence; it waits by priority, then by arrival.
func (b *Batch) Submit(s *Sequence) {
	b.arrivals++
	s.arrival = b.arrivals
	b.enqueue(s)
}

func (b *Batch) enqueue(s *Sequence) {
	at, _ := slices.BinarySearchFunc(b.waiting, s, before)
	b.waiting = slices.Insert(b.waiting, at, s)
}

func before(a, b *Sequence) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	return a.arrival - b.arrival
}

// Cancel removes a sequence.
func (b *Batch) Cancel(id string) {
	match := func(s *Sequence) bool { return s.ID == id }
	b.waiting = slices.DeleteFunc(b.waiting, match)
	for _, s := range b.running {
		if s.ID == id {
			b.used -= s.blocks(b.Rules.BlockTokens)
		}
	}
	b.running = slices.DeleteFunc(b.running, match)
}

// Running counts the sequences in the batch.
func (b *Batch) Running() int { return len(b.running) }

// Waiting counts the sequences before the batch.
func (b *Batch) Waiting() int { return len(b.waiting) }

// Used gives the memory in use, in tokens.
func (b *Batch) Used() int { return b.used * b.Rules.BlockTokens }

func (b *Batch) total() int { return b.Rules.MemoryTokens / b.Rules.BlockTokens }

// IsIdle reports whether there is nothing to do.
func (b *Batch) IsIdle() bool { return len(b.running)+len(b.waiting) == 0 }

// Step makes one token for each sequence in the batch.
func (b *Batch) Step() Step {
	var out Step
	prefill := b.admit()
	for _, s := range slices.Clone(b.running) {
		if !slices.Contains(b.running, s) {
			continue
		}
		b.grow(s, &out)
	}
	size := len(b.running) + len(out.Finished)
	out.Duration = b.Rules.StepBase + time.Duration(size)*b.Rules.StepPerSeq + time.Duration(prefill)*b.Rules.PrefillToken
	return out
}

// admit starts waiting sequences while memory and batch have room, and gives
// the tokens that must be computed first.
func (b *Batch) admit() int {
	prefill := 0
	for len(b.waiting) > 0 && len(b.running) < b.Rules.MaxBatch {
		next := b.waiting[0]
		need := next.blocks(b.Rules.BlockTokens)
		if b.used+need > b.total() && len(b.running) > 0 {
			break
		}
		b.waiting = b.waiting[1:]
		b.used += need
		b.running = append(b.running, next)
		missing := max(0, next.Prompt+next.Emitted-b.cache.hit(next.Prefix, next.Prompt))
		next.Computed += missing
		prefill += missing
	}
	return prefill
}

func (b *Batch) grow(s *Sequence, out *Step) {
	before := s.blocks(b.Rules.BlockTokens)
	s.Emitted++
	need := s.blocks(b.Rules.BlockTokens) - before
	b.used += need
	for b.used > b.total() {
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

// victim is the least important and latest of the running.
func (b *Batch) victim() *Sequence {
	if len(b.running) < 2 {
		return nil
	}
	return slices.MaxFunc(b.running, before)
}

func (b *Batch) preempt(s *Sequence, out *Step) {
	b.used -= s.blocks(b.Rules.BlockTokens)
	b.running = slices.DeleteFunc(b.running, func(r *Sequence) bool { return r == s })
	s.Preempted++
	b.enqueue(s)
	out.Preempted = append(out.Preempted, s)
}

func (b *Batch) finish(s *Sequence, out *Step) {
	at := slices.Index(b.running, s)
	if at >= 0 {
		b.running = slices.Delete(b.running, at, at+1)
		b.used -= s.blocks(b.Rules.BlockTokens)
	} else {
		b.waiting = slices.DeleteFunc(b.waiting, func(w *Sequence) bool { return w == s })
	}
	out.Finished = append(out.Finished, s)
}

// prefixCache remembers the prefixes that were computed last.
type prefixCache struct {
	room  int
	order []uint64
	size  map[uint64]int
	used  int
	log   []CacheEvent
}

// CacheEvent tells that a prefix was kept or dropped.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Dropped  bool   `json:"dropped,omitempty"`
}

func newPrefixCache(room int) *prefixCache {
	return &prefixCache{
		room: room,
		size: make(map[uint64]int),
	}
}

// prefixPart is the part of a prompt that its prefix stands for.
const prefixPart = 0.6

func (c *prefixCache) hit(prefix uint64, prompt int) int {
	if prefix == 0 {
		return 0
	}
	size, held := c.size[prefix]
	if held {
		at := slices.Index(c.order, prefix)
		c.order = append(slices.Delete(c.order, at, at+1), prefix)
		return min(size, prompt)
	}
	c.keep(prefix, int(float64(prompt)*prefixPart))
	return 0
}

func (c *prefixCache) keep(prefix uint64, size int) {
	for c.used+size > c.room && len(c.order) > 0 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.used -= c.size[oldest]
		delete(c.size, oldest)
		c.note(oldest, true)
	}
	c.size[prefix] = size
	c.order = append(c.order, prefix)
	c.used += size
	c.note(prefix, false)
}

func (c *prefixCache) note(prefix uint64, dropped bool) {
	c.log = append(c.log, CacheEvent{
		Sequence: len(c.log) + 1,
		Prefix:   prefix,
		Dropped:  dropped,
	})
}
