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
		Name:     "a service's servers are late now and then, and late lookups go to a second one",
		Promises: []model.Promise{model.CompleteAnswer, model.AtMostOnce},
		Shape:    shape,
		Run:      lookupsLate,
	}}
}

// Lookups are calls of a service that may be repeated.
type Lookups struct {
	Latencies []float64 // seconds, sorted
	Failed    int
	Calls     int // that the service's servers counted
}

// SetServerFaults tells all servers of the service what to do wrong from now on.
func (f *Fleet) SetServerFaults(faults standin.Faults) error {
	for i := range f.servers {
		if err := f.SetFaults(fmt.Sprintf("service-%d", i+1), faults); err != nil {
			return err
		}
	}
	return nil
}

// Lookups has some callers look up one thing after the other for a while.
func (f *Fleet) Lookups(callers int, lasting time.Duration) (*Lookups, error) {
	out := &Lookups{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	end := time.Now().Add(lasting)
	for i := range callers {
		wait.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				began := time.Now()
				whole := f.lookup(i%len(f.boxes), fmt.Sprintf("/records/%d-%d", i, n))
				mu.Lock()
				out.Latencies = append(out.Latencies, time.Since(began).Seconds())
				if !whole {
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

// lookup reports whether a lookup got its own answer.
func (f *Fleet) lookup(boxIndex int, path string) bool {
	headers := map[string]string{"Authorization": "Bearer " + Key}
	status, answered, text, err := f.exchange("GET", f.boxes[boxIndex].Entry, "/v1/services/records"+path, headers, nil)
	return err == nil && status == 200 && answered["Dillsaddle-Outcome"] == "ran" && strings.Contains(string(text), path)
}

// hedgedAtMost bounds the servers' calls for each lookup: the budget of retries is
// a tenth, with a start of ten calls a customer and box.
const hedgedAtMost = 1.15

// lookupWrites are the record writes beside the lookups.
const lookupWrites = 60

// writeMany writes records, each under a key of its own.
func (f *Fleet) writeMany(count int) []write {
	var all []write
	for n := range count {
		all = append(all, f.writeRecord(n%len(f.boxes), newKey(), fmt.Sprintf("reading-%d", n)))
	}
	return all
}

func lookupsLate(f *Fleet) (string, error) {
	if err := f.SetServerFaults(standin.Faults{DelayMS: 300, DelayEvery: 20}); err != nil {
		return "", err
	}
	writes := make(chan []write, 1)
	go func() { writes <- f.writeMany(lookupWrites) }()
	all, err := f.Lookups(12, 6*time.Second)
	if err != nil {
		return "", err
	}
	said, err := f.judgeWrites(<-writes)
	if err != nil {
		return "", err
	}
	hedges, err := f.hedges()
	if err != nil {
		return "", err
	}
	looked := len(all.Latencies)
	switch {
	case hedges == 0:
		return "", errors.New("no lookup went to a second server; the proof showed nothing")
	case all.Failed > 0:
		return "", errors.Errorf("%d of %d lookups did not get their own answer", all.Failed, looked)
	case float64(all.Calls) > hedgedAtMost*float64(looked+lookupWrites):
		return "", errors.Errorf("%d calls for %d lookups and %d writes", all.Calls, looked, lookupWrites)
	}
	return fmt.Sprintf("%d lookups whole, %.0f sent to a second server; %s", looked, hedges, said), nil
}

// hedges counts the lookups that entries sent to a second server.
func (f *Fleet) hedges() (float64, error) {
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
