package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

// Guards against a record that takes down each daemon that takes its service over.
func TestMalformedJobRecordIsSkipped(t *testing.T) {
	for name, steps := range map[string]string{
		"no steps":            `[]`,
		"unknown predecessor": `[{"n":1,"after":[7]}]`,
		"own predecessor":     `[{"n":1},{"n":1,"after":[1]}]`,
		"negative count":      `[{"n":-1}]`,
		"huge count":          `[{"n":2000000000}]`,
		"negative resources":  `[{"n":1,"cpu":-5}]`,
		"huge resources":      `[{"n":1,"mem":9000000000000000000}]`,
		"negative estimate":   `[{"n":1,"est":-1}]`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.UnixMilli(1_700_000_000_000)
			s := New("s", 200, now, hclog.NewNullLogger())
			good := record("00000000000000aa", `[{"n":1,"cpu":1000}]`)
			s.Recover(now, []cuminstair.Record{record("00000000000000bb", steps), good}, nil, nil)
			s.Decide(now, now)
			is.Equal(len(s.jobs), 1)
		})
	}
}

// record returns the record of a job with the given steps.
func record(id, steps string) cuminstair.Record {
	key := cuminstair.RecordKey{Table: JobTable, Part: "s", Key: id}
	return cuminstair.Record{RecordKey: key, Value: fmt.Appendf(nil, `{"queue":{"Name":"q"},"job":{"steps":%s},"sent":1700000000000}`, steps)}
}

// Guards against a repeated job whose occurrences are all due at once: creating them all would use up the memory.
func TestDueOccurrencesAreCreatedInParts(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := New("s", 200, now, hclog.NewNullLogger())
	spec := &cuminstair.JobSpec{Steps: []cuminstair.JobStep{{Count: 100, CPU: 10}}, Repeats: 2000, Interval: time.Millisecond}
	s.Submit(now, "00000000000000aa", spec, cuminstair.WorkQueue{Name: "q"}, "", func(Result) {})
	s.Stored(now, s.Batch(now))
	s.Decide(now, now)
	j := s.jobs["00000000000000aa"]
	is.True(len(j.runs) > 1)
	is.True(len(j.runs)*100 <= 2*maxOpenTasks)
	next := j.next
	for _, st := range append([]*occurrence(nil), j.runs...) {
		for _, x := range st.steps[0].tasks {
			s.taskDone(now, x, nil)
		}
	}
	s.Decide(now, now)
	is.True(j.next > next) // the next ones follow
}
