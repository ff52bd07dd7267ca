package health

import "cuminstair.org/cuminstair/chart"

// Chart returns the state chart of an upstream's health, for operators. The caller must not modify it.
func Chart() *chart.Chart { return upstreamChart }
