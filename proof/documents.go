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
)

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

// The ports of fleets lie below those that the system gives to outgoing
// connections, which could take a port between its choice and its use.
const (
	firstPort = 11000
	lastPort  = 31000
)

// nextPort counts on from a start that differs between processes.
var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid()*97) % (lastPort - firstPort)) }

// freeAddress takes the next port that nobody listens on.
func freeAddress() netip.AddrPort {
	for {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
}

// lay chooses addresses and documents.
func (f *Fleet) lay() {
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

// PublishConfig publishes a version of the configuration, changed by a function.
func (f *Fleet) PublishConfig(version uint64, change func(map[string]any)) error {
	body, err := f.configText(version, change)
	if err != nil {
		return err
	}
	_, _, err = f.call("POST", f.platform, "/control/config", nil, body)
	return err
}

// publishTo publishes a version of the configuration to the platforms of some
// boxes only.
func (f *Fleet) publishTo(version uint64, boxes ...int) error {
	body, err := f.configText(version, nil)
	for _, i := range boxes {
		if err == nil {
			_, _, err = f.call("POST", f.boxes[i].Plat, "/control/config", nil, body)
		}
	}
	return err
}

func (f *Fleet) configText(version uint64, change func(map[string]any)) ([]byte, error) {
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
