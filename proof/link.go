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

// cut is the state of the way from one box to another. While it is closed
// nothing passes and nothing is said; what was on its way arrives afterwards.
type cut struct {
	mu     sync.Mutex
	open   chan struct{} // it is closed while the way is open
	closed bool
}

func newCut() *cut {
	return &cut{
		open:   make(chan struct{}),
		closed: true,
	}
}

func (c *cut) set(closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if closed == c.closed {
		return
	}
	c.closed = closed
	if closed {
		c.open = make(chan struct{})
		return
	}
	close(c.open)
}

func (c *cut) wait() {
	c.mu.Lock()
	open := c.open
	c.mu.Unlock()
	<-open
}

// pass listens for connections of one box and takes them to another box's
// process while the way is open.
func (c *cut) pass(target netip.AddrPort) (net.Listener, error) {
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
			go c.carry(from, target)
		}
	}()
	return l, nil
}

func (c *cut) carry(from net.Conn, target netip.AddrPort) {
	defer from.Close()
	c.wait()
	to, err := net.Dial("tcp", target.String())
	if err != nil {
		return
	}
	defer to.Close()
	go c.copy(from, to)
	c.copy(to, from)
}

func (c *cut) copy(from, to net.Conn) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		c.wait()
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// ways are the cuts of a fleet whose boxes reach each other only through them:
// each box reads a platform of its own, which lists the others at the near ends.
type ways struct {
	between   map[[2]int]*cut
	listeners []net.Listener
	lists     []core.List
}

// layWays gives each box its own list.
func (f *Fleet) layWays() error {
	w := &ways{between: make(map[[2]int]*cut)}
	f.ways = w
	for i := range f.boxes {
		l := f.list
		l.Boxes = slices.Clone(f.list.Boxes)
		for j := range l.Boxes {
			if j == i {
				continue
			}
			c := newCut()
			w.between[[2]int{i, j}] = c
			for _, address := range []*netip.AddrPort{&l.Boxes[j].Scheduler, &l.Boxes[j].Watch} {
				near, err := c.pass(*address)
				if err != nil {
					return err
				}
				w.listeners = append(w.listeners, near)
				*address = netip.MustParseAddrPort(near.Addr().String())
			}
		}
		w.lists = append(w.lists, l)
		f.boxes[i].Plat = freeAddress()
	}
	return nil
}

// listed waits until each box has its own platform's list, and opens the ways
// then: a list that came from another box would name that box's near ends.
func (f *Fleet) listed(within time.Duration) error {
	has := func() bool {
		for i := range f.boxes {
			var s watch.Status
			_, body, err := f.get(f.boxes[i].WAdm, "/status")
			if err != nil || json.Unmarshal(body, &s) != nil || s.List == 0 {
				return false
			}
		}
		return true
	}
	if !until(within, has) {
		return errors.Errorf("the boxes have no list within %s; ended by themselves: %s", within, f.ended())
	}
	for _, c := range f.ways.between {
		c.set(false)
	}
	return nil
}

// Part cuts some boxes off from the others, in both directions, or lets them
// meet again.
func (f *Fleet) Part(apart bool, some ...int) {
	for pair, c := range f.ways.between {
		if slices.Contains(some, pair[0]) != slices.Contains(some, pair[1]) {
			c.set(apart)
		}
	}
}

func (w *ways) close() {
	for _, l := range w.listeners {
		_ = l.Close()
	}
	for _, c := range w.between {
		c.set(false)
	}
}
