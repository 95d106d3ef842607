package config

import (
	"slices"

	"github.com/tailscale/hujson"
)

// Version orders configuration documents; a higher version is newer.
type Version uint64

// Document is one published configuration.
type Document struct {
	Version   Version
	Customers []Customer
	Tiers     []Tier
	Policies  []Policy
	Models    []Model
	Endpoints []Endpoint
	Services  []Service
	Limits    Limits
	source    []byte
}

// Parse parses and checks a document, and returns all of its faults. The document
// is nil if any of them is fatal.
func Parse(file string, source []byte) (*Document, Faults) {
	r := &reader{
		file:   file,
		source: source,
	}
	value, err := hujson.Parse(source)
	if err != nil {
		r.addFault(errorOffset(source), "not JSON: "+err.Error(), "correct the syntax at this line")
		return nil, r.faults
	}
	if !value.IsStandard() {
		r.addFault(0, "the document contains comments or trailing commas", "remove them; the document must be standard JSON")
	}
	d := r.readDocument(&value)
	r.check(d)
	if r.faults.Fatal() {
		return nil, r.faults.sorted()
	}
	return d, r.faults.sorted()
}

// errorOffset returns the offset after the last non-blank byte, which is where a
// truncated document fails to parse.
func errorOffset(source []byte) int {
	for end := len(source); end > 0; end-- {
		if source[end-1] == '\n' || source[end-1] == ' ' {
			continue
		}
		return end
	}
	return 0
}

func (r *reader) readDocument(v *hujson.Value) *Document {
	o := r.jsonObject(v, "the document")
	d := &Document{
		Limits: defaultLimits(),
		source: r.source,
	}
	readScalar(o, "version", &d.Version, "write a whole number above all earlier versions")
	if d.Version == 0 {
		r.addFault(0, "the document has no version", `add "version", a whole number above all earlier ones`)
	}
	d.Customers = readList(o, "customers", "customer", parseCustomer)
	d.Tiers = readList(o, "tiers", "tier", parseTier)
	d.Policies = readList(o, "policies", "policy", parsePolicy)
	d.Models = readList(o, "models", "model", parseModel)
	d.Endpoints = readList(o, "endpoints", "endpoint", parseEndpoint)
	d.Services = readList(o, "services", "service", parseService)
	if limits := o.takeMember("limits"); limits != nil {
		section := r.jsonObject(limits, "limits")
		parseLimits(section, &d.Limits)
		section.reportUnknownMembers()
	}
	o.reportUnknownMembers()
	return d
}

// Source returns the bytes from which the document was parsed.
func (d *Document) Source() []byte { return d.source }

// Model returns the model with a name, or nil.
func (d *Document) Model(name string) *Model {
	return find(d.Models, func(m *Model) bool { return m.Name == name })
}

// Serves reports whether any endpoint serves a model.
func (d *Document) Serves(model string) bool {
	return find(d.Endpoints, func(e *Endpoint) bool { return slices.Contains(e.Models, model) }) != nil
}

// Tier returns the tier with a name, or nil.
func (d *Document) Tier(name string) *Tier {
	return find(d.Tiers, func(t *Tier) bool { return t.Name == name })
}

// Policy returns the policy with a name, or nil.
func (d *Document) Policy(name string) *Policy {
	return find(d.Policies, func(p *Policy) bool { return p.Name == name })
}

// Service returns the service with a name, or nil.
func (d *Document) Service(name string) *Service {
	return find(d.Services, func(s *Service) bool { return s.Name == name })
}

// Endpoint returns the endpoint with a name, or nil.
func (d *Document) Endpoint(name string) *Endpoint {
	return find(d.Endpoints, func(e *Endpoint) bool { return e.Name == name })
}

// Customer returns the customer with a name, or nil.
func (d *Document) Customer(name string) *Customer {
	return find(d.Customers, func(c *Customer) bool { return c.Name == name })
}

func find[T any](all []T, match func(*T) bool) *T {
	for i := range all {
		if match(&all[i]) {
			return &all[i]
		}
	}
	return nil
}
