package main

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"
)

// wall marks columns that were timed with the clock of the machine. All other figures are counted or come from virtual
// time, and are the same on every run.
const wall = " (wall)"

// report prints figures.
type report struct {
	out io.Writer
	// facts are figures that the sum of all parts uses, by name.
	facts map[string]float64
}

// note keeps a figure under a name, with the size that it holds for.
func (r *report) note(name string, size int, value float64) {
	r.facts[fmt.Sprint(name, " ", size)] = value
}

// fact returns a figure, or NaN if it was not measured.
func (r *report) fact(name string, size int) float64 {
	if v, ok := r.facts[fmt.Sprint(name, " ", size)]; ok {
		return v
	}
	return math.NaN()
}

func (r *report) printf(format string, args ...any) { fmt.Fprintf(r.out, format, args...) }

// table prints rows of cells below a heading; each cell is printed with its own format.
func (r *report) table(heading string, columns []string, rows [][]string) {
	r.printf("%s\n", heading)
	w := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, strings.Join(columns, "\t")+"\t")
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t")+"\t")
	}
	_ = w.Flush()
}

// cells formats the cells of a row: integers as they are, floats with one decimal, and strings.
func cells(values ...any) []string {
	out := make([]string, len(values))
	for i, v := range values {
		if f, ok := v.(float64); ok {
			out[i] = fmt.Sprintf("%.2f", f)
			continue
		}
		out[i] = fmt.Sprint(v)
	}
	return out
}

// line is a straight line through measured points.
type line struct {
	base, slope float64
}

// fit returns the line of least squares through the points.
func fit(xs, ys []float64) line {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return line{base: (sy - slope*sx) / n, slope: slope}
}

// heapOf returns the heap bytes that stay in use by what build returns.
func heapOf[T any](build func() T) (kept T, bytes int64) {
	before := heapInUse()
	kept = build()
	bytes = heapInUse() - before
	runtime.KeepAlive(kept)
	return kept, bytes
}

// heapInUse collects garbage twice, so that what finalizers hold is freed too, and returns the bytes of live objects.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// mallocs returns the number of heap objects that fn allocates.
func mallocs(fn func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fn()
	runtime.ReadMemStats(&after)
	return after.Mallocs - before.Mallocs
}

// allocated returns the bytes that fn allocates, those that it gives up included.
func allocated(fn func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fn()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// wallTime returns the shortest of several runs of fn, which disturbances by other processes change least.
func wallTime(runs int, fn func()) time.Duration {
	shortest := time.Duration(0)
	for range runs {
		begin := clock.Now()
		fn()
		if took := clock.Now().Sub(begin); shortest == 0 || took < shortest {
			shortest = took
		}
	}
	return shortest
}
