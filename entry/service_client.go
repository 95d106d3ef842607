package entry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/engine"
)

// serviceClient sends calls to services. Calls that must not be repeated use a new connection
// each: on a reused connection, a close by the server can't be distinguished from a lost
// request, and the HTTP library retries some methods by itself.
type serviceClient struct {
	keepAlive *client.Client // reuses connections
	fresh     *client.Client // opens a connection for each call
	mu        sync.Mutex
	load      map[netip.AddrPort]*serverLoad
}

// serverLoad holds this box's view of the load and latency of one server of a service.
type serverLoad struct {
	open     int     // calls in progress
	latency  float64 // exponential moving average, in seconds
	failedAt time.Time
}

// maxServiceConnections limits the connections to one server.
const maxServiceConnections = 4096

// maxServiceAnswerBytes is the size of the largest answer of a service, which is buffered whole.
const maxServiceAnswerBytes = 8 << 20

func newServiceClient() (*serviceClient, error) {
	options := []config.ClientOption{
		engine.WithMaxResponse(maxServiceAnswerBytes),
		client.WithDialTimeout(time.Second),
		client.WithMaxConnsPerHost(maxServiceConnections),
	}
	keepAlive, err := client.NewClient(options...)
	if err != nil {
		return nil, errors.Wrap(err, "create service client")
	}
	fresh, err := client.NewClient(append(options, client.WithKeepAlive(false))...)
	if err != nil {
		return nil, errors.Wrap(err, "create service client")
	}
	return &serviceClient{
		keepAlive: keepAlive,
		fresh:     fresh,
		load:      make(map[netip.AddrPort]*serverLoad),
	}, nil
}

func (s *serviceClient) loadOf(address netip.AddrPort) *serverLoad {
	l := s.load[address]
	if l == nil {
		l = &serverLoad{}
		s.load[address] = l
	}
	return l
}

// failurePenaltyTime is how long after a failure a server ranks behind those without one.
const failurePenaltyTime = 2 * time.Second

// pick returns the server with the shortest expected time to answer and counts the call as
// open. Servers that failed recently rank after the others, and the server to avoid ranks last.
func (s *serviceClient) pick(now time.Time, all []netip.AddrPort, avoid netip.AddrPort) netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best netip.AddrPort
	least := 0.0
	for _, address := range all {
		l := s.loadOf(address)
		cost := float64(l.open+1) * (l.latency + 0.001)
		if now.Sub(l.failedAt) < failurePenaltyTime {
			cost += 1000
		}
		if address == avoid && len(all) > 1 {
			cost += 10000
		}
		if !best.IsValid() || cost < least {
			best, least = address, cost
		}
	}
	s.loadOf(best).open++
	return best
}

// latencyWeight is the weight of the newest sample in the moving average.
const latencyWeight = 0.2

func (s *serviceClient) recordResult(address netip.AddrPort, took time.Duration, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loadOf(address)
	l.open--
	if failed {
		l.failedAt = time.Now()
		return
	}
	l.latency += latencyWeight * (took.Seconds() - l.latency)
}

// do sends a call with a timeout.
func (s *serviceClient) do(ctx context.Context, req *protocol.Request, resp *protocol.Response, timeout time.Duration, repeatable bool) error {
	req.SetOptions(config.WithRequestTimeout(timeout))
	if repeatable {
		return s.keepAlive.Do(ctx, req, resp)
	}
	return s.fresh.Do(ctx, req, resp)
}

// isUnsent reports whether a request failed before any byte of it was sent.
func isUnsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
