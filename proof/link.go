package proof

import (
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/watch"
)

// link is a TCP forwarder from one box to another. While it is blocked, it holds data
// back without closing connections, and delivers the data once it is open again.
type link struct {
	mu      sync.Mutex
	opened  chan struct{} // closed while the link passes data
	blocked bool
}

func newLink() *link {
	return &link{
		opened:  make(chan struct{}),
		blocked: true,
	}
}

func (c *link) setBlocked(blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if blocked == c.blocked {
		return
	}
	c.blocked = blocked
	if blocked {
		c.opened = make(chan struct{})
		return
	}
	close(c.opened)
}

func (c *link) waitUntilOpen() {
	c.mu.Lock()
	opened := c.opened
	c.mu.Unlock()
	<-opened
}

// listen accepts one box's connections and forwards them to a process of another box.
func (c *link) listen(target netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", freeAddress().String())
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			go c.forward(from, target)
		}
	}()
	return l, nil
}

// forward connects a connection with a new one to the target.
func (c *link) forward(from net.Conn, target netip.AddrPort) {
	defer from.Close()
	c.waitUntilOpen()
	to, err := net.Dial("tcp", target.String())
	if err != nil {
		return
	}
	defer to.Close()
	go c.copy(from, to)
	c.copy(to, from)
}

// copy copies data in one direction and waits while the link is blocked.
func (c *link) copy(from, to net.Conn) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		c.waitUntilOpen()
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// links connect the boxes of a fleet that reach each other only through them. Each box
// has its own platform, whose list gives the links' addresses in place of the other
// boxes' addresses.
type links struct {
	between   map[[2]int]*link
	listeners []net.Listener
	lists     []core.List
}

// setUpLinks creates the links, and a list and a platform address for each box.
func (f *Fleet) setUpLinks() error {
	ls := &links{between: make(map[[2]int]*link)}
	f.links = ls
	for i := range f.boxes {
		l := f.list
		l.Boxes = slices.Clone(f.list.Boxes)
		for j := range l.Boxes {
			if j == i {
				continue
			}
			c := newLink()
			ls.between[[2]int{i, j}] = c
			for _, address := range []*netip.AddrPort{&l.Boxes[j].Scheduler, &l.Boxes[j].Watch} {
				listener, err := c.listen(*address)
				if err != nil {
					return err
				}
				ls.listeners = append(ls.listeners, listener)
				*address = netip.MustParseAddrPort(listener.Addr().String())
			}
		}
		ls.lists = append(ls.lists, l)
		f.boxes[i].Platform = freeAddress()
	}
	return nil
}

// waitForLists waits until each box has the list of its own platform, and only then
// opens the links: a list from another box would contain that box's links.
func (f *Fleet) waitForLists(within time.Duration) error {
	allListed := func() bool {
		for i := range f.boxes {
			var s watch.Status
			_, body, err := f.get(f.boxes[i].WatchAdmin, "/status")
			if err != nil || json.Unmarshal(body, &s) != nil || s.List == 0 {
				return false
			}
		}
		return true
	}
	if !waitUntil(within, allListed) {
		return errors.Errorf("not every box has a list within %s; processes that exited: %s", within, f.exitedLogs())
	}
	for _, c := range f.links.between {
		c.setBlocked(false)
	}
	return nil
}

// Partition blocks the links between a group of boxes and all others in both
// directions, or opens them again.
func (f *Fleet) Partition(blocked bool, group ...int) {
	for pair, c := range f.links.between {
		if slices.Contains(group, pair[0]) != slices.Contains(group, pair[1]) {
			c.setBlocked(blocked)
		}
	}
}

// close closes the listeners and opens the links, so that no forwarder keeps waiting.
func (ls *links) close() {
	for _, l := range ls.listeners {
		_ = l.Close()
	}
	for _, c := range ls.between {
		c.setBlocked(false)
	}
}
