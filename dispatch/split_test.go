package dispatch

import (
	"encoding/base64"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

// Limits of the platform's store.
const (
	rowBytes         = 64 << 10 // of a value after base64
	keyBytes         = 200
	transactionBytes = 1 << 20
	transactionRows  = 100 // including that of the owner
)

const jobBB = "00000000000000bb"

// splitScene is a service with one job of many tasks, and a store with its records.
type splitScene struct {
	is      *is.I
	now     time.Time
	s       *Service
	j       *job
	store   map[cuminstair.RecordKey][]byte
	batches int
	puts    int // records of the last write
}

func newSplitScene(t testing.TB, steps ...int) *splitScene {
	t.Helper()
	x := &splitScene{is: is.New(t), now: time.UnixMilli(1_700_000_000_000), store: map[cuminstair.RecordKey][]byte{}}
	x.s = New("s", 200, x.now, hclog.NewNullLogger())
	spec := &cuminstair.JobSpec{}
	for _, n := range steps {
		spec.Steps = append(spec.Steps, cuminstair.JobStep{Count: n, Checkpoints: true})
	}
	x.j = newJob("00000000000000aa", spec, cuminstair.WorkQueue{Name: "q", TargetFactor: 2, Attempts: 3})
	x.j.state, x.j.stored, x.j.next = cuminstair.JobRunning, true, 1
	x.j.runs = []*occurrence{x.j.occurrence(0, make([]time.Duration, len(steps)))}
	x.s.jobs[x.j.id] = x.j
	x.s.activate(x.now, x.j)
	x.store[x.s.key(JobTable, x.j.id)] = x.j.jobValue()
	return x
}

func (x *splitScene) task(step, i int) *task { return x.j.runs[0].steps[step].tasks[i] }

// fill gives each task a checkpoint, and some of them failed runs and crashes.
func (x *splitScene) fill() {
	for _, st := range x.j.runs[0].steps {
		for i, t := range st.tasks {
			t.checkpoint = fmt.Sprintf("%016x", i)
			if i%3 == 0 {
				t.failed = []int64{int64(200*runsPerToken + i), int64(300*runsPerToken + i)}
			}
			if i%7 == 0 {
				t.crashes = []crash{{Run: int64(i), Worker: "i-0123456789", Confirmed: true, Started: true, Late: true}}
			}
		}
	}
}

// batch returns the next batch after checking that the store would accept it.
func (x *splitScene) batch() *Batch {
	x.now = x.now.Add(time.Second)
	b := x.s.Batch(x.now)
	if b == nil {
		return nil
	}
	size := 0
	for _, put := range b.Puts {
		n := base64.StdEncoding.EncodedLen(len(put.Value))
		x.is.True(n <= rowBytes)
		x.is.True(len(put.Key) <= keyBytes)
		size += n + len(put.Table) + len(put.Part) + len(put.Key)
	}
	x.is.True(size <= transactionBytes)
	x.is.True(b.entries() < transactionRows)
	x.batches++
	return b
}

// write writes batches until nothing is left to write.
func (x *splitScene) write() {
	x.puts = 0
	for len(x.s.dirty) > 0 {
		b := x.batch()
		x.apply(b)
		x.puts += len(b.Puts)
		x.s.Stored(x.now, b)
	}
}

// apply changes the store as a batch says.
func (x *splitScene) apply(b *Batch) {
	for _, put := range b.Puts {
		x.store[put.RecordKey] = put.Value
	}
	for _, key := range b.Deletes {
		delete(x.store, key)
	}
}

// nextOwner returns the state of a new owner.
func (x *splitScene) nextOwner() *Service {
	next := New("s", 300, x.now, hclog.NewNullLogger())
	records := map[string][]cuminstair.Record{}
	for key, value := range x.store {
		records[key.Table] = append(records[key.Table], cuminstair.Record{RecordKey: key, Value: value})
	}
	next.Recover(x.now, records[JobTable], records[RunTable], records[WorkerTable])
	return next
}

// recover returns the job as the next owner reads it.
func (x *splitScene) recover() *job {
	next := x.nextOwner()
	x.is.Equal(len(next.jobs), 1)
	return next.jobs[x.j.id]
}

// checkRecovered checks that the next owner knows what this one has written.
func (x *splitScene) checkRecovered() {
	j := x.recover()
	x.is.Equal(len(j.runs), len(x.j.runs))
	for i, st := range x.j.runs[0].steps {
		again := j.runs[0].steps[i]
		x.is.Equal(again.tasksLeft, st.tasksLeft)
		for n, t := range st.tasks {
			u := again.tasks[n]
			x.is.Equal(u.done, t.done)
			if !t.done {
				x.is.Equal(u.checkpoint, t.checkpoint)
				x.is.Equal(u.failed, t.failed)
				x.is.Equal(len(u.crashes), len(t.crashes))
			}
		}
	}
}

// Guards against a record of a large job that exceeds a row of the store: the store refuses it, with every write of the
// service.
func TestProgressOfALargeJobFitsTheStore(t *testing.T) {
	x := newSplitScene(t, 4096, 4096)
	x.fill()
	x.s.markDirty(x.j)
	x.write()
	x.checkRecovered()

	x.s.taskDone(x.now, x.task(1, 70), nil)
	x.task(0, 9).failed = append(x.task(0, 9).failed, 1<<40)
	x.write()
	x.is.True(x.puts <= 4) // only what has changed
	x.checkRecovered()

	x.s.finish(x.now, x.j, cuminstair.JobCancelled, "test")
	x.write()
	x.is.Equal(len(x.store), 2) // the job and its final state
	x.is.Equal(x.recover().state, cuminstair.JobCancelled)
}

// Guards against progress that is lost if a batch was not stored, or an owner ends between two batches of a job.
func TestSplitProgressIsCompletedLater(t *testing.T) {
	x := newSplitScene(t, 4096, 4096)
	x.fill()
	x.s.markDirty(x.j)
	b := x.batch()
	x.is.True(len(x.s.dirty) > 0) // the first batch has no room for all
	x.s.NotStored(b)
	x.write()
	x.checkRecovered()

	x.s.finish(x.now, x.j, cuminstair.JobCancelled, "test")
	b = x.batch()
	x.apply(b)
	x.is.True(len(x.s.dirty) > 0)
	j := x.recover()
	x.is.True(j.dirty) // the next owner deletes the rest
	x.is.True(len(j.parts) > 0)
}

// Guards against many open occurrences, or long checkpoints, that make a record exceed a row.
func TestOccurrencesAndCheckpointsFitTheStore(t *testing.T) {
	x := newSplitScene(t, 1)
	for k := range 8000 {
		x.j.runs = append(x.j.runs, x.j.occurrence(k+1, make([]time.Duration, 1)))
	}
	x.j.next = len(x.j.runs)
	x.s.markDirty(x.j)
	x.write()
	x.is.Equal(len(x.recover().runs), len(x.j.runs))

	x = newSplitScene(t, 1000)
	for i := range 1000 {
		x.task(0, i).checkpoint = strings.Repeat("c", i*10)
	}
	x.s.markDirty(x.j)
	x.write()
	j := x.recover()
	x.is.Equal(j.runs[0].steps[0].tasks[20].checkpoint, strings.Repeat("c", 200))
	x.is.Equal(j.runs[0].steps[0].tasks[999].checkpoint, "")
}

// Guards against a job that is accepted although its record exceeds a row, so that it could never be stored.
func TestJobThatCanNotBeStoredIsRefused(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := New("s", 200, now, hclog.NewNullLogger())
	spec := &cuminstair.JobSpec{Payload: strings.Repeat("p", rowBytes), Steps: []cuminstair.JobStep{{Count: 1}}}
	var got Result
	s.Submit(now, "00000000000000aa", spec, cuminstair.WorkQueue{Name: "q", TargetFactor: 2}, "", func(r Result) { got = r })
	is.Equal(got.Outcome, Impossible)
	is.True(strings.Contains(got.Why, "at most 49152"))
	is.Equal(len(s.dirty), 0)
}

// BenchmarkProgressOfALargeJob writes the progress of a job of 8,192 tasks with checkpoints after the end of one of them. It
// reports the size of the progress as one record, and the bytes and records of a write.
func BenchmarkProgressOfALargeJob(b *testing.B) {
	x := newSplitScene(b, 4096, 4096)
	x.fill()
	x.s.markDirty(x.j)
	x.write()
	first := x.batches
	rows, size, n := 0, 0, 0
	for b.Loop() {
		t := x.task(n%2, n/2%4096)
		t.failed = append(t.failed[:0:0], int64(n))
		n++
		x.s.markDirty(x.j)
		batch := x.batch()
		for _, put := range batch.Puts {
			size += len(put.Value)
		}
		rows += len(batch.Puts)
		x.s.Stored(x.now, batch)
	}
	b.ReportMetric(float64(len(encodeRun(x.j.runRecord()))), "bytes/undivided")
	b.ReportMetric(float64(first), "writes/first")
	b.ReportMetric(float64(size)/float64(n), "bytes/write")
	b.ReportMetric(float64(rows)/float64(n), "records/write")
}

// Guards against a transaction that exceeds the store's limit since a large job is added to a batch that is nearly full.
func TestLargeJobWaitsForAnEmptyBatch(t *testing.T) {
	x := newSplitScene(t, 1)
	for k := range 8000 {
		x.j.runs = append(x.j.runs, x.j.occurrence(k+1, make([]time.Duration, 1)))
	}
	b := x.s.newBatch(x.now)
	x.is.Equal(x.s.add(b, unit{puts: []cuminstair.RecordPut{x.s.put(JobTable, jobBB, make([]byte, batchBytes))}}), unitAdded)
	x.is.True(!x.s.putJob(b, x.j))
	x.is.Equal(b.entries(), 1)
	x.is.True(x.s.putJob(x.s.newBatch(x.now), x.j))
}
