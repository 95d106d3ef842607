package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// harness starts a deployment on loopback addresses: the store in this process, boxes and
// engines as processes of their own, and consumers. It writes the record.
type harness struct {
	root, dir, tmp string
	trouble        bool
	record         *os.File
	recordMu       sync.Mutex
	store          *store
	net            string // first three numbers of the loopback addresses
	children       []*exec.Cmd
	mu             sync.Mutex
}

var errCannotRun = errors.New("the case could not run")

func newHarness(root, dir string) (*harness, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	h := &harness{root: root, dir: dir, tmp: tmp, record: f, trouble: os.Getenv("TROUBLE") != "0"}
	for range 50 {
		h.net = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		if l, err := net.Listen("tcp", h.net+".1:8742"); err == nil {
			_ = l.Close()
			break
		}
	}
	h.store, err = startStore(h.net + ".1:8742")
	return h, err
}

func (h *harness) log(who, what string, fields ...any) {
	line := map[string]any{"at": time.Now().Format("15:04:05.000"), "who": who, "what": what}
	for i := 0; i+1 < len(fields); i += 2 {
		line[fields[i].(string)] = fields[i+1]
	}
	b, _ := json.Marshal(line)
	h.writeLine(string(b))
}

func (h *harness) writeLine(line string) {
	h.recordMu.Lock()
	defer h.recordMu.Unlock()
	fmt.Fprintln(h.record, line)
}

// start starts a process whose standard output goes to each line's handler.
func (h *harness) start(env []string, onLine func(string), name string, args ...string) (*exec.Cmd, error) {
	c := exec.Command(name, args...)
	c.Dir = h.root
	c.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.tmp}, env...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		return nil, err
	}
	h.mu.Lock()
	h.children = append(h.children, c)
	h.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			onLine(lines.Text())
		}
		_ = c.Wait()
	}()
	return c, nil
}

// end ends all processes that the harness started.
func (h *harness) end() {
	h.mu.Lock()
	for _, c := range h.children {
		_ = c.Process.Kill()
	}
	h.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	_ = h.record.Close()
	_ = os.RemoveAll(h.tmp)
}

// box starts a box by the command of the deploy file and returns its front address.
func (h *harness) box(n, boxes int, zone string) (string, error) {
	ip := fmt.Sprintf("%s.%d", h.net, 10+n)
	var seeds []string
	for i := 1; i <= min(boxes, 3); i++ {
		seeds = append(seeds, fmt.Sprintf("  - \"%s.%d:8748\"\n", h.net, 10+i))
	}
	name := fmt.Sprintf("edge-%s-%d", zone, n)
	text := fmt.Sprintf(`node: %q
role: "node"
machineClass: "edge"
serves:
  - "edge"
  - "control_plane"
ip: %q
zone: %q
region: "one"
zones:
  z-a: "one"
  z-b: "one"
  z-c: "one"
listen:
  front: "%s:8740"
  ready: "%s:8749"
  control: "%s:8748"
ephemeralPorts:
  - 7200
  - 7215
seeds:
%sbootstrap: true
inTolerance: false
limits:
  cpuShare: 0.4
  cores: 1
  memoryMb: 284
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
faultTolerance:
  machines: 1
  zones: 0
  regions: 0
bounds:
  seedLagS: 3
  addrReuseS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  downgradeSlackMs: 250
  outerMs: 5000
  failClosed: false
  revokeMs: 5000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  retryBudgetSlack: 56
  recoveryS: 12
  pass_ms: 120
  again_s: 5.4
provider:
  address: "%s.1:8742"
  form: "read"
  writes_per_s: 400
  reads_per_s: 2000
  historyS: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
`, name, ip, zone, ip, ip, ip, strings.Join(seeds, ""), h.net)
	boot := filepath.Join(h.tmp, name+".yaml")
	if err := os.WriteFile(boot, []byte(text), 0o600); err != nil {
		return "", err
	}
	onLine := func(line string) { h.writeLine(`{"box":"` + name + `","log":` + line + `}`) }
	_, err := h.start([]string{"DILLSADDLE_BOOT=" + boot}, onLine, filepath.Join(h.root, "target/dillsaddle-node"), "-metrics-port", "9464")
	return ip + ":8740", err
}

