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
	// answerTime bounds the question whether an endpoint is there: a process that ended
	// leaves a closed port, which answers within a round trip.
	answerTime = 300 * time.Millisecond
	// staysOpen is how long an endpoint that is there leaves a new connection open at least;
	// what forwards to one that ended takes a connection and closes it at once.
	staysOpen = 30 * time.Millisecond
	// askTogether is how long one question stands for all requests that broke off at an
	// endpoint; they notice it within some milliseconds of each other.
	askTogether = 20 * time.Millisecond
	// crowdedTime is after how long an endpoint whose port isn't closed is asked again: one
	// that is crowded gives other answers meanwhile. Without it, up to 19 requests a day
	// counted ends that were none with twelve times the callers (8 days; none of 12 with it).
	crowdedTime = 400 * time.Millisecond
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
	mu    sync.Mutex
	asked map[string]*question
}

type question struct {
	at     time.Time
	done   chan struct{}
	answer PortState // set before done is closed
}

// NewCrashProber builds one that has asked nobody.
func NewCrashProber() *CrashProber { return &CrashProber{asked: make(map[string]*question)} }

// Crashed tells whether an endpoint, by its incarnation and address, has ended, and by what
// sign. A connection that broke off says little: resets, faulty answers and links do it
// too. HeardSince tells whether anything came from the endpoint after a time.
func (p *CrashProber) Crashed(endpoint string, address netip.AddrPort, heardSince func(time.Time) bool) (PortState, bool) {
	asked := time.Now()
	answer := p.ask(asked, endpoint, address)
	if answer != PortRefused && answer != PortOpen {
		time.Sleep(crowdedTime)
		if heardSince(asked) {
			return PortOpen, false
		}
		answer = p.ask(time.Now(), endpoint, address)
	}
	return answer, answer != PortOpen
}

// ask asks for a connection.
func (p *CrashProber) ask(now time.Time, endpoint string, address netip.AddrPort) PortState {
	q := p.question(now, endpoint, address)
	<-q.done
	return q.answer
}

func (p *CrashProber) question(now time.Time, endpoint string, address netip.AddrPort) *question {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, q := range p.asked {
		if now.Sub(q.at) > askTogether {
			delete(p.asked, id)
		}
	}
	if q := p.asked[endpoint]; q != nil {
		return q
	}
	q := &question{
		at:   now,
		done: make(chan struct{}),
	}
	p.asked[endpoint] = q
	go q.ask(address)
	return q
}

func (q *question) ask(address netip.AddrPort) {
	defer close(q.done)
	c, err := net.DialTimeout("tcp", address.String(), answerTime)
	if err != nil {
		q.answer = PortRefused
		if TimedOut(err) {
			q.answer = PortSilent
		}
		return
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(staysOpen))
	_, err = c.Read(make([]byte, 1))
	q.answer = PortOpen
	if err != nil && !TimedOut(err) {
		q.answer = PortDropsConnections
	}
}

// TimedOut tells whether something failed because its time was over.
func TimedOut(err error) bool {
	var n net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &n) && n.Timeout())
}
