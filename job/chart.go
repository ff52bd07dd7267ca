package job

import "cuminstair.org/cuminstair/chart"

// Chart returns the state chart of a job, for operators; it must not be changed.
func Chart() *chart.Chart { return jobChart }
