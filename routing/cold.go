package routing

// ColdAllowance says how far the sends to a cold endpoint may go beyond what its service
// says that it bears, summed over all boxes.
type ColdAllowance struct {
	Overshoot float64 // times what it bears in a second
	Slack     float64 // sends in a second beyond that
}

// coldSafety is the part of the allowance that boxes use: while boxes are added and others
// cut off, up to 1.08 of what is divided among them was claimed.
const coldSafety = 0.8

// SendLimit gives how many requests a cold endpoint of a service may get in a second from all
// boxes together, and whether there is such a bound.
func (a ColdAllowance) SendLimit(s *Service) (sends int, bound bool) {
	if s.ColdPerSecond <= 0 {
		return 0, false
	}
	return int(coldSafety * (s.ColdPerSecond*max(a.Overshoot, 1) + a.Slack)), true
}
