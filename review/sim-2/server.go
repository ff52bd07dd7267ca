package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the servers, as in the sheets of a small deployment.
const (
	heartbeat    = 1500 * time.Millisecond
	maxHold      = 10 * time.Second
	stopGrace    = 400 * time.Millisecond
	startupTime  = 900 * time.Millisecond // of a task that lasts
	checkRuns    = 5 * time.Millisecond
	entryKept    = 3 * heartbeat // an entry is removed after this silence
	maxEndsShown = 500
	entryLag     = 800 * time.Millisecond // [discovery] lag_ms of the site file: until the entry of a life that is not the first appears
	serverCPU    = 32000
	serverMemory = 131072
)

// work is what the tasks of a step do; a job's specification is the list of them as JSON.
type work struct {
	Millis int  `json:"ms,omitempty"`   // time at work until the task is done
	Lasts  bool `json:"last,omitempty"` // until it is stopped
	Fails  int  `json:"fail,omitempty"` // it fails after about so many milliseconds at work; 0: never
}

// run is a run of a task.
type run struct {
	task    string
	number  int64
	began   time.Time
	ends    time.Time // when it ends by itself; zero: it does not
	how     string    // the end then
	stopAt  time.Time // zero: it is not being stopped
	lasting bool
	logged  *runLog
}

// runLog is what the record says of a run.
type runLog struct {
	task, server, service, kind string
	number                      int64
	began, ended                time.Time // ended: zero while it goes on
	how                         string
}

// server is a life of a machine (a minion): it runs tasks under leases. A crash ends it; it may start again under its id.
type server struct {
	w                *world
	id, machine      string
	service, kind    string
	rack, zone, addr string

	mu       sync.Mutex
	up       bool
	born     time.Time
	token    int64
	lease    time.Duration // on its clock
	runs     map[string]*run
	barred   map[string]int64
	ended    [][]any
	seq      int64
	sequence int64
	newEnd   chan struct{}
	web      *http.Server
	lives    int
	written  time.Time // when its entry was last written
	cut      bool      // it is cut off from all machines: no call gets through, and no entry
	onStart  func()    // called once, when the next order to start a task has been carried out
}

// start brings the server up and registers it. Its address stays the same from one life to the next.
func (v *server) start() error {
	addr := v.addr
	if addr == "" {
		addr = v.w.serverIP + ":0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.addr, v.up, v.born, v.token, v.lease, v.seq, v.sequence = l.Addr().String(), true, time.Now(), 0, 0, 0, 0
	v.runs, v.barred, v.ended, v.newEnd = map[string]*run{}, map[string]int64{}, nil, make(chan struct{})
	v.web = &http.Server{Handler: v.handler(), ReadHeaderTimeout: 5 * time.Second}
	web, born := v.web, v.born
	v.mu.Unlock()
	go func() { _ = web.Serve(l) }()
	v.lives++
	if v.lives == 1 {
		v.register()
	} else {
		time.AfterFunc(entryLag, v.register)
	}
	go v.live(born)
	return nil
}

// live writes the entry of one life of the server, and ends its runs.
func (v *server) live(born time.Time) {
	next := time.Now().Add(heartbeat)
	for {
		time.Sleep(checkRuns)
		v.mu.Lock()
		alive := v.up && v.born.Equal(born)
		if alive {
			v.endRuns()
		}
		v.mu.Unlock()
		if !alive {
			return
		}
		if time.Now().After(next) {
			next = time.Now().Add(heartbeat)
			v.register()
		}
	}
}

// register writes the server's entry.
func (v *server) register() {
	v.mu.Lock()
	if v.cut || !v.up {
		v.mu.Unlock()
		return
	}
	v.written = time.Now()
	v.sequence++
	e := map[string]any{
		"service": v.service, "address": v.addr, "zone": v.zone, "version": "1.0", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"sequence": v.sequence, "machine": v.machine, "born": v.born.UnixMilli(), "labels": []string{v.kind, v.rack},
		"capacity": map[string]int{"cpu": serverCPU, "mem_mb": serverMemory, "gpus": 0},
	}
	v.mu.Unlock()
	v.w.store.put("servers", v.id, e)
}

// crash ends the server and all that runs on it without a word; its entry goes after three heartbeats unless it is back by then.
func (v *server) crash() {
	v.mu.Lock()
	v.up = false
	for _, r := range v.runs {
		v.w.endRun(r, "crashed")
	}
	v.runs = map[string]*run{}
	web := v.web
	v.mu.Unlock()
	_ = web.Close()
}

// lapse removes the entry of a server that has not been written for too long.
func (v *server) lapse() {
	v.mu.Lock()
	gone := time.Since(v.written) > entryKept
	v.mu.Unlock()
	if gone {
		v.w.store.remove("servers", v.id)
	}
}

// setCut cuts the server off, or ends that. Calls that came meanwhile are lost.
func (v *server) setCut(cut bool) {
	v.mu.Lock()
	v.cut = cut
	v.mu.Unlock()
	if !cut {
		v.register()
	}
}

func (v *server) isCut() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cut
}

func (v *server) isUp() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.up
}

// running returns the number of runs.
func (v *server) running() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.runs)
}

func (v *server) clock() time.Duration { return time.Since(v.born) }

// request is any call to a server.
type request struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"specification"`
	Lease      *int64 `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Ack        int64  `json:"ack_cursor"`
	Wait       int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
	Checkpoint string `json:"checkpoint"`
}

