package engine

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// probeTimeout bounds a connection attempt. A crashed process leaves a closed port, which
	// refuses within a round trip.
	probeTimeout = 300 * time.Millisecond
	// minOpenTime is how long a running endpoint keeps a new connection open at least. A
	// forwarder of a crashed one accepts a connection and closes it at once.
	minOpenTime = 30 * time.Millisecond
	// probeReuse is how long a probe's result is shared by the requests that failed at an
	// endpoint, which notice the failure almost simultaneously.
	probeReuse = 20 * time.Millisecond
	// recheckDelay is the time until an endpoint is probed again after an unclear result: an
	// overloaded endpoint sends other responses meanwhile.
	recheckDelay = 400 * time.Millisecond
	// MaxSoundSilence is how long a sound endpoint may be silent: for about a second, with a
	// margin. Only one that is silent for longer is taken for lost.
	MaxSoundSilence = 1750 * time.Millisecond
	// CrashProbeWait bounds how long a failed request waits for the probe of its endpoint
	// before it is answered or retried. A closed port is detected within a round trip.
	CrashProbeWait = 60 * time.Millisecond
)

// PortState is the result of a connection attempt to an endpoint's port.
type PortState string

// Port states. A refused connection means that the process has ended. A dropped connection
// or a timeout may also come from an overloaded or unreachable endpoint or from a forwarder.
const (
	PortOpen             PortState = "present"
	PortRefused          PortState = "refuses connections"
	PortDropsConnections PortState = "closes connections"
	PortSilent           PortState = "silent"
)

// Port states that only a status check finds, at ports that are otherwise open.
const (
	PortBreaksRequests PortState = "closes connections with a request"
	PortUnanswered     PortState = "doesn't answer requests"
)

// CrashProber finds out whether endpoints have crashed. Requests that fail at an endpoint
// at the same time share one probe.
type CrashProber struct {
	dial   DialFunc
	mu     sync.Mutex
	probes map[string]*probe
}

// probe is a connection attempt to an endpoint.
type probe struct {
	startedAt time.Time
	done      chan struct{}
	state     PortState // set before done is closed
}

// NewCrashProber returns a CrashProber that connects by dial.
func NewCrashProber(dial DialFunc) *CrashProber {
	return &CrashProber{
		dial:   dial,
		probes: make(map[string]*probe),
	}
}

// Crashed reports whether an endpoint, given by its incarnation and address, has crashed, and
// the port state that shows it. A broken connection alone is no proof: resets, invalid
// responses and network faults break connections too. HeardSince reports whether anything
// was received from the endpoint since a time.
func (p *CrashProber) Crashed(endpoint string, address netip.AddrPort, heardSince func(time.Time) bool) (PortState, bool) {
	start := time.Now()
	state := p.probePort(start, endpoint, address)
	for state == PortDropsConnections || state == PortSilent {
		time.Sleep(recheckDelay)
		if heardSince(start) {
			return PortOpen, false
		}
		state = p.probePort(time.Now(), endpoint, address)
		if state != PortSilent || time.Since(start) >= MaxSoundSilence {
			break
		}
	}
	return state, state != PortOpen
}

// probePort returns the state of an endpoint's port.
func (p *CrashProber) probePort(now time.Time, endpoint string, address netip.AddrPort) PortState {
	q := p.probe(now, endpoint, address)
	<-q.done
	return q.state
}

// probe returns the endpoint's recent probe, or starts one.
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
	go q.run(p.dial, address)
	return q
}

// run connects to the endpoint and records the state of its port.
func (q *probe) run(dial DialFunc, address netip.AddrPort) {
	defer close(q.done)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := dial(ctx, address)
	if err != nil {
		q.state = stateOfDialError(err)
		return
	}
	defer c.Close()
	q.state = stateOfIdleConn(c)
}

// stateOfIdleConn returns the state of the port to which a new connection was opened.
func stateOfIdleConn(c net.Conn) PortState {
	_ = c.SetReadDeadline(time.Now().Add(minOpenTime))
	if _, err := c.Read(make([]byte, 1)); err != nil && !TimedOut(err) {
		return PortDropsConnections
	}
	return PortOpen
}

// stateOfDialError returns the state of a port to which a connection attempt failed.
func stateOfDialError(err error) PortState {
	if TimedOut(err) {
		return PortSilent
	}
	return PortRefused
}

// Err returns the error of a connection attempt to a port that isn't open, or nil.
func (s PortState) Err() error {
	switch s {
	case PortOpen:
		return nil
	case PortSilent:
		return errors.Wrap(os.ErrDeadlineExceeded, "connect to the port")
	}
	return errors.Wrap(syscall.ECONNREFUSED, "connect to the port")
}

// ProbePort connects to an endpoint's port by dial and returns its state.
func ProbePort(dial DialFunc, address netip.AddrPort) PortState {
	q := &probe{done: make(chan struct{})}
	q.run(dial, address)
	return q.state
}

// TimedOut reports whether an error is a timeout.
func TimedOut(err error) bool {
	var n net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &n) && n.Timeout())
}
