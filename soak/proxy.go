package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Trouble is what a proxy does to the connections through it.
type Trouble string

// The troubles of a link.
const (
	Clear   Trouble = ""
	Delayed Trouble = "delayed"  // bytes wait a while, both ways
	Reset   Trouble = "reset"    // open connections are reset, new ones too
	Silent  Trouble = "silent"   // nothing goes through, nothing closes
	OneWay  Trouble = "one way"  // requests go through, answers don't
	Slowed  Trouble = "trickled" // bytes go through a few at a time
)

const (
	delay        = 150 * time.Millisecond
	tricklePause = 5 * time.Millisecond
	chunk        = 16 << 10
	trickle      = 64
)

// Proxy is a link on loopback that can be troubled.
type Proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	trouble  Trouble
	changed  chan struct{}
	open     map[net.Conn]bool
	closed   bool
}

// NewProxy starts a proxy before an address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		target:   target,
		listener: l,
		changed:  make(chan struct{}),
		open:     make(map[net.Conn]bool),
	}
	go p.accept()
	return p, nil
}

// Address gives where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the trouble; open connections have it too.
func (p *Proxy) Set(t Trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	close(p.changed)
	p.changed = make(chan struct{})
	if t == Reset {
		p.resetAll()
	}
}

func (p *Proxy) resetAll() {
	for c := range p.open {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.listener.Close()
	p.resetAll()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) state() (Trouble, chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble, p.changed, p.closed
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if t, _, _ := p.state(); t == Reset {
			reset(c)
			continue
		}
		go p.link(c)
	}
}

func (p *Proxy) link(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(near)
		return
	}
	p.mu.Lock()
	p.open[near], p.open[far] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.pump(near, far, true, done)
	go p.pump(far, near, false, done)
	<-done
	<-done
	p.mu.Lock()
	delete(p.open, near)
	delete(p.open, far)
	p.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// pump carries bytes one way until that way ends; a reset on one side becomes
// a reset on the other.
func (p *Proxy) pump(from, to net.Conn, forth bool, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		if n > 0 && (!p.pass(forth) || !p.write(to, buffer[:n])) {
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

// pass waits until the link lets bytes through; false when the proxy closed.
func (p *Proxy) pass(forth bool) bool {
	for {
		t, changed, closed := p.state()
		if closed || t == Reset {
			return false
		}
		if t == Delayed {
			time.Sleep(delay)
		}
		if t != Silent && (t != OneWay || forth) {
			return true
		}
		<-changed
	}
}

func (p *Proxy) write(to net.Conn, data []byte) bool {
	for len(data) > 0 {
		n := len(data)
		if t, _, _ := p.state(); t == Slowed {
			n = min(n, trickle)
			time.Sleep(tricklePause)
		}
		if _, err := to.Write(data[:n]); err != nil {
			return false
		}
		data = data[n:]
	}
	return true
}
