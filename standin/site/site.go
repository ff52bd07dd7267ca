package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Capacity of a host, and times of the simulated platform.
const (
	hostCPU     = 32000                   // thousandths of a core
	runInterval = 5 * time.Millisecond    // between two checks for runs that have ended
	upkeepTime  = 300 * time.Millisecond  // how long a host is down for upkeep
	moveTime    = 200 * time.Millisecond  // how long a host is down while it moves to another pool
	crashDelay  = 10 * time.Millisecond   // from the start of a task that crashes its worker to the crash
	crashTime   = 1500 * time.Millisecond // how long a host is down after such a crash
	// resizeGrace is how long starts may exceed a capacity that has shrunk.
	resizeGrace = 4500 * time.Millisecond
	applyTime   = 3 * time.Second // from the acknowledgement of a configuration until it is in force everywhere
	// Limits of tasks that crash their workers: after crashLimit crashes, startLimit further starts are too many.
	crashLimit = 3
	startLimit = 3
	// SparePool is the pool of the hosts that run no worker.
	SparePool = "spare"
)

// Task describes the tasks of a job that a test submits.
type Task struct {
	CPU    int           // of each task, in thousandths of a core
	Length time.Duration // run time; 0: runs until it is stopped
	// Crashes is set if a task crashes each worker that starts it: the task with index 0 of step 0.
	Crashes bool
}

// host is a host of the simulated platform.
type host struct {
	name, pool, state string
	worker            *Worker
	token             int64        // highest fencing token of a request for this host
	waves             map[int]bool // waves whose upkeep was accepted
}

// Site is the simulated platform. New creates it.
type Site struct {
	Store     *Store
	StoreAddr string
	HostsAddr string

	mu            sync.Mutex
	ctx           context.Context
	hosts         map[string]*host
	workers       []*Worker
	jobs          map[string]Task      // by job, set by DeclareJob
	running       map[string]int       // by task: number of current runs
	done          map[string]bool      // by task: the daemon acknowledged the end of a run with cause "done"
	starts        map[string]int       // by task: number of starts
	lastStart     map[string]time.Time // by task
	crashes       map[string]int       // by task: workers that crashed while it ran there
	crashStarts   map[string]int       // by task that crashes its workers: starts after crashLimit crashes
	violations    []string
	workerCount   int // workers started so far; part of their ids
	configVersion int
	limits        []limitVersion    // of all configurations
	accountOf     map[string]string // by job, set by AssignJob
}

// New starts a site with the given number of hosts for each service. It stops when ctx is done.
func New(ctx context.Context, services map[string]int) (*Site, error) {
	s := &Site{
		Store: newStore(), ctx: ctx, hosts: map[string]*host{}, jobs: map[string]Task{}, running: map[string]int{},
		done: map[string]bool{}, starts: map[string]int{}, lastStart: map[string]time.Time{},
		crashes: map[string]int{}, crashStarts: map[string]int{}, accountOf: map[string]string{},
	}
	var err error
	if s.StoreAddr, err = s.listen(s.Store.handler()); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", s.list)
	mux.HandleFunc("POST /api/machine-upkeep", s.changeHost(s.upkeep))
	mux.HandleFunc("POST /api/machine-move", s.changeHost(s.move))
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
			if err := s.startWorker(h); err != nil {
				return nil, err
			}
		}
	}
	go s.endRunsLoop(ctx)
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

