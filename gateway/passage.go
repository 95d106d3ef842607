package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

const (
	// sendMost bounds the sends of one request, refused ones included: more
	// would only add load where all endpoints are full.
	sendMost = 3
	// bodyPiece is how much of a body is read at a time; prompts and records are
	// a few kilobytes.
	bodyPiece = 32 << 10
	// unknownTimeout is for routes without a time-out of their own.
	unknownTimeout = time.Minute
)

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
	p.gateway.budget(name, p.start, func(b *core.SharedBudget) { b.Request(p.start) })
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

// admit finds the route, the customer and the service, or answers the caller.
func (p *passage) admit() bool {
	t := p.view.Table
	if t == nil {
		p.refuse(http.StatusServiceUnavailable, "no configuration is known yet")
		return false
	}
	p.route = t.Match(p.request.Host, rawPath(p.request))
	if p.route == nil {
		p.refuse(http.StatusNotFound, "no route leads there")
		return false
	}
	if t.Keyed() && !p.route.Anonymous {
		p.customer = t.Customer(p.in.Key)
		if p.customer == nil {
			p.refuse(http.StatusUnauthorized, "the key is not known")
			return false
		}
	}
	p.service = t.Service(p.route.Pick(p.in.ID))
	if p.service == nil {
		p.refuse(http.StatusServiceUnavailable, "the route's service is not known")
		return false
	}
	return true
}

// rawPath gives the path as it was sent, without the query.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

func (p *passage) timeout() time.Duration {
	t := p.route.Timeout
	if t <= 0 {
		t = unknownTimeout
	}
	if p.in.Patience > 0 {
		t = min(t, p.in.Patience)
	}
	return t
}

// rank is what orders the request against others; a customer's goes first.
func (p *passage) rank() int {
	if p.customer != nil && p.customer.Rank != nil {
		return *p.customer.Rank
	}
	return p.route.Rank
}

// readBody takes the whole body, within the configuration's limit and the
// box's memory.
func (p *passage) readBody() bool {
	most := int64(p.view.Table.Limits().BodyBytes)
	length := p.request.ContentLength
	if length == 0 {
		return true
	}
	if most > 0 && length > most {
		p.refuse(http.StatusRequestEntityTooLarge, "the body is larger than the configuration permits")
		return false
	}
	_ = http.NewResponseController(p.writer).SetReadDeadline(p.limit)
	err := p.takeBody(http.MaxBytesReader(p.writer, p.request.Body, max(most, 1)))
	_ = http.NewResponseController(p.writer).SetReadDeadline(time.Time{})
	if err == nil {
		return true
	}
	p.gateway.buffered.Add(-p.reserved)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		p.refuse(http.StatusRequestEntityTooLarge, "the body is larger than the configuration permits")
		return false
	}
	if errors.Is(err, errNoMemory) {
		p.refuse(http.StatusServiceUnavailable, "no memory is left for bodies")
		return false
	}
	p.decided("caller's body broke off", zap.Error(err))
	panic(http.ErrAbortHandler)
}

// errNoMemory reports that the box's memory for bodies is used up.
var errNoMemory = errors.New("no memory is left for bodies")

// takeBody reads the body piece by piece, and reserves memory for each before
// it is read: a body in chunks doesn't say how long it gets.
func (p *passage) takeBody(from io.Reader) error {
	for {
		if !p.gateway.reserve(bodyPiece) {
			return errNoMemory
		}
		p.reserved += bodyPiece
		piece, err := io.ReadAll(io.LimitReader(from, bodyPiece))
		p.body = append(p.body, piece...)
		if err != nil || len(piece) < bodyPiece {
			return err
		}
	}
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
