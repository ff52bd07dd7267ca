package job

import (
	"math"
	"math/bits"
	"time"

	"cuminstair.org/cuminstair"
)

// bucketCount is the number of buckets of an index. Bucket n holds the workers whose key (see workers.key) is from n to
// n+1 cores; the first bucket also holds workers with a smaller key, and the last one those with a larger key.
const bucketCount = 512

// Limits on the number of workers that a search examines for memory and accelerators.
const (
	bucketProbes = 8  // in one bucket
	searchProbes = 64 // in one search
)

// worker is a worker and its scheduling state.
type worker struct {
	Worker
	free               size // cores may be negative when tasks use more than they were given
	archive            size // upper bound of what throttling or checkpointing archive tasks can free
	tasks              map[string]*task
	ranLongerElsewhere map[string]bool    // jobs that failed on it and later ran longer on another worker
	failedJobs         map[*jobEntry]bool // jobs that failed on it
	failuresInRow      int                // consecutive failures
	lastFailure        time.Time          // time of the last counted failure
	backoffUntil       time.Time          // gets no new job before this time
	unavailable        bool               // quarantined, cordoned or lost: gets no new jobs
	quarantined        bool               // by this scheduler
	lost               bool               // unreachable or dead: leases on it are not renewed
	bucket             [indexCount]int    // its bucket in each index, or -1 if it is not in the index
	position           [indexCount]int    // its position in that bucket
}

// Indexes of workers.
const (
	byFree    = iota // by free cores
	byReclaim        // by free cores plus those of archive tasks
	byShare          // by free cores, or free memory converted to cores if that is less
	indexCount
)

// notIndexed is the value of worker.bucket for a worker that is in no index.
var notIndexed = [indexCount]int{-1, -1, -1}

// index finds workers by the cores that are free or can be freed.
type index struct {
	buckets [bucketCount][]*worker
	used    [bucketCount / 64]uint64 // bit set of buckets that are not empty
}

func bucket(cores float64) int { return max(0, min(bucketCount-1, int(math.Floor(cores)))) }

func (x *index) add(w *worker, kind, b int) {
	w.bucket[kind], w.position[kind] = b, len(x.buckets[b])
	x.buckets[b] = append(x.buckets[b], w)
	x.used[b/64] |= 1 << (b % 64)
}

func (x *index) remove(w *worker, kind int) {
	b, i := w.bucket[kind], w.position[kind]
	last := len(x.buckets[b]) - 1
	moved := x.buckets[b][last]
	x.buckets[b][i], moved.position[kind] = moved, i
	x.buckets[b][last] = nil
	x.buckets[b] = x.buckets[b][:last]
	if last == 0 {
		x.used[b/64] &^= 1 << (b % 64)
	}
	w.bucket[kind] = -1
}

// next returns the first bucket from b on that is not empty, or -1.
func (x *index) next(b int) int {
	for word := b / 64; word < len(x.used); word++ {
		set := x.used[word]
		if word == b/64 {
			set &= ^uint64(0) << (b % 64)
		}
		if set != 0 {
			return word*64 + bits.TrailingZeros64(set)
		}
	}
	return -1
}

// workers holds all workers of the data centre.
type workers struct {
	all             map[string]*worker
	index           [indexCount]index
	memoryPerCore   float64 // bytes of memory per core, of the first worker
	largest         size    // maximum of each resource over all workers
	quarantineCount int     // number of workers quarantined by the scheduler
	probed          int     // workers examined, for tests of the cost
}

// reindex moves a worker to the buckets that match its free size, or out of the indexes if it is unavailable.
func (ws *workers) reindex(w *worker) {
	for kind := range indexCount {
		b := bucket(ws.key(w, kind))
		switch {
		case w.unavailable && w.bucket[kind] >= 0:
			ws.index[kind].remove(w, kind)
		case w.unavailable || w.bucket[kind] == b:
		default:
			if w.bucket[kind] >= 0 {
				ws.index[kind].remove(w, kind)
			}
			ws.index[kind].add(w, kind, b)
		}
	}
}

// key returns the cores that a worker is indexed by.
func (ws *workers) key(w *worker, kind int) float64 {
	switch kind {
	case byReclaim:
		return w.free.cores + w.archive.cores
	case byShare:
		return min(w.free.cores, float64(w.free.memory)/ws.memoryPerCore)
	default:
		return w.free.cores
	}
}

// fit returns a worker that has room for a task of size z, or nil. The first search covers only workers that have both
// cores and memory for the larger of the two demands; the second, by cores alone, also covers workers that have little
// left of one of them.
func (ws *workers) fit(z size, ok func(w *worker) bool) *worker {
	both := size{cores: max(z.cores, float64(z.memory)/ws.memoryPerCore)}
	if w := ws.find(byShare, both, ok); w != nil {
		return w
	}
	return ws.find(byFree, z, ok)
}

// find returns a worker that ok accepts for a task of size z, preferably one with little room, or nil. It examines a
// limited number of workers, in ascending order of buckets.
func (ws *workers) find(kind int, z size, ok func(w *worker) bool) *worker {
	x := &ws.index[kind]
	left := searchProbes
	for b := x.next(bucket(z.cores)); b >= 0 && left > 0; b = x.next(b + 1) {
		list := x.buckets[b]
		for i := range min(bucketProbes, len(list)) {
			ws.probed++
			left--
			if ok(list[i]) {
				return list[i]
			}
		}
		if len(list) > bucketProbes {
			// The next search examines other workers of the bucket.
			x.rotate(b, kind)
		}
		if b+1 >= bucketCount {
			break
		}
	}
	return nil
}

// rotate moves the examined workers to the end of their bucket.
func (x *index) rotate(b, kind int) {
	list := x.buckets[b]
	for i := range min(bucketProbes, len(list)/2) {
		j := len(list) - 1 - i
		list[i], list[j] = list[j], list[i]
		list[i].position[kind], list[j].position[kind] = i, j
	}
}

func (z size) fits(free size) bool {
	return z.cores <= free.cores && z.memory <= free.memory && z.accel <= free.accel
}

func (z size) plus(o size, n float64) size {
	return size{z.cores + n*o.cores, z.memory + cuminstair.Bytes(n)*o.memory, z.accel + int(n)*o.accel}
}

// Probed returns the number of workers that searches have examined.
func (s *Scheduler) Probed() int { return s.workers.probed }
