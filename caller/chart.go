package caller

import "cuminstair.org/cuminstair/chart"

// Chart returns the state chart of a request, for operators. The caller must not modify it.
func Chart() *chart.Chart { return lifecycle }
