package soak

import (
	"cmp"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// LinkFault is a fault that a proxy injects into the connections through it.
type LinkFault string

// The link faults.
const (
	NoFault  LinkFault = ""
	Delayed  LinkFault = "delayed"  // data is delayed in both directions
	Reset    LinkFault = "reset"    // open and new connections are reset
	Silent   LinkFault = "silent"   // no data passes; connections stay open
	OneWay   LinkFault = "one way"  // requests pass, responses don't
	Trickled LinkFault = "trickled" // data passes a few bytes at a time
)

const (
	delayTime    = 150 * time.Millisecond
	tricklePause = 5 * time.Millisecond
	bufferSize   = 16 << 10
	trickleSize  = 64
)

// FaultProxy is a TCP proxy on loopback that injects link faults.
type FaultProxy struct {
	target   string
	listener *net.TCPListener
	hung     bool       // new connections hang
	fill     []net.Conn // fill the queue of new connections meanwhile
	mu       sync.Mutex
	fault    LinkFault
	bySource map[netip.Addr]LinkFault // faults of single sources, which take precedence
	changed  chan struct{}
	conns    map[net.Conn]netip.Addr // with their sources
	closed   bool
}

// NewFaultProxy starts a proxy to the target address.
func NewFaultProxy(target string) (*FaultProxy, error) {
	l, err := net.Listen("tcp", emulator.AnyAddress())
	if err != nil {
		return nil, err
	}
	p := &FaultProxy{
		target:   target,
		listener: l.(*net.TCPListener),
		changed:  make(chan struct{}),
		conns:    make(map[net.Conn]netip.Addr),
		bySource: make(map[netip.Addr]LinkFault),
	}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *FaultProxy) Address() string { return p.listener.Addr().String() }

// Set changes the fault, for open connections too.
func (p *FaultProxy) Set(t LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = t
	p.applyChange()
}

// SetFor changes the fault of the connections from one source; with NoFault it has that of all.
func (p *FaultProxy) SetFor(source netip.Addr, t LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bySource[source] = t
	p.applyChange()
}

// applyChange wakes the connections up after a change, and resets those that are to be. The caller
// holds mu.
func (p *FaultProxy) applyChange() {
	close(p.changed)
	p.changed = make(chan struct{})
	for c, source := range p.conns {
		if p.faultOf(source) == Reset {
			reset(c)
		}
	}
}

// faultOf returns the fault of the connections from a source. The caller holds mu.
func (p *FaultProxy) faultOf(source netip.Addr) LinkFault { return cmp.Or(p.bySource[source], p.fault) }

func (p *FaultProxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Close closes the listener and resets all connections.
func (p *FaultProxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.listener.Close()
	p.resetAll()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *FaultProxy) state(source netip.Addr) (LinkFault, chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultOf(source), p.changed, p.closed
}

// sourceOf returns the address that a connection comes from.
func sourceOf(c net.Conn) netip.Addr { return c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap() }

// Backlogs of the listener: while connections hang, one fills the queue.
const (
	usualBacklog = 1024
	hungBacklog  = 0
	fillTimeout  = 20 * time.Millisecond
	maxFill      = 4
)

// Hang resets the open connections and has new ones hang, as behind a path that is cut.
func (p *FaultProxy) Hang() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hung = true
	_ = p.listener.SetDeadline(time.Now()) // ends the Accept in progress
	p.setBacklog(hungBacklog)
	for range maxFill {
		c, err := net.DialTimeout("tcp", p.Address(), fillTimeout)
		if err != nil {
			break
		}
		p.fill = append(p.fill, c)
	}
	p.resetAll()
}

// Unhang ends what Hang began.
func (p *FaultProxy) Unhang() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hung = false
	for _, c := range p.fill {
		reset(c)
	}
	p.fill = nil
	p.setBacklog(usualBacklog)
	_ = p.listener.SetDeadline(time.Time{})
	close(p.changed)
	p.changed = make(chan struct{})
}

// setBacklog sets how many new connections the system queues.
func (p *FaultProxy) setBacklog(n int) {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return // the listener is closed
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// awaitAccept waits while new connections hang. It returns false if the proxy is closed.
func (p *FaultProxy) awaitAccept() bool {
	for {
		p.mu.Lock()
		hung, closed, changed := p.hung, p.closed, p.changed
		p.mu.Unlock()
		if closed || !hung {
			return !closed
		}
		<-changed
	}
}

func (p *FaultProxy) accept() {
	for p.awaitAccept() {
		c, err := p.listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return
		}
		if f, _, _ := p.state(sourceOf(c)); f == Reset {
			reset(c)
			continue
		}
		go p.relay(c)
	}
}

func (p *FaultProxy) relay(client net.Conn) {
	source := sourceOf(client)
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = source, source
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copyOneWay(client, server, flow{
		source:    source,
		isRequest: true,
	}, done)
	go p.copyOneWay(server, client, flow{
		source: source,
	}, done)
	<-done
	<-done
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// flow is one direction of a connection.
type flow struct {
	source    netip.Addr
	isRequest bool
}

// copyOneWay copies data in one direction until EOF. An error resets the other side.
func (p *FaultProxy) copyOneWay(from, to net.Conn, f flow, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && (!p.waitUntilOpen(f) || !p.write(to, f.source, buffer[:n])) {
			reset(from)
			reset(to)
			return
		}
		if err == io.EOF {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// waitUntilOpen waits until the fault lets data pass. It returns false if the connection must
// be reset.
func (p *FaultProxy) waitUntilOpen(f flow) bool {
	for {
		fault, changed, closed := p.state(f.source)
		if closed || fault == Reset {
			return false
		}
		if fault == Delayed {
			time.Sleep(delayTime)
		}
		if fault != Silent && (fault != OneWay || f.isRequest) {
			return true
		}
		<-changed
	}
}

func (p *FaultProxy) write(to net.Conn, source netip.Addr, data []byte) bool {
	for len(data) > 0 {
		n := len(data)
		if f, _, _ := p.state(source); f == Trickled {
			n = min(n, trickleSize)
			time.Sleep(tricklePause)
		}
		if _, err := to.Write(data[:n]); err != nil {
			return false
		}
		data = data[n:]
	}
	return true
}
