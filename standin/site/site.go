package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the site.
const (
	hostCPU   = 32000
	workEvery = 5 * time.Millisecond
	upkeep    = 300 * time.Millisecond
	move      = 200 * time.Millisecond
	// SparePool is the pool that is switched off.
	SparePool = "spare"
)

// Task is what a job that a test hands in does on the workers.
type Task struct {
	CPU    int           // thousandths of a core, of each task
	Length time.Duration // 0: until it is stopped
}

// host is a host of the platform.
type host struct {
	name, pool, state string
	worker            *Worker
	moved             int64 // fencing token of the last order
	waves             map[int]bool
}

// Site is a whole stand-in. It must be made with New.
type Site struct {
	Store     *Store
	StoreAddr string
	HostsAddr string

	mu      sync.Mutex
	ctx     context.Context
	hosts   map[string]*host
	workers []*Worker
	jobs    map[string]Task
	now     map[string]int // runs of each task
	done    map[string]bool
	starts  map[string]int
	last    map[string]time.Time // last start of each task
	faults  []string
	lives   int
	config  int
}

// New starts a site with a number of hosts in each service. It ends with ctx.
func New(ctx context.Context, services map[string]int) (*Site, error) {
	s := &Site{
		Store: newStore(), ctx: ctx, hosts: map[string]*host{}, jobs: map[string]Task{}, now: map[string]int{},
		done: map[string]bool{}, starts: map[string]int{}, last: map[string]time.Time{},
	}
	var err error
	if s.StoreAddr, err = s.listen(s.Store.handler()); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", s.list)
	mux.HandleFunc("POST /api/machine-upkeep", s.change(s.upkeep))
	mux.HandleFunc("POST /api/machine-move", s.change(s.move))
	if s.HostsAddr, err = s.listen(mux); err != nil {
		return nil, err
	}
	n := 0
	for service, count := range services {
		for range count {
			n++
			h := &host{name: fmt.Sprintf("h%d", n), pool: service, state: "up", waves: map[int]bool{}}
			s.hosts[h.name] = h
			if service == SparePool {
				continue
			}
			if err := s.birth(h); err != nil {
				return nil, err
			}
		}
	}
	go s.work(ctx)
	return s, nil
}

func (s *Site) listen(h http.Handler) (string, error) {
	var config net.ListenConfig
	l, err := config.Listen(s.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(s.ctx, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// birth starts a worker on a host.
func (s *Site) birth(h *host) error {
	s.mu.Lock()
	s.lives++
	w := &Worker{
		ID: fmt.Sprintf("i%d", s.lives), site: s, service: h.pool, host: h.name, cpu: hostCPU, born: time.Now(),
		runs: map[string]*run{}, barred: map[string]int64{}, times: map[int64]time.Time{}, ends: make(chan struct{}),
	}
	h.worker = w
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	var err error
	if w.Addr, err = s.listen(w.handler()); err != nil {
		return err
	}
	s.Store.Put("servers", "", w.ID, w.entry("ready"))
	return nil
}

// Workers returns the live workers of a service.
func (s *Site) Workers(service string) []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*Worker
	for _, h := range s.hosts {
		if h.pool == service && h.worker != nil {
			list = append(list, h.worker)
		}
	}
	return list
}

// Configure writes the operator's configuration: one queue for each service, at the host q.example.
func (s *Site) Configure(services []string, timeout time.Duration) int {
	s.mu.Lock()
	s.config += 3
	version := s.config
	s.mu.Unlock()
	var routes, pools []map[string]any
	for _, name := range services {
		routes = append(routes, map[string]any{
			"name": "r-" + name, "host": "q.example", "path_prefix": "/" + name + "/", "kind": "unsafe",
			"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 600, "priority": 0, "service": name, "max_attempts": 3, "stretch": 2.0,
		})
		pools = append(pools, map[string]any{"name": name, "admission_check": false, "spare": false})
	}
	pools = append(pools, map[string]any{"name": SparePool, "spare": true})
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": pools, "limits": map[string]int{"max_body_bytes": 262144},
	})
	if err != nil {
		panic(err)
	}
	s.Store.Put("op", "", "config", data)
	return version
}

// Wave asks for the upkeep of all hosts of a service.
func (s *Site) Wave(number int, service string, limit int) {
	s.mu.Lock()
	var names []string
	for _, h := range s.hosts {
		if h.pool == service {
			names = append(names, h.name)
		}
	}
	s.mu.Unlock()
	data, err := json.Marshal(map[string]any{"wave": number, "machines": names, "duration_s": 20, "max_count": limit})
	if err != nil {
		panic(err)
	}
	s.Store.Put("op", "", "wave/"+strconv.Itoa(number), data)
}

// Expect tells the site what the tasks of a job do. Without it, a start of them is a fault.
func (s *Site) Expect(job string, t Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[job] = t
}

// Faults returns what must never have happened.
func (s *Site) Faults() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.faults...)
}