// startWorker starts a worker on a host.
func (s *Site) startWorker(h *host) error {
	s.mu.Lock()
	s.workerCount++
	w := &Worker{
		ID: fmt.Sprintf("i%d", s.workerCount), site: s, service: h.pool, host: h.name, cpu: hostCPU, started: time.Now(),
		runs: map[string]*run{}, barred: map[string]int64{}, endTimes: map[int64]time.Time{}, newEnd: make(chan struct{}),
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

// Configure writes the operator's configuration, with one queue for each service at the host name q.example, and
// returns its version.
func (s *Site) Configure(services []string, timeout time.Duration) int {
	return s.ConfigureAccounts(services, timeout, nil)
}

// Account is a client account of the operator's configuration.
type Account struct {
	Name   string         `json:"name"`
	Keys   []string       `json:"api_keys"`
	Weight float64        `json:"weight"`
	Limit  map[string]int `json:"max_count,omitempty"`
}

// ConfigureAccounts is Configure with client accounts; nil: none.
func (s *Site) ConfigureAccounts(services []string, timeout time.Duration, accounts []Account) int {
	s.mu.Lock()
	s.configVersion += 3 // versions need not be consecutive
	version := s.configVersion
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
	config := map[string]any{
		"version": version, "routes": routes, "services": pools, "limits": map[string]int{"max_body_bytes": 262144},
	}
	if accounts != nil {
		config["tenants"] = accounts
	}
	data, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock() // no task starts between the write and the record of its limits
	s.Store.Put("op", "", "config", data)
	s.limits = append(s.limits, limitVersion{acked: time.Now(), accounts: slices.Clone(accounts)})
	return version
}

// limitVersion has the limits of accounts in a version of the configuration.
type limitVersion struct {
	acked    time.Time
	accounts []Account
}

// checkLimit records a violation if after the start of a task, the running tasks of its account exceed the highest limit of the
// versions that may be in force by more than a tenth and one task. s.mu is held.
func (s *Site) checkLimit(name string, t Task) {
	account, used, most, limited := s.accountOf[jobOf(name)], 0, 0, true
	if account == "" {
		return
	}
	for i, v := range s.limits {
		if i+1 < len(s.limits) && time.Since(s.limits[i+1].acked) > applyTime {
			continue
		}
		for _, a := range v.accounts {
			if a.Name == account {
				most, limited = max(most, a.Limit["cpu"]), limited && a.Limit["cpu"] > 0
			}
		}
	}
	for other, n := range s.running {
		if job := jobOf(other); s.accountOf[job] == account {
			used += n * s.jobs[job].CPU
		}
	}
	if limited && float64(used) > 1.1*float64(most)+float64(t.CPU) {
		s.violations = append(s.violations, fmt.Sprintf("%s exceeds the limit of account %s: %d of %d", name, account, used, most))
	}
}

// Wave writes a wave that requests the upkeep of all hosts of a service, at most limit of them at once.
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

// DeclareJob declares a job and what its tasks do. A task of an undeclared job that is started counts as a violation.
func (s *Site) DeclareJob(job string, t Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[job] = t
}

// AssignJob tells whose limit the tasks of a job count against.
func (s *Site) AssignJob(job, account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accountOf[job] = account
}

// Violations returns the violations so far: events that must never happen, such as two runs of a task at the same time.
func (s *Site) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.violations...)
}

// Starts returns, by task, how often the tasks of a job were started.
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

// Running returns the number of current runs of the tasks of a job.
func (s *Site) Running(job string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for name, c := range s.running {
		if strings.HasPrefix(name, job+".") {
			n += c
		}
	}
	return n
}

func (s *Site) addViolation(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, text)
}

func jobOf(name string) string { return name[:strings.IndexByte(name, '.')] }

func (s *Site) length(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[jobOf(name)].Length
}

// runStarted records the start of a run, and a violation if the task must not start. It returns the CPU that the task
// takes.
func (s *Site) runStarted(name, payload string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, known := s.jobs[jobOf(name)]
	switch {
	case !known || payload != "p-"+jobOf(name):
		s.violations = append(s.violations, name+" was started for an unknown job or with a wrong payload")
	case s.running[name] > 0:
		s.violations = append(s.violations, name+" runs twice at the same time")
	case s.done[name]:
		s.violations = append(s.violations, name+" was started after it was done")
	}
	s.running[name]++
	s.lastStart[name] = time.Now()
	s.starts[name]++
	s.checkCrashes(name, t)
	s.checkLimit(name, t)
	return t.CPU
}

