package straggler

import "math"

// Shape of the histograms of duration ratios.
const (
	// bins and binsPerDoubling cover ratios from 1/16 to 16 in steps of the square root of 2. Finer steps change no
	// decision, since a copy must save more time than it costs.
	bins            = 17
	binsPerDoubling = 2
	// window is the number of observations after which an old one counts for 1/e.
	window = 500
	// tailWeight is the weight, in observations, of each bin above 1 before anything is observed there. Without it, a run
	// that takes longer than all before would have no expected remaining time.
	tailWeight = 0.1
)

// binRatios are the ratios in the middle of the bins.
var binRatios = func() (r [bins]float64) {
	for i := range r {
		r[i] = math.Exp2(float64(i-bins/2) / binsPerDoubling)
	}
	return r
}()

// histogram is a decaying distribution of duration ratios in log space.
type histogram struct {
	weights [bins]float64
	total   float64
}

// binOf returns the bin of a ratio; the outermost bins take all that lies beyond them.
func binOf(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	return min(bins-1, max(0, bins/2+int(math.Round(binsPerDoubling*math.Log2(ratio)))))
}

func (h *histogram) add(ratio float64) {
	const keep = 1 - 1.0/window
	for i := range h.weights {
		h.weights[i] *= keep
	}
	h.weights[binOf(ratio)]++
	h.total = h.total*keep + 1
}

// weight returns the probability of a bin, with a small tail of ratios that were not observed.
func (h *histogram) weight(i int) float64 {
	w := h.weights[i]
	if i > bins/2 {
		w += tailWeight
	}
	return w / (h.total + tailWeight*(bins-1-bins/2))
}

// median returns the middle of the bin in which the median lies.
func (h *histogram) median() float64 {
	sum := 0.0
	for i := range h.weights {
		if sum += h.weight(i); sum >= 0.5 {
			return binRatios[i]
		}
	}
	return 1
}
