package job

import (
	"math"
	"math/bits"
	"time"

	"cuminstair.org/cuminstair"
)

// slots is the number of buckets of an index. Bucket n holds the workers with n to n+1 cores to give; the last one
// holds those with more.
const slots = 512

// Bounds on how many workers are looked at for memory and accelerators.
const (
	probes    = 8  // in one bucket
	allProbes = 64 // in one search
)

// worker is a worker with what runs on it.
type worker struct {
	Worker
	free     size // cores may be negative when tasks take more than they were given
	archive  size // what throttling or checkpointing archive tasks would free, at most
	tasks    map[string]*task
	fails    map[string]bool // good jobs that failed on it
	failed   map[*entry]bool // all jobs that failed on it
	row      int             // failures in a row
	failedAt time.Time       // of the last one in the row
	until    time.Time       // takes no new job before
	out      bool            // quarantined, or not in service
	suspect  bool
	lost     bool         // cut off or dead: its leases run out
	place    [indexes]int // bucket in each index, -1 when it is not in it
	at       [indexes]int // position in it
}

// Indexes of workers.
const (
	byFree    = iota // by free cores
	byReclaim        // by free cores and those of archive tasks
	byShare          // by free cores or free memory, whichever is the smaller share of a worker
	indexes
)

// nowhere is the place of a worker that is in no index.
var nowhere = [indexes]int{-1, -1, -1}

// index finds workers by the cores that they can give.
type index struct {
	buckets [slots][]*worker
	used    [slots / 64]uint64 // bit set of buckets that are not empty
}

func bucket(cores float64) int { return max(0, min(slots-1, int(math.Floor(cores)))) }

func (x *index) add(w *worker, kind, b int) {
	w.place[kind], w.at[kind] = b, len(x.buckets[b])
	x.buckets[b] = append(x.buckets[b], w)
	x.used[b/64] |= 1 << (b % 64)
}

func (x *index) remove(w *worker, kind int) {
	b, i := w.place[kind], w.at[kind]
	last := len(x.buckets[b]) - 1
	moved := x.buckets[b][last]
	x.buckets[b][i], moved.at[kind] = moved, i
	x.buckets[b][last] = nil
	x.buckets[b] = x.buckets[b][:last]
	if last == 0 {
		x.used[b/64] &^= 1 << (b % 64)
	}
	w.place[kind] = -1
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

// workers is all workers of the data centre.
type workers struct {
	all    map[string]*worker
	index  [indexes]index
	ratio  float64 // bytes of memory for a core, of the first worker
	most   size    // the largest worker in each respect
	outs   int     // quarantined by the scheduler
	probed int     // workers looked at, for tests of the cost
}

// reindex puts a worker where its free size belongs.
func (ws *workers) reindex(w *worker) {
	for kind := range indexes {
		b := bucket(ws.key(w, kind))
		switch {
		case w.out && w.place[kind] >= 0:
			ws.index[kind].remove(w, kind)
		case w.out || w.place[kind] == b:
		default:
			if w.place[kind] >= 0 {
				ws.index[kind].remove(w, kind)
			}
			ws.index[kind].add(w, kind, b)
		}
	}
}

// key returns what a worker is indexed by.
func (ws *workers) key(w *worker, kind int) float64 {
	switch kind {
	case byReclaim:
		return w.free.cores + w.archive.cores
	case byShare:
		return min(w.free.cores, float64(w.free.memory)/ws.ratio)
	default:
		return w.free.cores
	}
}

// fit returns a worker with room for a task of size z, or nil. The first search sees only workers that have enough of
// both cores and memory, the second, which is bounded, also those with little of one of them.
func (ws *workers) fit(z size, ok func(w *worker) bool) *worker {
	most := size{cores: max(z.cores, float64(z.memory)/ws.ratio)}
	if w := ws.find(byShare, most, ok); w != nil {
		return w
	}
	return ws.find(byFree, z, ok)
}

// find returns the worker with the least room that takes a task of size z, or nil. ok decides about one worker.
func (ws *workers) find(kind int, z size, ok func(w *worker) bool) *worker {
	x := &ws.index[kind]
	left := allProbes
	for b := x.next(bucket(z.cores)); b >= 0 && left > 0; b = x.next(b + 1) {
		list := x.buckets[b]
		for i := range min(probes, len(list)) {
			ws.probed++
			left--
			if ok(list[i]) {
				return list[i]
			}
		}
		if len(list) > probes {
			// The others get their turn next time.
			x.rotate(b, kind)
		}
		if b+1 >= slots {
			break
		}
	}
	return nil
}

// rotate moves the workers that were looked at to the end of their bucket.
func (x *index) rotate(b, kind int) {
	list := x.buckets[b]
	for i := range min(probes, len(list)/2) {
		j := len(list) - 1 - i
		list[i], list[j] = list[j], list[i]
		list[i].at[kind], list[j].at[kind] = i, j
	}
}

func (z size) fits(free size) bool {
	return z.cores <= free.cores && z.memory <= free.memory && z.accel <= free.accel
}

func (z size) plus(o size, n float64) size {
	return size{z.cores + n*o.cores, z.memory + cuminstair.Bytes(n)*o.memory, z.accel + int(n)*o.accel}
}

// Probed returns the number of workers that placement has looked at.
func (s *Scheduler) Probed() int { return s.workers.probed }
