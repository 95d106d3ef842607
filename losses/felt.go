package losses

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// felt gathers what the callers of one kind felt.
type felt struct {
	first    *hdrhistogram.Histogram
	pause    *hdrhistogram.Histogram
	stutters int
}

func newFelt() *felt {
	return &felt{
		first: hdrhistogram.New(1, longestTime, timeDigits),
		pause: hdrhistogram.New(1, longestTime, timeDigits),
	}
}

// feel counts a stream for its route, its customer and its rank.
func (c *counter) feel(q *request) {
	for _, one := range []struct {
		all  map[string]*felt
		name string
	}{
		{c.routes, q.route},
		{c.customers, q.customer},
		{c.ranks, strconv.Itoa(q.rank)},
	} {
		f := one.all[one.name]
		if f == nil {
			f = newFelt()
			one.all[one.name] = f
		}
		f.add(q)
	}
}

func (f *felt) add(q *request) {
	record(f.first, q.end.FirstEvent)
	record(f.pause, q.end.LongestPause)
	if q.end.LongestPause > stutter && !q.seams[q.end.PauseAfter] {
		f.stutters++
	}
}

// record takes a time; one beyond the range counts as its end.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), longestTime))
}

func feltBy(all map[string]*felt) []StreamStats {
	var out []StreamStats
	for name, f := range all {
		out = append(out, StreamStats{
			Name:        name,
			Streams:     f.first.TotalCount(),
			FirstMedian: quantile(f.first, 50),
			FirstTail:   quantile(f.first, 99),
			PauseMedian: quantile(f.pause, 50),
			PauseTail:   quantile(f.pause, 99),
			Stutters:    f.stutters,
		})
	}
	slices.SortFunc(out, func(a, b StreamStats) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Millisecond
}
