package main

import (
	"net"
	"sync"
	"time"
)

// pathCut is what stands before all servers, as a load balancer does. It accepts connections; those of
// boxes that are cut off it resets, open ones at once and new ones once it has not reached the server.
type pathCut struct {
	resetAfter time.Duration
	mu         sync.Mutex
	boxes      []*box
}

func (p *pathCut) set(boxes []*box) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.boxes = boxes
}

// matches reports whether a connection at a server comes from one of the boxes. They all connect from the
// same loopback address, so that only the system knows.
func (p *pathCut) matches(c net.Conn) bool {
	p.mu.Lock()
	boxes := p.boxes
	p.mu.Unlock()
	if len(boxes) == 0 {
		return false
	}
	inode := inodeOf(c.RemoteAddr().String(), c.LocalAddr().String())
	for _, b := range boxes {
		if inode != "" && hasInode(b.cmd.Process.Pid, inode) {
			return true
		}
	}
	return false
}
