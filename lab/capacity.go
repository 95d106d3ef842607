package lab

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Rates at which boxes exchange control messages, and assumptions about the requests.
const (
	leasesPerSecond      = 0.5 // per lease in use: a lease of 4 s is renewed after 2 s
	heartbeatsPerSecond  = 1.0 // to each peer
	peersPerBox          = 4.0 // peers that a box polls; as many poll it
	endpointsPerModel    = 3.0 // endpoints that an entry uses for a model
	listPollsPerSecond   = 0.1 // long polls
	configPollsPerSecond = 0.1
	confirmsPerSecond    = 0.4  // upper limit, when no peer can confirm the list
	keyedShare           = 0.05 // fraction of requests that may run at most once
	retentionSeconds     = 3600.0
)

// capacityFigure is one line of the capacity table: what a role spends on a task at the target
// size, its limit if it has one, and how the value was calculated.
type capacityFigure struct {
	role  string
	what  string
	value float64
	unit  string
	limit string
	basis string
}

func findSlope(all []slope, name string) *slope {
	for i := range all {
		if all[i].name == name {
			return &all[i]
		}
	}
	panic("no slope is named " + name)
}

// printCapacity extrapolates the measured slopes to the target size.
func printCapacity(out io.Writer, all []slope) error {
	requestsPerBox := targetRequests / targetBoxes
	demands := targetModels * endpointsPerModel * 2
	demandBytes := findSlope(all, "a wish and its grant on the wire, by wishes").perUnit
	grantNS := findSlope(all, "a lease's wish at its owner, by boxes")
	slotsPerBox := targetEndpoints * 2.0 / targetBoxes
	boxesPerSlot := demands * targetBoxes / (targetEndpoints * 2.0)
	claims := requestsPerBox * keyedShare * retentionSeconds
	parseNS := findSlope(all, "reading a configuration, by endpoints")
	figures := []capacityFigure{
		{"entry", "requests", requestsPerBox, "/s", "", "54,000 over 470"},
		{"entry", "leases held", demands, "", "", "32 models, 3 endpoints each, two halves"},
		{"entry", "lease messages, both ways", demands * leasesPerSecond * demandBytes, "B/s", "23,000", "leases x 0.5/s x bytes a wish and grant"},
		{"entry", "admission (on the path, no control)", 100 * requestsPerBox * findSlope(all, "admission of a request, by waiting").estimate(10) / 1e9, "% of a core", "", "requests x cost at 10 waiting for its model"},
		{"entry", "estimates", targetModels * findSlope(all, "an estimate's memory, by customers").estimate(targetCustomers) / 1e6, "MB", "128", "models x memory at 410 customers"},
		{"scheduler", "halves owned", slotsPerBox, "", "", "5,300 endpoints x 2 over 470"},
		{"scheduler", "leases granted", slotsPerBox * boxesPerSlot * leasesPerSecond, "/s", "", "halves x boxes a half x 0.5/s"},
		{"scheduler", "granting", 100 * slotsPerBox * boxesPerSlot * leasesPerSecond * grantNS.estimate(boxesPerSlot) / 1e9, "% core", "3.2", "leases granted x cost at its boxes"},
		{"scheduler", "ownership, on a change", 100 * 2 * boxesReplacedPerDay / secondsPerDay * findSlope(all, "owners of all endpoints, by endpoints").estimate(targetEndpoints) / 1e9, "% core", "3.2", "two lists a replaced box x cost at 5,300 endpoints"},
		{"scheduler", "claims held", claims, "", "", "5% of requests keyed, kept an hour"},
		{"scheduler", "claims", claims * findSlope(all, "a claim's memory, by claims held").perUnit / 1e6, "MB", "128", "claims x memory of one"},
		{"watch", "heartbeats, both ways", 2 * peersPerBox * heartbeatsPerSecond * 2 * findSlope(all, "a heartbeat on the wire, by suspects").estimate(2), "B/s", "23,000", "4 asked and 4 asking, question and answer"},
		{"watch", "lists", 2 * boxesReplacedPerDay / secondsPerDay * findSlope(all, "a list's packed text, by endpoints (470 boxes)").estimate(targetEndpoints), "B/s", "23,000", "two lists a replaced box x packed text"},
		{"watch", "configuration read", 100 * configChangesPerDay / secondsPerDay * 3 * parseNS.estimate(targetEndpoints) / 1e9, "% core", "3.2", "6,800 a day x cost at 5,300 endpoints, in 3 processes"},
		{"watch", "configuration fetched", configChangesPerDay / secondsPerDay * findSlope(all, "a configuration's packed text, by endpoints").estimate(targetEndpoints), "B/s", "23,000", "6,800 a day x packed text"},
		{"watch", "configuration", 3 * findSlope(all, "a configuration's memory, by endpoints").estimate(targetEndpoints) / 1e6, "MB", "128", "in each of 3 processes"},
		{"platform", "calls", targetBoxes * (listPollsPerSecond + configPollsPerSecond + configChangesPerDay/secondsPerDay + 2*boxesReplacedPerDay/secondsPerDay), "/s", "2,000", "470 x (long polls and changes)"},
		{"platform", "calls, no peer vouching", targetBoxes * (listPollsPerSecond + configPollsPerSecond + confirmsPerSecond + configChangesPerDay/secondsPerDay + 2*boxesReplacedPerDay/secondsPerDay), "/s", "2,000", "470 x (the above and confirmations)"},
	}
	bytes, cpu, memory := 0.0, 0.0, 0.0
	for _, f := range figures {
		switch f.unit {
		case "B/s":
			bytes += f.value
		case "% core":
			cpu += f.value
		case "MB":
			memory += f.value
		}
	}
	figures = append(figures,
		capacityFigure{"node", "control bytes", bytes, "B/s", "23,000", "sum of the above"},
		capacityFigure{"node", "control processor time", cpu, "% core", "3.2", "sum of the above"},
		capacityFigure{"node", "control tables", memory, "MB", "128", "sum of the above, without what a process takes empty"},
	)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nrole\twhat at 470 boxes\tvalue\tunit\tlimit a node\tworked out from")
	for _, f := range figures {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%s\t%s\t%s\n", f.role, f.what, f.value, f.unit, f.limit, f.basis)
	}
	fmt.Fprintln(w)
	return w.Flush()
}