// checkCrashes records a violation if a task that crashes its workers is started too often. s.mu is held.
func (s *Site) checkCrashes(name string, t Task) {
	if !t.crashesIn(name) || s.crashes[name] < crashLimit {
		return
	}
	s.crashStarts[name]++
	if s.crashStarts[name] == startLimit {
		s.violations = append(s.violations, fmt.Sprintf("%s was started %d times after %d workers had crashed under it", name, startLimit, crashLimit))
	}
}

// crashesIn reports whether the task with the given name crashes its workers.
func (t Task) crashesIn(name string) bool { return t.Crashes && strings.HasSuffix(name, ".0.0.0") }

// crashesWorkers reports whether a task crashes its workers.
func (s *Site) crashesWorkers(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[jobOf(name)].crashesIn(name)
}

// CrashedUnder returns the number of workers that crashed under one task of a job, for the task with the most.
func (s *Site) CrashedUnder(job string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for name, n := range s.crashes {
		if strings.HasPrefix(name, job+".") {
			most = max(most, n)
		}
	}
	return most
}

// doneAcked records that the daemon acknowledged the end of a run with cause "done", and a violation if the task was
// started again after that end, which was at the time at. If the worker crashes before the acknowledgement, the task
// may be started again.
func (s *Site) doneAcked(name string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done[name] = true
	if s.lastStart[name].After(at) {
		s.violations = append(s.violations, name+" was started again after it ended as done, before that end was acknowledged")
	}
}

func (s *Site) runEnded(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[name]--
}

func (s *Site) endRunsLoop(ctx context.Context) {
	tick := time.NewTicker(runInterval)
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
			w.endRuns()
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
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": nil})
}

type hostRequest struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int    `json:"wave"`
}

// changeHost returns a handler that calls fn for a host unless the fencing token is lower than that of an earlier request.
func (s *Site) changeHost(fn func(h *host, o hostRequest) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o hostRequest
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
		if token < h.token {
			s.mu.Unlock()
			writeJSON(w, http.StatusConflict, map[string]string{"reason": "fence"})
			return
		}
		h.token = token
		s.mu.Unlock()
		status, reason := fn(h, o)
		writeJSON(w, status, map[string]string{"reason": reason})
	}
}

func (s *Site) upkeep(h *host, o hostRequest) (int, string) {
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
	s.takeDown(h, "upkeep", h.pool, upkeepTime)
	return http.StatusOK, ""
}

func (s *Site) move(h *host, o hostRequest) (int, string) {
	s.mu.Lock()
	same, busy := h.pool == o.Pool, h.state != "up"
	s.mu.Unlock()
	switch {
	case same:
		return http.StatusOK, ""
	case busy:
		return http.StatusConflict, "busy"
	}
	s.takeDown(h, "moving", o.Pool, moveTime)
	return http.StatusOK, ""
}

// takeDown stops the worker of a host and puts the host into a state and a pool. When the duration after has passed, it
// brings the host up again, with a new worker unless the pool is SparePool.
func (s *Site) takeDown(h *host, state, pool string, after time.Duration) {
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
			// If the worker can't listen, it never appears in the store.
			_ = s.startWorker(h)
		}
	})
}

// Crash kills a worker without notice and starts another one on its host when the duration after has passed. Until
// then the row of the killed worker stays in the store. Crash does nothing if the worker no longer runs on its host or
// the host is not up.
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
	tasks := w.Kill()
	s.mu.Lock()
	for _, name := range tasks {
		s.crashes[name]++
	}
	s.mu.Unlock()
	time.AfterFunc(after, func() {
		s.Store.Remove("servers", "", w.ID)
		s.mu.Lock()
		h.state = "up"
		s.mu.Unlock()
		if pool != SparePool {
			// If the worker can't listen, it never appears in the store.
			_ = s.startWorker(h)
		}
	})
}
