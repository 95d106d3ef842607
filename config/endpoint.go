package config

import "net/netip"

// Endpoint is one engine or one server of a service.
type Endpoint struct {
	Name         string
	Address      netip.AddrPort
	Zone         string
	Protocol     string
	Models       []string
	MemoryTokens int
	BatchSlots   int
	ChecksFences bool
	line         int
}

func parseEndpoint(o *object) Endpoint {
	e := Endpoint{
		Protocol:     "completions",
		MemoryTokens: 100000,
		BatchSlots:   64,
		line:         o.r.line(o.at),
	}
	o.name(&e.Name)
	o.address("address", &e.Address)
	o.text("zone", &e.Zone)
	o.text("protocol", &e.Protocol)
	o.texts("models", &e.Models)
	o.whole("memory_tokens", &e.MemoryTokens, 64, 1<<30)
	o.whole("batch_slots", &e.BatchSlots, 1, 65536)
	o.flag("checks_fences", &e.ChecksFences)
	if e.Protocol != "completions" {
		o.r.fault(o.at, "endpoint "+e.Name+" speaks the unknown protocol "+e.Protocol, `write "completions", the only one of this version`)
	}
	return e
}
