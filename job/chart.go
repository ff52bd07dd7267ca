package job

import "cuminstair.org/cuminstair/chart"

// Chart returns the state chart of a job, for operators. The caller must not modify it.
func Chart() *chart.Chart { return jobChart }
