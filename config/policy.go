package config

import "dillsaddle.example/dillsaddle/policy"

// Policy is a program that decides whether a request runs, waits or is refused, and
// ranks the waiting ones.
type Policy struct {
	Name    string
	Decide  string // source of the program that returns the verdict
	Rank    string // source of the program that orders waiting requests
	Program *policy.Program
	line    int
}

func parsePolicy(o *jsonObject) Policy {
	p := Policy{line: o.r.line(o.offset)}
	o.readName(&p.Name)
	o.readString("decide", &p.Decide)
	o.readString("rank", &p.Rank)
	program, err := policy.Compile(p.Name, p.Decide, p.Rank)
	if err != nil {
		o.r.addFault(o.offset, err.Error(), "docs/CONFIGURATION.md lists the fields that a program can use")
		return p
	}
	p.Program = program
	return p
}
