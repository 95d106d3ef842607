package standin

import (
	"math/rand/v2"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// EngineRules are the settings of a stand-in engine.
type EngineRules struct {
	Name         string
	Models       []string
	Batch        BatchRules
	OutputLength LengthDistribution
	Seed         uint64
	LoadLag      time.Duration
	ChecksFences bool
	ResumeWindow time.Duration // how long an ended generation can be resumed
	Cache        CacheEventRules
}

// CacheEventRules say how an engine's cache events fall short.
type CacheEventRules struct {
	HeldBack  int // the newest events that are not told yet
	DropEvery int // each event of so many is never told; 0 tells all
}

// seen gives the events after a number that are told by now.
func (r CacheEventRules) seen(log []CacheEvent, after int) []CacheEvent {
	told := make([]CacheEvent, 0, len(log))
	for _, e := range log[:max(0, len(log)-r.HeldBack)] {
		if e.Sequence > after && (r.DropEvery == 0 || e.Sequence%r.DropEvery != 0) {
			told = append(told, e)
		}
	}
	return told
}

// Engine is a stand-in model engine that runs in real time.
type Engine struct {
	rules       EngineRules
	incarnation uint64
	faults      *faultBox
	mu          sync.Mutex
	batch       *Batch
	random      *rand.Rand
	generations map[string]*generation
	starts      map[string]int
	wake        chan struct{}
	load        Load
	shown       Load
	gate        *core.FenceCheck
	orders      []Order
	cancels     int
	preempted   int
}

// generation is one sequence and who listens to it.
type generation struct {
	seq     *Sequence
	model   string
	changed chan struct{}
	made    int
	ended   bool
	gone    bool
	endedAt time.Time
	readers int
	reason  string
}

// Load is what an engine reports, with a lag.
type Load struct {
	Incarnation  uint64        `json:"incarnation"`
	Running      int           `json:"running"`
	Waiting      int           `json:"waiting"`
	UsedTokens   int           `json:"used_tokens"`
	MemoryTokens int           `json:"memory_tokens"`
	Step         time.Duration `json:"step_ns"`
	Preempted    int           `json:"preempted"`
}

// Order is a fenced order to an engine.
type Order struct {
	Fence core.Fence `json:"fence"`
	Do    string     `json:"do"` // load, unload or role
	What  string     `json:"what"`
}

// NewEngine starts an engine's batch loop.
func NewEngine(rules EngineRules) *Engine {
	e := &Engine{
		rules:       rules,
		incarnation: uint64(time.Now().UnixNano()),
		faults:      newFaultBox(),
		batch:       NewBatch(rules.Batch),
		random:      rand.New(rand.NewPCG(rules.Seed, 1)),
		generations: make(map[string]*generation),
		starts:      make(map[string]int),
		wake:        make(chan struct{}, 1),
	}
	e.gate = core.NewFenceCheck()
	if !rules.ChecksFences {
		e.gate = core.NewFenceCheck(core.WithoutGuard(core.GuardFence))
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

func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.batch.IsIdle() {
		return 0, true
	}
	s := e.batch.Step()
	e.preempted += len(s.Preempted)
	for _, q := range s.Emitted {
		e.publish(q)
	}
	for _, q := range s.Finished {
		e.generations[q.ID].ended = true
		e.generations[q.ID].endedAt = time.Now()
		e.generations[q.ID].notify()
	}
	e.load = Load{
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

func (e *Engine) publish(q *Sequence) {
	g := e.generations[q.ID]
	g.made = q.Emitted
	g.notify()
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// reportLoad copies the load to what is shown, later by the lag.
func (e *Engine) reportLoad() {
	lag := max(e.rules.LoadLag, 10*time.Millisecond)
	for range time.Tick(lag) {
		e.mu.Lock()
		if e.batch.IsIdle() {
			e.load.Running, e.load.Waiting, e.load.UsedTokens = 0, 0, 0
		}
		e.shown = e.load
		e.shown.Incarnation = e.incarnation
		e.shown.MemoryTokens = e.rules.Batch.MemoryTokens
		e.sweep()
		e.mu.Unlock()
	}
}

// sweep forgets the texts of generations that ended long ago and that nobody
// reads; their record stays.
func (e *Engine) sweep() {
	for _, g := range e.generations {
		if g.ended && g.readers == 0 && time.Since(g.endedAt) > e.rules.ResumeWindow {
			g.gone = true
		}
	}
}

// start submits a generation, with its first reader; it answers false if the id
// was used before.
func (e *Engine) start(id, model string, priority, prompt, most int, prefix uint64) (*generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts[id]++
	if e.generations[id] != nil {
		return nil, false
	}
	drawn := e.rules.OutputLength.Sample(e.random)
	g := &generation{
		seq: &Sequence{
			ID:           id,
			Priority:     priority,
			Prompt:       prompt,
			Prefix:       prefix,
			OutputLength: min(drawn, most),
		},
		model:   model,
		changed: make(chan struct{}),
		readers: 1,
		reason:  "stop",
	}
	if drawn > most {
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

// find gives a generation to one more reader, or nil.
func (e *Engine) find(id string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	if g == nil || g.gone {
		return nil
	}
	g.readers++
	return g
}

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
		g.gone = true
		g.notify()
	}
	return true
}

// leave ends a reading.
func (e *Engine) leave(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
}

// progress gives how many tokens a generation has and a channel that is closed
// when that changes.
func (e *Engine) progress(g *generation) (made int, ended, gone bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.made, g.ended, g.gone, g.changed
}

func (e *Engine) order(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.gate.Admit(o.Fence) {
		return false
	}
	e.orders = append(e.orders, o)
	return true
}

// Record is an engine's own record of what it made.
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
		r.Tokens[id] = g.made
	}
	for id, n := range e.starts {
		r.Starts[id] = n
	}
	return r
}
