package standin

import (
	"math/rand/v2"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// EngineRules configure a fake engine.
type EngineRules struct {
	Name         string
	Models       []string
	Batch        BatchRules
	OutputLength LengthDistribution
	Seed         uint64
	LoadLag      time.Duration
	ChecksFences bool
	ResumeWindow time.Duration // how long a finished generation can be read again
	Cache        CacheEventRules
}

// CacheEventRules make an engine's cache event log incomplete.
type CacheEventRules struct {
	HeldBack  int // number of newest events not reported yet
	DropEvery int // every n-th event is never reported; 0 reports all
}

// visible returns the reported events with a sequence number above after.
func (r CacheEventRules) visible(log []CacheEvent, after int) []CacheEvent {
	out := make([]CacheEvent, 0, len(log))
	for _, e := range log[:max(0, len(log)-r.HeldBack)] {
		if e.Sequence > after && (r.DropEvery == 0 || e.Sequence%r.DropEvery != 0) {
			out = append(out, e)
		}
	}
	return out
}

// Engine is a fake model engine that generates tokens in real time.
type Engine struct {
	rules        EngineRules
	incarnation  uint64
	faults       *faultState
	mu           sync.Mutex
	batch        *Batch
	random       *rand.Rand
	generations  map[string]*generation
	starts       map[string]int // start requests by generation ID, including rejected ones
	wake         chan struct{}  // ends the batch loop's idle wait
	currentLoad  Load
	reportedLoad Load // currentLoad of an earlier time
	fenceCheck   *core.FenceCheck
	orders       []Order
	cancels      int
	preempted    int
}

// generation is one sequence with its progress and readers.
type generation struct {
	seq       *Sequence
	model     string
	changed   chan struct{}
	emitted   int
	ended     bool
	discarded bool // can't be read any more
	endedAt   time.Time
	readers   int
	reason    string // the finish reason in its last frame
}

// Load is an engine's load report; it lags behind the engine's state.
type Load struct {
	Incarnation  uint64        `json:"incarnation"`
	Running      int           `json:"running"`
	Waiting      int           `json:"waiting"`
	UsedTokens   int           `json:"used_tokens"`
	MemoryTokens int           `json:"memory_tokens"`
	Step         time.Duration `json:"step_ns"`
	Preempted    int           `json:"preempted"`
}

// Order is an instruction to an engine. It carries a fence, so that the engine can reject the
// orders of an earlier owner.
type Order struct {
	Fence   core.Fence `json:"fence"`
	Action  string     `json:"do"` // load, unload or role
	Subject string     `json:"what"`
}

// NewEngine returns an engine and starts its batch loop.
func NewEngine(rules EngineRules) *Engine {
	e := &Engine{
		rules:       rules,
		incarnation: uint64(time.Now().UnixNano()),
		faults:      newFaultState(),
		batch:       NewBatch(rules.Batch),
		random:      rand.New(rand.NewPCG(rules.Seed, 1)),
		generations: make(map[string]*generation),
		starts:      make(map[string]int),
		wake:        make(chan struct{}, 1),
	}
	e.fenceCheck = core.NewFenceCheck()
	if !rules.ChecksFences {
		e.fenceCheck = core.NewFenceCheck(core.WithoutGuard(core.GuardFence))
	}
	go e.run()
	go e.reportLoad()
	return e
}

func (e *Engine) run() {
	for {
		took, idle := e.step()
		if idle {
			<-e.wake
			continue
		}
		time.Sleep(took)
	}
}

// step runs one batch step. It returns the step's duration, and true if there was nothing to do.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.batch.IsIdle() {
		return 0, true
	}
	s := e.batch.Step()
	e.preempted += len(s.Preempted)
	for _, q := range s.Emitted {
		e.updateProgress(q)
	}
	for _, q := range s.Finished {
		e.generations[q.ID].ended = true
		e.generations[q.ID].endedAt = time.Now()
		e.generations[q.ID].notify()
	}
	e.currentLoad = Load{
		Incarnation:  e.incarnation,
		Running:      e.batch.Running(),
		Waiting:      e.batch.Waiting(),
		UsedTokens:   e.batch.Used(),
		MemoryTokens: e.rules.Batch.MemoryTokens,
		Step:         s.Duration,
		Preempted:    e.preempted,
	}
	return s.Duration, false
}

