package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemon is an entry host that runs the program of the deploy file.
type daemon struct {
	name, ip   string
	settings   string
	front      string
	cmd        *exec.Cmd
	log        *os.File
	stopped    bool
	ended      chan struct{}
	ends       int
	overMemory int
}

// system is the entry hosts, and the clients' way to them.
type system struct {
	w             *world
	root          string
	dir           string
	daemons       []*daemon
	bounds        map[string]any
	memory        int
	client        *http.Client
	next          int
	enforceMemory bool // processes above their memory are killed, and restarted after a second
}

func newSystem(w *world, root string) *system {
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		fail("create a folder: %v", err)
	}
	return &system{
		w: w, root: root, dir: dir, memory: 284, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
		bounds: map[string]any{
			"seed_lag_s": 3, "address_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12, "max_hold_ms": 10000, "stop_grace_ms": 400,
			"gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "far_x": 3,
			"checkpoint_interval_s": 1, "restore_ms": 600, "notice_ms": 4500, "migration_s": 1.5, "maintenance_s": 2, "require_fencing": true,
			"lease_ms": 3000, "thaw_slack_ms": 300, "pace_ms": 100, "harm_ms": 4000,
		},
	}
}

// listenOn listens on a free port of an address.
func listenOn(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("listen on %s: %v", ip, err)
	}
	return l
}

// start starts n daemons.
func (s *system) start(n int) {
	storeL, hostsL := listenOn("127.0.0.1"), listenOn("127.0.0.1")
	go s.w.store.serve(storeL)
	go s.w.serveMachines(hostsL)
	go s.w.ticker()
	net2 := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
	port := 21000 + rand.IntN(20000)
	for i := range n {
		d := &daemon{name: fmt.Sprintf("frontend-z1-%d", i+1), ip: fmt.Sprintf("%s%d", net2, i+1)}
		d.front = fmt.Sprintf("%s:%d", d.ip, port+30)
		settings := map[string]any{
			"node_name": d.name, "role": "entry", "machine_class": "frontend", "serves": []string{"frontend"}, "ip": d.ip, "zone": "z1", "region": "rg",
			"zones": map[string]string{"z1": "rg"}, "listen": map[string]string{"frontend": d.front, "readiness": fmt.Sprintf("%s:%d", d.ip, port+31)},
			"internal_port_range": []int{port, port + 15}, "seeds": []string{}, "first_start": true,
			"limits":         map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": s.memory, "file_descriptors": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"data_directory": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
			"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
			"tolerate":  map[string]int{"machines": 1, "zones": 1, "regions": 0}, "bounds": s.bounds, "orders": "call",
			"platform": map[string]any{
				"address": storeL.Addr().String(), "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "transaction_ms": 8.0, "partition_writes_s": 150,
				"row_bytes": rowBytes, "across": false, "history_retention_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
			},
			"cloud_api": map[string]any{"address": hostsL.Addr().String(), "rate_per_s": 64.0, "duties": []string{}, "duties_per_s": 64.0},
		}
		data, _ := json.MarshalIndent(settings, "", " ")
		d.settings = filepath.Join(s.dir, d.name+".json")
		if err := os.WriteFile(d.settings, data, 0o600); err != nil {
			fail("write settings: %v", err)
		}
		s.daemons = append(s.daemons, d)
		s.run(d)
	}
	if s.enforceMemory {
		go s.watchMemory()
	}
}

// run starts the process of a daemon.
func (s *system) run(d *daemon) {
	var err error
	if d.log == nil {
		if d.log, err = os.Create(filepath.Join(s.dir, d.name+".log")); err != nil {
			fail("create a log: %v", err)
		}
	}
	cmd := exec.Command(filepath.Join(s.root, "target/cuminstairjobs"))
	cmd.Dir = s.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CUMINSTAIR_CONFIG=" + d.settings}
	cmd.Stdout, cmd.Stderr = d.log, d.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start %s: %v", d.name, err)
	}
	d.cmd, d.stopped, d.ended = cmd, false, make(chan struct{})
	ended := d.ended
	go func() {
		err := cmd.Wait()
		s.w.mu.Lock()
		defer s.w.mu.Unlock()
		if !d.stopped {
			d.ends++
			s.w.log("%s ended by itself: %v", d.name, err)
		}
		close(ended)
	}()
}

func (s *system) kill(d *daemon) {
	s.w.mu.Lock()
	d.stopped = true
	s.w.log("SIGKILL of %s", d.name)
	s.w.mu.Unlock()
	_ = d.cmd.Process.Kill()
	<-d.ended
}

