package soak

import (
	"fmt"
	"net"
	"net/netip"
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
	// defaultBoxes is the default fleet size. Larger fleets are spread over zoneCount
	// availability zones.
	defaultBoxes      = 3
	zoneCount         = 3
	plainServerCount  = 3
	engineServerCount = 4
	// graceSeconds is the shutdown grace period of a box; it is longer than a stream.
	graceSeconds = 6
	readyTimeout = 20 * time.Second
	// streamEvents and eventGap make a stream last about two seconds.
	streamEvents = 40
	eventGap     = 50 * time.Millisecond
	workTime     = 15 * time.Millisecond
	// maxSources is the number of boxes whose source addresses share three bytes.
	maxSources = 200
)

// boxProcess is one box, run as a process, with its own link to the store.
type boxProcess struct {
	settings       emulator.BoxSettings
	settingsPath   string
	metricsAddress string
	storeProxy     *FaultProxy
	source         netip.Addr // local address of its connections to servers
	log            *os.File

	mu           sync.Mutex
	process      *exec.Cmd
	exited       chan struct{}
	startedAt    time.Time
	exitedAt     time.Time
	restarting   bool        // a restart is queued
	paused       bool        // it got a SIGSTOP, and no SIGCONT since
	killed       bool        // it got a SIGKILL
	stopTimes    []time.Time // when SIGTERM was sent
	disturbances []time.Time // when it was killed, paused or resumed
}

// listedServer is a server that is listed to the boxes at the address of its proxy.
type listedServer struct {
	*emulator.Server
	proxy        *FaultProxy
	service      string
	startedAt    time.Time
	leavingSince time.Time              // when it was unlisted or listed as draining; zero before
	disturbed    bool                   // it crashed, or a fault was injected into it or its link
	notice       emulator.StatusHeaders // the state headers that it adds to its answers
}

// fleet is the deployment of one run: the store, the servers and the boxes.
type fleet struct {
	program          string
	folder           string
	deployment       *emulator.Deployment
	documentOptions  []emulator.DocumentOption
	boxes            []*boxProcess
	servers          []*listedServer
	lastServerNumber int
	reportsStarts    bool // the servers tell when they started
	hasLoad          bool // routes compete for full and slow engines
	streamTokens     emulator.Tokens
	hasBadPart       bool                     // prompts with badPart crash engines
	crowd            *crowd                   // the spell in which most callers come to one box
	hasCuts          bool                     // boxes are cut off from all servers, and plain servers are brittle
	cutSources       map[netip.Addr]LinkFault // sources of the boxes that are cut off from all servers
	leases           *emulator.Leases         // of the servers' entries; nil if they don't lapse
	streamDeadline   time.Duration
}

func startFleet(program, folder string, boxes int, seed uint64) (*fleet, error) {
	options := documentOptions(seed)
	d, err := emulator.NewDeployment(options...)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		program:         program,
		folder:          folder,
		deployment:      d,
		documentOptions: options,
		reportsStarts:   reportsStarts(seed),
		hasLoad:         hasLoad(seed),
		streamTokens:    streamTokens(seed),
		hasCuts:         hasCuts(seed),
		hasBadPart:      hasBadPart(seed),
		crowd:           newCrowd(seed, boxes),
		cutSources:      make(map[netip.Addr]LinkFault),
		streamDeadline:  streamDeadline,
	}
	if hasLapses(seed) {
		f.leases = emulator.NewLeases(d, renewalInterval)
	}
	if hasHangs(seed) {
		f.streamDeadline = hangStreamDeadline
	}
	for range plainServerCount {
		if _, err := f.addServer(emulator.PlainService); err != nil {
			return f, err
		}
	}
	for range engineServerCount {
		if _, err := f.addServer(emulator.ModelService); err != nil {
			return f, err
		}
	}
	return f, f.startBoxes(boxes)
}

func (f *fleet) addServer(service string) (*listedServer, error) {
	f.lastServerNumber++
	s, err := emulator.NewServer(fmt.Sprintf("i-%s-%d", service, f.lastServerNumber), emulator.AnyAddress())
	if err != nil {
		return nil, err
	}
	s.Events, s.EventInterval, s.WorkTime = streamEvents, eventGap, workTime
	s.CrashBody = crashBody
	if f.hasBadPart {
		s.CrashParts = []string{badPart}
	}
	f.limitEngine(s, service)
	if f.reportsStarts {
		s.Born = time.Now().UnixMilli()
	}
	proxy, err := NewFaultProxy(s.Address())
	if err != nil {
		return nil, err
	}
	l := &listedServer{
		Server:    s,
		proxy:     proxy,
		service:   service,
		startedAt: time.Now(),
	}
	for source, fault := range f.cutSources {
		proxy.SetFor(source, fault)
	}
	f.makeBrittle(l)
	f.deployment.AddStarted(s)
	f.hold(l)
	f.servers = append(f.servers, l)
	return l, nil
}

