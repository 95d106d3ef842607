package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// sendMost bounds the sends of one request, refused ones included: more
// would only add load where all endpoints are full.
const sendMost = 3

// passage is one request on its way through the gateway.
type passage struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	request  *http.Request
	start    time.Time
	limit    time.Time // nobody waits beyond it, less suspensions since the start; see until
	in       Inbound
	view     *fleet.View
	route    *routing.Route
	service  *routing.Service
	customer *routing.Customer
	homes    routing.AllowedRegions
	body     []byte
	content  core.Digest // of what the request asks for
	reserved int64
	call     *core.Call
	endpoint routing.Endpoint // of the current send
	backup   routing.Endpoint // where the run's memory goes as it grows
	tried    map[string]bool
	answer   *answer
	last     string // the id of the last event that the caller has
	order    order
	events   int          // passed on
	made     atomic.Int64 // events passed on, for the plans of moves

	queued    float64       // tokens of prompts to be read before the first event
	told      int           // the size by which the boxes know the current run; 0 for calls
	first     time.Duration // until the first event
	longest   time.Duration // between two events
	longestAt string        // the id of the event before it
	lastAt    time.Time     // of the last event
	begunAt   time.Time     // of the first event
	ranFrom   time.Time     // of the first event of the current run; zero before
	suspended time.Duration // of the machine, before the start
	begun     bool          // whether the head of the answer went to the caller
	placedAt  time.Time
	resume    *handover // where the stream goes on
	overdue   *overdue  // of the current send

	mu       sync.Mutex // guards what movers see: endpoint, backup and what follows
	handover *handover
	moving   bool
	done     bool
}

func (p *passage) serve() {
	p.in = p.gateway.protocol.Inbound(p.request.Header)
	p.view = p.gateway.view()
	if !p.admit() {
		return
	}
	p.limit = p.start.Add(p.timeout())
	if p.outlastsStop() {
		p.refuse(http.StatusServiceUnavailable, "this box stops before the stream would end; another one can serve it")
		return
	}
	if !p.readBody() {
		return
	}
	defer p.gateway.buffered.Add(-p.reserved)
	p.content = p.digest()
	if p.quarantined() {
		p.refuseQuarantined()
		return
	}
	name := p.service.Name
	p.gateway.budget(name, p.start, func(b *core.SharedBudget) { b.CountRequest(p.start) })
	p.call = core.NewCall(core.CallRules{
		Repeatable:   p.route.MayRepeat(),
		Resumable:    p.route.Resumable,
		MaxEndpoints: max(p.route.MaxEndpoints, 1),
		MaxSends:     sendMost,
	}, func() bool { return p.mayRepeat(name) })
	defer p.finish()
	p.carry()
}

// mayRepeat takes one more send from the budget.
func (p *passage) mayRepeat(service string) bool {
	if p.begun && p.route.Kind == routing.Streaming {
		return p.mayContinue(service)
	}
	return p.gateway.mayRepeat(service)
}

// finish tells movers that the stream has ended.
func (p *passage) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done = true
}

// carry steps the call until it has ended.
func (p *passage) carry() {
	var command core.Command = core.PlaceCall{}
	for command != nil {
		ev := p.perform(command)
		if ev == nil {
			return
		}
		commands := p.call.Step(time.Now(), ev)
		command = nil
		if len(commands) > 0 {
			command = commands[0]
		}
	}
}

// perform carries out one command and gives the event that follows, or nil at
// the end.
func (p *passage) perform(command core.Command) core.Event {
	switch c := command.(type) {
	case core.PlaceCall:
		return p.place()
	case core.SendCall:
		return p.send("")
	case core.ContinueCall:
		return p.goOn()
	case core.ResumeCall:
		return p.resumeAnew()
	case core.PassAnswer:
		p.pass()
	case core.RefuseCall:
		p.giveUp(c)
	case core.CutAnswer:
		p.ended("cut", http.StatusOK, zap.String("why", string(c.Reason)))
		panic(http.ErrAbortHandler)
	case core.CancelCall:
		p.ended("caller left", 0)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// over tells whether the passage must end now, and by which event.
func (p *passage) over() core.Event {
	if p.request.Context().Err() != nil {
		return core.CallAbandoned{}
	}
	if !time.Now().Before(p.until()) {
		return core.CallExpired{}
	}
	return nil
}
