package job

import (
	"math"
	"slices"

	"cuminstair.org/cuminstair"
)

// Parameters of learned sizes.
const (
	maxSamples = 64   // reports kept for each class
	minSamples = 8    // reports before the learned size is used, and between its updates
	quantile   = 0.9  // of the reports, as the learned size
	headroom   = 1.1  // factor on the quantile, since reports lag behind growth
	minCores   = 0.05 // lower bound of the expected cores of a task
	// exactTolerance is the largest relative difference at which usage counts as equal to what the task was given.
	exactTolerance = 0.01
)

// sampleValue returns the value that a report adds to the samples. A task that was given more than its job declares and
// uses exactly that, such as one with a thread for each core, does not need more: without the division by headroom, the
// next task of the class would be given more, use all of that, and so on.
func sampleValue(used, given, declared float64) float64 {
	if given > declared*(1+exactTolerance) && math.Abs(used-given) <= exactTolerance*given {
		return used / headroom
	}
	return used
}

// class holds the reported sizes of a class of jobs.
type class struct {
	cores      []float64
	memory     []float64
	next       int  // index of the sample to replace next
	size       size // learned; valid from minSamples samples on
	newSamples int  // samples since size was computed
}

// add adds the usage from a report about a running task.
func (c *class) add(cores float64, memory cuminstair.Bytes) {
	if len(c.cores) < maxSamples {
		c.cores = append(c.cores, cores)
		c.memory = append(c.memory, float64(memory))
	} else {
		c.cores[c.next], c.memory[c.next] = cores, float64(memory)
		c.next = (c.next + 1) % maxSamples
	}
	if c.newSamples++; c.newSamples >= minSamples {
		c.newSamples = 0
		c.size = size{
			cores: max(minCores, headroom*quantileOf(c.cores)), memory: cuminstair.Bytes(headroom * quantileOf(c.memory)),
		}
	}
}

// quantileOf returns the quantile of the samples.
func quantileOf(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(quantile*float64(len(sorted)-1))]
}

// size returns the expected size of a job: the learned size of its class, or else the declared size.
func (s *Scheduler) size(j *Job) size {
	z := size{cores: max(minCores, j.Cores), memory: j.Memory, accel: j.Accel}
	if c, ok := s.classes[j.Class]; ok && len(c.cores) >= minSamples {
		z.cores, z.memory = c.size.cores, c.size.memory
	}
	return z
}
