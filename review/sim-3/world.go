package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1500 * time.Millisecond

// stepState is a step of a job as the client sent it, and what its tasks do.
type stepState struct {
	count       int
	cpu, mem    int
	after       []int
	gang        bool
	label       string
	perMinion   int
	duplicates  bool
	long        bool
	checkpoints bool
	estimate    time.Duration
	length      time.Duration // run time; 0: until it is stopped
	failsAt     func(t *taskState, worked time.Duration) bool
}

type placed struct {
	n *minion
	r *runState
}

// taskState is what is known of a task.
type taskState struct {
	name       string
	job        *jobState
	step       *stepState
	stepIndex  int
	occurrence int
	index      int
	runs       []placed // at work now
	starts     []time.Time
	done       bool      // an end "done" has been taken note of
	doneAt     time.Time // first end "done", noted or not
	ends       []*endRow
	failed     int // ends "failed" that were taken note of
	crashes    int // minions that crashed under it
	late       int // starts after three crashes
}

func (t *taskState) length(int64) time.Duration { return t.step.length }

// jobState is a job that a client has sent.
type jobState struct {
	id          string
	queue       *queue
	spec        string
	steps       []*stepState
	repetitions int
	interval    time.Duration
	first       time.Time
	tasks       map[string]*taskState
	accepted    bool
	rejected    int
	cancelled   time.Time // when the cancelling was acknowledged
	deadly      string    // name of the task that crashes its minions
	sentAt      time.Time
	acceptedAt  time.Time
	lastState   string
}

type queue struct {
	Name    string  `json:"name"`
	Host    string  `json:"host"`
	Prefix  string  `json:"path_prefix"`
	Service string  `json:"service"`
	Kind    string  `json:"kind"`
	Timeout int     `json:"timeout_ms"`
	Target  int     `json:"target_latency_ms"`
	Stretch float64 `json:"stretch"`
	Prio    int     `json:"priority"`
	Attempt int     `json:"max_attempts"`
}

// world is the platform with its store, machines and minions, and what they have seen.
type world struct {
	mu       sync.Mutex
	store    *store
	machines []*machine
	minions  int
	jobs     map[string]*jobState
	broken   []string
	record   *os.File
	begun    time.Time
	maxHold  time.Duration
	stopTime time.Duration

	gangTimeout     time.Duration
	checkpointEvery time.Duration
	gangs           map[string]map[string]bool // by gang and run: members that are there
	crashDelay      time.Duration              // from the start of a deadly task to the crash; negative: before the answer
	backAfter       time.Duration              // until a crashed minion is back
	quietStarts     bool
	cancelMS        time.Duration
}

func newWorld(record *os.File) *world {
	return &world{
		store: newStore(), jobs: map[string]*jobState{}, record: record, begun: time.Now(), maxHold: 10 * time.Second, stopTime: 100 * time.Millisecond,
		gangTimeout: 3 * time.Second, checkpointEvery: time.Second, gangs: map[string]map[string]bool{}, backAfter: 3 * time.Second, cancelMS: 3 * time.Second,
	}
}

func (w *world) log(format string, args ...any) {
	fmt.Fprintf(w.record, "%7.3f s  "+format+"\n", append([]any{time.Since(w.begun).Seconds()}, args...)...)
}

func (w *world) elapsed() time.Duration { return time.Since(w.begun) }

func (w *world) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.log("BROKEN %s", text)
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}

