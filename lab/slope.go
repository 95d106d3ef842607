package lab

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// slope is a cost measured at several sizes, with a linear fit.
type slope struct {
	name      string
	unit      string
	sizes     []float64
	costs     []float64
	intercept float64
	perUnit   float64
	rSquared  float64
}

// fitSlope measures a cost at several sizes and fits a line.
func fitSlope(name, unit string, sizes []float64, cost func(size int) float64) slope {
	s := slope{
		name:  name,
		unit:  unit,
		sizes: sizes,
	}
	for _, size := range sizes {
		s.costs = append(s.costs, cost(int(size)))
	}
	s.intercept, s.perUnit = stat.LinearRegression(sizes, s.costs, nil, false)
	s.rSquared = stat.RSquared(sizes, s.costs, nil, s.intercept, s.perUnit)
	return s
}

// estimate returns the fitted cost at a size.
func (s *slope) estimate(size float64) float64 { return max(0, s.intercept+s.perUnit*size) }

// printSlopes writes a table with one line per slope.
func printSlopes(out io.Writer, all []slope) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "slope\tat sizes\tcosts\teach\tbase\tr2\tunit")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%v\t%s\t%.4g\t%.4g\t%.3f\t%s\n", s.name, s.sizes, formatValues(s.costs), s.perUnit, s.intercept, s.rSquared, s.unit)
	}
	return w.Flush()
}

func formatValues(values []float64) string {
	text := ""
	for _, v := range values {
		text += fmt.Sprintf("%.4g ", v)
	}
	return text
}

// minMeasureTime is the minimum time for which a call is repeated.
const minMeasureTime = 60 * time.Millisecond

// meanNanoseconds returns the mean duration of a call.
func meanNanoseconds(call func()) float64 {
	call()
	startedAt := time.Now()
	n := 0
	for time.Since(startedAt) < minMeasureTime {
		call()
		n++
	}
	return float64(time.Since(startedAt).Nanoseconds()) / float64(n)
}

// heapBytes returns the heap memory retained by the result of build.
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
