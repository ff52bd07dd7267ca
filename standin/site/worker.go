package site

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// run is one run of a task on a worker.
type run struct {
	number  int64
	started time.Time
	stopped bool
	cpu     int
}

// resize is a change of a worker's capacity.
type resize struct {
	before int // capacity before the change
	at     time.Time
}

// maxListedEnds is the most ends that a worker lists in one response.
const maxListedEnds = 500

// Worker is a worker process on a host; a restart makes a new Worker. Its faults may be set while it is serving.
type Worker struct {
	ID   string
	Addr string

	site    *Site
	service string
	host    string
	started time.Time

	mu       sync.Mutex
	cpu      int           // capacity, in thousandths of a core
	resizes  []resize      // earlier capacities, the latest last
	token    int64         // highest fencing token received
	lease    time.Duration // end of the lease, on the worker's clock
	runs     map[string]*run
	barred   map[string]int64    // by task: runs up to this number are not started any more
	ended    [][]any             // unacknowledged ends: sequence number, task, run, cause, checkpoint
	endTimes map[int64]time.Time // by sequence number of the end
	seq      int64               // sequence number of the latest end
	dead     bool
	silent   bool          // calls are carried out but get no answer
	newEnd   chan struct{} // closed and replaced when a run ends
}

// Kill ends the worker and all runs on it, and returns the names of their tasks.
func (w *Worker) Kill() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	tasks := slices.Collect(maps.Keys(w.runs))
	for _, name := range tasks {
		w.site.runEnded(name)
	}
	w.runs = map[string]*run{}
	close(w.newEnd)
	w.newEnd = make(chan struct{})
	return tasks
}

func (w *Worker) isDead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}

// Resize changes the capacity of the worker, which its entry in the store shows.
func (w *Worker) Resize(cpu int) {
	w.mu.Lock()
	w.resizes = append(w.resizes, resize{before: w.cpu, at: time.Now()})
	w.cpu = cpu
	dead := w.dead
	w.mu.Unlock()
	if !dead {
		w.site.Store.Put("servers", "", w.ID, w.entry("ready"))
	}
}

// CPU returns the capacity of the worker, in thousandths of a core.
func (w *Worker) CPU() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cpu
}

// largestCPU returns the largest capacity within resizeGrace. w.mu is held.
func (w *Worker) largestCPU() int {
	most := w.cpu
	for _, r := range w.resizes {
		if time.Since(r.at) < resizeGrace {
			most = max(most, r.before)
		}
	}
	return most
}

// SetSilent makes the worker carry out calls without answering them, or answer them again.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// Running returns the number of current runs.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

func (w *Worker) entry(state string) []byte {
	cpu := w.CPU()
	data, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.Addr, "zone": "z1", "version": "v1", "state": state, "machine": w.host,
		"capacity": map[string]int{"cpu": cpu, "mem_mb": 131072, "gpus": 0}, "labels": []string{"a", "r1"},
		"born": w.started.UnixMilli(), "sequence": 1,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// clock returns the worker's clock, which starts at zero with the worker.
func (w *Worker) clock() time.Duration { return time.Since(w.started) }

type workerRequest struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Payload string `json:"specification"`
	Lease   int64  `json:"deadline_ms"`
	Token   int64  `json:"fencing_token"`
	Acked   int64  `json:"ack_cursor"`
	Wait    int64  `json:"wait_ms"`
}

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.handle(w.start))
	mux.HandleFunc("POST /api/run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /api/pace", w.handle(func(workerRequest) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /api/hold", w.hold)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		switch {
		case w.isDead():
			panic(http.ErrAbortHandler)
		case r.Header.Get("X-Expected-Instance") != w.ID:
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
		w.mu.Lock()
		silent := w.silent
		w.mu.Unlock()
		if silent {
			panic(http.ErrAbortHandler)
		}
	})
}

