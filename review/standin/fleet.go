package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func hex8(n uint32) string { return fmt.Sprintf("%08x", n) }

func taskName(id taskID) string { return fmt.Sprintf("%s.%d.%d.%d", id.job, id.k, id.s, id.i) }

// daemon is a process under test.
type daemon struct {
	name, ip  string
	callers   string
	readiness string
	settings  string
	log       string
	cmd       *exec.Cmd
	ended     chan struct{}
}

// fleet is a small deployment: the platform and the daemons.
type fleet struct {
	p       *platform
	rec     *record
	dir     string
	program string
	daemons []*daemon
	client  *http.Client
	queues  []string
}

var (
	procMu sync.Mutex
	procs  []*os.Process
)

// endAll ends all processes that were started.
func endAll() {
	procMu.Lock()
	defer procMu.Unlock()
	for _, p := range procs {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Kill()
	}
}

type fleetConfig struct {
	daemons  int
	pools    map[string]int
	cpu, mem int
	fenced   bool
	labels   func(pool string, n int) []string
	shares   []float64 // cpu_share of the daemons
	timeout  int
	target   int
}

func newFleet(dir, program string, c fleetConfig) *fleet {
	rec := newRecord()
	p := &platform{
		store: newStore(rec), rec: rec, jobs: map[string]*job{}, gangs: map[string]*gang{}, waves: map[int]int{}, attempts: 3,
	}
	f := &fleet{p: p, rec: rec, dir: dir, program: program, client: &http.Client{Timeout: 4 * time.Second}}
	cloud := p.serveCloud(c.fenced)
	n := 0
	p.mu.Lock()
	for pool, count := range c.pools {
		if pool != "spare" {
			f.queues = append(f.queues, pool)
		}
		for i := range count {
			n++
			x := &machine{name: fmt.Sprintf("m-%02d", n), pool: pool, state: "up", zone: "z" + strconv.Itoa(n%3), cpu: c.cpu, mem: c.mem, upkept: map[int]bool{}, begun: map[int]time.Time{}}
			x.labels = []string{"a", fmt.Sprintf("r1-%d", n/4)}
			if c.labels != nil {
				x.labels = c.labels(pool, i)
			}
			p.machines = append(p.machines, x)
			if pool != "spare" {
				p.start(x, "", "")
			}
		}
	}
	p.mu.Unlock()
	go p.loop()
	go p.beats()
	f.configure()
	// Addresses of the loopback network, one for each daemon, since the port of the metrics is fixed.
	net2, net3 := 16+rand.IntN(200), 1+rand.IntN(250)
	for i := range c.daemons {
		d := &daemon{name: fmt.Sprintf("d%d", i), ip: fmt.Sprintf("127.%d.%d.%d", net2, net3, 10+i)}
		port := func() string { return freePort(d.ip) }
		d.callers, d.readiness = port(), port()
		_, internal, _ := net.SplitHostPort(port())
		first, _ := strconv.Atoi(internal)
		d.settings, d.log = filepath.Join(dir, d.name+".json"), filepath.Join(dir, d.name+".log")
		share := 1.0
		if i < len(c.shares) {
			share = c.shares[i]
		}
		data, _ := json.Marshal(map[string]any{
			"node_name": d.name, "role": "entry", "machine_class": "frontend", "serves": []string{"frontend"}, "ip": d.ip, "zone": "z" + strconv.Itoa(i%3), "region": "r",
			"listen":              map[string]string{"frontend": d.callers, "readiness": d.readiness},
			"internal_port_range": []int{first, first}, "heartbeat_ms": heartbeat.Milliseconds(), "orders": "call", "first_start": true,
			"limits":    map[string]any{"cpu_share": share, "cores": 1, "memory_mb": 284, "file_descriptors": 4100},
			"platform":  map[string]any{"address": p.store.serve(d.name), "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "transaction_ms": 8, "row_bytes": maxRowBytes},
			"cloud_api": map[string]any{"address": cloud, "rate_per_s": 64, "duties_per_s": 64},
			"bounds": map[string]any{
				"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "max_hold_ms": maxHold.Milliseconds(),
				"stop_grace_ms": stopGrace.Milliseconds(), "gang_timeout_ms": gangTimeout.Milliseconds(), "cancel_ms": 3000, "visible_ms": 3000,
				"status_s": 120, "notice_ms": 4500, "require_fencing": c.fenced, "lease_ms": 3000,
			},
		})
		if err := os.WriteFile(d.settings, data, 0o600); err != nil {
			fatal("settings: %v", err)
		}
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		f.start(d)
	}
	f.until(20*time.Second, "all daemons are ready", func() bool {
		for _, d := range f.daemons {
			resp, err := f.client.Get("http://" + d.readiness + "/api/readiness")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
	return f
}

func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fatal("no free port: %v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (f *fleet) configure() {
	var routes, services []map[string]any
	for _, q := range f.queues {
		routes = append(routes, map[string]any{
			"name": "r-" + q, "host": "q.example", "path_prefix": "/" + q + "/", "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 600,
			"priority": 0, "service": q, "max_attempts": f.p.attempts, "stretch": 1.6,
		})
		services = append(services, map[string]any{"name": q, "admission_check": false})
	}
	services = append(services, map[string]any{"name": "spare", "spare": true})
	data, _ := json.Marshal(map[string]any{"version": 4, "routes": routes, "services": services, "limits": map[string]any{"max_body_bytes": 262144}})
	f.p.store.put("op", "", "config", data)
}

func (f *fleet) start(d *daemon) {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("log: %v", err)
	}
	cmd := exec.Command(f.program)
	cmd.Env = append(os.Environ(), "CUMINSTAIR_CONFIG="+d.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		fatal("start %s: %v", d.name, err)
	}
	procMu.Lock()
	procs = append(procs, cmd.Process)
	procMu.Unlock()
	d.cmd, d.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}(d.ended)
	f.rec.add("daemon %s starts", d.name)
}

func (f *fleet) signal(d *daemon, s syscall.Signal) {
	f.rec.add("daemon %s gets %v", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// kill kills a daemon and starts it again after a time.
func (f *fleet) kill(d *daemon, after time.Duration) {
	f.signal(d, syscall.SIGKILL)
	<-d.ended
	if after >= 0 {
		time.Sleep(after)
		f.start(d)
	}
}

func (f *fleet) until(limit time.Duration, what string, cond func() bool) {
	if !f.wait(limit, cond) {
		f.rec.add("not reached within %v: %s", limit, what)
		f.rec.write(filepath.Join(f.dir, "record.txt"))
		fatal("not reached within %v: %s", limit, what)
	}
}

func (f *fleet) wait(limit time.Duration, cond func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return false
}

// owner returns the daemon that the owner record of a part names, or nil.
func (f *fleet) owner(part string) *daemon {
	var o struct{ Name string }
	if json.Unmarshal(f.p.store.value("owner", part, "owner"), &o) != nil {
		return nil
	}
	for _, d := range f.daemons {
		if d.name == o.Name {
			return d
		}
	}
	return nil
}

// call sends a request of a client. The status is 0 if there was no answer.
func (f *fleet) call(d *daemon, method, path string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+d.callers+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, ""
	}
	req.Host = "q.example"
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// submit hands a job in, with up to tries attempts at nodes in turn, and reports whether it was accepted.
func (f *fleet) submit(j *job, tries int) bool {
	if j.Spec == "" {
		j.Spec = "spec of " + j.ID
	}
	j.tasks = map[string]*taskState{}
	j.sentAt = time.Now()
	f.p.mu.Lock()
	f.p.jobs[j.ID] = j
	f.p.mu.Unlock()
	body, _ := json.Marshal(j)
	n := rand.IntN(len(f.daemons))
	for range tries {
		d := f.daemons[n%len(f.daemons)]
		n++
		f.p.mu.Lock()
		j.uncertain++ // until it is answered
		f.p.mu.Unlock()
		status, _ := f.call(d, http.MethodPost, "/"+j.Service+"/"+j.ID, body)
		f.rec.add("POST %s/%s at %s: %d", j.Service, j.ID, d.name, status)
		f.p.mu.Lock()
		switch status {
		case 200:
			j.acceptedAt = time.Now()
			f.p.mu.Unlock()
			return true
		case 429, 503:
			j.uncertain--
			j.rejected++
		}
		f.p.mu.Unlock()
		time.Sleep(time.Duration(300+rand.IntN(300)) * time.Millisecond)
	}
	return false
}

func (f *fleet) state(d *daemon, j *job) string {
	status, data := f.call(d, http.MethodGet, "/"+j.Service+"/"+j.ID, nil)
	if status != http.StatusOK {
		return strconv.Itoa(status)
	}
	var s struct{ State string }
	_ = json.Unmarshal([]byte(data), &s)
	if s.State == "completed" {
		f.p.mu.Lock()
		f.checkCompleted(j)
		f.p.mu.Unlock()
	}
	return s.State
}

func (f *fleet) checkCompleted(j *job) {
	for k := range j.occurrences() {
		for s, st := range j.Steps {
			for i := range st.Count {
				name := taskName(taskID{j.ID, k, s, i})
				if !j.task(name).done {
					f.rec.breaks("MIXED", "job %s is shown as completed, and %s has not ended done", j.ID, name)
					return
				}
			}
		}
	}
}

// cancel cancels a job and reports whether it was acknowledged.
func (f *fleet) cancel(j *job, tries int) bool {
	f.p.mu.Lock()
	if j.cancelSent.IsZero() {
		j.cancelSent = time.Now()
	}
	f.p.mu.Unlock()
	for range tries {
		d := f.daemons[rand.IntN(len(f.daemons))]
		status, _ := f.call(d, http.MethodDelete, "/"+j.Service+"/"+j.ID, nil)
		f.rec.add("DELETE %s/%s at %s: %d", j.Service, j.ID, d.name, status)
		if status == 200 || status == 410 {
			f.p.mu.Lock()
			j.cancelledAt = time.Now()
			f.p.mu.Unlock()
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
