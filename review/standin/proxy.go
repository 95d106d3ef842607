package main

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// proxy is the path from the boxes to one engine. While it is cut, open connections are
// reset and new ones hang, as behind a partition.
type proxy struct {
	listener *net.TCPListener
	to       string
	mu       sync.Mutex
	cut      bool
	healed   *sync.Cond
	conns    map[net.Conn]bool
	fill     []net.Conn
}

func startProxy(address, to string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l.(*net.TCPListener), to: to, conns: map[net.Conn]bool{}}
	p.healed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		p.mu.Lock()
		for p.cut {
			p.healed.Wait()
		}
		p.mu.Unlock()
		c, err := p.listener.Accept()
		if err != nil {
			continue // the deadline that a cut sets
		}
		go p.carry(c)
	}
}

func (p *proxy) carry(c net.Conn) {
	s, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	if p.cut {
		p.mu.Unlock()
		reset(c)
		reset(s)
		return
	}
	p.conns[c], p.conns[s] = true, true
	p.mu.Unlock()
	pass := func(to, from net.Conn) {
		_, err := io.Copy(to, from)
		if err == nil {
			_ = to.(*net.TCPConn).CloseWrite()
		} else {
			reset(to)
		}
	}
	done := make(chan struct{})
	go func() { pass(s, c); close(done) }()
	pass(c, s)
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, s)
	p.mu.Unlock()
	_ = c.Close()
	_ = s.Close()
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// setBacklog sets how many connections wait to be accepted.
func (p *proxy) setBacklog(n int) {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// close1 cuts the path: first new connections hang, then open ones are reset.
func (p *proxy) close1() {
	p.mu.Lock()
	p.cut = true
	p.mu.Unlock()
	_ = p.listener.SetDeadline(time.Now())
	p.setBacklog(0)
	for range 4 {
		c, err := net.DialTimeout("tcp", p.listener.Addr().String(), 20*time.Millisecond)
		if err != nil {
			break
		}
		p.fill = append(p.fill, c)
	}
	p.mu.Lock()
	for c := range p.conns {
		reset(c)
	}
	p.mu.Unlock()
}

// open ends the cut.
func (p *proxy) open() {
	for _, c := range p.fill {
		reset(c)
	}
	p.fill = nil
	p.setBacklog(4096)
	_ = p.listener.SetDeadline(time.Time{})
	p.mu.Lock()
	p.cut = false
	p.mu.Unlock()
	p.healed.Broadcast()
}
