package caller

import "cuminstair.org/cuminstair/chart"

// Chart returns the state chart of a request, for operators; it must not be changed.
func Chart() *chart.Chart { return lifecycle }