// begin checks a start that a minion carries out, and returns its task. w.mu is held.
func (w *world) begin(n *minion, o order) *taskState {
	parts := strings.Split(o.Task, ".")
	if len(parts) != 4 {
		w.violate("UNASKED", "%s is no task", o.Task)
		return nil
	}
	j := w.jobs[parts[0]]
	if j == nil {
		w.violate("UNASKED", "%s was started on %s, and no client has sent its job", o.Task, n.id)
		return nil
	}
	k, _ := strconv.Atoi(parts[1])
	s, _ := strconv.Atoi(parts[2])
	i, _ := strconv.Atoi(parts[3])
	if s >= len(j.steps) || i >= j.steps[s].count || k >= max(1, j.repetitions) {
		w.violate("UNASKED", "%s was started on %s, and its job has no such task", o.Task, n.id)
		return nil
	}
	t := j.task(k, s, i)
	if !w.quietStarts {
		w.log("start of %s run %d on %s (kind %s, token %d)", o.Task, o.Run, n.id, n.kind, o.Token)
	}
	if o.Payload != j.spec {
		w.violate("UNASKED", "%s was started with another specification", o.Task)
	}
	if o.Saved != "" && o.Saved != checkpointOf(t, progressOf(o.Saved)) {
		w.violate("UNASKED", "%s was started with the checkpoint %s, which is not its own", o.Task, o.Saved)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > w.cancelMS {
		w.violate("UNASKED", "%s was started %.1f s after the cancelling was acknowledged", o.Task, time.Since(j.cancelled).Seconds())
	}
	if !t.step.duplicates {
		if len(t.runs) > 0 {
			w.violate("TWICE", "%s runs on %s and %s", o.Task, t.runs[0].n.id, n.id)
		}
		if t.done {
			w.violate("TWICE", "%s was started again after it was done", o.Task)
		}
	}
	for _, a := range t.step.after {
		for b := range j.steps[a].count {
			if j.task(k, a, b).doneAt.IsZero() && !(j.steps[a].gang && w.gangDone(j, k, a)) {
				w.violate("ORDER", "%s was started before %s was done", o.Task, j.task(k, a, b).name)
			}
		}
	}
	if due := j.due(k); !due.IsZero() && time.Until(due) > 250*time.Millisecond {
		w.violate("ORDER", "%s was started %.3f s before its time", o.Task, time.Until(due).Seconds())
	}
	if t.step.label != "" && t.step.label != n.kind && t.step.label != n.m.rack {
		w.violate("ROUTE", "%s, which requires %q, was started on %s, whose labels are %q and %q (born %d, %.3f s ago)",
			o.Task, t.step.label, n.id, n.kind, n.m.rack, n.born.UnixMilli(), time.Since(n.born).Seconds())
	}
	if n.service != j.queue.Service {
		w.violate("ROUTE", "%s was started on %s of service %s", o.Task, n.id, n.service)
	}
	same, cpu, mem := 1, t.step.cpu, t.step.mem
	for _, r := range n.runs {
		cpu, mem = cpu+r.task.step.cpu, mem+r.task.step.mem
		if r.task.job == j && r.task.occurrence == k && r.task.stepIndex == s {
			same++
		}
	}
	if t.step.perMinion > 0 && same > t.step.perMinion {
		w.violate("ROUTE", "%d tasks of step %d of %s run on %s, at most %d may", same, s, j.id, n.id, t.step.perMinion)
	}
	if cpu > n.m.cpu || mem > n.m.mem {
		w.violate("LIMIT", "%s brings %s to %d thousandths of a core and %d MB", o.Task, n.id, cpu, mem)
	}
	if t.failed >= j.queue.Attempt && !t.step.long {
		w.violate("BUDGET", "%s was started after %d failed runs", o.Task, t.failed)
	}
	if t.crashes >= 3 {
		t.late++
		if t.late >= 3 {
			w.violate("BUDGET", "%s was started %d times after %d minions had crashed under it", o.Task, t.late, t.crashes)
		}
	}
	t.starts = append(t.starts, time.Now())
	return t
}

func (w *world) gangDone(j *jobState, k, s int) bool {
	for i := range j.steps[s].count {
		if !j.task(k, s, i).doneAt.IsZero() {
			return true
		}
	}
	return false
}

func (j *jobState) task(k, s, i int) *taskState {
	name := fmt.Sprintf("%s.%d.%d.%d", j.id, k, s, i)
	t := j.tasks[name]
	if t == nil {
		t = &taskState{name: name, job: j, step: j.steps[s], stepIndex: s, occurrence: k, index: i}
		j.tasks[name] = t
	}
	return t
}

// due returns when an occurrence is due; zero: at once.
func (j *jobState) due(k int) time.Time {
	if j.repetitions == 0 {
		return time.Time{}
	}
	return j.first.Add(time.Duration(k) * j.interval)
}

func (t *taskState) drop(r *runState) {
	for i, p := range t.runs {
		if p.r == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			return
		}
	}
}

