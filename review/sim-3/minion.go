package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// machine is a machine of the platform. It has one minion at a time.
type machine struct {
	name, pool, state string
	kind, rack        string
	cpu, mem          int
	lastID            string
	minion            *minion
	token             int64
	waves             map[int]bool
}

// runState is one run of a task on a minion.
type runState struct {
	task     *taskState
	number   int64
	begun    time.Time
	workFrom time.Time // since when it works; zero: a gang that is not complete
	before   time.Duration
	stopAt   time.Time // zero: not stopped
	leaseErr bool
}

// endRow is an end that the minion lists.
type endRow struct {
	seq    int64
	task   *taskState
	run    int64
	how    string
	saved  string
	at     time.Time
	lapsed bool // the lease of the minion lapsed after this end
}

// minion is one life of a machine. All minions share the lock of the world.
type minion struct {
	w       *world
	id      string
	addr    string
	m       *machine
	service string
	kind    string
	born    time.Time
	token   int64
	lease   time.Duration
	runs    map[string]*runState
	barred  map[string]int64
	ended   []*endRow
	seq     int64
	dead    bool
	newEnd  chan struct{}
	server  *http.Server
	seqNo   int
}

func (n *minion) clock() time.Duration { return time.Since(n.born) }

// startMinion starts a minion on a machine. An empty id makes a new one; addr, if set, is the address of an earlier life.
// w.mu is held.
func (w *world) startMinion(m *machine, id, addr string) *minion {
	if id == "" {
		w.minions++
		id = fmt.Sprintf("mn%04d", w.minions)
	}
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		fail("listen for a minion: %v", err)
	}
	n := &minion{
		w: w, id: id, addr: l.Addr().String(), m: m, service: m.pool, kind: m.kind, born: time.Now(),
		runs: map[string]*runState{}, barred: map[string]int64{}, newEnd: make(chan struct{}),
	}
	m.minion, m.state = n, "up"
	n.server = &http.Server{Handler: n.handler()}
	go func() { _ = n.server.Serve(l) }()
	n.register("ready")
	go n.heartbeat()
	return n
}

// register writes the entry of the minion.
func (n *minion) register(state string) {
	n.seqNo++
	data, _ := json.Marshal(map[string]any{
		"service": n.service, "address": n.addr, "zone": "z1", "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"sequence": n.seqNo, "machine": n.m.name, "born": n.born.UnixMilli(),
		"capacity": map[string]int{"cpu": n.m.cpu, "mem_mb": n.m.mem, "gpus": 0}, "labels": []string{n.kind, n.m.rack},
	})
	n.w.store.put("servers", "", n.id, data)
}

func (n *minion) heartbeat() {
	for {
		time.Sleep(heartbeat)
		n.w.mu.Lock()
		if n.dead {
			n.w.mu.Unlock()
			return
		}
		n.register("ready")
		n.w.mu.Unlock()
	}
}

// crash ends a minion without notice. Its connections are reset and its address refuses connections. w.mu is held.
func (n *minion) crash() {
	if n.dead {
		return
	}
	n.dead = true
	for _, r := range n.runs {
		n.w.runGone(r, "crashed with "+n.id)
	}
	n.runs = map[string]*runState{}
	close(n.newEnd)
	n.newEnd = make(chan struct{})
	go func() { _ = n.server.Close() }()
}

type order struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Payload string `json:"specification"`
	Lease   int64  `json:"deadline_ms"`
	Token   int64  `json:"fencing_token"`
	Saved   string `json:"checkpoint"`
	Acked   int64  `json:"ack_cursor"`
	Wait    int64  `json:"wait_ms"`
}

func (n *minion) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", n.call(n.start))
	mux.HandleFunc("POST /api/run-stop", n.call(n.stop))
	mux.HandleFunc("POST /api/pace", n.call(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /api/hold", n.hold)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("X-Expected-Instance"); want != "" && want != n.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
	})
}

func (n *minion) call(fn func(order) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		n.w.mu.Lock()
		if n.dead {
			n.w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		status, reason := http.StatusConflict, "fence"
		if o.Token >= n.token {
			n.token = o.Token
			status, reason = fn(o)
		}
		dead, clock := n.dead, n.clock()
		n.w.mu.Unlock()
		if dead {
			panic(http.ErrAbortHandler) // it has crashed while it carried the order out
		}
		body := map[string]any{"clock_ms": clock.Milliseconds(), "born": n.born.UnixMilli()}
		if reason != "" {
			body["reason"] = reason
		}
		writeJSON(rw, status, body)
	}
}

func (n *minion) extend(lease int64) {
	l := min(time.Duration(lease)*time.Millisecond, n.clock()+n.w.maxHold)
	n.lease = max(n.lease, l)
}

