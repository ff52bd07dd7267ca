package job

import (
	"math"
	"slices"

	"cuminstair.org/cuminstair"
)

// Parameters of learned sizes.
const (
	samples    = 64   // reports kept of each class
	enough     = 8    // reports before they count more than the declaration
	quantile   = 0.9  // of the reports
	headroom   = 1.1  // reports lag behind growth
	leastCores = 0.05 // a task takes at least this
	// exact is the largest difference, as a fraction, of a use that counts as all of what the task was given.
	exact = 0.01
)

// measured returns what a report adds to the samples. A task that was given more than its job declares and uses exactly
// that, as one with a thread for each core does, shows no growth: with headroom on top the next task of the class would
// be given more, use all of that, and so on.
func measured(used, given, declared float64) float64 {
	if given > declared*(1+exact) && math.Abs(used-given) <= exact*given {
		return used / headroom
	}
	return used
}

// class is what is known of the sizes of a class of jobs.
type class struct {
	cores  []float64
	memory []float64
	next   int
	size   size // learned; valid with enough samples
	stale  int  // samples since size was computed
}

// add takes a report about a running task.
func (c *class) add(cores float64, memory cuminstair.Bytes) {
	if len(c.cores) < samples {
		c.cores = append(c.cores, cores)
		c.memory = append(c.memory, float64(memory))
	} else {
		c.cores[c.next], c.memory[c.next] = cores, float64(memory)
		c.next = (c.next + 1) % samples
	}
	if c.stale++; c.stale >= enough {
		c.stale = 0
		c.size = size{cores: max(leastCores, headroom*at(c.cores)), memory: cuminstair.Bytes(headroom * at(c.memory))}
	}
}

// at returns the quantile of the samples.
func at(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(quantile*float64(len(sorted)-1))]
}

// size returns what a job is expected to take: what its class was reported to take, or else what it declares.
func (s *Scheduler) size(j *Job) size {
	z := size{cores: max(leastCores, j.Cores), memory: j.Memory, accel: j.Accel}
	if c, ok := s.classes[j.Class]; ok && len(c.cores) >= enough {
		z.cores, z.memory = c.size.cores, c.size.memory
	}
	return z
}