// runGone records that a run has ended without a report.
func (w *world) runGone(r *runState, why string) {
	r.task.drop(r)
	w.log("run %d of %s %s", r.number, r.task.name, why)
	w.leaveGang(r)
}

func (w *world) runEnded(n *minion, r *runState, e *endRow) {
	r.task.drop(r)
	r.task.ends = append(r.task.ends, e)
	if e.how == "done" && r.task.doneAt.IsZero() {
		r.task.doneAt = e.at
	}
	if !w.quietStarts || e.how != "done" {
		w.log("end of %s run %d on %s: %s", r.task.name, r.number, n.id, e.how)
	}
	if e.how == "done" && r.task.step.gang {
		for i := range r.task.step.count {
			o := r.task.job.task(r.task.occurrence, r.task.stepIndex, i)
			for _, p := range append([]placed(nil), o.runs...) {
				if p.r.number == r.number {
					p.n.end(p.r, "done")
				}
			}
		}
		return
	}
	w.leaveGang(r)
}

// noted records that an end has been taken note of.
func (w *world) noted(n *minion, e *endRow) {
	t := e.task
	switch {
	case e.how == "failed":
		t.failed++
	case e.how == "done" && !e.lapsed && !t.step.long:
		t.done = true
		for _, at := range t.starts {
			if at.After(e.at) && !t.step.duplicates {
				w.violate("TWICE", "%s was started again after its end on %s, which was taken note of later", t.name, n.id)
			}
		}
	}
}

func gangName(t *taskState, run int64) string {
	return t.name[:strings.LastIndexByte(t.name, '.')] + "/" + strconv.FormatInt(run, 10)
}

func (w *world) joinGang(t *taskState, run int64) {
	name := gangName(t, run)
	if w.gangs[name] == nil {
		w.gangs[name] = map[string]bool{}
	}
	w.gangs[name][t.name] = true
	if len(w.gangs[name]) < t.step.count {
		return
	}
	for i := range t.step.count {
		for _, p := range t.job.task(t.occurrence, t.stepIndex, i).runs {
			if p.r.number == run {
				p.r.workFrom = time.Now()
			}
		}
	}
}

// leaveGang ends the other members of a gang.
func (w *world) leaveGang(r *runState) {
	if !r.task.step.gang || r.workFrom.IsZero() {
		if r.task.step.gang {
			delete(w.gangs[gangName(r.task, r.number)], r.task.name)
		}
		return
	}
	r.workFrom = time.Time{}
	for i := range r.task.step.count {
		for _, p := range append([]placed(nil), r.task.job.task(r.task.occurrence, r.task.stepIndex, i).runs...) {
			if p.r.number == r.number && !p.r.workFrom.IsZero() {
				p.n.end(p.r, "broken")
			}
		}
	}
}

// deadlyStart crashes a minion by the task that it has just begun.
func (w *world) deadlyStart(n *minion, t *taskState) {
	crash := func() {
		if n.dead {
			return
		}
		t.crashes++
		w.log("%s crashes under %s (crash %d of that task)", n.id, t.name, t.crashes)
		w.crashMinion(n, w.backAfter, false)
	}
	if w.crashDelay < 0 {
		crash()
		return
	}
	time.AfterFunc(w.crashDelay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		crash()
	})
}

// crashMinion crashes a minion. Its machine has another one after some time, or the same one again. w.mu is held.
func (w *world) crashMinion(n *minion, back time.Duration, sameID bool) {
	m := n.m
	if !sameID || back >= time.Second { // a process that restarts at once leaves its machine up
		m.state = "down"
	}
	m.minion = nil
	n.crash()
	time.AfterFunc(back, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if sameID {
			next := w.startMinion(m, n.id, n.addr)
			w.log("%s is back as %s, kind %s, born %d", m.name, next.id, next.kind, next.born.UnixMilli())
			return
		}
		w.store.remove("servers", "", n.id)
		next := w.startMinion(m, "", "")
		w.log("%s is back as %s", m.name, next.id)
	})
}

