package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world is a small deployment on loopback addresses: the platform, the servers, the operator, the clients and the daemons under test.
type world struct {
	began    time.Time
	store    *store
	serverIP string
	dir      string // temporary folder

	mu         sync.Mutex
	record     strings.Builder
	servers    []*server
	machines   []*machine
	made       int // servers so far; part of their ids
	lastPort   int
	endedEarly atomic.Int32 // daemons that have ended
	net        string       // the first three bytes of all addresses, which differ from those of other plays
	runs       []*runLog
	daemons    []*daemon
	client     *http.Client
	storeAt    string
	cloudAt    string
}

// machine is a machine of the servers, for the controller of machines.
type machine struct {
	name, pool, state, zone, kind, rack string
	token                               int64
	server                              *server
	upkeep                              map[int]bool
}

// Times of the controller of machines.
const (
	migration   = 1500 * time.Millisecond
	maintenance = 2 * time.Second
)

// daemon is a process under test.
type daemon struct {
	name, frontend, readiness, settings string
	cmd                                 *exec.Cmd
	ip                                  string
	ended                               chan struct{}
	killed                              atomic.Bool // by the script
}

func newWorld() (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{
		net:   fmt.Sprintf("127.%d.%d.", 1+pid>>8&127, pid&255),
		began: time.Now(), store: newStore(), dir: dir,
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
	w.serverIP = w.net + "1"
	if w.storeAt, err = w.serve(w.store.handler()); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", w.serveMachines)
	mux.HandleFunc("POST /api/machine-move", w.order(w.move))
	mux.HandleFunc("POST /api/machine-upkeep", w.order(w.upkeep))
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			w.mu.Lock()
			list := append([]*server{}, w.servers...)
			w.mu.Unlock()
			for _, v := range list {
				v.lapse()
			}
		}
	}()
	w.cloudAt, err = w.serve(mux)
	return w, err
}

func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", w.net+"2:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// say writes a line of the record.
func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sayLocked(format, args...)
}

func (w *world) sayLocked(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...)
	w.record.WriteString(line + "\n")
}

// addMachines adds machines of a pool, each with a server.
func (w *world) addMachines(pool, kind string, n int) error {
	for range n {
		i := len(w.machines) + 1
		m := &machine{
			name: fmt.Sprintf("m%d", i), pool: pool, state: "up", zone: fmt.Sprintf("z%d", i%3+1), kind: kind, rack: fmt.Sprintf("r1-%d", i%3+1),
			upkeep: map[int]bool{},
		}
		w.machines = append(w.machines, m)
		if err := w.addServer(m); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a new server on a machine.
func (w *world) addServer(m *machine) error {
	w.mu.Lock()
	w.made++
	v := &server{w: w, id: fmt.Sprintf("i-%d", w.made), machine: m.name, service: m.pool, kind: m.kind, rack: m.rack, zone: m.zone}
	w.servers = append(w.servers, v)
	m.server = v
	w.mu.Unlock()
	return v.start()
}

// beginRun and endRun write the record of runs.
func (w *world) beginRun(v *server, r *run) *runLog {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := &runLog{task: r.task, number: r.number, server: v.id, service: v.service, kind: v.kind, began: time.Now()}
	w.runs = append(w.runs, x)
	w.sayLocked("run    %s:%d begins on %s (service %s, kind %s)", r.task, r.number, v.id, v.service, v.kind)
	return x
}

func (w *world) endRun(r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.logged.ended, r.logged.how = time.Now(), how
	w.sayLocked("run    %s:%d ends on %s: %s", r.task, r.number, r.logged.server, how)
}

// runsOf returns copies of the runs of a job, in the order of their starts.
func (w *world) runsOf(job string) []runLog {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []runLog
	for _, x := range w.runs {
		if strings.HasPrefix(x.task, job+".") {
			list = append(list, *x)
		}
	}
	return list
}

// machinesOf returns copies of the machines of a kind.
func (w *world) machinesOf(kind string) []machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []machine
	for _, m := range w.machines {
		if m.kind == kind && m.server != nil {
			list = append(list, *m)
		}
	}
	return list
}

// atWork returns how many runs of a job go on.
func (w *world) atWork(job string) int {
	n := 0
	for _, x := range w.runsOf(job) {
		if x.ended.IsZero() {
			n++
		}
	}
	return n
}

func (w *world) serveMachines(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	list := []map[string]any{}
	var on []*server
	for _, m := range w.machines {
		on = append(on, m.server)
		list = append(list, map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack}, "id": "",
			"capacity": map[string]int{"cpu": serverCPU, "mem_mb": serverMemory, "gpus": 0},
		})
	}
	w.mu.Unlock()
	for i, v := range on {
		if v != nil && v.isUp() {
			list[i]["id"] = v.id
		}
	}
	writeJSON(rw, http.StatusOK, map[string]any{"machines": list, "next_page_token": nil})
}

