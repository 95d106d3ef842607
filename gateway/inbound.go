package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/routing"
)

const (
	// bodyChunkBytes is how much of a body is read, and reserved memory for, at a time.
	bodyChunkBytes = 32 << 10
	// unreadBodyTime is how long the rest of a body may take that a refused request still sends.
	unreadBodyTime = 250 * time.Millisecond
	// defaultTimeout is the timeout of routes that set none.
	defaultTimeout = time.Minute
)

// resolveRoute looks up the request's route, customer and service; if one is missing it
// answers the caller and returns false.
func (p *proxiedRequest) resolveRoute() bool {
	if r := p.lookUpRoute(); r != nil {
		p.refuse(r.status, r.reason)
		return false
	}
	return true
}

// lookUpRoute looks up the request's route, customer and service, and returns why the request is
// refused if one is missing.
func (p *proxiedRequest) lookUpRoute() *refusal {
	t := p.view.Table
	if t == nil {
		return &refusal{
			status: http.StatusServiceUnavailable,
			reason: "no configuration is known yet",
		}
	}
	p.resolvedVersion = t.Version()
	p.route = t.Match(p.request.Host, rawPath(p.request))
	if p.route == nil {
		return &refusal{
			status: http.StatusNotFound,
			reason: "no route leads there",
		}
	}
	p.customer = nil
	if t.RequiresKey() && !p.route.Anonymous {
		p.customer = t.Customer(p.inbound.Key)
		if p.customer == nil {
			return &refusal{
				status: http.StatusUnauthorized,
				reason: "the key is not known",
			}
		}
	}
	p.allowedRegions = routing.NewAllowedRegions(p.gateway.rules.Regions, p.route, p.customer)
	p.service = t.Service(p.route.PickService(p.inbound.ID))
	if p.service == nil {
		return &refusal{
			status: http.StatusServiceUnavailable,
			reason: "the route's service is not known",
		}
	}
	return nil
}

// rawPath returns the path as the caller sent it, without the query.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

func (p *proxiedRequest) timeout() time.Duration {
	t := p.route.Timeout
	if t <= 0 {
		t = defaultTimeout
	}
	if p.inbound.CallerTimeout > 0 {
		t = min(t, p.inbound.CallerTimeout)
	}
	return t
}

// priority returns the request's priority.
func (p *proxiedRequest) priority() routing.Priority {
	return routing.NewPriority(p.route, p.customer)
}

// rank returns the priority that engines are told: the customer's rank if it has one, otherwise
// the route's.
func (p *proxiedRequest) rank() int { return p.priority().Customer }

// readBody reads the whole body, within the configured size limit and the box's memory for
// bodies, until the deadline or the box's end; on failure it answers the caller and returns false.
func (p *proxiedRequest) readBody() bool {
	maxBytes := int64(p.view.Table.Limits().BodyBytes)
	length := p.request.ContentLength
	if !p.hasUnreadBody {
		return true
	}
	if maxBytes > 0 && length > maxBytes {
		p.refuse(http.StatusRequestEntityTooLarge, "the body is larger than the configuration permits")
		return false
	}
	rc := http.NewResponseController(p.writer)
	_ = rc.SetReadDeadline(p.deadline)
	stopAfterFunc := context.AfterFunc(p.ctx, func() { _ = rc.SetReadDeadline(time.Now()) })
	err := p.readBodyChunks(http.MaxBytesReader(p.writer, p.request.Body, max(maxBytes, 1)))
	wasStopped := !stopAfterFunc() && p.gateway.isEnding()
	if err == nil && !wasStopped {
		p.hasUnreadBody = false
		_ = rc.SetReadDeadline(time.Time{})
		return true
	}
	p.gateway.bufferedBytes.Add(-p.reservedBytes)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		p.refuse(http.StatusRequestEntityTooLarge, "the body is larger than the configuration permits")
	case errors.Is(err, errNoMemory):
		p.refuse(http.StatusServiceUnavailable, "no memory is left for bodies")
	case wasStopped && !hasLeft(err):
		p.refuse(http.StatusServiceUnavailable, "this box stopped before the body had arrived; another one can serve it")
	case engine.TimedOut(err):
		p.refuse(http.StatusRequestTimeout, "the body did not arrive in time")
	default:
		p.logDecision("reading the caller's body failed; connection is closed", zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	return false
}

// hasLeft reports whether reading a body failed since the caller closed or reset its connection.
func hasLeft(err error) bool { return err != nil && !engine.TimedOut(err) }

// limitUnreadBody bounds the time for which the HTTP server reads what is left of the body
// before it sends an answer.
func (p *proxiedRequest) limitUnreadBody() {
	if p.hasUnreadBody {
		_ = http.NewResponseController(p.writer).SetReadDeadline(time.Now().Add(unreadBodyTime))
	}
}

// errNoMemory reports that the box's memory for bodies is exhausted.
var errNoMemory = errors.New("no memory is left for bodies")

// readBodyChunks reads the body in chunks and reserves memory before each, since the length
// of a chunked body is not known in advance.
func (p *proxiedRequest) readBodyChunks(source io.Reader) error {
	for {
		if !p.gateway.reserveBodyMemory(bodyChunkBytes) {
			return errNoMemory
		}
		p.reservedBytes += bodyChunkBytes
		chunk, err := io.ReadAll(io.LimitReader(source, bodyChunkBytes))
		p.body = append(p.body, chunk...)
		if err != nil || len(chunk) < bodyChunkBytes {
			return err
		}
	}
}
