package lab

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"

	"dillsaddle.example/dillsaddle/proof"
)

// pathCost is the resource use of a load of real streams.
type pathCost struct {
	tokens         float64
	requests       float64
	seconds        float64
	entrySeconds   float64 // processor time
	controlSeconds float64 // processor time of scheduler and watch
	entryBytes     float64 // resident memory
	gcShare        float64 // fraction of the entry's processor time
}

// pathShape returns a fleet whose engines generate tokens faster than one entry process
// forwards them.
func pathShape(median float64) proof.Shape {
	shape := proof.DefaultShape()
	shape.Boxes = 1
	shape.Engines = 2
	shape.MedianTokens = median
	shape.StepTime = 6 * time.Millisecond
	shape.StepPerSequence = 0
	shape.MemoryTokens = 20000000
	shape.BatchSlots = 4000
	return shape
}

// runPath keeps a number of streams open for a duration and returns what they cost.
func runPath(programs string, median float64, streams int, duration time.Duration) (*pathCost, error) {
	f, err := proof.Start(programs, pathShape(median))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	before, err := readPathMetrics(f)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	requests := runStreams(f, streams, startedAt.Add(duration))
	after, err := readPathMetrics(f)
	if err != nil {
		return nil, err
	}
	took := time.Since(startedAt).Seconds()
	return &pathCost{
		tokens:         after["tokens"] - before["tokens"],
		requests:       float64(requests),
		seconds:        took,
		entrySeconds:   after["entry"] - before["entry"],
		controlSeconds: after["control"] - before["control"],
		entryBytes:     after["memory"],
		gcShare:        after["gc"],
	}, nil
}