// handle returns a handler that calls fn under the worker's lock unless the fencing token is lower than an earlier one.
func (w *Worker) handle(fn func(workerRequest) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o workerRequest
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			panic(http.ErrAbortHandler) // it has been killed since the call came in
		}
		status, reason := http.StatusConflict, "fence"
		if o.Token >= w.token {
			w.token = o.Token
			status, reason = fn(o)
		}
		clock := w.clock().Milliseconds()
		w.mu.Unlock()
		body := map[string]any{"clock_ms": clock}
		if reason != "" {
			body["reason"] = reason
		}
		writeJSON(rw, status, body)
	}
}

func (w *Worker) start(o workerRequest) (int, string) {
	if r, ok := w.runs[o.Task]; ok && r.number == o.Run {
		return http.StatusOK, ""
	}
	lease := time.Duration(o.Lease) * time.Millisecond
	switch {
	case o.Run <= w.barred[o.Task]:
		return http.StatusConflict, "old"
	case lease < w.clock():
		return http.StatusConflict, "late"
	}
	w.lease = max(w.lease, lease)
	cpu := w.site.runStarted(o.Task, o.Payload)
	used := cpu
	for _, r := range w.runs {
		used += r.cpu
	}
	if most := w.largestCPU(); used > most {
		w.site.addViolation(fmt.Sprintf("%s exceeds its CPU capacity: %d of %d", w.ID, used, most))
	}
	w.runs[o.Task] = &run{number: o.Run, started: time.Now(), cpu: cpu}
	if w.site.crashesWorkers(o.Task) {
		time.AfterFunc(crashDelay, func() { w.site.Crash(w, crashTime) })
	}
	return http.StatusOK, ""
}

func (w *Worker) stop(o workerRequest) (int, string) {
	if r, ok := w.runs[o.Task]; ok && r.number <= o.Run {
		r.stopped = true
	}
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	return http.StatusOK, ""
}

// endRuns ends the runs that were stopped or are complete, and all runs if the worker's lease has expired.
func (w *Worker) endRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, r := range w.runs {
		cause := ""
		switch length := w.site.length(name); {
		case w.clock() > w.lease:
			cause = "lapsed"
		case r.stopped:
			cause = "stopped"
		case length > 0 && time.Since(r.started) > length:
			cause = "done"
		}
		if cause == "" {
			continue
		}
		delete(w.runs, name)
		w.barred[name] = max(w.barred[name], r.number)
		w.seq++
		w.ended = append(w.ended, []any{w.seq, name, r.number, cause, ""})
		w.endTimes[w.seq] = time.Now()
		w.site.runEnded(name)
		close(w.newEnd)
		w.newEnd = make(chan struct{})
	}
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	var o workerRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if o.Token < w.token {
		w.mu.Unlock()
		writeJSON(rw, http.StatusConflict, map[string]any{"reason": "fence", "clock_ms": w.clock().Milliseconds()})
		return
	}
	w.token = o.Token
	w.lease = max(w.lease, time.Duration(o.Lease)*time.Millisecond)
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e[0].(int64) > o.Acked {
			kept = append(kept, e)
		} else if e[3] == "done" {
			w.site.doneAcked(e[1].(string), w.endTimes[e[0].(int64)])
		}
	}
	w.ended = kept
	ends, waits := w.newEnd, len(w.ended) == 0
	w.mu.Unlock()
	if waits {
		select {
		case <-ends:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	if w.isDead() {
		panic(http.ErrAbortHandler) // the connection ends with the process
	}
	writeJSON(rw, http.StatusOK, w.report())
}

func (w *Worker) report() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := [][]any{}
	for name, r := range w.runs {
		percent := int64(100)
		if length := w.site.length(name); length > 0 {
			percent = min(99, int64(100*time.Since(r.started)/length))
		}
		running = append(running, []any{name, r.number, "", percent, 0})
	}
	ended := append([][]any{}, w.ended[:min(len(w.ended), maxListedEnds)]...)
	return map[string]any{"clock_ms": w.clock().Milliseconds(), "running": running, "ended": ended, "born": w.started.UnixMilli()}
}
