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

// Shape says what fleet to start.
type Shape struct {
	Boxes           int
	Engines         int
	MedianTokens    float64       // tokens of an output
	StepTime        time.Duration // of an engine alone
	MemoryTokens    int
	StepPerSequence time.Duration // added to a step by each sequence
	BatchSlots      int
	Servers         int  // of the service; one if left out
	Hedge           bool // of the service
	Ways            bool // boxes reach each other by ways that can be cut, each with its own platform
}

// DefaultShape is a small fleet whose streams take a few seconds.
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

// Key is the key of every fleet's customer.
const Key = "proof-key"

// Model is the model that every fleet serves.
const Model = "model-1"

// Fleet is a running fleet of processes.
type Fleet struct {
	Shape     Shape
	dir       string
	programs  string
	http      *client.Client
	mu        sync.Mutex
	processes map[string]*running
	platform  netip.AddrPort
	engines   []netip.AddrPort
	service   netip.AddrPort // the first of its servers
	servers   []netip.AddrPort
	boxes     []box
	config    map[string]any
	list      core.List
	ways      *ways
}

type running struct {
	command *exec.Cmd
	program string
	file    string
	done    chan struct{}
}

// Start starts a fleet from the programs in a folder and waits until every box
// can serve a stream.
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
		processes: make(map[string]*running),
	}
	f.lay()
	if shape.Ways {
		if err := f.layWays(); err != nil {
			f.Close()
			return nil, err
		}
	}
	if err := f.launch(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) launch() error {
	f.runPlatform("platform", f.platform, &f.list)
	if f.ways != nil {
		for i := range f.boxes {
			f.runPlatform(fmt.Sprintf("platform-%d", i+1), f.boxes[i].Plat, &f.ways.lists[i])
		}
	}
	for i, address := range f.engines {
		name := fmt.Sprintf("engine-%d", i+1)
		f.run(name, "dillsaddle-standin", f.write(name+".json", map[string]any{
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
		f.run(name, "dillsaddle-standin", f.write(name+".json", map[string]any{
			"role":    "service",
			"address": address.String(),
		}))
	}
	for i := range f.boxes {
		f.StartBox(i)
	}
	if f.ways != nil {
		if err := f.listed(30 * time.Second); err != nil {
			return err
		}
	}
	return f.Ready(30 * time.Second)
}

func (f *Fleet) runPlatform(name string, address netip.AddrPort, list *core.List) {
	f.run(name, "dillsaddle-standin", f.write(name+".json", map[string]any{
		"role":    "platform",
		"address": address.String(),
		"config":  f.write("config.json", f.config),
		"list":    f.write(name+"-list.json", list),
	}))
}

// StartBox starts the three processes of a box.
func (f *Fleet) StartBox(i int) {
	b := &f.boxes[i]
	file := f.write(b.Name+".json", b)
	for _, part := range []string{"watch", "scheduler", "entry"} {
		f.run(b.Name+"-"+part, "dillsaddle-"+part, file)
	}
}

func (f *Fleet) run(name, program, file string) {
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
	r := &running{
		command: c,
		program: program,
		file:    file,
		done:    make(chan struct{}),
	}
	go func() {
		_ = c.Wait()
		close(r.done)
	}()
	f.processes[name] = r
}

// Signal sends a signal to a process.
func (f *Fleet) Signal(name string, s syscall.Signal) {
	f.mu.Lock()
	r := f.processes[name]
	f.mu.Unlock()
	if r != nil {
		_ = r.command.Process.Signal(s)
	}
}

// Ended waits until a process has ended.
func (f *Fleet) Ended(name string, within time.Duration) bool {
	f.mu.Lock()
	r := f.processes[name]
	f.mu.Unlock()
	select {
	case <-r.done:
		return true
	case <-time.After(within):
		return false
	}
}

// Restart starts a process anew after it ended.
func (f *Fleet) Restart(name string) {
	f.mu.Lock()
	r := f.processes[name]
	f.mu.Unlock()
	<-r.done
	f.run(name, r.program, r.file)
}

// Ready waits until every box can serve a stream.
func (f *Fleet) Ready(within time.Duration) error {
	deadline := time.Now().Add(within)
	for i := range f.boxes {
		for {
			status, text, err := f.get(f.boxes[i].Admin, "/readyz")
			if err == nil && status == 200 {
				break
			}
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready: %s %v; ended by themselves: %s", f.boxes[i].Name, text, err, f.ended())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// ended gives the logs of the processes that have ended.
func (f *Fleet) ended() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := ""
	for name, r := range f.processes {
		select {
		case <-r.done:
			log, _ := os.ReadFile(filepath.Join(f.dir, name+".log"))
			text += name + ": " + string(log)
		default:
		}
	}
	return text
}

// Close ends everything and removes the fleet's folder.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ways != nil {
		f.ways.close()
	}
	for _, r := range f.processes {
		_ = r.command.Process.Signal(syscall.SIGCONT)
		_ = r.command.Process.Kill()
	}
	for _, r := range f.processes {
		<-r.done
	}
	_ = os.RemoveAll(f.dir)
}
