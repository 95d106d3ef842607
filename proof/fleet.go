package proof

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/standin"
)

// Shape says what fleet to start.
type Shape struct {
	Boxes   int
	Engines int
	Median  float64       // tokens of an output
	Step    time.Duration // of an engine alone
	Memory  int
	PerSeq  time.Duration // added to a step by each sequence
	Slots   int
}

// DefaultShape is a small fleet whose streams take a few seconds.
func DefaultShape() Shape {
	return Shape{
		Boxes:   3,
		Engines: 3,
		Median:  120,
		Step:    15 * time.Millisecond,
		Memory:  200000,
		PerSeq:  300 * time.Microsecond,
		Slots:   200,
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
	service   netip.AddrPort
	boxes     []box
	config    map[string]any
	list      core.List
}

type running struct {
	command *exec.Cmd
	program string
	file    string
	done    chan struct{}
}

type box struct {
	Name  string         `json:"box"`
	Zone  string         `json:"zone"`
	Entry netip.AddrPort `json:"entry"`
	Sched netip.AddrPort `json:"scheduler"`
	Watch netip.AddrPort `json:"watch"`
	Admin netip.AddrPort `json:"entry-admin"`
	SAdm  netip.AddrPort `json:"scheduler-admin"`
	WAdm  netip.AddrPort `json:"watch-admin"`
	Plat  netip.AddrPort `json:"platform"`
	Fleet string         `json:"secret"`
}

// freeAddress takes a port that was free a moment ago.
func freeAddress() netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
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
	if err := f.launch(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// lay chooses addresses and documents.
func (f *Fleet) lay() {
	f.platform = freeAddress()
	f.service = freeAddress()
	endpoints := make([]map[string]any, 0, f.Shape.Engines)
	for i := range f.Shape.Engines {
		address := freeAddress()
		f.engines = append(f.engines, address)
		name := fmt.Sprintf("engine-%d", i+1)
		endpoints = append(endpoints, map[string]any{
			"name":          name,
			"address":       address.String(),
			"zone":          "zone-1",
			"models":        []string{Model},
			"memory_tokens": f.Shape.Memory,
			"batch_slots":   f.Shape.Slots,
		})
		f.list.Endpoints = append(f.list.Endpoints, core.EndpointStatus{Name: name})
	}
	f.config = map[string]any{
		"version": 1,
		"customers": []map[string]any{{
			"name":        "customer-1",
			"tier":        "tier-1",
			"key_sha256":  []string{fmt.Sprintf("%x", sha256.Sum256([]byte(Key)))},
			"max_streams": 100000,
			"max_waiting": 100000,
		}},
		"tiers":     []map[string]any{{"name": "tier-1", "rank": 0, "policy": "policy-1"}},
		"policies":  []map[string]any{{"name": "policy-1", "decide": "request.fits ? 'run' : 'wait'"}},
		"models":    []map[string]any{{"name": Model, "max_tokens": 20000}},
		"endpoints": endpoints,
		"services": []map[string]any{{
			"name":             "records",
			"addresses":        []string{f.service.String()},
			"deadline":         "2s",
			"refusal_statuses": []int{503},
			"not_repeatable":   []map[string]any{{"method": "POST", "path": "/records"}},
		}},
		"limits": map[string]any{"progress": "2s", "resume_window": "20s"},
	}
	f.list.Version = 1
	for i := range f.Shape.Boxes {
		f.addBox(i)
	}
}

func (f *Fleet) addBox(i int) {
	b := box{
		Name:  fmt.Sprintf("box-%d", i+1),
		Zone:  fmt.Sprintf("zone-%d", i%3+1),
		Entry: freeAddress(),
		Sched: freeAddress(),
		Watch: freeAddress(),
		Admin: freeAddress(),
		SAdm:  freeAddress(),
		WAdm:  freeAddress(),
		Plat:  f.platform,
		Fleet: "the secret of a proof's fleet",
	}
	f.boxes = append(f.boxes, b)
	f.list.Boxes = append(f.list.Boxes, core.Member{
		Name:      b.Name,
		Zone:      b.Zone,
		Region:    "region-1",
		Entry:     b.Entry,
		Scheduler: b.Sched,
		Watch:     b.Watch,
	})
}

func (f *Fleet) write(name string, value any) string {
	path := filepath.Join(f.dir, name)
	text, err := json.MarshalIndent(value, "", "  ")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		panic(err)
	}
	return path
}

func (f *Fleet) launch() error {
	f.run("platform", "dillsaddle-standin", f.write("platform.json", map[string]any{
		"role":    "platform",
		"address": f.platform.String(),
		"config":  f.write("config.json", f.config),
		"list":    f.write("list.json", f.list),
	}))
	for i, address := range f.engines {
		name := fmt.Sprintf("engine-%d", i+1)
		f.run(name, "dillsaddle-standin", f.write(name+".json", map[string]any{
			"role":          "engine",
			"name":          name,
			"address":       address.String(),
			"models":        Model,
			"memory":        f.Shape.Memory,
			"batch":         f.Shape.Slots,
			"median":        f.Shape.Median,
			"spread":        0.3,
			"step":          f.Shape.Step.String(),
			"step-sequence": f.Shape.PerSeq.String(),
			"seed":          i + 1,
		}))
	}
	f.run("service", "dillsaddle-standin", f.write("service.json", map[string]any{
		"role":    "service",
		"address": f.service.String(),
	}))
	for i := range f.boxes {
		f.StartBox(i)
	}
	return f.Ready(30 * time.Second)
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
				return errors.Errorf("%s is not ready: %s %v", f.boxes[i].Name, text, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends everything and removes the fleet's folder.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.processes {
		_ = r.command.Process.Signal(syscall.SIGCONT)
		_ = r.command.Process.Kill()
	}
	for _, r := range f.processes {
		<-r.done
	}
	_ = os.RemoveAll(f.dir)
}

// callTimeout bounds a short call of the proof's own.
const callTimeout = 10 * time.Second

func (f *Fleet) get(address netip.AddrPort, path string) (int, []byte, error) {
	return f.call("GET", address, path, nil, nil)
}

func (f *Fleet) call(method string, address netip.AddrPort, path string, headers map[string]string, body []byte) (int, []byte, error) {
	status, _, text, err := f.exchange(method, address, path, headers, body)
	return status, text, err
}

func (f *Fleet) exchange(method string, address netip.AddrPort, path string, headers map[string]string, body []byte) (int, map[string]string, []byte, error) {
	req, resp := &protocol.Request{}, &protocol.Response{}
	req.SetMethod(method)
	req.SetRequestURI("http://" + address.String() + path)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	req.SetBody(body)
	req.SetConnectionClose()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := f.http.DoTimeout(ctx, req, resp, callTimeout); err != nil {
		return 0, nil, nil, err
	}
	answered := make(map[string]string)
	resp.Header.VisitAll(func(name, value []byte) { answered[string(name)] = string(value) })
	return resp.StatusCode(), answered, bytes.Clone(resp.Body()), nil
}

// Fault tells a stand-in what to do wrong from now on.
func (f *Fleet) Fault(name string, faults standin.Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	_, _, err = f.call("POST", f.address(name), "/control/fault", nil, body)
	return err
}

func (f *Fleet) address(name string) netip.AddrPort {
	switch name {
	case "platform":
		return f.platform
	case "service":
		return f.service
	}
	var n int
	_, _ = fmt.Sscanf(name, "engine-%d", &n)
	return f.engines[n-1]
}

// PublishConfig publishes a version of the configuration, changed by a function.
func (f *Fleet) PublishConfig(version uint64, change func(map[string]any)) error {
	copied := make(map[string]any, len(f.config))
	for key, value := range f.config {
		copied[key] = value
	}
	copied["version"] = version
	if change != nil {
		change(copied)
	}
	body, err := json.Marshal(copied)
	if err != nil {
		return err
	}
	_, _, err = f.call("POST", f.platform, "/control/config", nil, body)
	return err
}

// PublishList publishes the next version of the list, changed by a function.
func (f *Fleet) PublishList(change func(*core.List)) error {
	f.list.Version++
	change(&f.list)
	body, err := json.Marshal(f.list)
	if err != nil {
		return err
	}
	_, _, err = f.call("POST", f.platform, "/control/list", nil, body)
	return err
}

// EngineRecord gives an engine's own record.
func (f *Fleet) EngineRecord(i int) (standin.Record, error) {
	var r standin.Record
	_, body, err := f.get(f.engines[i], "/control/record")
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(body, &r)
}

// ServiceRecord gives the service's own record.
func (f *Fleet) ServiceRecord() (standin.ServiceRecord, error) {
	var r standin.ServiceRecord
	_, body, err := f.get(f.service, "/control/record")
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(body, &r)
}

// PlatformCalls gives the platform's own count of calls.
func (f *Fleet) PlatformCalls() (int, error) {
	var calls struct {
		Calls int `json:"calls"`
	}
	_, body, err := f.get(f.platform, "/control/calls")
	if err != nil {
		return 0, err
	}
	return calls.Calls, json.Unmarshal(body, &calls)
}
