package config

import "net/netip"

// Endpoint is one engine, with its capacity and the models that it serves.
type Endpoint struct {
	Name         string
	Address      netip.AddrPort
	Zone         string
	Protocol     string
	Models       []string
	MemoryTokens int  // capacity of the engine's memory
	BatchSlots   int  // maximum number of requests in the batch
	ChecksFences bool // the engine rejects orders of an earlier owner
	line         int
}

func parseEndpoint(o *jsonObject) Endpoint {
	e := Endpoint{
		Protocol:     "completions",
		MemoryTokens: 100000,
		BatchSlots:   64,
		line:         o.r.line(o.offset),
	}
	o.readName(&e.Name)
	o.readAddress("address", &e.Address)
	o.readString("zone", &e.Zone)
	o.readString("protocol", &e.Protocol)
	o.readStrings("models", &e.Models)
	o.readInt("memory_tokens", &e.MemoryTokens, 64, 1<<30)
	o.readInt("batch_slots", &e.BatchSlots, 1, 65536)
	o.readBool("checks_fences", &e.ChecksFences)
	if e.Protocol != "completions" {
		o.r.addFault(o.offset, "endpoint "+e.Name+" has the unsupported protocol "+e.Protocol, `write "completions", the only supported protocol`)
	}
	return e
}
