package wave

import "cuminstair.org/cuminstair/chart"

// Charts returns the state charts of a host and of a wave, for operators; they must not be changed.
func Charts() []*chart.Chart { return []*chart.Chart{hostChart, waveChart} }
