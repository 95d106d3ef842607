package lab

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// slope is a cost that was measured at several sizes and fitted by a line.
type slope struct {
	name  string
	unit  string
	sizes []float64
	costs []float64
	base  float64
	each  float64
	fit   float64 // r squared
}

// measure fits a cost over sizes.
func fitSlope(name, unit string, sizes []float64, cost func(size int) float64) slope {
	s := slope{
		name:  name,
		unit:  unit,
		sizes: sizes,
	}
	for _, size := range sizes {
		s.costs = append(s.costs, cost(int(size)))
	}
	s.base, s.each = stat.LinearRegression(sizes, s.costs, nil, false)
	s.fit = stat.RSquared(sizes, s.costs, nil, s.base, s.each)
	return s
}

// at gives the cost at a size by the fit.
func (s *slope) at(size float64) float64 { return max(0, s.base+s.each*size) }

func printSlopes(out io.Writer, all []slope) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "slope\tat sizes\tcosts\teach\tbase\tr2\tunit")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%v\t%s\t%.4g\t%.4g\t%.3f\t%s\n", s.name, s.sizes, short(s.costs), s.each, s.base, s.fit, s.unit)
	}
	return w.Flush()
}

func short(values []float64) string {
	text := ""
	for _, v := range values {
		text += fmt.Sprintf("%.4g ", v)
	}
	return text
}

// leastTime is how long a cost is measured at the least.
const leastTime = 60 * time.Millisecond

// nanoseconds gives the time of one call in the mean.
func nanoseconds(do func()) float64 {
	do()
	began := time.Now()
	n := 0
	for time.Since(began) < leastTime {
		do()
		n++
	}
	return float64(time.Since(began).Nanoseconds()) / float64(n)
}

// heapBytes gives the memory that what a function builds keeps.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
