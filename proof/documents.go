package proof

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"

	"dillsaddle.example/dillsaddle/core"
	boxprocess "dillsaddle.example/dillsaddle/process"
)

// box holds the settings of a box's processes.
type box struct {
	Name           string         `json:"box"`
	Zone           string         `json:"zone"`
	Entry          netip.AddrPort `json:"entry"`
	Sched          netip.AddrPort `json:"scheduler"`
	Watch          netip.AddrPort `json:"watch"`
	Admin          netip.AddrPort `json:"entry-admin"`
	SchedulerAdmin netip.AddrPort `json:"scheduler-admin"`
	WatchAdmin     netip.AddrPort `json:"watch-admin"`
	Platform       netip.AddrPort `json:"platform"`
	Fleet          string         `json:"secret"` // the fleet's shared secret
}

// The ports of fleets are at this process's own loopback address, so that no other process takes a
// port after it was chosen and before it is used, and below the ephemeral ports.
const (
	firstPort = 11000
	lastPort  = 31000
)

// nextPort is the offset of the next port to try. It starts at a different value in each
// process.
var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid()*97) % (lastPort - firstPort)) }

// freeAddress returns a loopback address with the next port that is not in use.
func freeAddress() netip.AddrPort {
	for {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := netip.AddrPortFrom(boxprocess.Loopback(), uint16(port))
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
}

// buildConfig chooses all addresses and builds the configuration and the list.
func (f *Fleet) buildConfig() {
	f.platform = freeAddress()
	var servers []string
	for range max(1, f.Shape.Servers) {
		f.servers = append(f.servers, freeAddress())
		servers = append(servers, f.servers[len(f.servers)-1].String())
	}
	f.service = f.servers[0]
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
			"memory_tokens": f.Shape.MemoryTokens,
			"batch_slots":   f.Shape.BatchSlots,
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
			"addresses":        servers,
			"hedge":            f.Shape.Hedge,
			"deadline":         "2s",
			"refusal_statuses": []int{503},
			"not_repeatable":   []map[string]any{{"method": "POST", "path": "/records"}},
		}},
		"limits": map[string]any{"progress": "2s", "resume_window": "20s", "slow_caller": "1s"},
	}
	f.list.Version = 1
	for i := range f.Shape.Boxes {
		f.addBox(i)
	}
}

func (f *Fleet) addBox(i int) {
	b := box{
		Name:           fmt.Sprintf("box-%d", i+1),
		Zone:           fmt.Sprintf("zone-%d", i%3+1),
		Entry:          freeAddress(),
		Sched:          freeAddress(),
		Watch:          freeAddress(),
		Admin:          freeAddress(),
		SchedulerAdmin: freeAddress(),
		WatchAdmin:     freeAddress(),
		Platform:       f.platform,
		Fleet:          "the secret of a proof's fleet",
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

// writeJSON writes a file into the fleet's folder and returns its path.
func (f *Fleet) writeJSON(name string, value any) string {
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

// PublishConfig publishes a version of the configuration. change may edit the document
// first.
func (f *Fleet) PublishConfig(version uint64, change func(map[string]any)) error {
	body, err := f.configJSON(version, change)
	if err != nil {
		return err
	}
	_, _, err = f.call("POST", f.platform, "/control/config", nil, body)
	return err
}

// publishTo publishes a version of the configuration to the platforms of some
// boxes only.
func (f *Fleet) publishTo(version uint64, boxes ...int) error {
	body, err := f.configJSON(version, nil)
	for _, i := range boxes {
		if err == nil {
			_, _, err = f.call("POST", f.boxes[i].Platform, "/control/config", nil, body)
		}
	}
	return err
}

func (f *Fleet) configJSON(version uint64, change func(map[string]any)) ([]byte, error) {
	copied := make(map[string]any, len(f.config))
	for key, value := range f.config {
		copied[key] = value
	}
	copied["version"] = version
	if change != nil {
		change(copied)
	}
	return json.Marshal(copied)
}

// PublishList publishes the next version of the list after change has edited it.
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
