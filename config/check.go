package config

import (
	"fmt"

	"dillsaddle.example/dillsaddle/policy"
)

// check validates across sections: duplicate names, undefined names, and settings
// that are valid but probably a mistake.
func (r *reader) check(d *Document) {
	checkUnique(r, d.Customers, "customer", func(c *Customer) (string, int) { return c.Name, c.line })
	checkUnique(r, d.Tiers, "tier", func(t *Tier) (string, int) { return t.Name, t.line })
	checkUnique(r, d.Policies, "policy", func(p *Policy) (string, int) { return p.Name, p.line })
	checkUnique(r, d.Models, "model", func(m *Model) (string, int) { return m.Name, m.line })
	checkUnique(r, d.Endpoints, "endpoint", func(e *Endpoint) (string, int) { return e.Name, e.line })
	checkUnique(r, d.Services, "service", func(s *Service) (string, int) { return s.Name, s.line })
	r.checkCustomers(d)
	r.checkTiers(d)
	r.checkModels(d)
}

// checkUnique reports names that are defined more than once.
func checkUnique[T any](r *reader, all []T, kind string, name func(*T) (string, int)) {
	seen := make(map[string]int)
	for i := range all {
		value, line := name(&all[i])
		if first, isDuplicate := seen[value]; isDuplicate {
			r.addFaultAtLine(line, fmt.Sprintf("%s %q is defined twice, first at line %d", kind, value, first), "rename or remove one of them")
			continue
		}
		seen[value] = line
	}
}

func (r *reader) addFaultAtLine(line int, problem, remedy string) {
	r.faults = append(r.faults, Fault{
		File:    r.file,
		Line:    line,
		Problem: problem,
		Remedy:  remedy,
	})
}

func (r *reader) checkCustomers(d *Document) {
	keys := make(map[string]string)
	for i := range d.Customers {
		c := &d.Customers[i]
		if d.Tier(c.Tier) == nil {
			r.addFaultAtLine(c.line, fmt.Sprintf("customer %q refers to the undefined tier %q", c.Name, c.Tier), "use the name of a tier in this document")
		}
		for _, key := range c.KeySHA256 {
			if other, isDuplicate := keys[key]; isDuplicate {
				r.addFaultAtLine(c.line, fmt.Sprintf("customers %q and %q share a key", other, c.Name), "give each customer its own key")
			}
			keys[key] = c.Name
		}
	}
}

func (r *reader) checkTiers(d *Document) {
	for i := range d.Tiers {
		t := &d.Tiers[i]
		p := d.Policy(t.Policy)
		if p == nil {
			r.addFaultAtLine(t.line, fmt.Sprintf("tier %q refers to the undefined policy %q", t.Name, t.Policy), "use the name of a policy in this document")
		}
		if find(d.Customers, func(c *Customer) bool { return c.Tier == t.Name }) == nil {
			r.addWarning(t.line, fmt.Sprintf("no customer uses tier %q", t.Name), "remove it or assign a customer to it")
		}
	}
	for i := range d.Policies {
		p := &d.Policies[i]
		if p.Program != nil && neverRuns(p.Program) {
			r.addWarning(p.line, fmt.Sprintf("policy %q doesn't run even a small request on an idle fleet", p.Name), "make it return 'run' for some requests")
		}
	}
}

// neverRuns reports whether a policy doesn't run even a small request on an idle
// fleet.
func neverRuns(p *policy.Program) bool {
	verdict, err := p.Decide(&policy.Input{
		PromptTokens: 1,
		ExpectTokens: 1,
		FreeShare:    1,
		Fits:         true,
	})
	return err == nil && verdict != policy.Run
}

func (r *reader) checkModels(d *Document) {
	served := make(map[string]bool)
	for i := range d.Endpoints {
		for _, model := range d.Endpoints[i].Models {
			served[model] = true
			if d.Model(model) == nil {
				r.addFaultAtLine(d.Endpoints[i].line, fmt.Sprintf("endpoint %q refers to the undefined model %q", d.Endpoints[i].Name, model), "define the model or remove it from the endpoint")
			}
		}
	}
	for i := range d.Models {
		if !served[d.Models[i].Name] {
			r.addWarning(d.Models[i].line, fmt.Sprintf("no endpoint serves model %q", d.Models[i].Name), "add it to an endpoint's models")
		}
	}
}
