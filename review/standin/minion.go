package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Behaviour of minions, as in the bounds of the sheets.
const (
	stopGrace       = 400 * time.Millisecond
	gangTimeout     = 3 * time.Second
	checkpointEvery = time.Second
	restoreTime     = 600 * time.Millisecond
	maxHold         = 10 * time.Second
	heartbeat       = 1500 * time.Millisecond
	startupTime     = 700 * time.Millisecond
	coldAnswer      = 300 * time.Millisecond // an answer of a minion that has just started takes
	registerDelay   = 500 * time.Millisecond // from the restart of a minion to its first write to the store
	maxListedEnds   = 500
	tick            = 10 * time.Millisecond
)

// step is a step of a job, as it is submitted, with the true duration of its tasks.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	Memory        int    `json:"mem_mb,omitempty"`
	Estimate      int    `json:"estimated_ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Label         string `json:"requirements,omitempty"`
	AntiAffinity  int    `json:"anti_affinity,omitempty"`
	Duplicates    bool   `json:"allow_duplicates,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	MayMiss       int    `json:"may_miss,omitempty"`

	duration time.Duration
	spread   float64       // part of the duration by which those of the tasks differ
	failing  float64       // share of the runs that fail
	first    time.Duration // duration of the task 0, if above zero
}

// job is a job of a client and what has been seen of it.
type job struct {
	ID          string `json:"-"`
	Service     string `json:"-"`
	Spec        string `json:"specification"`
	Steps       []step `json:"steps"`
	Repetitions int    `json:"repetitions,omitempty"`
	Interval    int    `json:"interval_ms,omitempty"`
	First       int64  `json:"first_run_ms,omitempty"`

	sentAt      time.Time
	acceptedAt  time.Time
	rejected    int // attempts that were rejected
	uncertain   int // attempts without a definite answer
	started     bool
	cancelSent  time.Time
	cancelledAt time.Time
	tasks       map[string]*taskState
}

func (j *job) occurrences() int { return max(1, j.Repetitions) }

func (j *job) due(k int) time.Time {
	if j.First == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.First + int64(k)*int64(j.Interval))
}

// taskState is what has been seen of one task.
type taskState struct {
	running   int
	done      bool
	doneAt    time.Time
	noted     bool // its end was taken note of
	noteAt    time.Time
	restarted bool // started after an end that had not been taken note of
	failed    int  // ends failed that were taken note of
	crashes   int  // minions that crashed under it
	failures  int  // ends failed, taken note of or not
	starts    int
	saved     time.Duration // most work that it, or its gang, has saved
	last      time.Time     // start of its last run
}

type run struct {
	task    string
	id      taskID
	no      int64
	st      *step
	j       *job
	cpu     int
	begun   time.Time // start of the run
	work    time.Time // when it began to work; zero: a gang that is not complete
	base    time.Duration
	need    time.Duration
	fails   bool
	stopAt  time.Time
	gang    *gang
	startBy string
}

type gang struct {
	members map[int]*member
	value   string
	want    int
	begun   bool
	endedAt time.Time // when it was broken; its members have one last checkpoint
}

type member struct {
	r *run
	m *minion
}

type end struct {
	seq   int64
	task  string
	no    int64
	how   string
	saved string
	at    time.Time
}

type taskID struct {
	job  string
	k, s int
	i    int
}

func parseTask(name string) (taskID, bool) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return taskID{}, false
	}
	k, e1 := strconv.Atoi(p[1])
	s, e2 := strconv.Atoi(p[2])
	i, e3 := strconv.Atoi(p[3])
	return taskID{p[0], k, s, i}, e1 == nil && e2 == nil && e3 == nil
}

// minionFaults are the disruptions of one minion.
type minionFaults struct {
	Silent bool    // nothing comes in or goes out; it runs on
	Late   float64 // share of the orders that get no answer and are carried out 2 to 12 s later
	Lose   float64 // share of the orders that are carried out and not answered
}

// minion is one life of a machine.
type minion struct {
	p       *platform
	id      string
	addr    string
	machine *machine
	service string
	born    time.Time
	l       net.Listener
	conns   *mutable
	srv     *http.Server
	dead    bool
	fence   int64
	lease   time.Duration // on its clock
	lapsed  time.Time     // when its lease last lapsed
	runs    map[string]*run
	barred  map[string]int64
	ends    []end
	ended   chan struct{}
	seq     int64
	beat    int64
	state   string
	faults  minionFaults
	cold    time.Duration // how long it is slow after its start
}

