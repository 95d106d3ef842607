package engine

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// probeTimeout bounds the question whether an endpoint is there: a process that ended
	// leaves a closed port, which answers within a round trip.
	probeTimeout = 300 * time.Millisecond
	// minOpenTime is how long an endpoint that is there leaves a new connection open at least;
	// what forwards to one that ended takes a connection and closes it at once.
	minOpenTime = 30 * time.Millisecond
	// probeReuse is how long one question stands for all requests that broke off at an
	// endpoint; they notice it within some milliseconds of each other.
	probeReuse = 20 * time.Millisecond
	// recheckDelay is after how long an endpoint whose port isn't closed is asked again: one
	// that is crowded gives other answers meanwhile. Without it, up to 19 requests a day
	// counted ends that were none with twelve times the callers (8 days; none of 12 with it).
	recheckDelay = 400 * time.Millisecond
	// CrashProbeWait bounds how long a request that broke off waits for the word that its
	// endpoint ended, before it is answered or sent again; a closed port gives it at once.
	CrashProbeWait = 60 * time.Millisecond
)

// PortState is what an endpoint's port says of whether it is there.
type PortState string

// The presences. A closed port is that of a process that ended. Connections that are closed
// or not answered may also be those of an endpoint that is crowded or cut off, or of what
// forwards to one.
const (
	PortOpen             PortState = "present"
	PortRefused          PortState = "refuses connections"
	PortDropsConnections PortState = "closes connections"
	PortSilent           PortState = "silent"
)

// CrashProber finds out whether endpoints are there, by asking each once for all requests
// that broke off there together.
type CrashProber struct {
	mu     sync.Mutex
	probes map[string]*probe
}

type probe struct {
	startedAt time.Time
	done      chan struct{}
	state     PortState // set before done is closed
}

// NewCrashProber builds one that has asked nobody.
func NewCrashProber() *CrashProber { return &CrashProber{probes: make(map[string]*probe)} }

// Crashed tells whether an endpoint, by its incarnation and address, has ended, and by what
// sign. A connection that broke off says little: resets, faulty answers and links do it
// too. HeardSince tells whether anything came from the endpoint after a time.
func (p *CrashProber) Crashed(endpoint string, address netip.AddrPort, heardSince func(time.Time) bool) (PortState, bool) {
	start := time.Now()
	state := p.probePort(start, endpoint, address)
	if state != PortRefused && state != PortOpen {
		time.Sleep(recheckDelay)
		if heardSince(start) {
			return PortOpen, false
		}
		state = p.probePort(time.Now(), endpoint, address)
	}
	return state, state != PortOpen
}

// probePort asks for a connection.
func (p *CrashProber) probePort(now time.Time, endpoint string, address netip.AddrPort) PortState {
	q := p.probe(now, endpoint, address)
	<-q.done
	return q.state
}

func (p *CrashProber) probe(now time.Time, endpoint string, address netip.AddrPort) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, q := range p.probes {
		if now.Sub(q.startedAt) > probeReuse {
			delete(p.probes, id)
		}
	}
	if q := p.probes[endpoint]; q != nil {
		return q
	}
	q := &probe{
		startedAt: now,
		done:      make(chan struct{}),
	}
	p.probes[endpoint] = q
	go q.run(address)
	return q
}

func (q *probe) run(address netip.AddrPort) {
	defer close(q.done)
	c, err := net.DialTimeout("tcp", address.String(), probeTimeout)
	if err != nil {
		q.state = PortRefused
		if TimedOut(err) {
			q.state = PortSilent
		}
		return
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(minOpenTime))
	_, err = c.Read(make([]byte, 1))
	q.state = PortOpen
	if err != nil && !TimedOut(err) {
		q.state = PortDropsConnections
	}
}

// TimedOut tells whether something failed because its time was over.
func TimedOut(err error) bool {
	var n net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &n) && n.Timeout())
}