func (e *Engine) updateProgress(q *Sequence) {
	g := e.generations[q.ID]
	g.emitted = q.Emitted
	g.notify()
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// reportLoad copies the current load to the reported load once in each lag interval.
func (e *Engine) reportLoad() {
	lag := max(e.rules.LoadLag, 10*time.Millisecond)
	for range time.Tick(lag) {
		e.mu.Lock()
		if e.batch.IsIdle() {
			e.currentLoad.Running, e.currentLoad.Waiting, e.currentLoad.UsedTokens = 0, 0, 0
		}
		e.reportedLoad = e.currentLoad
		e.reportedLoad.Incarnation = e.incarnation
		e.reportedLoad.MemoryTokens = e.rules.Batch.MemoryTokens
		e.discardExpired()
		e.mu.Unlock()
	}
}

// discardExpired marks finished generations that have no reader as unreadable once the resume
// window has passed. Their token counts stay in the record.
func (e *Engine) discardExpired() {
	for _, g := range e.generations {
		if g.ended && g.readers == 0 && time.Since(g.endedAt) > e.rules.ResumeWindow {
			g.discarded = true
		}
	}
}

// start submits a generation and attaches its first reader. It returns false if the ID was
// used before.
func (e *Engine) start(id, model string, priority, prompt, maxTokens int, prefix uint64) (*generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts[id]++
	if e.generations[id] != nil {
		return nil, false
	}
	sampledLength := e.rules.OutputLength.Sample(e.random)
	g := &generation{
		seq: &Sequence{
			ID:           id,
			Priority:     priority,
			Prompt:       prompt,
			Prefix:       prefix,
			OutputLength: min(sampledLength, maxTokens),
		},
		model:   model,
		changed: make(chan struct{}),
		readers: 1,
		reason:  "stop",
	}
	if sampledLength > maxTokens {
		g.reason = "length"
	}
	e.generations[id] = g
	e.batch.Submit(g.seq)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return g, true
}

// attach adds a reader to a generation and returns it, or nil if it can't be read.
func (e *Engine) attach(id string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	if g == nil || g.discarded {
		return nil
	}
	g.readers++
	return g
}

// cancel stops a generation. It returns false if the ID is unknown; with onlyIdle, a generation
// that has readers continues.
func (e *Engine) cancel(id string, onlyIdle bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	if g == nil {
		return false
	}
	if onlyIdle && g.readers > 0 {
		return true
	}
	e.cancels++
	e.batch.Cancel(id)
	if !g.ended {
		g.ended = true
		g.discarded = true
		g.notify()
	}
	return true
}

// detach removes a reader from a generation.
func (e *Engine) detach(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
}

// progress returns a generation's token count and state, and a channel that is closed when they
// change.
func (e *Engine) progress(g *generation) (emitted int, ended, discarded bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.emitted, g.ended, g.discarded, g.changed
}

// applyOrder records an order and returns true, unless its fence is outdated.
func (e *Engine) applyOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.fenceCheck.Admit(o.Fence) {
		return false
	}
	e.orders = append(e.orders, o)
	return true
}

// Record is an engine's record of its generations and orders.
type Record struct {
	Incarnation uint64         `json:"incarnation"`
	Tokens      map[string]int `json:"tokens"`
	Starts      map[string]int `json:"starts"`
	Orders      []Order        `json:"orders"`
	Cancels     int            `json:"cancels"`
	Preempted   int            `json:"preempted"`
}

func (e *Engine) record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := Record{
		Incarnation: e.incarnation,
		Tokens:      make(map[string]int),
		Starts:      make(map[string]int),
		Orders:      e.orders,
		Cancels:     e.cancels,
		Preempted:   e.preempted,
	}
	for id, g := range e.generations {
		r.Tokens[id] = g.emitted
	}
	for id, n := range e.starts {
		r.Starts[id] = n
	}
	return r
}