// runStreams keeps a number of streams open until a time and returns how many completed.
func runStreams(f *proof.Fleet, streams int, until time.Time) int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	total := 0
	for range streams {
		wait.Go(func() {
			for time.Now().Before(until) {
				if _, err := f.DiscardStream(context.Background(), 0); err != nil {
					return
				}
				mu.Lock()
				total++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return total
}

// readPathMetrics reads processor time, memory and token counts from a box's processes.
func readPathMetrics(f *proof.Fleet) (map[string]float64, error) {
	all := make(map[string]float64)
	entry, err := f.Metrics(0, "entry")
	if err != nil {
		return nil, err
	}
	all["entry"] = entry.Sum("process_cpu_seconds_total")
	all["tokens"] = entry.Sum("dillsaddle_tokens_total")
	all["memory"] = entry.Sum("process_resident_memory_bytes")
	all["gc"] = entry.Sum("go_gc_cpu_seconds_total") / max(0.001, entry.Sum("process_cpu_seconds_total"))
	for _, process := range []string{"scheduler", "watch"} {
		m, err := f.Metrics(0, process)
		if err != nil {
			return nil, err
		}
		all["control"] += m.Sum("process_cpu_seconds_total")
	}
	return all, nil
}

// printPath prints the cost of a token and of a request in an entry process. It solves for
// both from one load with short outputs and one with long outputs.
func printPath(out io.Writer, programs string, duration time.Duration) error {
	short, err := runPath(programs, 30, 300, duration)
	if err != nil {
		return errors.Wrap(err, "run the load with short outputs")
	}
	long, err := runPath(programs, 600, 400, duration)
	if err != nil {
		return errors.Wrap(err, "run the load with long outputs")
	}
	determinant := short.tokens*long.requests - long.tokens*short.requests
	token := (short.entrySeconds*long.requests - long.entrySeconds*short.requests) / determinant
	request := (short.tokens*long.entrySeconds - long.tokens*short.entrySeconds) / determinant
	for name, l := range map[string]*pathCost{"short": short, "long": long} {
		fmt.Fprintf(out, "path, %s outputs: %.0f tokens/s, %.0f requests/s, entry %.2f cores (%.1f us a token, all in), control %.3f cores, entry memory %.0f MB, garbage collection %.1f%% of the entry's time\n",
			name, l.tokens/l.seconds, l.requests/l.seconds, l.entrySeconds/l.seconds, 1e6*l.entrySeconds/l.tokens, l.controlSeconds/l.seconds, l.entryBytes/1e6, 100*l.gcShare)
	}
	fmt.Fprintf(out, "path: %.2f us of a core a token, %.0f us a request; 53,000 tokens/s and 115 requests/s take %.2f cores\n",
		1e6*token, 1e6*request, 53000*token+115*request)
	return printRatio(out, programs)
}

// printRatio compares the time to the first token through an entry with that of streams
// read directly from the same engine.
func printRatio(out io.Writer, programs string) error {
	f, err := proof.Start(programs, pathShape(20))
	if err != nil {
		return err
	}
	defer f.Close()
	var through, direct []float64
	for range 40 {
		s, err := f.ReadStream(context.Background(), 0, nil)
		if err != nil {
			return err
		}
		through = append(through, s.TimeToFirstToken.Seconds())
		d, err := f.ReadDirect(context.Background(), 0)
		if err != nil {
			return err
		}
		direct = append(direct, d.TimeToFirstToken.Seconds())
	}
	_, err = fmt.Fprintf(out, "path: first token after %.2f ms through the entry and %.2f ms from the engine directly (median of 40 each), ratio %.2f\n",
		1000*median(through), 1000*median(direct), median(through)/median(direct))
	return err
}

// printControl prints the cost of control traffic between idle boxes.
func printControl(out io.Writer, programs string, duration time.Duration) error {
	for _, boxes := range []int{1, 2, 4, 8, 16, 24} {
		shape := proof.DefaultShape()
		shape.Boxes = boxes
		f, err := proof.Start(programs, shape)
		if err != nil {
			return err
		}
		err = printControlCost(out, f, boxes, duration)
		f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// printControlCost prints the control traffic and resource use of boxes over a duration.
func printControlCost(out io.Writer, f *proof.Fleet, boxes int, duration time.Duration) error {
	before, calls, err := readControlMetrics(f, boxes)
	if err != nil {
		return err
	}
	time.Sleep(duration)
	after, callsAfter, err := readControlMetrics(f, boxes)
	if err != nil {
		return err
	}
	boxSeconds := float64(boxes) * duration.Seconds()
	_, err = fmt.Fprintf(out, "control of %d boxes, 3 endpoints, idle: %.0f bytes/s sent and %.1f messages/s a box, %.2f%% of a core a box for all three processes, %.2f platform calls/s a box, resident memory a box: scheduler and watch %.0f MB\n",
		boxes, (after["bytes"]-before["bytes"])/boxSeconds, (after["messages"]-before["messages"])/boxSeconds, 100*(after["cpu"]-before["cpu"])/boxSeconds, float64(callsAfter-calls)/boxSeconds, after["memory"]/float64(boxes)/1e6)
	return err
}

// readControlMetrics returns the summed metrics of all boxes' processes and the number of
// calls to the platform.
func readControlMetrics(f *proof.Fleet, boxes int) (map[string]float64, int, error) {
	all := make(map[string]float64)
	for i := range boxes {
		for _, process := range []string{"entry", "scheduler", "watch"} {
			m, err := f.Metrics(i, process)
			if err != nil {
				return nil, 0, err
			}
			all["bytes"] += m.Sum("dillsaddle_wire_sent_bytes_total")
			all["messages"] += m.Sum("dillsaddle_wire_sent_messages_total")
			all["cpu"] += m.Sum("process_cpu_seconds_total")
			if process != "entry" {
				all["memory"] += m.Sum("process_resident_memory_bytes")
			}
		}
	}
	calls, err := f.PlatformCalls()
	return all, calls, err
}

func median(values []float64) float64 {
	slices.Sort(values)
	return stat.Quantile(0.5, stat.Empirical, values, nil)
}
