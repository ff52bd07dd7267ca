package dispatch

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
)

// Tables of a service. All records of a service have its name as their part key.
const (
	// JobTable has one record per job, written once.
	JobTable = "job"
	// RunTable has a record per job with its progress, and further ones for large jobs.
	RunTable = "run"
	// WorkerTable has the workers that may run tasks of the service, and other state that is not of one job.
	WorkerTable = "worker"
	workersKey  = "worker"
)

// jobRecord is the value of a record of JobTable.
type jobRecord struct {
	Queue cuminstair.WorkQueue `json:"queue"`
	Spec  *cuminstair.JobSpec  `json:"job"`
	Sent  int64                `json:"sent"`            // milliseconds since 1970
	Token int64                `json:"token,omitempty"` // of the owner that accepted the job
	// Account is the name of the client account that submitted the job; empty: none.
	Account string `json:"account,omitempty"`
}

// runRecord is the value of a record of RunTable.
type runRecord struct {
	State cuminstair.JobState `json:"state"`
	Ended int64               `json:"ended,omitempty"` // milliseconds since 1970
	Next  int                 `json:"next,omitempty"`  // next occurrence to create; earlier ones are done unless in Runs
	Runs  []occRecord         `json:"runs,omitempty"`  // occurrences that have begun and are not done
}

// occRecord is the progress of one occurrence.
type occRecord struct {
	Number int          `json:"k,omitempty"`
	Done   []string     `json:"done"` // by step: a bitmap of tasks in hex, or "*" if all are done
	Tasks  []taskRecord `json:"tasks,omitempty"`
	Gangs  []gangRecord `json:"gangs,omitempty"`
}

// gangRecord is the checkpoint of a gang that is not done.
type gangRecord struct {
	Step int `json:"s"`
	gangCheckpoint
}

// taskRecord is the stored state of a task that is not done.
type taskRecord struct {
	Step       int     `json:"s"`
	Index      int     `json:"i"`
	Failed     []int64 `json:"f,omitempty"` // latest failed runs
	Earlier    int     `json:"n,omitempty"` // number of other failed runs
	Checkpoint string  `json:"c,omitempty"`
	Crashes    []crash `json:"x,omitempty"` // runs whose workers crashed, or may have crashed
}

const allTasksDone = "*"

func (j *job) jobValue() []byte {
	// Encoding these types never fails.
	data, _ := json.Marshal(jobRecord{Queue: j.queue, Spec: j.spec, Sent: j.firstSent.UnixMilli(), Token: j.token, Account: j.account})
	return data
}

func (j *job) runRecord() runRecord {
	r := runRecord{State: j.state, Next: j.next}
	if j.finished() {
		r.Ended = j.finishedAt.UnixMilli()
		return r
	}
	for _, o := range j.runs {
		r.Runs = append(r.Runs, o.record())
	}
	return r
}

func (o *occurrence) record() occRecord {
	r := occRecord{Number: o.number}
	for _, s := range o.steps {
		if s.tasksLeft == 0 {
			r.Done = append(r.Done, allTasksDone)
			continue
		}
		if savedCheckpoint(s.saved.Value) != "" {
			r.Gangs = append(r.Gangs, gangRecord{Step: s.index, gangCheckpoint: s.saved})
		}
		bits := make([]byte, (len(s.tasks)+7)/8)
		any := false
		for i, t := range s.tasks {
			if t.done {
				bits[i/8] |= 1 << (i % 8)
				any = true
			} else if checkpoint := savedCheckpoint(t.checkpoint); len(t.failed) > 0 || checkpoint != "" || len(t.crashes) > 0 {
				r.Tasks = append(r.Tasks, taskRecord{Step: s.index, Index: i, Failed: t.failed, Earlier: t.earlierFailures, Checkpoint: checkpoint, Crashes: t.crashes})
			}
		}
		text := ""
		if any {
			text = hex.EncodeToString(bits)
		}
		r.Done = append(r.Done, text)
	}
	return r
}

// restore rebuilds a job from its records. run is nil if the progress was never written, and parts are the further records of
// a large job; tailOf returns the result of pathsAfter for the job.
func restore(id string, data, run []byte, parts []cuminstair.Record, tailOf func(*job) []time.Duration) (*job, error) {
	var jr jobRecord
	if err := json.Unmarshal(data, &jr); err != nil {
		return nil, fmt.Errorf("decode job %s: %w", id, err)
	}
	if jr.Spec == nil {
		return nil, fmt.Errorf("job %s without steps: %w", id, cuminstair.ErrMalformed)
	}
	if err := jr.Spec.Validate(); err != nil {
		return nil, fmt.Errorf("job %s: %w", id, err)
	}
	j := newJob(id, jr.Spec, jr.Queue)
	j.account = jr.Account
	j.firstSent, j.token, j.stored, j.inherited = time.UnixMilli(jr.Sent), jr.Token, true, true
	var rr runRecord
	if run != nil {
		if err := json.Unmarshal(run, &rr); err != nil {
			return nil, fmt.Errorf("decode progress of %s: %w", id, err)
		}
		j.state, j.finishedAt, j.next = rr.State, time.UnixMilli(rr.Ended), rr.Next
	}
	j.storedState = j.state
	if err := j.mergeParts(&rr, parts); err != nil {
		return nil, err
	}
	if j.finished() {
		return j, nil
	}
	tail := tailOf(j)
	for _, r := range rr.Runs {
		o := j.occurrence(r.Number, tail)
		if err := o.restore(r); err != nil {
			return nil, fmt.Errorf("job %s: %w", id, err)
		}
		j.runs = append(j.runs, o)
	}
	return j, nil
}

func (o *occurrence) restore(r occRecord) error {
	for i, text := range r.Done {
		if i >= len(o.steps) {
			break
		}
		s := o.steps[i]
		bits, err := hex.DecodeString(text)
		if text != allTasksDone && err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		for n, t := range s.tasks {
			if text == allTasksDone || (n/8 < len(bits) && bits[n/8]&(1<<(n%8)) != 0) {
				t.done = true
				s.tasksLeft--
				s.started = true
			}
		}
		if s.tasksLeft == 0 {
			o.openSteps--
		}
	}
	for _, g := range r.Gangs {
		if g.Step >= 0 && g.Step < len(o.steps) {
			o.steps[g.Step].saved = g.gangCheckpoint
		}
	}
	for _, t := range r.Tasks {
		if t.Step < 0 || t.Step >= len(o.steps) || t.Index < 0 || t.Index >= len(o.steps[t.Step].tasks) {
			continue
		}
		x := o.steps[t.Step].tasks[t.Index]
		x.step.started = true
		x.failed, x.earlierFailures, x.crashes = t.Failed, t.Earlier, t.Crashes
		x.savedBy(0, 0, t.Checkpoint)
		for _, c := range t.Crashes {
			x.run = max(x.run, c.Run)
		}
		for _, run := range t.Failed {
			x.run = max(x.run, run)
		}
	}
	return nil
}

// RecordAccount returns the client account of a job from its record in JobTable.
func RecordAccount(value []byte) (string, error) {
	var r jobRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return "", fmt.Errorf("decode job: %w", err)
	}
	return r.Account, nil
}

// RecordState returns the state of a job from its record in RunTable.
func RecordState(value []byte) (cuminstair.JobState, error) {
	var r runRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return cuminstair.JobUnknown, fmt.Errorf("decode progress: %w", err)
	}
	return max(r.State, cuminstair.JobQueued), nil
}