// machine is a machine of the platform.
type machine struct {
	name   string
	pool   string
	state  string
	zone   string
	labels []string
	cpu    int
	mem    int
	m      *minion
	fence  int64
	last   time.Time // last accepted order
	holder string
	upkept map[int]bool
	begun  map[int]time.Time
}

// platform is the simulated platform: machines, minions, the list of machines and the store.
type platform struct {
	mu       sync.Mutex
	store    *store
	rec      *record
	jobs     map[string]*job
	machines []*machine
	gangs    map[string]*gang
	minions  int
	waves    map[int]int // by number: most machines at once
	cloud    cloudFaults
	attempts int // max_attempts of all queues
	starts   int
	cold     time.Duration // of minions that start again
	// strictGangs makes minions refuse a start whose checkpoint differs from that of the members which are there.
	strictGangs bool
}

// cloudFaults are the disruptions of the orders for machines. p.mu is held during late.
type cloudFaults struct {
	late  func(path, name string) bool // the order gets no answer and is carried out after delay; nil: none
	delay time.Duration
	slow  time.Duration // by which answers to the list are late
}

// answerCold makes the answers of a minion that has just started slow.
func (m *minion) answerCold() {
	if m.cold > 0 && time.Since(m.born) < m.cold {
		time.Sleep(coldAnswer)
	}
}

func (m *minion) clock() time.Duration { return time.Since(m.born) }

// start brings a minion up on a machine. With the id and address of an earlier life it is that minion again.
func (p *platform) start(x *machine, id, addr string) *minion {
	if id == "" {
		p.minions++
		id = fmt.Sprintf("s%04x%04d", rand.Uint32N(1<<16), p.minions)
	}
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	m := &minion{
		p: p, id: id, machine: x, service: x.pool, born: time.Now(), runs: map[string]*run{}, barred: map[string]int64{},
		ended: make(chan struct{}), state: "ready",
	}
	var err error
	for range 50 {
		if m.l, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fatal("listen: %v", err)
	}
	m.addr = m.l.Addr().String()
	m.srv = &http.Server{Handler: http.HandlerFunc(m.serve)}
	m.conns = &mutable{Listener: m.l}
	go func() { _ = m.srv.Serve(m.conns) }()
	x.m, x.state = m, "up"
	if len(p.jobs) > 0 && addr != "127.0.0.1:0" {
		time.AfterFunc(registerDelay, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if !m.dead {
				m.publish()
			}
		})
		return m
	}
	m.publish()
	return m
}

func (m *minion) publish() {
	m.beat++
	data, _ := json.Marshal(map[string]any{
		"service": m.service, "address": m.addr, "zone": m.machine.zone, "version": "v1", "slots": 8, "state": m.state,
		"cold_remaining_ms": max(0, m.cold-m.clock()).Milliseconds(), "sequence": m.beat, "machine": m.machine.name, "born": m.born.UnixMilli(), "labels": m.machine.labels,
		"capacity": map[string]int{"cpu": m.machine.cpu, "mem_mb": m.machine.mem, "gpus": 0},
	})
	m.p.store.put("servers", "", m.id, data)
}

// crash ends a minion without notice. p.mu is held.
func (m *minion) crash() {
	m.dead = true
	for _, r := range m.runs {
		r.j.task(r.task).crashes++
	}
	for _, r := range m.runs {
		m.finish(r, "")
	}
	_ = m.srv.Close()
	if m.machine.m == m {
		m.machine.m = nil
	}
}

