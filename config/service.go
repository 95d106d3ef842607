package config

import (
	"net/netip"
	"strings"
	"time"
)

// Service is a plain service that calls are passed to.
type Service struct {
	Name            string
	Addresses       []netip.AddrPort
	Deadline        time.Duration
	Concurrency     int
	Hedge           bool // a repeatable call that is late goes to a second server too
	NotRepeatable   []CallPattern
	RefusalStatuses []int // statuses by which the service says that it did not act
	line            int
}

// CallPattern names calls by method and by the start of their path.
type CallPattern struct {
	Method string
	Path   string
}

func parseService(o *object) Service {
	s := Service{
		Deadline:    2 * time.Second,
		Concurrency: 64,
		line:        o.r.line(o.at),
	}
	o.name(&s.Name)
	var addresses []string
	o.texts("addresses", &addresses)
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			o.r.fault(o.at, "service "+s.Name+" has an address that is no IP number and port", `write "IP:port"`)
			continue
		}
		s.Addresses = append(s.Addresses, address)
	}
	if len(s.Addresses) == 0 {
		o.r.fault(o.at, "service "+s.Name+" has no address", `add "addresses" with one "IP:port" or more`)
	}
	o.duration("deadline", &s.Deadline, time.Millisecond, 10*time.Minute)
	o.whole("concurrency", &s.Concurrency, 1, 100000)
	o.flag("hedge", &s.Hedge)
	scalar(o, "refusal_statuses", &s.RefusalStatuses, "write a list of HTTP statuses")
	s.NotRepeatable = list(o, "not_repeatable", "call of service "+s.Name, parseCallPattern)
	return s
}

func parseCallPattern(o *object) CallPattern {
	p := CallPattern{Path: "/"}
	o.text("method", &p.Method)
	o.text("path", &p.Path)
	if p.Method == "" || !strings.HasPrefix(p.Path, "/") {
		o.r.fault(o.at, o.what+" names no method or a path without a leading /", `write {"method": "POST", "path": "/records"}`)
	}
	return p
}

// Repeatable reports whether a call may be sent a second time.
func (s *Service) Repeatable(method, path string) bool {
	for _, p := range s.NotRepeatable {
		if p.Method == method && strings.HasPrefix(path, p.Path) {
			return false
		}
	}
	return true
}
