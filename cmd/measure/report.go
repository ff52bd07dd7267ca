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

// wall marks figures that were timed with the machine's clock. All other figures are counted or come from virtual time,
// and are the same on every run, apart from small differences in heap bytes.
const wall = " (wall)"

// report prints figures.
type report struct {
	out io.Writer
	// figures holds figures that one subject records and another one uses, by name and size.
	figures map[string]float64
}

// record stores a figure under its name and the size for which it was measured. A size of 0 stands for all sizes.
func (r *report) record(name string, size int, value float64) {
	r.figures[fmt.Sprint(name, " ", size)] = value
}

// figure returns a recorded figure, or NaN if there is none.
func (r *report) figure(name string, size int) float64 {
	if v, ok := r.figures[fmt.Sprint(name, " ", size)]; ok {
		return v
	}
	return math.NaN()
}

func (r *report) printf(format string, args ...any) { fmt.Fprintf(r.out, format, args...) }

// table prints a heading, the column names and the rows, aligned to the right.
func (r *report) table(heading string, columns []string, rows [][]string) {
	r.printf("%s\n", heading)
	w := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, strings.Join(columns, "\t")+"\t")
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t")+"\t")
	}
	_ = w.Flush()
}

// cells formats the cells of a row: floats with two decimals, all other values with fmt.Sprint.
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
	intercept, slope float64
}

// fit returns the least-squares line through the points.
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
	return line{intercept: (sy - slope*sx) / n, slope: slope}
}

// heapOf returns the result of build and the heap bytes that it keeps in use.
func heapOf[T any](build func() T) (kept T, bytes int64) {
	before := heapInUse()
	kept = build()
	bytes = heapInUse() - before
	runtime.KeepAlive(kept)
	return kept, bytes
}

// heapInUse returns the bytes of live heap objects. It collects garbage twice, so that objects with finalizers are freed
// too.
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

// allocated returns the bytes that fn allocates, including those that become garbage.
func allocated(fn func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fn()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// wallTime returns the time of the shortest of several runs of fn. Other processes disturb that run least.
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