func (s *system) stop() {
	for _, d := range s.daemons {
		s.w.mu.Lock()
		d.stopped = true
		s.w.mu.Unlock()
		_ = d.cmd.Process.Kill()
		<-d.ended
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// owner returns the daemon that the store names as the owner of a service, or nil.
func (s *system) owner(service string) *daemon {
	data, _ := s.w.store.get("owner", service, "owner")
	for _, d := range s.daemons {
		if bytes.Contains(data, []byte(`"`+d.name+`"`)) {
			return d
		}
	}
	return nil
}

// ready waits until all daemons answer calls.
func (s *system) ready(services []string) {
	end := time.Now().Add(15 * time.Second)
	for time.Now().Before(end) {
		all := true
		for _, v := range services {
			all = all && s.owner(v) != nil
		}
		if all {
			time.Sleep(2 * time.Second)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	fail("the services have no owners after 15 s")
}

// call sends one request of a client to some daemon. Status 0: no answer.
func (s *system) call(method, path string, body []byte) (int, string) {
	s.w.mu.Lock()
	s.next++
	d := s.daemons[s.next%len(s.daemons)]
	s.w.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+d.front+path, bytes.NewReader(body))
	if err != nil {
		fail("make a request: %v", err)
	}
	req.Host = "q.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	c := *s.client
	c.Timeout = 3 * time.Second
	resp, err := c.Do(req)
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

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// job makes a job of a queue.
func (w *world) job(q *queue, steps ...*stepState) *jobState {
	id := newID()
	return &jobState{id: id, queue: q, spec: "work of " + id, steps: steps, tasks: map[string]*taskState{}}
}

func (j *jobState) encode() []byte {
	var steps []map[string]any
	for _, s := range j.steps {
		x := map[string]any{"count": s.count, "cpu": s.cpu, "mem_mb": s.mem}
		if s.estimate > 0 {
			x["estimated_ms"] = s.estimate.Milliseconds()
		}
		set := func(name string, on bool, v any) {
			if on {
				x[name] = v
			}
		}
		set("after", len(s.after) > 0, s.after)
		set("gang", s.gang, true)
		set("requirements", s.label != "", s.label)
		set("anti_affinity", s.perMinion > 0, s.perMinion)
		set("allow_duplicates", s.duplicates, true)
		set("long_running", s.long, true)
		set("checkpointing", s.checkpoints, true)
		steps = append(steps, x)
	}
	body := map[string]any{"specification": j.spec, "steps": steps}
	if j.repetitions > 0 {
		body["repetitions"], body["interval_ms"], body["first_run_ms"] = j.repetitions, j.interval.Milliseconds(), j.first.UnixMilli()
	}
	data, _ := json.Marshal(body)
	return data
}

// submit hands a job in, with up to 5 tries, and reports whether it was accepted.
func (s *system) submit(j *jobState) bool {
	s.w.mu.Lock()
	s.w.jobs[j.id] = j
	j.sentAt = time.Now()
	s.w.mu.Unlock()
	for range 5 {
		status, _ := s.call("POST", j.queue.Prefix+j.id, j.encode())
		s.w.mu.Lock()
		if !s.w.quietStarts || status != 200 {
			s.w.log("POST of job %s to %s: %d", j.id, j.queue.Name, status)
		}
		if status/100 == 2 {
			j.accepted, j.acceptedAt = true, time.Now()
			s.w.mu.Unlock()
			return true
		}
		if status == 429 || status == 503 {
			j.rejected++
		}
		s.w.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (s *system) state(j *jobState) (int, string) {
	status, body := s.call("GET", j.queue.Prefix+j.id, nil)
	var x struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(body), &x)
	return status, x.State
}

// watchMemory kills processes that exceed their memory, as the platform does.
func (s *system) watchMemory() {
	for {
		time.Sleep(100 * time.Millisecond)
		for _, d := range s.daemons {
			mb := d.resident()
			if mb <= s.memory {
				continue
			}
			s.w.mu.Lock()
			skip := d.stopped
			if !skip {
				d.stopped = true
				d.overMemory++
				s.w.log("%s has %d MB, and is killed since it may have %d (%d times so far)", d.name, mb, s.memory, d.overMemory)
			}
			s.w.mu.Unlock()
			if skip {
				continue
			}
			_ = d.cmd.Process.Kill()
			<-d.ended
			time.AfterFunc(time.Second, func() { s.run(d) })
		}
	}
}

func (s *system) logMemory(when string) {
	var list []string
	for _, d := range s.daemons {
		list = append(list, fmt.Sprintf("%s %d MB", d.name, d.resident()))
	}
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.w.log("memory %s: %s", when, strings.Join(list, ", "))
}

// resident returns the resident memory of a daemon in MB.
func (d *daemon) resident() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}
