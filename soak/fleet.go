package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	// fewBoxes are the usual size; where there are more, they stand in several zones, and
	// work in groups of these when there are many.
	fewBoxes    = 3
	zoneCount   = 3
	plainCount  = 3
	engineCount = 4
	// graceSeconds is how long a stopping box has; streams last less here.
	graceSeconds = 6
	// readyTime bounds the wait for a box that starts.
	readyTime = 20 * time.Second
	// streamEvents and eventGap make a stream last about two seconds.
	streamEvents = 40
	eventGap     = 50 * time.Millisecond
	workTime     = 15 * time.Millisecond
)

// member is one box: its process, and its own link to the store.
type member struct {
	settings emulator.BoxSettings
	path     string
	metrics  string
	store    *Proxy
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	started time.Time
	ended   time.Time
	pending bool        // its restart is under way
	stopped []time.Time // when it was told to stop
	hurt    []time.Time // when something unplanned happened to it
}

// listed is one server and the proxy before it.
type listed struct {
	*emulator.Server
	proxy   *Proxy
	service string
	left    time.Time // when its leaving was published
	hurt    bool
	notice  emulator.StatusHeaders
}

// fleet is all that a run starts.
type fleet struct {
	program    string
	folder     string
	deployment *emulator.Deployment
	boxes      []*member
	servers    []*listed
	next       int
}

func startFleet(program, folder string, boxes int) (*fleet, error) {
	d, err := emulator.NewDeployment()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		program:    program,
		folder:     folder,
		deployment: d,
	}
	for range plainCount {
		if _, err := f.addServer(emulator.PlainService); err != nil {
			return f, err
		}
	}
	for range engineCount {
		if _, err := f.addServer(emulator.ModelService); err != nil {
			return f, err
		}
	}
	return f, f.startBoxes(boxes)
}

func (f *fleet) addServer(service string) (*listed, error) {
	f.next++
	s, err := emulator.NewServer(fmt.Sprintf("i-%s-%d", service, f.next), "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.Events, s.EventInterval, s.WorkTime = streamEvents, eventGap, workTime
	s.CrashBody = deadlyBody
	proxy, err := NewProxy(s.Address())
	if err != nil {
		return nil, err
	}
	l := &listed{
		Server:  s,
		proxy:   proxy,
		service: service,
	}
	f.deployment.AddStarted(s)
	f.deployment.ListAt(s, proxy.Address(), service, "ready")
	f.servers = append(f.servers, l)
	return l, nil
}

func (f *fleet) startBoxes(count int) error {
	addresses, err := emulator.FreeAddresses(4 * count)
	if err != nil {
		return err
	}
	for i := range count {
		own := addresses[4*i : 4*i+4]
		proxy, err := NewProxy(f.deployment.StoreAddr)
		if err != nil {
			return err
		}
		b := &member{
			settings: emulator.BoxSettings{
				Name:         fmt.Sprintf("box-%d", i),
				Zone:         zoneOf(i, count),
				Front:        own[0],
				Ready:        own[1],
				Peer:         own[2],
				Store:        proxy.Address(),
				Seeds:        []string{addresses[2], addresses[6]},
				GraceSeconds: graceSeconds,
			},
			metrics: own[3],
			store:   proxy,
		}
		if b.path, err = b.settings.Write(f.folder); err != nil {
			return err
		}
		if b.log, err = os.Create(filepath.Join(f.folder, b.settings.Name+".log")); err != nil {
			return err
		}
		f.boxes = append(f.boxes, b)
		if err := b.start(f.program); err != nil {
			return err
		}
	}
	for _, b := range f.boxes {
		if err := emulator.WaitReady(b.settings.Ready, readyTime); err != nil {
			return err
		}
	}
	return nil
}

// zoneOf gives the zone of a box; a few boxes stand in one.
func zoneOf(box, count int) string {
	if count <= fewBoxes {
		return ""
	}
	return fmt.Sprintf("zone-%c", 'a'+box%zoneCount)
}

// start starts the box's process.
func (b *member) start(program string) error {
	_, port, err := net.SplitHostPort(b.metrics)
	if err != nil {
		return err
	}
	if _, err := strconv.Atoi(port); err != nil {
		return err
	}
	c := exec.Command(program, "-settings", b.path, "-metrics-port", port)
	c.Stdout = b.log
	c.Stderr = b.log
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "start a box")
	}
	exited := make(chan struct{})
	go func() {
		// How a box ended is read from its log.
		_ = c.Wait()
		b.mu.Lock()
		b.ended = time.Now()
		b.mu.Unlock()
		close(exited)
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.process = c
	b.exited = exited
	b.started = time.Now()
	b.pending = false
	return nil
}

// signal sends a signal to the box's own process.
func (b *member) signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch s {
	case syscall.SIGTERM:
		b.stopped = append(b.stopped, time.Now())
	case syscall.SIGKILL, syscall.SIGSTOP, syscall.SIGCONT:
		b.hurt = append(b.hurt, time.Now())
	}
	// The process may have ended by itself a moment ago.
	_ = b.process.Process.Signal(s)
}

// died tells whether the process ended by itself, and how long after its start.
func (b *member) died() (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending {
		return false, 0
	}
	select {
	case <-b.exited:
		return true, b.ended.Sub(b.started)
	default:
		return false, 0
	}
}

func (b *member) awaitRestart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = true
}

func (b *member) gone() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.exited
}

func (f *fleet) close() {
	for _, b := range f.boxes {
		if b.process != nil {
			b.signal(syscall.SIGKILL)
			<-b.gone()
		}
		b.store.Close()
		_ = b.log.Close()
	}
	for _, s := range f.servers {
		s.proxy.Close()
	}
	f.deployment.Close()
}
