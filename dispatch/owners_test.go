package dispatch_test

import (
	"strings"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// workerRecord returns the stored record of workers, from which the next owner learns whom to ask.
func (p *pool) workerRecord() string {
	for key, value := range p.store {
		if key.Table == dispatch.WorkerTable {
			return string(value)
		}
	}
	return ""
}

// restart starts a worker again under its id.
func (w *fakeWorker) restart(now time.Time) {
	w.runs, w.barred, w.ended = map[cuminstair.TaskID]*fakeRun{}, map[cuminstair.TaskID]int64{}, nil
	w.seq, w.token, w.lease, w.startedAt = 0, 0, 0, now
	w.info.Incarnation = now.UnixMilli()
}

// Guards against a worker that runs tasks without being in the stored record of workers, since it was taken for gone when
// that was written: the next owner would not ask it and would start its tasks again.
func TestReturnedWorkerIsRecordedBeforeItRuns(t *testing.T) {
	p := newPool(t, 1)
	p.run(200 * time.Millisecond)
	a := p.workers[0]
	a.replaced = true
	p.submit(jobA, step(1, 2000))
	p.run(200 * time.Millisecond)
	p.addWorker("b", 1)
	p.s.SetWorkers(p.now, p.list)
	p.run(300 * time.Millisecond)
	p.is.True(!strings.Contains(p.workerRecord(), `"id":"a"`))

	a.restart(p.now)
	a.replaced = false
	p.list[0] = a.info
	p.s.SetWorkers(p.now, p.list)
	p.submit(jobB, step(8, 8000)) // needs both workers
	for end := p.now.Add(2 * time.Second); len(a.runs) == 0 && p.now.Before(end); {
		p.run(tick)
	}
	p.is.True(len(a.runs) > 0)
	p.is.True(strings.Contains(p.workerRecord(), `"id":"a"`))
}
