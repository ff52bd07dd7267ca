package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// run is a run of a task on a worker.
type run struct {
	number  int64
	begun   time.Time
	stopped bool
	cpu     int
}

// Worker is one life of a worker. Its faults may be set while it serves.
type Worker struct {
	ID   string
	Addr string

	site    *Site
	service string
	host    string
	cpu     int
	born    time.Time

	mu     sync.Mutex
	token  int64
	lease  time.Duration
	runs   map[string]*run
	barred map[string]int64
	ended  [][]any
	times  map[int64]time.Time // of the ends
	seq    int64
	dead   bool
	silent bool // calls get no answer, and starts are carried out
	ends   chan struct{}
}

// Kill ends the worker and all that runs on it.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for name := range w.runs {
		w.site.left(name)
	}
	w.runs = map[string]*run{}
}

// SetSilent makes the worker carry out orders without answering, or answer again.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// Running returns the number of runs.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

func (w *Worker) entry(state string) []byte {
	data, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.Addr, "zone": "z1", "version": "v1", "state": state, "machine": w.host,
		"capacity": map[string]int{"cpu": w.cpu, "mem_mb": 131072, "gpus": 0}, "labels": []string{"a", "r1"},
		"born": w.born.UnixMilli(), "sequence": 1,
	})
	if err != nil {
		panic(err)
	}
	return data
}

func (w *Worker) clock() time.Duration { return time.Since(w.born) }

type order struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Payload string `json:"specification"`
	Lease   int64  `json:"deadline_ms"`
	Token   int64  `json:"fencing_token"`
	Seen    int64  `json:"ack_cursor"`
	Wait    int64  `json:"wait_ms"`
}

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.do(w.start))
	mux.HandleFunc("POST /api/run-stop", w.do(w.stop))
	mux.HandleFunc("POST /api/pace", w.do(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /api/hold", w.hold)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		dead := w.dead
		w.mu.Unlock()
		switch {
		case dead:
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

// do carries out an order under the worker's lock.
func (w *Worker) do(fn func(order) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
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
		answer(rw, status, body)
	}
}

func (w *Worker) start(o order) (int, string) {
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
	cpu := w.site.began(o.Task, o.Payload)
	used := cpu
	for _, r := range w.runs {
		used += r.cpu
	}
	if used > w.cpu {
		w.site.broken(fmt.Sprintf("%s is over its room: %d of %d", w.ID, used, w.cpu))
	}
	w.runs[o.Task] = &run{number: o.Run, begun: time.Now(), cpu: cpu}
	return http.StatusOK, ""
}

func (w *Worker) stop(o order) (int, string) {
	if r, ok := w.runs[o.Task]; ok && r.number <= o.Run {
		r.stopped = true
	}
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	return http.StatusOK, ""
}

// work ends the runs that are over.
func (w *Worker) work() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, r := range w.runs {
		how := ""
		switch length := w.site.length(name); {
		case w.clock() > w.lease:
			how = "lapsed"
		case r.stopped:
			how = "stopped"
		case length > 0 && time.Since(r.begun) > length:
			how = "done"
		}
		if how == "" {
			continue
		}
		delete(w.runs, name)
		w.barred[name] = max(w.barred[name], r.number)
		w.seq++
		w.ended = append(w.ended, []any{w.seq, name, r.number, how, ""})
		w.times[w.seq] = time.Now()
		w.site.left(name)
		close(w.ends)
		w.ends = make(chan struct{})
	}
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if o.Token < w.token {
		w.mu.Unlock()
		answer(rw, http.StatusConflict, map[string]any{"reason": "fence", "clock_ms": w.clock().Milliseconds()})
		return
	}
	w.token = o.Token
	w.lease = max(w.lease, time.Duration(o.Lease)*time.Millisecond)
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e[0].(int64) > o.Seen {
			kept = append(kept, e)
		} else if e[3] == "done" {
			w.site.noted(e[1].(string), w.times[e[0].(int64)])
		}
	}
	w.ended = kept
	ends, waits := w.ends, len(w.ended) == 0
	w.mu.Unlock()
	if waits {
		select {
		case <-ends:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	answer(rw, http.StatusOK, w.lists())
}

func (w *Worker) lists() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := [][]any{}
	for name, r := range w.runs {
		percent := int64(100)
		if length := w.site.length(name); length > 0 {
			percent = min(99, int64(100*time.Since(r.begun)/length))
		}
		running = append(running, []any{name, r.number, "", percent, 0})
	}
	ended := append([][]any{}, w.ended...)
	return map[string]any{"clock_ms": w.clock().Milliseconds(), "running": running, "ended": ended, "born": w.born.UnixMilli()}
}