func (v *server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", v.call(v.runStart))
	mux.HandleFunc("POST /api/run-stop", v.call(v.runStop))
	mux.HandleFunc("POST /api/pace", v.call(func(request) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /api/hold", v.hold)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v.isCut() {
			for v.isCut() && r.Context().Err() == nil {
				time.Sleep(20 * time.Millisecond)
			}
			panic(http.ErrAbortHandler)
		}
		if id := r.Header.Get("X-Expected-Instance"); id != "" && id != v.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// call returns the handler of an order.
func (v *server) call(do func(request) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q request
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		v.mu.Lock()
		status, reason := http.StatusConflict, "fence"
		if q.Token >= v.token {
			v.token = q.Token
			status, reason = do(q)
		}
		body := map[string]any{"clock_ms": v.clock().Milliseconds(), "born": v.born.UnixMilli()}
		v.mu.Unlock()
		if reason != "" {
			body["reason"] = reason
		}
		writeJSON(w, status, body)
	}
}

// extend takes a lease, which never shortens and is cut to the longest one. v.mu is held.
func (v *server) extend(q request) {
	if q.Lease != nil {
		v.lease = max(v.lease, min(time.Duration(*q.Lease)*time.Millisecond, v.clock()+maxHold))
	}
}

func (v *server) runStart(q request) (int, string) {
	if r := v.runs[q.Task]; r != nil && r.number == q.Run {
		v.extend(q)
		return http.StatusOK, ""
	}
	if q.Lease == nil || time.Duration(*q.Lease)*time.Millisecond <= v.clock() {
		return http.StatusConflict, "late"
	}
	v.extend(q)
	if r := v.runs[q.Task]; q.Run <= v.barred[q.Task] || r != nil && q.Run < r.number {
		return http.StatusConflict, "old"
	}
	var all []work
	step := stepIndex(q.Task)
	if err := json.Unmarshal([]byte(q.Spec), &all); err != nil || step < 0 || step >= len(all) {
		return http.StatusBadRequest, ""
	}
	x := all[step]
	if old := v.runs[q.Task]; old != nil {
		v.end(old, "stopped")
	}
	now := time.Now()
	r := &run{task: q.Task, number: q.Run, began: now, lasting: x.Lasts}
	if !x.Lasts {
		r.ends, r.how = now.Add(time.Duration(x.Millis)*time.Millisecond), "done"
	}
	if x.Fails > 0 {
		after := startupTime + time.Duration(float64(x.Fails)*(0.7+0.6*rand.Float64()))*time.Millisecond
		if fails := now.Add(after); r.ends.IsZero() || fails.Before(r.ends) {
			r.ends, r.how = fails, "failed"
		}
	}
	r.logged = v.w.beginRun(v, r)
	v.runs[q.Task] = r
	if v.onStart != nil {
		v.onStart()
		v.onStart = nil
	}
	return http.StatusOK, ""
}

// stepIndex returns the number of the step in the name of a task, -1 if there is none.
func stepIndex(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return -1
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil {
		return -1
	}
	return n
}

func (v *server) runStop(q request) (int, string) {
	if r := v.runs[q.Task]; r != nil && r.number <= q.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopGrace / 4)
	}
	v.barred[q.Task] = max(v.barred[q.Task], q.Run)
	return http.StatusOK, ""
}

// endRuns ends what is over. v.mu is held.
func (v *server) endRuns() {
	now := time.Now()
	for _, r := range v.runs {
		switch {
		case v.clock() > v.lease:
			v.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			v.end(r, "stopped")
		case r.stopAt.IsZero() && !r.ends.IsZero() && now.After(r.ends):
			v.end(r, r.how)
		}
	}
}

// end ends a run and lists its end. v.mu is held.
func (v *server) end(r *run, how string) {
	delete(v.runs, r.task)
	v.barred[r.task] = max(v.barred[r.task], r.number)
	v.seq++
	v.ended = append(v.ended, []any{v.seq, r.task, r.number, how, ""})
	v.w.endRun(r, how)
	close(v.newEnd)
	v.newEnd = make(chan struct{})
}

func (v *server) hold(w http.ResponseWriter, r *http.Request) {
	var q request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	if q.Token < v.token {
		body := map[string]any{"clock_ms": v.clock().Milliseconds(), "born": v.born.UnixMilli(), "reason": "fence"}
		v.mu.Unlock()
		writeJSON(w, http.StatusConflict, body)
		return
	}
	v.token = q.Token
	v.extend(q)
	kept := v.ended[:0:0]
	for _, e := range v.ended {
		if e[0].(int64) > q.Ack {
			kept = append(kept, e)
		}
	}
	v.ended = kept
	news, idle := v.newEnd, len(v.ended) == 0
	v.mu.Unlock()
	if idle && q.Wait > 0 {
		select {
		case <-news:
		case <-time.After(time.Duration(min(q.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	v.mu.Lock()
	running := [][]any{}
	for _, x := range v.runs {
		running = append(running, []any{x.task, x.number, "", x.percent(), 100})
	}
	sort.Slice(running, func(i, j int) bool { return fmt.Sprint(running[i][0]) < fmt.Sprint(running[j][0]) })
	ended := append([][]any{}, v.ended[:min(len(v.ended), maxEndsShown)]...)
	body := map[string]any{"clock_ms": v.clock().Milliseconds(), "born": v.born.UnixMilli(), "running": running, "ended": ended}
	v.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

// percent is the progress of a run, 100 for a task that lasts once it is at work.
func (r *run) percent() int {
	if r.lasting {
		if time.Since(r.began) >= startupTime {
			return 100
		}
		return 0
	}
	return int(min(99, 100*time.Since(r.began)/max(1, r.ends.Sub(r.began))))
}
