package proof

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/model"
	"dillsaddle.example/dillsaddle/standin"
)

func lookupScenarios() []Scenario {
	shape := DefaultShape()
	shape.Servers = 3
	shape.Hedge = true
	return []Scenario{{
		Name:     "a service's servers are sometimes slow, and slow lookups are hedged to a second one",
		Promises: []model.Promise{model.CompleteAnswer, model.AtMostOnce},
		Shape:    shape,
		Run:      lookupsLate,
	}}
}

// Lookups are the results of repeatable calls to a service.
type Lookups struct {
	Latencies []float64 // seconds, sorted
	Failed    int
	Calls     int // calls that the service's servers received
}

// SetServerFaults sets the faults of all servers of the service.
func (f *Fleet) SetServerFaults(faults standin.Faults) error {
	for i := range f.servers {
		if err := f.SetFaults(fmt.Sprintf("service-%d", i+1), faults); err != nil {
			return err
		}
	}
	return nil
}

// Lookups runs a number of callers, each of which sends one lookup after another, for a
// period of time.
func (f *Fleet) Lookups(callers int, duration time.Duration) (*Lookups, error) {
	out := &Lookups{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range callers {
		wait.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				began := time.Now()
				ok := f.lookup(i%len(f.boxes), fmt.Sprintf("/records/%d-%d", i, n))
				mu.Lock()
				out.Latencies = append(out.Latencies, time.Since(began).Seconds())
				if !ok {
					out.Failed++
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	slices.Sort(out.Latencies)
	records, err := f.ServerRecords()
	for _, r := range records {
		out.Calls += r.Calls
	}
	return out, err
}

// lookup sends a lookup and reports whether its own answer came back.
func (f *Fleet) lookup(boxIndex int, path string) bool {
	headers := map[string]string{"Authorization": "Bearer " + Key}
	status, answered, text, err := f.exchange("GET", f.boxes[boxIndex].Entry, "/v1/services/records"+path, headers, nil)
	return err == nil && status == 200 && answered["Dillsaddle-Outcome"] == "ran" && strings.Contains(string(text), path)
}

// maxCallsPerRequest bounds the calls to the servers per request: the retry budget is a
// tenth of the requests, plus an initial ten calls per customer and box.
const maxCallsPerRequest = 1.15

// lookupWrites is the number of record writes during the lookups.
const lookupWrites = 60

// writeRecords writes records, each with its own key.
func (f *Fleet) writeRecords(count int) []writeResult {
	var all []writeResult
	for n := range count {
		all = append(all, f.writeRecord(n%len(f.boxes), newKey(), fmt.Sprintf("reading-%d", n)))
	}
	return all
}

func lookupsLate(f *Fleet) (string, error) {
	if err := f.SetServerFaults(standin.Faults{DelayMS: 300, DelayEvery: 20}); err != nil {
		return "", err
	}
	writes := make(chan []writeResult, 1)
	go func() { writes <- f.writeRecords(lookupWrites) }()
	all, err := f.Lookups(12, 6*time.Second)
	if err != nil {
		return "", err
	}
	summary, err := f.verifyWrites(<-writes)
	if err != nil {
		return "", err
	}
	hedgeCount, err := f.hedgeCount()
	if err != nil {
		return "", err
	}
	lookups := len(all.Latencies)
	switch {
	case hedgeCount == 0:
		return "", errors.New("no lookup went to a second server, so the scenario is inconclusive")
	case all.Failed > 0:
		return "", errors.Errorf("%d of %d lookups did not get their own answer", all.Failed, lookups)
	case float64(all.Calls) > maxCallsPerRequest*float64(lookups+lookupWrites):
		return "", errors.Errorf("%d calls for %d lookups and %d writes exceed the retry budget", all.Calls, lookups, lookupWrites)
	}
	return fmt.Sprintf("%d lookups answered, %.0f sent to a second server; %s", lookups, hedgeCount, summary), nil
}

// hedgeCount returns the number of lookups that entries sent to a second server.
func (f *Fleet) hedgeCount() (float64, error) {
	sum := 0.0
	for i := range f.boxes {
		m, err := f.Metrics(i, "entry")
		if err != nil {
			return 0, err
		}
		sum += m.Sum("dillsaddle_hedges_total")
	}
	return sum, nil
}
