package proof

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/core"
)

// Shape describes a fleet.
type Shape struct {
	Boxes           int
	Engines         int
	MedianTokens    float64       // median length of a generation
	StepTime        time.Duration // duration of an engine's decoding step without sequences
	MemoryTokens    int
	StepPerSequence time.Duration // time that each sequence adds to a step
	BatchSlots      int
	Servers         int  // servers of the service, one if unset
	Hedge           bool // the service allows hedged requests
	CuttableLinks   bool // boxes reach each other only through links that can be blocked, and each has its own platform
}

// DefaultShape returns a small fleet whose streams take a few seconds.
func DefaultShape() Shape {
	return Shape{
		Boxes:           3,
		Engines:         3,
		MedianTokens:    120,
		StepTime:        15 * time.Millisecond,
		MemoryTokens:    200000,
		StepPerSequence: 300 * time.Microsecond,
		BatchSlots:      200,
	}
}

// Key is the API key of every fleet's customer.
const Key = "proof-key"

// Model is the name of the model that every fleet serves.
const Model = "model-1"

// Fleet is a running fleet of processes.
type Fleet struct {
	Shape     Shape
	dir       string
	programs  string
	http      *client.Client
	mu        sync.Mutex
	processes map[string]*process
	platform  netip.AddrPort
	engines   []netip.AddrPort
	service   netip.AddrPort // the service's first server
	servers   []netip.AddrPort
	boxes     []box
	config    map[string]any
	list      core.List
	links     *links
}

// process is a running process with what is needed to start it again.
type process struct {
	command *exec.Cmd
	program string
	file    string
	done    chan struct{}
}

// Start starts a fleet from the programs in a folder and waits until every box is
// ready.
func Start(programs string, shape Shape) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "dillsaddle-proof")
	if err != nil {
		return nil, err
	}
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(time.Second),
		client.WithResponseBodyStream(true),
		client.WithMaxConnsPerHost(4096),
	)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Shape:     shape,
		dir:       dir,
		programs:  programs,
		http:      c,
		processes: make(map[string]*process),
	}
	f.buildConfig()
	if shape.CuttableLinks {
		if err := f.setUpLinks(); err != nil {
			f.Close()
			return nil, err
		}
	}
	if err := f.startAll(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll() error {
	f.startPlatform("platform", f.platform, &f.list)
	if f.links != nil {
		for i := range f.boxes {
			f.startPlatform(fmt.Sprintf("platform-%d", i+1), f.boxes[i].Platform, &f.links.lists[i])
		}
	}
	for i, address := range f.engines {
		name := fmt.Sprintf("engine-%d", i+1)
		f.startProcess(name, "dillsaddle-standin", f.writeJSON(name+".json", map[string]any{
			"role":          "engine",
			"name":          name,
			"address":       address.String(),
			"models":        Model,
			"memory":        f.Shape.MemoryTokens,
			"batch":         f.Shape.BatchSlots,
			"median":        f.Shape.MedianTokens,
			"spread":        0.3,
			"step":          f.Shape.StepTime.String(),
			"step-sequence": f.Shape.StepPerSequence.String(),
			"seed":          i + 1,
		}))
	}
	for i, address := range f.servers {
		name := fmt.Sprintf("service-%d", i+1)
		f.startProcess(name, "dillsaddle-standin", f.writeJSON(name+".json", map[string]any{
			"role":    "service",
			"address": address.String(),
		}))
	}
	for i := range f.boxes {
		f.StartBox(i)
	}
	if f.links != nil {
		if err := f.waitForLists(30 * time.Second); err != nil {
			return err
		}
	}
	return f.WaitReady(30 * time.Second)
}

func (f *Fleet) startPlatform(name string, address netip.AddrPort, list *core.List) {
	f.startProcess(name, "dillsaddle-standin", f.writeJSON(name+".json", map[string]any{
		"role":    "platform",
		"address": address.String(),
		"config":  f.writeJSON("config.json", f.config),
		"list":    f.writeJSON(name+"-list.json", list),
	}))
}

// StartBox starts the three processes of a box.
func (f *Fleet) StartBox(i int) {
	b := &f.boxes[i]
	file := f.writeJSON(b.Name+".json", b)
	for _, role := range []string{"watch", "scheduler", "entry"} {
		f.startProcess(b.Name+"-"+role, "dillsaddle-"+role, file)
	}
}

func (f *Fleet) startProcess(name, program, file string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := exec.Command(filepath.Join(f.programs, program), "-settings", file)
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err == nil {
		c.Stdout, c.Stderr = log, log
		defer log.Close()
	}
	if err := c.Start(); err != nil {
		panic(err)
	}
	p := &process{
		command: c,
		program: program,
		file:    file,
		done:    make(chan struct{}),
	}
	go func() {
		_ = c.Wait()
		close(p.done)
	}()
	f.processes[name] = p
}

// Signal sends a signal to a process.
func (f *Fleet) Signal(name string, s syscall.Signal) {
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	if p != nil {
		_ = p.command.Process.Signal(s)
	}
}

// WaitExit waits for a process to exit and reports whether it did within the time.
func (f *Fleet) WaitExit(name string, within time.Duration) bool {
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		return false
	}
}

// Restart waits for a process to exit and starts it again.
func (f *Fleet) Restart(name string) {
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	<-p.done
	f.startProcess(name, p.program, p.file)
}

// WaitReady waits until every box is ready to serve streams.
func (f *Fleet) WaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for i := range f.boxes {
		for {
			status, text, err := f.get(f.boxes[i].Admin, "/readyz")
			if err == nil && status == 200 {
				break
			}
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready: %s %v; processes that exited: %s", f.boxes[i].Name, text, err, f.exitedLogs())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// exitedLogs returns the logs of the processes that have exited.
func (f *Fleet) exitedLogs() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := ""
	for name, p := range f.processes {
		select {
		case <-p.done:
			log, _ := os.ReadFile(filepath.Join(f.dir, name+".log"))
			text += name + ": " + string(log)
		default:
		}
	}
	return text
}

// Close kills all processes and removes the fleet's folder.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links != nil {
		f.links.close()
	}
	for _, p := range f.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	for _, p := range f.processes {
		<-p.done
	}
	_ = os.RemoveAll(f.dir)
}
