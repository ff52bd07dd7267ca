package dispatch

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

// readRecords reads the records in a file, by table.
func readRecords(t *testing.T, name string) map[string][]cuminstair.Record {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	var rows []struct {
		Table, Key string
		Value      json.RawMessage
	}
	if err := json.Unmarshal(data, &rows); err != nil {
		t.Fatal(err)
	}
	records := map[string][]cuminstair.Record{}
	for _, r := range rows {
		key := cuminstair.RecordKey{Table: r.Table, Part: "s", Key: r.Key}
		records[r.Table] = append(records[r.Table], cuminstair.Record{RecordKey: key, Value: r.Value, Version: 1})
	}
	return records
}

// Guards against renamed fields that change what is stored: the records in the file were written by the code of commit
// 645f00a.
func TestRecordsOfEarlierVersionsAreRead(t *testing.T) {
	is := is.New(t)
	records := readRecords(t, "testdata/records-645f00a.json")
	now := time.UnixMilli(1_700_000_003_400)
	s := New("s", 200, now, hclog.NewNullLogger())
	s.Recover(now, records[JobTable], records[RunTable], records[WorkerTable])
	is.Equal(len(s.jobs), 4)
	is.Equal(len(s.workers), 4)
	is.True(s.maxCores > 0)

	steps := s.jobs["00000000000000aa"]
	is.Equal(steps.queue.TargetFactor, 2.0)
	is.Equal(steps.queue.Target, 600*time.Millisecond)
	is.Equal(steps.queue.Attempts, 3)
	is.Equal(steps.spec.Steps[1].After, []int{0})
	is.Equal(steps.spec.Steps[1].DataRack, "1")
	is.Equal(steps.spec.Steps[1].PerWorker, 1)
	is.Equal(steps.state, cuminstair.JobRunning)
	first := steps.runs[0].steps[0]
	is.Equal(first.tasksLeft, 1)
	is.Equal(len(first.tasks[1].failed), 2)

	is.Equal(s.jobs["00000000000000bb"].state, cuminstair.JobCompleted)
	is.True(s.jobs["00000000000000cc"].longRunning())
	is.Equal(s.jobs["00000000000000dd"].state, cuminstair.JobCompleted)
}

// Guards against records that a daemon of an earlier version beside this one can't read.
func TestRecordsCanBeReadByEarlierVersions(t *testing.T) {
	is := is.New(t)
	j := newJob("00000000000000aa", &cuminstair.JobSpec{Steps: []cuminstair.JobStep{{Count: 1}}}, cuminstair.WorkQueue{TargetFactor: 2})
	var record struct {
		Queue struct{ Stretch float64 }
	}
	is.NoErr(json.Unmarshal(j.jobValue(), &record))
	is.Equal(record.Queue.Stretch, 2.0)
	again, err := restore(j.id, j.jobValue(), nil, nil, func(*job) []time.Duration { return make([]time.Duration, 1) })
	is.NoErr(err)
	is.Equal(again.queue.TargetFactor, 2.0)
}

// Guards against a record of workers that the store refuses for its size, with every write of the service, and against
// workers of which the next owner does not know.
func TestManyWorkersAreRecorded(t *testing.T) {
	const maxValue = 64 << 10
	is := is.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := New("s", 200, now, hclog.NewNullLogger())
	var list []cuminstair.WorkerInfo
	for i := range 1300 {
		list = append(list, cuminstair.WorkerInfo{
			ID: fmt.Sprintf("i-%010x", i), Addr: "10.200.100.100:12345", Incarnation: now.UnixMilli(), Host: fmt.Sprintf("host-%010x", i), CPU: 1000,
		})
	}
	stored := map[cuminstair.RecordKey][]byte{}
	write := func(list []cuminstair.WorkerInfo) {
		now = now.Add(time.Second)
		s.SetWorkers(now, list)
		b := s.Batch(now)
		for _, put := range b.Puts {
			is.True(len(put.Value) <= maxValue)
			stored[put.RecordKey] = put.Value
		}
		for _, key := range b.Deletes {
			delete(stored, key)
		}
		s.Stored(now, b)
	}
	for _, n := range []int{1300, 500, 0, 900} {
		write(list[:n])
		next := New("s", 300, now, hclog.NewNullLogger())
		var records []cuminstair.Record
		for key, value := range stored {
			records = append(records, cuminstair.Record{RecordKey: key, Value: value})
		}
		next.Recover(now, nil, nil, records)
		is.Equal(len(next.inherited), n)
	}
}
