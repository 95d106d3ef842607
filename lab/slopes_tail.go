package lab

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"

	"dillsaddle.example/dillsaddle/proof"
)

// Number of background streams, and of the streams whose token gaps are measured.
const (
	tailStreams = 150
	tailProbes  = 8
)

// tailResult holds quantiles of the time between tokens, in seconds.
type tailResult struct {
	p50, p99, p999 float64
	gcPauseP99     float64 // seconds
	entryBytes     float64 // resident memory
}

// printTail prints the effect of garbage collection on the time between tokens: the same
// load runs with the collector enabled and disabled.
func printTail(out io.Writer, programs string, duration time.Duration) error {
	for _, collector := range []string{"100", "off"} {
		t, err := runTail(programs, collector, duration)
		if err != nil {
			return errors.Wrap(err, "measure token gaps with GOGC="+collector)
		}
		fmt.Fprintf(out, "tail, GOGC=%s: time between tokens of %d streams beside %d others p50 %.2f, p99 %.2f, p99.9 %.2f ms; collector's pauses p99 %.3f ms; entry %.0f MB\n",
			collector, tailProbes, tailStreams, 1000*t.p50, 1000*t.p99, 1000*t.p999, 1000*t.gcPauseP99, t.entryBytes/1e6)
	}
	return nil
}

// runTail runs the load with GOGC set for all processes of the fleet.
func runTail(programs, collector string, duration time.Duration) (*tailResult, error) {
	previous := os.Getenv("GOGC")
	if err := os.Setenv("GOGC", collector); err != nil {
		return nil, err
	}
	f, err := proof.Start(programs, pathShape(600))
	_ = os.Setenv("GOGC", previous)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	end := time.Now().Add(duration)
	var wait sync.WaitGroup
	wait.Go(func() { runStreams(f, tailStreams, end) })
	gaps := measureGaps(f, end)
	wait.Wait()
	m, err := f.Metrics(0, "entry")
	if err != nil {
		return nil, err
	}
	return &tailResult{
		p50:        stat.Quantile(0.5, stat.Empirical, gaps, nil),
		p99:        stat.Quantile(0.99, stat.Empirical, gaps, nil),
		p999:       stat.Quantile(0.999, stat.Empirical, gaps, nil),
		gcPauseP99: m.Quantile("go_gc_pauses_seconds", 0.99),
		entryBytes: m.Sum("process_resident_memory_bytes"),
	}, nil
}

// measureGaps reads streams in parallel until end and returns their sorted token gaps in
// seconds.
func measureGaps(f *proof.Fleet, end time.Time) []float64 {
	var mu sync.Mutex
	var gaps []float64
	var wait sync.WaitGroup
	for range tailProbes {
		wait.Go(func() {
			for time.Now().Before(end) {
				s, err := f.ReadStream(context.Background(), 0, nil)
				if err != nil {
					return
				}
				mu.Lock()
				gaps = append(gaps, s.Gaps...)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	slices.Sort(gaps)
	return gaps
}