// Starts returns how often the tasks of a job were started, by task.
func (s *Site) Starts(job string) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for name, n := range s.starts {
		if strings.HasPrefix(name, job+".") {
			out[name] = n
		}
	}
	return out
}

// Running returns the number of runs of a job.
func (s *Site) Running(job string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for name, c := range s.now {
		if strings.HasPrefix(name, job+".") {
			n += c
		}
	}
	return n
}

func (s *Site) broken(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, what)
}

func jobOf(name string) string { return name[:strings.IndexByte(name, '.')] }

func (s *Site) length(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[jobOf(name)].Length
}

// began notes a start and returns the room that the task takes.
func (s *Site) began(name, payload string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, known := s.jobs[jobOf(name)]
	switch {
	case !known || payload != "p-"+jobOf(name):
		s.faults = append(s.faults, name+" was started and nobody asked for it")
	case s.now[name] > 0:
		s.faults = append(s.faults, name+" runs twice")
	case s.done[name]:
		s.faults = append(s.faults, name+" was started after it was done")
	}
	s.now[name]++
	s.last[name] = time.Now()
	s.starts[name]++
	return t.CPU
}

// noted notes that an end as done was acknowledged. Ends that a worker takes with it when it crashes don't count.
func (s *Site) noted(name string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done[name] = true
	if s.last[name].After(at) {
		s.faults = append(s.faults, name+" was started after an end that was acknowledged later")
	}
}

func (s *Site) left(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now[name]--
}

func (s *Site) work(ctx context.Context) {
	tick := time.NewTicker(workEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s.mu.Lock()
		list := append([]*Worker(nil), s.workers...)
		s.mu.Unlock()
		for _, w := range list {
			w.work()
		}
	}
}

func (s *Site) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []map[string]any{}
	for _, h := range s.hosts {
		id := ""
		if h.worker != nil {
			id = h.worker.ID
		}
		rows = append(rows, map[string]any{"machine": h.name, "pool": h.pool, "state": h.state, "zone": "z1", "id": id})
	}
	answer(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": nil})
}

type hostOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int    `json:"wave"`
}

// change carries out a call about a host, if its token is not lower than the last.
func (s *Site) change(fn func(h *host, o hostOrder) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o hostOrder
		token, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
		if derr := json.NewDecoder(r.Body).Decode(&o); derr != nil || err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		h := s.hosts[o.Machine]
		if h == nil {
			s.mu.Unlock()
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if token < h.moved {
			s.mu.Unlock()
			answer(w, http.StatusConflict, map[string]string{"reason": "fence"})
			return
		}
		h.moved = token
		s.mu.Unlock()
		status, reason := fn(h, o)
		answer(w, status, map[string]string{"reason": reason})
	}
}

func (s *Site) upkeep(h *host, o hostOrder) (int, string) {
	s.mu.Lock()
	again, busy := h.waves[o.Wave], h.state != "up"
	h.waves[o.Wave] = h.waves[o.Wave] || !busy
	s.mu.Unlock()
	switch {
	case again:
		return http.StatusOK, ""
	case busy:
		return http.StatusConflict, "busy"
	}
	s.leave(h, "upkeep", h.pool, upkeep)
	return http.StatusOK, ""
}

func (s *Site) move(h *host, o hostOrder) (int, string) {
	s.mu.Lock()
	same, busy := h.pool == o.Pool, h.state != "up"
	s.mu.Unlock()
	switch {
	case same:
		return http.StatusOK, ""
	case busy:
		return http.StatusConflict, "busy"
	}
	s.leave(h, "moving", o.Pool, move)
	return http.StatusOK, ""
}

// leave ends the worker of a host and starts another after a time.
func (s *Site) leave(h *host, state, pool string, after time.Duration) {
	s.mu.Lock()
	w := h.worker
	h.worker, h.state, h.pool = nil, state, pool
	s.mu.Unlock()
	if w != nil {
		w.Kill()
		s.Store.Remove("servers", "", w.ID)
	}
	time.AfterFunc(after, func() {
		s.mu.Lock()
		h.state = "up"
		s.mu.Unlock()
		if pool != SparePool {
			// Without a listener the host stays without a worker.
			_ = s.birth(h)
		}
	})
}

// Crash ends a worker without a word and starts another on its host after a time.
func (s *Site) Crash(w *Worker, after time.Duration) {
	s.mu.Lock()
	h := s.hosts[w.host]
	if h.worker != w || h.state != "up" {
		s.mu.Unlock()
		return
	}
	h.worker, h.state = nil, "down"
	pool := h.pool
	s.mu.Unlock()
	w.Kill()
	time.AfterFunc(after, func() {
		s.Store.Remove("servers", "", w.ID)
		s.mu.Lock()
		h.state = "up"
		s.mu.Unlock()
		if pool != SparePool {
			// Without a listener the host stays without a worker.
			_ = s.birth(h)
		}
	})
}
