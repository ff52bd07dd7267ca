package health

import "cuminstair.org/cuminstair/chart"

// Chart returns the state chart of an upstream's health, for operators; it must not be changed.
func Chart() *chart.Chart { return upstreamChart }
