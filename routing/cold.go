package routing

// ColdAllowance defines how far the requests to a cold endpoint may exceed the rate that its
// service declares, over all boxes.
type ColdAllowance struct {
	Overshoot float64 // factor on the declared rate; at least 1
	Slack     float64 // further requests per second
}

// coldSendFraction is the fraction of the limit that boxes use. The rest is a margin while
// boxes join or are partitioned, when their shares may add up to 1.08 of the whole.
const coldSendFraction = 0.8

// SendLimit returns how many requests per second all boxes together may send to a cold
// endpoint of a service, and false if there is no limit.
func (a ColdAllowance) SendLimit(s *Service) (sends int, limited bool) {
	if s.ColdPerSecond <= 0 {
		return 0, false
	}
	return int(coldSendFraction * (s.ColdPerSecond*max(a.Overshoot, 1) + a.Slack)), true
}
