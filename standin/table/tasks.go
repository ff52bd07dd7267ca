package table

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"time"

	"cuminstair.org/cuminstair"
)

// States of tasks in usage reports.
const (
	taskRunning = "running"
	taskDone    = "done"
	taskFailed  = "failed"
	taskStopped = "stopped"
	taskSaved   = "saved"
)

const (
	// DefaultRun is the run time of a task whose behaviour is not set.
	DefaultRun = 30 * time.Second
	// failAfter is the run time of a task that fails because of its worker or because of Faults.
	failAfter = time.Second
	// throttledShare is the fraction of its cores that a throttled task keeps.
	throttledShare = 0.1
)

// Worker is a host that runs tasks.
type Worker struct {
	Name   string           `json:"name"`
	Centre string           `json:"centre"`
	Rack   string           `json:"rack"`
	Cores  int              `json:"cores"`
	Memory cuminstair.Bytes `json:"memory"`
	Accel  int              `json:"accel,omitempty"`
}

// Behaviour is the actual behaviour of a task, which may differ from its declaration.
type Behaviour struct {
	Run    time.Duration // run time with all its cores; 0: DefaultRun
	Cores  float64       // cores used; 0: as declared
	Memory cuminstair.Bytes
	Fail   string // if not empty, the task fails with this message at the end of its run
}

type task struct {
	cuminstair.Task
	behaviour Behaviour
	state     string
	remaining time.Duration // run time left at updated, with all its cores
	updated   time.Time     // when remaining was last computed
	share     float64       // fraction of its cores that it may use
	renewed   time.Time     // start or last renewal of its lease
	cancel    func() bool   // cancels the timer for the end of its run
}

// report is a usage report and the time at which it was made. Service.Usage returns it Faults.Usage after that time.
type report struct {
	cuminstair.Usage
	at time.Time
}

// AddWorkers declares workers.
func (s *Service) AddWorkers(workers ...Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.workers == nil {
		s.workers = make(map[string]Worker)
	}
	for _, w := range workers {
		s.workers[w.Name] = w
	}
}