func (n *minion) start(o order) (int, string) {
	if r := n.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	if o.Run <= n.barred[o.Task] || n.runs[o.Task] != nil {
		n.extend(o.Lease)
		return http.StatusConflict, "old"
	}
	if time.Duration(o.Lease)*time.Millisecond < n.clock() {
		return http.StatusConflict, "late"
	}
	n.extend(o.Lease)
	t := n.w.begin(n, o)
	if t == nil {
		return http.StatusBadRequest, ""
	}
	r := &runState{task: t, number: o.Run, begun: time.Now(), workFrom: time.Now(), before: progressOf(o.Saved)}
	if t.step.gang {
		r.workFrom = time.Time{}
	}
	n.runs[o.Task] = r
	t.runs = append(t.runs, placed{n, r})
	if t.job.deadly != "" && t.name == t.job.deadly {
		n.w.deadlyStart(n, t)
	}
	if t.step.gang {
		n.w.joinGang(t, o.Run)
	}
	return http.StatusOK, ""
}

func (n *minion) stop(o order) (int, string) {
	if r := n.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(n.w.stopTime)
	}
	n.barred[o.Task] = max(n.barred[o.Task], o.Run)
	return http.StatusOK, ""
}

// end lists the end of a run. w.mu is held.
func (n *minion) end(r *runState, how string) {
	if n.runs[r.task.name] != r {
		return
	}
	delete(n.runs, r.task.name)
	n.barred[r.task.name] = max(n.barred[r.task.name], r.number)
	n.seq++
	e := &endRow{seq: n.seq, task: r.task, run: r.number, how: how, saved: n.saved(r), at: time.Now()}
	if how == "lapsed" {
		e.saved = ""
	}
	n.ended = append(n.ended, e)
	n.w.runEnded(n, r, e)
	close(n.newEnd)
	n.newEnd = make(chan struct{})
}

// saved returns the newest checkpoint of a run.
func (n *minion) saved(r *runState) string {
	if !r.task.step.checkpoints || r.workFrom.IsZero() {
		return ""
	}
	done := r.before + time.Since(r.workFrom).Truncate(n.w.checkpointEvery)
	if done <= 0 {
		return ""
	}
	return checkpointOf(r.task, done)
}

// checkpointOf names the task, or the gang, and the work that is done.
func checkpointOf(t *taskState, done time.Duration) string {
	h := fnv.New32a()
	name := t.name
	if t.step.gang {
		name = name[:strings.LastIndexByte(name, '.')]
	}
	_, _ = h.Write([]byte(name))
	return fmt.Sprintf("%08x%08x", done.Milliseconds(), h.Sum32())
}

func progressOf(saved string) time.Duration {
	if len(saved) != 16 {
		return 0
	}
	ms, _ := strconv.ParseInt(saved[:8], 16, 64)
	return time.Duration(ms) * time.Millisecond
}

// tick ends the runs whose time has come. w.mu is held.
func (n *minion) tick(now time.Time) {
	lapsed := n.clock() > n.lease
	if lapsed {
		for _, e := range n.ended {
			e.lapsed = true
		}
	}
	for _, r := range n.runs {
		length := r.task.length(r.number)
		switch {
		case lapsed:
			n.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			n.end(r, "stopped")
		case !r.workFrom.IsZero() && r.task.step.failsAt != nil && r.task.step.failsAt(r.task, now.Sub(r.workFrom)):
			n.end(r, "failed")
		case length > 0 && !r.workFrom.IsZero() && r.before+now.Sub(r.workFrom) >= length:
			n.end(r, "done")
		case r.task.step.gang && r.workFrom.IsZero() && now.Sub(r.begun) > n.w.gangTimeout:
			n.end(r, "alone")
		}
	}
}

func (n *minion) hold(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	n.w.mu.Lock()
	if n.dead {
		n.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Token < n.token {
		clock := n.clock()
		n.w.mu.Unlock()
		writeJSON(rw, http.StatusConflict, map[string]any{"reason": "fence", "clock_ms": clock.Milliseconds(), "born": n.born.UnixMilli()})
		return
	}
	n.token = o.Token
	if o.Lease > 0 {
		n.extend(o.Lease)
	}
	kept := n.ended[:0]
	for _, e := range n.ended {
		if e.seq > o.Acked {
			kept = append(kept, e)
		} else {
			n.w.noted(n, e)
		}
	}
	n.ended = kept
	ends, waits := n.newEnd, len(n.ended) == 0
	n.w.mu.Unlock()
	if waits && o.Wait > 0 {
		select {
		case <-ends:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	n.w.mu.Lock()
	if n.dead {
		n.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for name, x := range n.runs {
		percent := 0
		if length := x.task.length(x.number); length > 0 && !x.workFrom.IsZero() {
			percent = min(99, int(100*(x.before+time.Since(x.workFrom))/length))
		} else if length == 0 && time.Since(x.begun) > 200*time.Millisecond {
			percent = 100
		}
		running = append(running, []any{name, x.number, n.saved(x), percent, 0})
	}
	for _, e := range n.ended[:min(500, len(n.ended))] {
		ended = append(ended, []any{e.seq, e.task.name, e.run, e.how, e.saved})
	}
	body := map[string]any{"clock_ms": n.clock().Milliseconds(), "running": running, "ended": ended, "born": n.born.UnixMilli()}
	n.w.mu.Unlock()
	writeJSON(rw, http.StatusOK, body)
}