func (w *world) ticker() {
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		now := time.Now()
		for _, m := range w.machines {
			if m.minion != nil {
				m.minion.tick(now)
			}
		}
		w.mu.Unlock()
	}
}

// serveMachines serves the list of machines and the orders for them.
func (w *world) serveMachines(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		rows := []map[string]any{}
		for _, m := range w.machines {
			id := ""
			if m.minion != nil {
				id = m.minion.id
				m.lastID = id
			} else if m.state == "up" && m.pool != "spare" {
				id = m.lastID
			}
			rows = append(rows, map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": "z1", "labels": []string{m.kind, m.rack},
				"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.mem, "gpus": 0}, "id": id,
			})
		}
		w.mu.Unlock()
		writeJSON(rw, http.StatusOK, map[string]any{"machines": rows, "next_page_token": nil})
	})
	change := func(fn func(m *machine, pool string, wave int) (int, string)) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			var o struct {
				Machine string `json:"machine"`
				Pool    string `json:"pool"`
				Wave    int    `json:"wave"`
			}
			token, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
			if derr := json.NewDecoder(r.Body).Decode(&o); derr != nil || err != nil {
				rw.WriteHeader(http.StatusBadRequest)
				return
			}
			w.mu.Lock()
			status, reason := http.StatusBadRequest, ""
			for _, m := range w.machines {
				if m.name != o.Machine {
					continue
				}
				if token < m.token {
					status, reason = http.StatusConflict, "fence"
					break
				}
				m.token = token
				status, reason = fn(m, o.Pool, o.Wave)
			}
			w.mu.Unlock()
			writeJSON(rw, status, map[string]any{"reason": reason})
		}
	}
	takeDown := func(m *machine, state, pool string, d time.Duration) {
		if m.minion != nil {
			n := m.minion
			m.minion = nil
			n.crash()
			w.store.remove("servers", "", n.id)
		}
		m.state, m.pool = state, pool
		time.AfterFunc(d, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			m.state = "up"
			if m.pool != "spare" {
				w.startMinion(m, "", "")
			}
		})
	}
	mux.HandleFunc("POST /api/machine-move", change(func(m *machine, pool string, _ int) (int, string) {
		switch {
		case m.pool == pool:
			return http.StatusOK, ""
		case m.state != "up":
			return http.StatusConflict, "busy"
		}
		w.log("%s moves from %s to %s", m.name, m.pool, pool)
		takeDown(m, "moving", pool, 1500*time.Millisecond)
		return http.StatusOK, ""
	}))
	mux.HandleFunc("POST /api/machine-upkeep", change(func(m *machine, _ string, wave int) (int, string) {
		switch {
		case m.waves[wave]:
			return http.StatusOK, ""
		case m.state != "up":
			return http.StatusConflict, "busy"
		}
		m.waves[wave] = true
		takeDown(m, "upkeep", m.pool, 2*time.Second)
		return http.StatusOK, ""
	}))
	_ = (&http.Server{Handler: mux}).Serve(l)
}

// addMachines adds machines to a pool.
func (w *world) addMachines(pool string, n, cpu, mem int, kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range n {
		i := len(w.machines)
		m := &machine{name: fmt.Sprintf("host-%02d", i), pool: pool, state: "up", kind: kind, rack: fmt.Sprintf("r1-%d", i/4), cpu: cpu, mem: mem, waves: map[int]bool{}}
		w.machines = append(w.machines, m)
		if pool != "spare" {
			w.startMinion(m, "", "")
		}
	}
}

// configure writes a configuration.
func (w *world) configure(version int, queues []*queue, services []string) {
	var pools []map[string]any
	for _, s := range services {
		pools = append(pools, map[string]any{"name": s, "admission_check": false, "spare": s == "spare"})
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": queues, "services": pools,
		"limits": map[string]int{"max_body_bytes": 262144, "max_header_bytes": 16384, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
	w.store.put("op", "", "config", data)
}

func newQueue(name, service string, attempts int) *queue {
	return &queue{
		Name: name, Host: "q.example", Prefix: "/" + name + "/", Service: service, Kind: "unsafe", Timeout: 3000, Target: 600, Stretch: 1.6, Attempt: attempts,
	}
}