// Workers returns the workers, sorted by name.
func (s *Service) Workers(ctx context.Context) ([]Worker, error) {
	var list []Worker
	err := s.read(ctx, func() error {
		list = sortedValues(s.workers)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("read worker list: %w", err)
	}
	return list, nil
}

// StartTask implements cuminstair.Tasks.
func (s *Service) StartTask(ctx context.Context, t cuminstair.Task) error {
	err := s.write(ctx, func() error { return s.startTask(t) })
	if err != nil {
		return fmt.Errorf("start task %s: %w", t.ID, err)
	}
	return nil
}

func (s *Service) startTask(t cuminstair.Task) error {
	if _, ok := s.workers[t.Worker]; !ok {
		return fmt.Errorf("worker %s: %w", t.Worker, cuminstair.ErrNotFound)
	}
	if s.tasks[t.ID] != nil {
		return nil
	}
	if s.tasks == nil {
		s.tasks = make(map[string]*task)
	}
	now := s.Timer.Now()
	x := &task{Task: t, behaviour: s.behaviour(t), state: taskRunning, updated: now, share: 1, renewed: now}
	x.remaining = orDefault(x.behaviour.Run, DefaultRun)
	s.tasks[t.ID] = x
	s.addReport(x, "")
	s.scheduleEnd(x)
	s.watchLease(x, t.Lease.D())
	s.watchUsage(x)
	return nil
}

// behaviour returns the behaviour of a task with the current faults and the state of its worker applied.
func (s *Service) behaviour(t cuminstair.Task) Behaviour {
	var b Behaviour
	if s.Behave != nil {
		b = s.Behave(t)
	}
	if b.Cores == 0 {
		b.Cores = t.Cores
	}
	if b.Memory == 0 {
		b.Memory = t.Memory
	}
	if slices.Contains(s.faults.Jobs, t.Job) {
		b.Run, b.Fail = failAfter, "the job can't run"
	}
	if slices.Contains(s.faults.Workers, t.Worker) {
		b.Run, b.Fail = failAfter, "the worker fails every task"
	}
	if h := s.hosts[t.Worker]; h != nil {
		if state := h.states[len(h.states)-1].state; state == StateGone || state == StateRebooting {
			b.Run, b.Fail = failAfter, "the worker is "+state
		}
	}
	return b
}

// scheduleEnd sets the timer for the end of the run, given the task's current share of its cores.
func (s *Service) scheduleEnd(x *task) {
	x.cancel = s.Timer.After(time.Duration(float64(x.remaining)/x.share), func(time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if x.behaviour.Fail != "" {
			s.endTask(x, taskFailed, x.behaviour.Fail)
			return
		}
		s.endTask(x, taskDone, "")
	})
}

func (s *Service) endTask(x *task, state, message string) {
	if x.state != taskRunning {
		return
	}
	x.state = state
	x.cancel()
	s.addReport(x, message)
}

// watchLease checks after wait whether the task was renewed within its lease, and stops it if not.
func (s *Service) watchLease(x *task, wait time.Duration) {
	s.Timer.After(wait, func(now time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if x.state != taskRunning {
			return
		}
		if left := x.renewed.Add(x.Lease.D()).Sub(now); left > 0 {
			s.watchLease(x, left)
			return
		}
		s.endTask(x, taskStopped, "the lease expired")
	})
}

// watchUsage reports the usage of the task periodically while it runs.
func (s *Service) watchUsage(x *task) {
	s.Timer.After(orDefault(s.Report, DefaultUsage), func(time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if x.state == taskRunning {
			s.addReport(x, "")
			s.watchUsage(x)
		}
	})
}

func (s *Service) addReport(x *task, message string) {
	now := s.Timer.Now()
	u := cuminstair.Usage{
		Task: x.ID, Worker: x.Worker, Job: x.Job, State: x.state, Memory: x.behaviour.Memory, At: now, Message: message,
	}
	if x.state == taskRunning {
		u.Cores = x.behaviour.Cores * x.share
	}
	s.reports = append(s.reports, report{u, now})
}

// failTasksOf fails the running tasks of a worker that is gone or rebooting.
func (s *Service) failTasksOf(worker string) {
	for _, x := range sortedValues(s.tasks) {
		if x.Worker == worker {
			s.endTask(x, taskFailed, "the worker went away")
		}
	}
}

// ActTasks implements cuminstair.Tasks. It skips unknown tasks and tasks that have ended.
func (s *Service) ActTasks(ctx context.Context, action cuminstair.TaskAction, ids []string) error {
	err := s.write(ctx, func() error {
		for _, id := range ids {
			if x := s.tasks[id]; x != nil && x.state == taskRunning {
				s.applyAction(x, action)
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("%s %d tasks: %w", action, len(ids), err)
	}
	return nil
}

func (s *Service) applyAction(x *task, action cuminstair.TaskAction) {
	switch action {
	case cuminstair.TaskCheckpoint:
		s.endTask(x, taskSaved, "")
	case cuminstair.TaskStop:
		s.endTask(x, taskStopped, "")
	case cuminstair.TaskRenew:
		x.renewed = s.Timer.Now()
	case cuminstair.TaskThrottle:
		s.setShare(x, throttledShare)
	case cuminstair.TaskResume:
		s.setShare(x, 1)
	}
}

// setShare changes the share of its cores that a task may use, and the end of its run accordingly.
func (s *Service) setShare(x *task, share float64) {
	now := s.Timer.Now()
	x.remaining -= time.Duration(float64(now.Sub(x.updated)) * x.share)
	x.updated, x.share = now, share
	x.cancel()
	s.scheduleEnd(x)
	s.addReport(x, "")
}

// Usage implements cuminstair.Tasks.
func (s *Service) Usage(ctx context.Context, since uint64) ([]cuminstair.Usage, uint64, error) {
	var list []cuminstair.Usage
	next := since
	err := s.read(ctx, func() error {
		visible := s.Timer.Now().Add(-s.faults.Usage.D())
		end := sort.Search(len(s.reports), func(i int) bool { return s.reports[i].at.After(visible) })
		if since >= uint64(end) {
			return nil
		}
		for _, r := range s.reports[since:end] {
			list = append(list, r.Usage)
		}
		next = uint64(end)
		return nil
	})
	if err != nil {
		return nil, 0, fmt.Errorf("read usage reports: %w", err)
	}
	return list, next, nil
}
