package main

import (
	"bufio"
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

// The bounds of the site files' small deployments.
const (
	contactTime   = 3000 * time.Millisecond
	configApply   = 2000 * time.Millisecond
	engineTokens  = 34459
	runTokens     = 1500
	nodeProgram   = "target/dillsaddle-node"
	metricsPort   = "9464"
	startTimeout  = 20 * time.Second
	hostName      = "ficu95.example"
	serviceModels = "dill-pool"
	serviceCalls  = "records-api"
)

// record collects what was sent, answered and run, and writes it to record.txt.
type record struct {
	mu       sync.Mutex
	start    time.Time
	out      *bufio.Writer
	file     *os.File
	arrivals []arrival
	crashes  []time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), out: bufio.NewWriter(f), file: f}, nil
}

// log writes a line with the seconds since the start.
func (r *record) log(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked(format, values...)
}

func (r *record) logLocked(format string, values ...any) {
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) addArrival(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
	r.logLocked("server %s: request %s arrives, parts %s, tenant %q, begun %t", a.server, a.id, strings.Join(a.parts, " "), a.tenant, a.ran)
}

func (r *record) addCrash(server, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, time.Now())
	r.logLocked("server %s: crashes at request %s", server, request)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// box is a process of the system.
type box struct {
	name  string
	ip    string
	front string
	ready string
	peer  string
	cmd   *exec.Cmd
	log   *os.File
}

// randomIP returns a loopback address of this script's own.
func randomIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
}

// freeAddress returns an address at a loopback IP with a free port below the range of outgoing ones.
func freeAddress(ip string) string {
	for {
		address := net.JoinHostPort(ip, itoa(20000+rand.IntN(10000)))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

func newBox(name string) *box {
	ip := randomIP()
	return &box{name: name, ip: ip, front: freeAddress(ip), ready: freeAddress(ip), peer: freeAddress(ip)}
}

// settings returns the box's settings file, with the fields and bounds of the pages' example.
func (b *box) settings(zone, storeAddress string, seeds []string) string {
	var lines strings.Builder
	for _, s := range seeds {
		fmt.Fprintf(&lines, "  - %q\n", s)
	}
	return fmt.Sprintf(`node: %q
role: "node"
machineClass: "edge"
serves:
  - "edge"
  - "control_plane"
ip: %q
zone: %q
region: "amman"
zones:
  amman-a: "amman"
  amman-b: "amman"
  amman-c: "amman"
listen:
  front: %q
  ready: %q
  control: %q
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
  retryBudgetSlack: 54
  recoveryS: 12
  pass_ms: 120
  again_s: 7.9
provider:
  address: %q
  form: "read"
  writes_per_s: 400
  reads_per_s: 2000
  historyS: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
`, b.name, b.ip, zone, b.front, b.ready, b.peer, lines.String(), storeAddress)
}

// startBoxes starts the boxes with the command of the deploy file and waits until they are ready.
func startBoxes(folder string, boxes []*box, storeAddress string) error {
	var seeds []string
	for _, b := range boxes[:min(len(boxes), 3)] {
		seeds = append(seeds, b.peer)
	}
	for i, b := range boxes {
		path := filepath.Join(folder, b.name+".yaml")
		zone := "amman-" + string(rune('a'+i%3))
		if err := os.WriteFile(path, []byte(b.settings(zone, storeAddress, seeds)), 0o600); err != nil {
			return err
		}
		logFile, err := os.Create(filepath.Join(folder, b.name+".log"))
		if err != nil {
			return err
		}
		b.log = logFile
		b.cmd = exec.Command(nodeProgram, "-metrics-port", metricsPort)
		b.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DILLSADDLE_BOOT=" + path}
		b.cmd.Stdout, b.cmd.Stderr = logFile, logFile
		b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := b.cmd.Start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, b := range boxes {
		for !b.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", b.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (b *box) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + b.ready + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (b *box) signal(sig syscall.Signal) { _ = b.cmd.Process.Signal(sig) }

func stopBoxes(boxes []*box) {
	for _, b := range boxes {
		if b.cmd != nil && b.cmd.Process != nil {
			b.signal(syscall.SIGCONT)
			_ = b.cmd.Process.Kill()
			_ = b.cmd.Wait()
		}
	}
}

// outcome is what a client saw of one attempt.
type outcome struct {
	id       string
	box      string
	sentAt   time.Time
	endedAt  time.Time
	status   int // 0 if there was no answer
	signed   bool
	events   int
	complete bool
	text     string // of an answer without events
}

// call is one attempt of a client.
type call struct {
	id       string
	path     string
	key      string
	deadline time.Duration
	prompt   string // X-Prompt-Prefix; empty for none
	body     string
}

var client = &http.Client{Transport: &http.Transport{
	DisableCompression:  true,
	MaxIdleConnsPerHost: 16,
}}

// send sends an attempt to a box and reads its answer to the end.
func send(b *box, c call) outcome {
	o := outcome{id: c.id, box: b.name, sentAt: time.Now()}
	defer func() { o.endedAt = time.Now() }()
	r, err := http.NewRequest(http.MethodPost, "http://"+b.front+c.path, strings.NewReader(c.body))
	if err != nil {
		return o
	}
	r.Host = hostName
	r.Header.Set("X-Request-Id", c.id)
	r.Header.Set("X-Deadline-Ms", itoa(int(c.deadline.Milliseconds())))
	r.Header.Set("Api-Key", c.key)
	if c.prompt != "" {
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Usage", "1000,100")
		r.Header.Set("X-Prompt-Prefix", c.prompt)
	}
	answer, err := client.Do(r)
	if err != nil {
		return o
	}
	defer answer.Body.Close()
	o.status = answer.StatusCode
	o.signed = answer.Header.Get("X-Response-Signature") != ""
	body, err := io.ReadAll(answer.Body)
	o.complete = err == nil
	o.events = strings.Count(string(body), "\n\n")
	if o.events == 0 {
		o.text = strings.TrimSpace(string(body))
	}
	return o
}

func (r *record) logOutcome(kind string, o outcome) {
	r.log("client: %s request %s to %s, sent at %.3f: status %d, signed %t, events %d, complete %t %s",
		kind, o.id, o.box, o.sentAt.Sub(r.start).Seconds(), o.status, o.signed, o.events, o.complete, o.text)
}

// configuration returns a configuration with a streaming route and one whose requests run once.
func configuration(version int, tenants []map[string]any, idleRoutes int) map[string]any {
	routes := []map[string]any{
		{"name": "r-stream", "hostname": hostName, "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 20000, "targetLatencyMs": 1800,
			"priority": 0, "service": serviceModels, "maxAttempts": 1, "anonymous": false, "sticky": true, "resumable": false, "gap_aim_ms": 180},
		{"name": "r-call", "hostname": hostName, "pathPrefix": "/pule252/", "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300,
			"priority": 1, "service": serviceCalls, "maxAttempts": 1, "anonymous": false},
	}
	for n := range idleRoutes {
		routes = append(routes, map[string]any{"name": "r-idle" + itoa(n), "hostname": hostName, "pathPrefix": "/idle" + itoa(n) + "/",
			"kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 1, "service": serviceCalls, "maxAttempts": 1, "anonymous": false})
	}
	return map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{
			{"name": serviceModels, "healthPath": "/health", "maxConns": 432, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kvTokens": engineTokens, "kvTokenBytes": 18432, "linkMbps": 2700.0, "moves": false, "backups": false, "stride": 4,
				"most": 12, "pin_ms": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": serviceCalls, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	}
}