func (m *minion) serve(w http.ResponseWriter, r *http.Request) {
	var o order
	err := json.NewDecoder(r.Body).Decode(&o)
	m.p.mu.Lock()
	f, dead := m.faults, m.dead
	m.p.mu.Unlock()
	switch {
	case dead:
		panic(http.ErrAbortHandler)
	case f.Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("X-Expected-Instance") != m.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/api/hold" {
		m.answerCold()
		m.hold(w, r, o)
		return
	}
	if f.Late > 0 && rand.Float64() < f.Late {
		time.AfterFunc(2*time.Second+time.Duration(rand.Int64N(int64(10*time.Second))), func() {
			m.p.mu.Lock()
			defer m.p.mu.Unlock()
			if !m.dead {
				m.carryOut(r.URL.Path, o)
			}
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	m.p.mu.Lock()
	if m.dead {
		m.p.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, reason := m.carryOut(r.URL.Path, o)
	clock := m.clock().Milliseconds()
	m.p.mu.Unlock()
	if f.Lose > 0 && rand.Float64() < f.Lose {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	m.answerCold()
	body := map[string]any{"clock_ms": clock}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(w, status, body)
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"specification"`
	Deadline   int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ack        int64  `json:"ack_cursor"`
	Wait       int64  `json:"wait_ms"`
}

// carryOut carries an order out. p.mu is held.
func (m *minion) carryOut(path string, o order) (int, string) {
	if o.Token < m.fence {
		return http.StatusConflict, "fence"
	}
	m.fence = o.Token
	switch path {
	case "/api/run-start":
		return m.startRun(o)
	case "/api/run-stop":
		if r := m.runs[o.Task]; r != nil && r.no <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(time.Duration(rand.Int64N(int64(stopGrace))))
		}
		m.barred[o.Task] = max(m.barred[o.Task], o.Run)
		return http.StatusOK, ""
	case "/api/pace":
		return http.StatusOK, ""
	}
	return http.StatusNotFound, ""
}

func (m *minion) extend(deadline int64) {
	d := min(time.Duration(deadline)*time.Millisecond, m.clock()+maxHold)
	m.lease = max(m.lease, d)
}

func (m *minion) startRun(o order) (int, string) {
	if r := m.runs[o.Task]; r != nil && r.no == o.Run {
		m.extend(o.Deadline)
		return http.StatusOK, ""
	}
	if o.Run <= m.barred[o.Task] || m.runs[o.Task] != nil {
		m.extend(o.Deadline)
		return http.StatusConflict, "old"
	}
	if time.Duration(o.Deadline)*time.Millisecond <= m.clock() {
		return http.StatusConflict, "late"
	}
	m.extend(o.Deadline)
	id, ok := parseTask(o.Task)
	j := m.p.jobs[id.job]
	if !ok || j == nil || id.s >= len(j.Steps) || id.i >= j.Steps[id.s].Count || id.k >= j.occurrences() {
		m.p.rec.breaks("UNASKED", "%s is told to start %s, which no client sent", m.id, o.Task)
		return http.StatusBadRequest, ""
	}
	st := &j.Steps[id.s]
	r := &run{task: o.Task, id: id, no: o.Run, st: st, j: j, cpu: st.CPU, begun: time.Now()}
	r.need = st.duration
	if st.spread > 0 {
		r.need += time.Duration(float64(st.duration) * st.spread * float64(hash(o.Task)%1000) / 1000)
	}
	if st.first > 0 && id.i == 0 {
		r.need = st.first
	}
	r.fails = st.failing > 0 && rand.Float64() < st.failing
	m.p.checkStart(m, r, o)
	if o.Checkpoint != "" {
		r.base = savedWork(o.Checkpoint)
	}
	m.runs[o.Task] = r
	if !st.Gang {
		r.work = r.begun
		if o.Checkpoint != "" {
			r.work = r.begun.Add(restoreTime)
		}
		return http.StatusOK, ""
	}
	key := fmt.Sprintf("%s.%d.%d/%d", id.job, id.k, id.s, o.Run)
	g := m.p.gangs[key]
	if g == nil {
		g = &gang{members: map[int]*member{}, value: o.Checkpoint, want: st.Count}
		m.p.gangs[key] = g
	}
	if g.value != o.Checkpoint {
		m.p.rec.breaks("UNASKED", "run %d of gang %s.%d.%d: the start of task %d carries checkpoint %q, that of another member %q",
			o.Run, id.job, id.k, id.s, id.i, o.Checkpoint, g.value)
		if m.p.strictGangs {
			delete(m.runs, o.Task)
			j.task(o.Task).running--
			return http.StatusBadRequest, ""
		}
	}
	r.gang = g
	g.members[id.i] = &member{r, m}
	if len(g.members) == g.want {
		g.begun = true
		begin := time.Now()
		if o.Checkpoint != "" {
			begin = begin.Add(restoreTime)
		}
		for _, x := range g.members {
			x.r.work = begin
		}
	}
	return http.StatusOK, ""
}

// workOf names what saves work: a task, or the whole gang.
func workOf(r *run) string {
	if r.st.Gang {
		return fmt.Sprintf("%s.%d.%d", r.id.job, r.id.k, r.id.s)
	}
	return r.task
}

func hash(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}

func savedWork(checkpoint string) time.Duration {
	if len(checkpoint) != 16 {
		return 0
	}
	ms, _ := strconv.ParseInt(checkpoint[8:], 16, 64)
	return time.Duration(ms) * time.Millisecond
}

// done is the work that the run has done, with what it resumed from.
func (r *run) done() time.Duration {
	now := time.Now()
	if r.gang != nil && !r.gang.endedAt.IsZero() {
		now = r.gang.endedAt
	}
	if r.work.IsZero() || now.Before(r.work) {
		return r.base
	}
	return r.base + now.Sub(r.work)
}

// checkpoint is the newest checkpoint of a run; at its stop it has all work.
func (r *run) checkpoint(atStop bool) string {
	if !r.st.Checkpointing {
		return ""
	}
	d := r.done()
	if !atStop {
		d = r.base + (d-r.base)/checkpointEvery*checkpointEvery // a value each checkpointEvery of work
	}
	if d <= 0 {
		return ""
	}
	t := r.j.task(r.task)
	t.saved = max(t.saved, d)
	return fmt.Sprintf("%08x%08x", hash(workOf(r)), d.Milliseconds())
}

// finish ends a run; without a how its minion has ended.
func (m *minion) finish(r *run, how string) {
	if m.runs[r.task] != r {
		return
	}
	if r.gang != nil && r.gang.endedAt.IsZero() {
		r.gang.endedAt = time.Now()
	}
	delete(m.runs, r.task)
	t := r.j.task(r.task)
	t.running--
	m.barred[r.task] = max(m.barred[r.task], r.no)
	if how != "" {
		m.seq++
		e := end{seq: m.seq, task: r.task, no: r.no, how: how, at: time.Now()}
		if how != "done" {
			e.saved = r.checkpoint(how == "stopped")
		}
		m.ends = append(m.ends, e)
		switch how {
		case "done":
			t.done, t.doneAt = true, e.at
		case "failed":
			t.failures++
		}
		close(m.ended)
		m.ended = make(chan struct{})
		if r.st.Gang || how != "done" {
			m.p.rec.add("%s run %d on %s has ended: %s, checkpoint %q", r.task, r.no, m.id, how, e.saved)
		}
	}
	if r.gang == nil {
		return
	}
	g := r.gang
	delete(g.members, r.id.i)
	for _, x := range g.members {
		switch {
		case how == "done":
			x.m.finish(x.r, "done")
		case g.begun:
			x.m.finish(x.r, "broken")
		}
	}
}

// step ends the runs whose time has come. p.mu is held.
func (m *minion) step() {
	now := time.Now()
	if m.lease > 0 && m.clock() > m.lease {
		if len(m.runs) > 0 {
			m.p.rec.add("the lease of %s lapses with %d runs", m.id, len(m.runs))
		}
		m.lapsed, m.lease = now, 0
		for _, r := range m.runs {
			m.finish(r, "lapsed")
		}
	}
	for _, r := range m.runs {
		switch {
		case m.runs[r.task] != r:
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			m.finish(r, "stopped")
		case r.work.IsZero() && now.Sub(r.begun) > gangTimeout:
			m.finish(r, "alone")
		case r.work.IsZero(), r.st.LongRunning:
		case r.fails && r.done() > r.need/2:
			m.finish(r, "failed")
		case r.done() >= r.need:
			m.finish(r, "done")
		}
	}
}

func (m *minion) hold(w http.ResponseWriter, req *http.Request, o order) {
	p := m.p
	p.mu.Lock()
	if o.Token < m.fence {
		clock := m.clock().Milliseconds()
		p.mu.Unlock()
		writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": "fence", "born": m.born.UnixMilli()})
		return
	}
	m.fence = o.Token
	if o.Deadline > 0 {
		m.extend(o.Deadline)
	}
	m.acknowledge(o.Ack)
	waits, ended := len(m.ends) == 0, m.ended
	p.mu.Unlock()
	if waits && o.Wait > 0 {
		select {
		case <-ended:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-req.Context().Done():
		}
	}
	p.mu.Lock()
	if m.dead || m.faults.Silent {
		p.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, r := range m.runs {
		percent := 0
		if r.st.LongRunning {
			if time.Since(r.begun) > startupTime {
				percent = 100
			}
		} else if r.need > 0 {
			percent = min(99, int(100*r.done()/r.need))
		}
		running = append(running, []any{r.task, r.no, r.checkpoint(false), percent, r.cpu})
	}
	ended2 := [][]any{}
	for _, e := range m.ends[:min(len(m.ends), maxListedEnds)] {
		ended2 = append(ended2, []any{e.seq, e.task, e.no, e.how, e.saved})
	}
	body := map[string]any{"clock_ms": m.clock().Milliseconds(), "running": running, "ended": ended2, "born": m.born.UnixMilli()}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

// acknowledge takes note of the ends up to a number.
func (m *minion) acknowledge(upTo int64) {
	kept := m.ends[:0]
	for _, e := range m.ends {
		if e.seq > upTo {
			kept = append(kept, e)
			continue
		}
		if m.lapsed.After(e.at) {
			continue // the lease lapsed between the end and the note
		}
		m.p.noteEnd(e)
	}
	m.ends = kept
}