// machineOrder is the body of a call to the controller of machines.
type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int    `json:"wave"`
}

// order returns the handler of an order for a machine, which is checked for its fencing token.
func (w *world) order(do func(*machine, machineOrder) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var q machineOrder
		var token int64
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if _, err := fmt.Sscan(r.Header.Get("X-Fencing-Token"), &token); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		status, reason := http.StatusBadRequest, ""
		for _, m := range w.machines {
			if m.name != q.Machine {
				continue
			}
			status, reason = http.StatusConflict, "fence"
			if token >= m.token {
				m.token = token
				status, reason = do(m, q)
			}
		}
		w.sayLocked("cloud  %s %s pool %q wave %d by %s with %d: %d %s", r.URL.Path, q.Machine, q.Pool, q.Wave, r.Header.Get("X-Duty-Holder"), token, status, reason)
		w.mu.Unlock()
		body := map[string]any{}
		if reason != "" {
			body["reason"] = reason
		}
		writeJSON(rw, status, body)
	}
}

// move carries a machine to another pool. w.mu is held.
func (w *world) move(m *machine, q machineOrder) (int, string) {
	switch {
	case m.pool == q.Pool:
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	m.pool = q.Pool
	w.replace(m, "moving", migration)
	return http.StatusOK, ""
}

// upkeep carries out the upkeep of a machine. w.mu is held.
func (w *world) upkeep(m *machine, q machineOrder) (int, string) {
	switch {
	case m.upkeep[q.Wave]:
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	m.upkeep[q.Wave] = true
	w.replace(m, "upkeep", maintenance)
	return http.StatusOK, ""
}

// replace ends a machine's server and starts a new one later. w.mu is held.
func (w *world) replace(m *machine, state string, after time.Duration) {
	old := m.server
	m.state, m.server = state, nil
	go func() {
		if old != nil {
			old.crash()
			w.store.remove("servers", old.id)
		}
		time.Sleep(after)
		w.mu.Lock()
		m.state = "up"
		w.mu.Unlock()
		_ = w.addServer(m)
	}()
}

// freeAddr returns an address without a listener. Its port lies below those that the system gives to outgoing connections.
func (w *world) freeAddr(ip string) string {
	for {
		w.lastPort++
		addr := fmt.Sprintf("%s:%d", ip, firstPort+w.lastPort)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		return addr
	}
}

const firstPort = 20000

// addDaemon writes the settings of a daemon, with the figures of a small deployment.
func (w *world) addDaemon() error {
	i := len(w.daemons) + 1
	ip := fmt.Sprintf("%s%d", w.net, 10+i)
	d := &daemon{ip: ip, name: fmt.Sprintf("frontend-z%d-1", i), frontend: w.freeAddr(ip), readiness: w.freeAddr(ip), settings: filepath.Join(w.dir, fmt.Sprintf("local-%d.json", i))}
	_, port, err := net.SplitHostPort(w.freeAddr(ip))
	if err != nil {
		return err
	}
	settings := map[string]any{
		"node_name": d.name, "role": "entry", "machine_class": "frontend", "serves": []string{"frontend"}, "ip": ip,
		"zone": fmt.Sprintf("z%d", i), "region": "region", "zones": map[string]string{"z1": "region", "z2": "region", "z3": "region"},
		"listen":              map[string]string{"frontend": d.frontend, "readiness": d.readiness},
		"internal_port_range": []json.Number{json.Number(port), json.Number(port)}, "seeds": []string{}, "first_start": true,
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "file_descriptors": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"tolerate":  map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "address_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12, "max_hold_ms": 10000, "stop_grace_ms": 400,
			"gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "far_x": 3,
			"checkpoint_interval_s": 1, "restore_ms": 600, "notice_ms": 4500, "migration_s": 1.5, "maintenance_s": 2, "require_fencing": true, "lease_ms": 3000,
			"thaw_slack_ms": 300, "pace_ms": 100, "harm_ms": 4000,
		},
		"orders": "call",
		"platform": map[string]any{
			"address": w.storeAt, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "transaction_ms": 8.0, "partition_writes_s": 150,
			"row_bytes": 65536, "across": false, "history_retention_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
		},
		"cloud_api": map[string]any{"address": w.cloudAt, "rate_per_s": 64.0, "duties": []string{}, "duties_per_s": 64.0},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	w.daemons = append(w.daemons, d)
	return os.WriteFile(d.settings, data, 0o600)
}

// startDaemon starts the program of the deploy file as a process of its own.
func (w *world) startDaemon(d *daemon) error {
	log, err := os.OpenFile(d.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/cuminstairjobs")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CUMINSTAIR_CONFIG=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.ended = cmd, make(chan struct{})
	d.killed.Store(false)
	w.say("daemon %s starts", d.name)
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		w.say("daemon %s has ended", d.name)
		if !d.killed.Load() {
			w.endedEarly.Add(1)
		}
		close(ended)
	}(d.ended)
	return nil
}

// startAll starts the daemons and waits until all are ready.
func (w *world) startAll() error {
	for _, d := range w.daemons {
		if err := w.startDaemon(d); err != nil {
			return err
		}
	}
	return w.until(20*time.Second, "all daemons are ready", func() bool {
		for _, d := range w.daemons {
			if !w.ready(d) {
				return false
			}
		}
		return true
	})
}

func (w *world) ready(d *daemon) bool {
	resp, err := w.client.Get("http://" + d.readiness + "/api/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// until waits for a condition.
func (w *world) until(limit time.Duration, what string, ok func() bool) error {
	end := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(end) {
			return fmt.Errorf("not within %s: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.say("seen   %s", what)
	return nil
}

// stop ends all that the script has started.
func (w *world) stop() {
	for _, d := range w.daemons {
		if d.cmd == nil {
			continue
		}
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		<-d.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// call sends a client's request to a daemon and returns the status, 0 if there was no answer.
func (w *world) call(d *daemon, method, path string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+d.frontend+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Host = "q.example"
	req.Header.Set("X-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := w.client.Do(req)
	if err != nil {
		w.say("client %s %s at %s: no answer: %v", method, path, d.name, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	w.say("client %s %s at %s: %d %s", method, path, d.name, resp.StatusCode, strings.TrimSpace(string(answer)))
	return resp.StatusCode, string(answer)
}

// submit hands a job in until it is accepted.
func (w *world) submit(path string, x []work, steps ...map[string]any) error {
	spec, err := json.Marshal(x)
	if err != nil {
		return err
	}
	for i := range 10 {
		status, _ := w.call(w.daemons[i%len(w.daemons)], http.MethodPost, path, map[string]any{"specification": string(spec), "steps": steps})
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", path)
}

// route is a route of the configuration: a queue.
type route struct{ name, prefix, service string }

// configure writes a configuration for the operator.
func (w *world) configure(version int, routes []route, services ...string) {
	var list, pools []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": "q.example", "path_prefix": r.prefix, "service": r.service, "kind": "unsafe", "timeout_ms": 3000 + version, "target_latency_ms": 600,
			"stretch": 1.6, "priority": 0, "max_attempts": 3,
		})
	}
	for _, s := range services {
		pools = append(pools, map[string]any{"name": s, "admission_check": false, "spare": false})
	}
	w.say("operator writes version %d: %v", version, routes)
	w.store.put("op", "config", map[string]any{"version": version, "routes": list, "services": pools, "limits": map[string]int{"max_body_bytes": 262144}})
}

// finish writes the record, the runs by task at its end.
func (w *world) finish(path, verdict string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sayLocked("verdict: %s", verdict)
	byTask := map[string]int{}
	for _, x := range w.runs {
		byTask[x.task]++
	}
	var names []string
	for t := range byTask {
		names = append(names, t)
	}
	sort.Strings(names)
	for _, t := range names {
		fmt.Fprintf(&w.record, "runs of %s: %d\n", t, byTask[t])
	}
	return os.WriteFile(path, []byte(w.record.String()), 0o644)
}

// owner returns the daemon that has started tasks, by the metrics that the deploy file names, or nil.
func (w *world) owner() *daemon {
	var best *daemon
	for _, d := range w.daemons {
		resp, err := w.client.Get("http://" + d.ip + ":9464/metrics")
		if err != nil {
			continue
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		for _, line := range strings.Split(string(data), "\n") {
			if strings.HasPrefix(line, "cuminstair_worker_call_seconds_count{") && strings.Contains(line, `order="start"`) {
				best = d
			}
		}
	}
	return best
}
