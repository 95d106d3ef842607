package standin

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// requestIDHeader is echoed in answers, so that callers can match them to requests.
const requestIDHeader = "X-Request-Id"

// lateAnswerDelay is the delay of answers under the AnswerLate fault.
const lateAnswerDelay = 3 * time.Second

// Service is a fake plain service that counts its runs of each request.
type Service struct {
	name    string
	faults  *faultState
	mu      sync.Mutex
	effects map[string]int
	calls   int
	lastID  string
}

// NewService returns a service without recorded calls.
func NewService(name string) *Service {
	return &Service{
		name:    name,
		faults:  newFaultState(),
		effects: make(map[string]int),
	}
}

// ServiceRecord is a service's record of the calls that it ran.
type ServiceRecord struct {
	Calls   int            `json:"calls"`
	Effects map[string]int `json:"effects"` // by method, path and body
}

// HTTPServer returns the service's HTTP server, not yet started.
func (s *Service) HTTPServer(address netip.AddrPort) *server.Hertz {
	h := newServer(address)
	h.GET("/control/record", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, s.record()) })
	s.faults.register(h)
	h.NoRoute(s.handleCall)
	return h
}

func (s *Service) record() ServiceRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int, len(s.effects))
	for key, n := range s.effects {
		copied[key] = n
	}
	return ServiceRecord{
		Calls:   s.calls,
		Effects: copied,
	}
}

func (s *Service) handleCall(ctx context.Context, c *app.RequestContext) {
	f := s.faults.get()
	if f.Refuse {
		c.String(http.StatusServiceUnavailable, "not started")
		return
	}
	id := string(c.GetHeader(requestIDHeader))
	text := strings.Join([]string{string(c.Method()), string(c.Path()), string(c.Request.Body())}, " ")
	previous, calls := s.recordCall(text, id)
	if f.AnswerLate {
		time.Sleep(lateAnswerDelay)
	}
	if f.DelayEvery <= 1 || calls%f.DelayEvery == 0 {
		s.faults.waitForFaults(ctx.Done())
	}
	if f.WrongAnswer {
		id = previous
	}
	c.Response.Header.Set(requestIDHeader, id)
	c.JSON(http.StatusOK, map[string]string{
		"service": s.name,
		"request": text,
	})
}

func (s *Service) recordCall(text, id string) (previous string, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.effects[text]++
	previous = s.lastID
	s.lastID = id
	return previous, s.calls
}
