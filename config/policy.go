package config

import "dillsaddle.example/dillsaddle/policy"

// Policy is one program: who runs, who waits and who is refused.
type Policy struct {
	Name    string
	Decide  string
	Rank    string
	Program *policy.Program
	line    int
}

func parsePolicy(o *object) Policy {
	p := Policy{line: o.r.line(o.at)}
	o.name(&p.Name)
	o.text("decide", &p.Decide)
	o.text("rank", &p.Rank)
	program, err := policy.Compile(p.Name, p.Decide, p.Rank)
	if err != nil {
		o.r.fault(o.at, err.Error(), "docs/CONFIGURATION.md lists what a program sees")
		return p
	}
	p.Program = program
	return p
}
