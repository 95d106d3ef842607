package losses

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// streamHistograms collects the latencies of the streams of a route, customer or rank.
type streamHistograms struct {
	firstEvent *hdrhistogram.Histogram
	pause      *hdrhistogram.Histogram
	stutters   int
}

func newStreamHistograms() *streamHistograms {
	return &streamHistograms{
		firstEvent: hdrhistogram.New(1, maxMillis, significantDigits),
		pause:      hdrhistogram.New(1, maxMillis, significantDigits),
	}
}

// addStream adds a stream to the statistics of its route, its customer and its rank.
func (c *counter) addStream(q *request) {
	for _, one := range []struct {
		all  map[string]*streamHistograms
		name string
	}{
		{c.routes, q.route},
		{c.customers, q.customer},
		{c.ranks, strconv.Itoa(q.rank)},
	} {
		h := one.all[one.name]
		if h == nil {
			h = newStreamHistograms()
			one.all[one.name] = h
		}
		h.add(q)
	}
}

// add adds one stream. A long pause counts as a stutter unless the run was moved then.
func (h *streamHistograms) add(q *request) {
	record(h.firstEvent, q.outcome.FirstEvent)
	record(h.pause, q.outcome.LongestPause)
	if q.outcome.LongestPause > minStutter && !q.seams[q.outcome.PauseAfter] {
		h.stutters++
	}
}

// record adds a duration, limited to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), maxMillis))
}

// streamStats returns the statistics of all streams, sorted by name.
func streamStats(all map[string]*streamHistograms) []StreamStats {
	var out []StreamStats
	for name, h := range all {
		out = append(out, StreamStats{
			Name:        name,
			Streams:     h.firstEvent.TotalCount(),
			FirstMedian: quantile(h.firstEvent, 50),
			FirstTail:   quantile(h.firstEvent, 99),
			PauseMedian: quantile(h.pause, 50),
			PauseTail:   quantile(h.pause, 99),
			Stutters:    h.stutters,
		})
	}
	slices.SortFunc(out, func(a, b StreamStats) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Millisecond
}
