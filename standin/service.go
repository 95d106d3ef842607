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

// requestIDHeader matches an answer to its request.
const requestIDHeader = "X-Request-Id"

// lateAnswer is how late an answer is that a service was told to delay.
const lateAnswer = 3 * time.Second

// Service is a stand-in plain service that counts each effect.
type Service struct {
	name    string
	faults  *faultBox
	mu      sync.Mutex
	effects map[string]int
	calls   int
	last    string
}

// NewService starts with no effect.
func NewService(name string) *Service {
	return &Service{
		name:    name,
		faults:  newFaultBox(),
		effects: make(map[string]int),
	}
}

// ServiceRecord is a service's own record.
type ServiceRecord struct {
	Calls   int            `json:"calls"`
	Effects map[string]int `json:"effects"` // by method, path and body
}

// HTTPServer builds the service's HTTP server.
func (s *Service) HTTPServer(address netip.AddrPort) *server.Hertz {
	h := newServer(address)
	h.GET("/control/record", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, s.record()) })
	s.faults.register(h)
	h.NoRoute(s.answer)
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

func (s *Service) answer(ctx context.Context, c *app.RequestContext) {
	f := s.faults.get()
	if f.Refuse {
		c.String(http.StatusServiceUnavailable, "not started")
		return
	}
	id := string(c.GetHeader(requestIDHeader))
	text := strings.Join([]string{string(c.Method()), string(c.Path()), string(c.Request.Body())}, " ")
	previous, calls := s.note(text, id)
	if f.AnswerLate {
		time.Sleep(lateAnswer)
	}
	if f.DelayEvery <= 1 || calls%f.DelayEvery == 0 {
		s.faults.hold(ctx.Done())
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

func (s *Service) note(text, id string) (previous string, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.effects[text]++
	previous = s.last
	s.last = id
	return previous, s.calls
}
