package gateway

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// bodyPiece is how much of a body is read at a time; prompts and records are
	// a few kilobytes.
	bodyPiece = 32 << 10
	// unknownTimeout is for routes without a time-out of their own.
	unknownTimeout = time.Minute
)

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
	if t.RequiresKey() && !p.route.Anonymous {
		p.customer = t.Customer(p.in.Key)
		if p.customer == nil {
			p.refuse(http.StatusUnauthorized, "the key is not known")
			return false
		}
	}
	p.homes = routing.NewAllowedRegions(p.gateway.rules.Regions, p.route, p.customer)
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
	if p.in.CallerTimeout > 0 {
		t = min(t, p.in.CallerTimeout)
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
