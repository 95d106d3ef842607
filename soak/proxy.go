package soak

import (
	"io"
	"net"
	"sync"
	"time"
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
	listener net.Listener
	mu       sync.Mutex
	fault    LinkFault
	changed  chan struct{}
	conns    map[net.Conn]bool
	closed   bool
}

// NewFaultProxy starts a proxy to the target address.
func NewFaultProxy(target string) (*FaultProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &FaultProxy{
		target:   target,
		listener: l,
		changed:  make(chan struct{}),
		conns:    make(map[net.Conn]bool),
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
	close(p.changed)
	p.changed = make(chan struct{})
	if t == Reset {
		p.resetAll()
	}
}

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

func (p *FaultProxy) state() (LinkFault, chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed, p.closed
}

func (p *FaultProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if f, _, _ := p.state(); f == Reset {
			reset(c)
			continue
		}
		go p.relay(c)
	}
}

func (p *FaultProxy) relay(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copyOneWay(client, server, true, done)
	go p.copyOneWay(server, client, false, done)
	<-done
	<-done
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copyOneWay copies data in one direction until EOF. An error resets the other side.
func (p *FaultProxy) copyOneWay(from, to net.Conn, isRequest bool, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && (!p.waitUntilOpen(isRequest) || !p.write(to, buffer[:n])) {
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
func (p *FaultProxy) waitUntilOpen(isRequest bool) bool {
	for {
		f, changed, closed := p.state()
		if closed || f == Reset {
			return false
		}
		if f == Delayed {
			time.Sleep(delayTime)
		}
		if f != Silent && (f != OneWay || isRequest) {
			return true
		}
		<-changed
	}
}

func (p *FaultProxy) write(to net.Conn, data []byte) bool {
	for len(data) > 0 {
		n := len(data)
		if f, _, _ := p.state(); f == Trickled {
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