// hold lists a server. If entries lapse, the server renews its entry.
func (f *fleet) hold(s *listedServer) {
	state := "ready"
	if s.notice.IsLeaving {
		state = "draining"
	}
	write := func() { f.deployment.PutEntryAt(s.Server, s.proxy.Address(), s.service, state) }
	if f.leases == nil {
		write()
		return
	}
	f.leases.Hold(s.ID, write)
}

func (f *fleet) startBoxes(count int) error {
	addresses, err := emulator.FreeAddresses(4 * count)
	if err != nil {
		return err
	}
	for i := range count {
		own := addresses[4*i : 4*i+4]
		seeds := []string{addresses[2]}
		if count > 1 {
			seeds = append(seeds, addresses[6])
		}
		proxy, err := NewFaultProxy(f.deployment.StoreAddr)
		if err != nil {
			return err
		}
		b := &boxProcess{
			settings: emulator.BoxSettings{
				Name:         fmt.Sprintf("box-%d", i),
				Zone:         zoneOf(i, count),
				Front:        own[0],
				Ready:        own[1],
				Peer:         own[2],
				Store:        proxy.Address(),
				Seeds:        seeds,
				GraceSeconds: graceSeconds,
			},
			metricsAddress: own[3],
			source:         netip.AddrFrom4([4]byte{127, 0, byte(1 + i/maxSources), byte(1 + i%maxSources)}),
			storeProxy:     proxy,
		}
		if b.settingsPath, err = b.settings.Write(f.folder); err != nil {
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
		if err := emulator.WaitReady(b.settings.Ready, readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// zoneOf returns the zone of a box; a fleet of the default size has a single, unnamed zone.
func zoneOf(box, count int) string {
	if count <= defaultBoxes {
		return ""
	}
	return fmt.Sprintf("zone-%c", 'a'+box%zoneCount)
}

// start starts the box's process, or starts it again after an exit.
func (b *boxProcess) start(program string) error {
	_, port, err := net.SplitHostPort(b.metricsAddress)
	if err != nil {
		return err
	}
	if _, err := strconv.Atoi(port); err != nil {
		return err
	}
	if !b.startedAt.IsZero() {
		b.settings.IsRestart = true
		if _, err := b.settings.Write(filepath.Dir(b.settingsPath)); err != nil {
			return err
		}
	}
	c := exec.Command(program, "-settings", b.settingsPath, "-metrics-port", port, "-source", b.source.String())
	c.Stdout = b.log
	c.Stderr = b.log
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "start box process")
	}
	exited := make(chan struct{})
	go func() {
		// The exit status is in the box's log.
		_ = c.Wait()
		b.mu.Lock()
		b.exitedAt = time.Now()
		b.mu.Unlock()
		close(exited)
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.process = c
	b.exited = exited
	b.startedAt = time.Now()
	b.restarting = false
	b.paused, b.killed = false, false
	return nil
}

// signal sends a signal to the box's own process.
func (b *boxProcess) signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch s {
	case syscall.SIGTERM:
		b.stopTimes = append(b.stopTimes, time.Now())
	case syscall.SIGKILL, syscall.SIGSTOP, syscall.SIGCONT:
		b.disturbances = append(b.disturbances, time.Now())
		b.paused = s == syscall.SIGSTOP
		b.killed = b.killed || s == syscall.SIGKILL
	}
	// Fails if the process has already exited.
	_ = b.process.Process.Signal(s)
}

// exitedUnexpectedly reports whether the process exited without a stop or kill, and its uptime.
func (b *boxProcess) exitedUnexpectedly() (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.restarting {
		return false, 0
	}
	select {
	case <-b.exited:
		return true, b.exitedAt.Sub(b.startedAt)
	default:
		return false, 0
	}
}

// isRunning reports whether the process runs, so that other boxes hear from it: it has not exited
// and is neither killed nor paused.
func (b *boxProcess) isRunning() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.exited:
		return false
	default:
		return !b.paused && !b.killed
	}
}

// wasKilled reports whether the box ever got a SIGKILL.
func (b *boxProcess) wasKilled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.disturbances) > 0
}

func (b *boxProcess) markRestarting() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restarting = true
}

func (b *boxProcess) exitChannel() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.exited
}

func (f *fleet) close() {
	for _, b := range f.boxes {
		if b.process != nil {
			b.signal(syscall.SIGKILL)
			<-b.exitChannel()
		}
		b.storeProxy.Close()
		_ = b.log.Close()
	}
	for _, s := range f.servers {
		s.proxy.Close()
	}
	if f.leases != nil {
		f.leases.Close()
	}
	f.deployment.Close()
}