// awaitReady waits until a box says that it is ready.
func awaitReady(front string) bool {
	ready := "http://" + strings.TrimSuffix(front, "8740") + "8749/ready"
	for range 150 {
		if resp, err := peerClient.Get(ready); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// listEngine writes an engine's entry.
func (h *harness) listEngine(id, address, zone, state string, seq int) {
	h.store.put("servers/"+id, map[string]any{"service": "dill-pool", "address": address, "zone": zone, "version": "v1", "slots": 64, "state": state, "coldRemainingMs": 0, "stage": "dual", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": seq})
	h.log("store", "acknowledged", "server", id, "state", state)
}

// configure writes the configuration, with a route for each path.
func (h *harness) configure(version, timeoutMs, tokens int, paths ...string) {
	var routes []any
	for i, path := range paths {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("r-%d", i+1), "hostname": "calls.example", "pathPrefix": path, "kind": "streaming", "timeoutMs": timeoutMs,
			"targetLatencyMs": 1800, "priority": 0, "service": "dill-pool", "maxAttempts": 1, "anonymous": false, "sticky": true, "resumable": false, "gap_aim_ms": 180})
	}
	h.store.put("op/config", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{map[string]any{"name": "dill-pool", "healthPath": "/health", "maxConns": 432, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvTokens": tokens, "kvTokenBytes": 18432, "linkMbps": 2700.0, "moves": true, "backups": true, "stride": stride, "most": 12, "pin_ms": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}}}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "one", "apiKeys": []string{"key-of-one"}, "priority": 1}},
	})
	h.log("operator", "configuration acknowledged", "version", version, "routes", paths)
}

// outcome is what a consumer got.
type outcome struct {
	id       string
	status   int
	signed   bool
	events   int
	disorder string // an event that doesn't follow the one before
	complete bool   // the answer ended as HTTP says that it ends
	why      string
	took     time.Duration
}

// ask sends one request as a consumer does and reads its stream to the end.
func (h *harness) ask(front, path, id string, prompt, events int, deadline time.Duration) (o outcome) {
	o = outcome{id: id}
	began := time.Now()
	defer func() {
		o.took = time.Since(began)
	}()
	h.log("consumer", "sent", "request", id, "to", front, "path", path, "events", events, "deadline_ms", deadline.Milliseconds())
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		o.why = err.Error()
		return o
	}
	defer c.Close()
	_ = c.SetDeadline(began.Add(deadline))
	body := strings.Repeat(id+" ", 18)
	fmt.Fprintf(c, "POST %s2f HTTP/1.1\r\nHost: calls.example\r\nX-Request-Id: %s\r\nX-Model: m\r\nX-Token-Usage: %d,%d\r\nX-Prompt-Prefix: 5c1e07a2:79,%s:%d\r\nX-Deadline-Ms: %d\r\nApi-Key: key-of-one\r\nContent-Length: %d\r\n\r\n%s",
		path, id, prompt, events*stride, id, prompt-79, deadline.Milliseconds(), len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		o.why = "no answer: " + err.Error()
		return o
	}
	o.status, o.signed = resp.StatusCode, resp.Header.Get("X-Response-Signature") != ""
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if n := 0; strings.HasPrefix(line, "id: ") {
			if _, scanErr := fmt.Sscanf(line, "id: %d", &n); scanErr != nil || n != o.events+1 {
				o.disorder = fmt.Sprintf("after %d came %q", o.events, strings.TrimSpace(line))
			}
			o.events = n
		}
		if err == nil {
			continue
		}
		o.complete = errors.Is(err, io.EOF) && o.status == http.StatusOK
		if !o.complete {
			o.why = err.Error()
		}
		return o
	}
}

// judge records an outcome and reports whether rule ORDER holds for it.
func (h *harness) judge(o outcome, events int) bool {
	verdict := ""
	switch {
	case o.complete && !o.signed:
		verdict = "MIXED broken: a success without its signature"
	case o.disorder != "":
		verdict = "ORDER broken: " + o.disorder
	case o.complete && o.events < events:
		verdict = fmt.Sprintf("ORDER broken: the stream ended as complete after %d of %d events", o.events, events)
	}
	h.log("consumer", "answered", "request", o.id, "status", o.status, "events", o.events, "of", events, "complete", o.complete, "why", o.why, "took_ms", o.took.Milliseconds(), "verdict", verdict)
	return verdict == ""
}
