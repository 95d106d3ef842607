package config

// Tier is a service level of customers. Rank 0 is served first.
type Tier struct {
	Name   string
	Rank   int
	Policy string
	Risk   float64 // accepted probability that an endpoint's memory overflows
	line   int
}

func parseTier(o *jsonObject) Tier {
	t := Tier{
		Risk: 0.05,
		line: o.r.line(o.offset),
	}
	o.readName(&t.Name)
	if o.members["rank"] == nil {
		o.r.addFault(o.offset, "tier "+t.Name+" has no rank", `add "rank"; the tier with rank 0 is served first`)
	}
	o.readInt("rank", &t.Rank, 0, 15)
	o.readString("policy", &t.Policy)
	o.real("risk", &t.Risk, 0.00001, 0.5)
	return t
}
