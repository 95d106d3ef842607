package config

import (
	"net/netip"
	"strings"
	"time"
)

// Service is an HTTP service to which calls are forwarded.
type Service struct {
	Name            string
	Addresses       []netip.AddrPort
	Deadline        time.Duration // time limit of a call, including its retries
	Concurrency     int           // calls in progress per customer and box
	Hedge           bool          // send a late repeatable call to a second server
	NotRepeatable   []CallPattern
	RefusalStatuses []int // HTTP statuses with which the service confirms that it did not act
	line            int
}

// CallPattern matches calls by their method and path prefix.
type CallPattern struct {
	Method string
	Path   string
}

func parseService(o *jsonObject) Service {
	s := Service{
		Deadline:    2 * time.Second,
		Concurrency: 64,
		line:        o.r.line(o.offset),
	}
	o.readName(&s.Name)
	var addresses []string
	o.readStrings("addresses", &addresses)
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			o.r.addFault(o.offset, "service "+s.Name+" has an address that is not an IP address and port", `write "IP:port"`)
			continue
		}
		s.Addresses = append(s.Addresses, address)
	}
	if len(s.Addresses) == 0 {
		o.r.addFault(o.offset, "service "+s.Name+" has no address", `add "addresses" with at least one "IP:port"`)
	}
	o.readDuration("deadline", &s.Deadline, time.Millisecond, 10*time.Minute)
	o.readInt("concurrency", &s.Concurrency, 1, 100000)
	o.readBool("hedge", &s.Hedge)
	readScalar(o, "refusal_statuses", &s.RefusalStatuses, "write a list of HTTP status codes")
	s.NotRepeatable = readList(o, "not_repeatable", "call of service "+s.Name, parseCallPattern)
	return s
}

func parseCallPattern(o *jsonObject) CallPattern {
	p := CallPattern{Path: "/"}
	o.readString("method", &p.Method)
	o.readString("path", &p.Path)
	if p.Method == "" || !strings.HasPrefix(p.Path, "/") {
		o.r.addFault(o.offset, o.description+" has no method or a path without a leading /", `write {"method": "POST", "path": "/records"}`)
	}
	return p
}

// Repeatable reports whether a call may be sent again.
func (s *Service) Repeatable(method, path string) bool {
	for _, p := range s.NotRepeatable {
		if p.Method == method && strings.HasPrefix(path, p.Path) {
			return false
		}
	}
	return true
}
