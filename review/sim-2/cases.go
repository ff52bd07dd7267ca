package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const jobA = "aaaaaaaaaaaaaaa1"

// fleet starts three daemons with n servers of a kind in each pool.
func (w *world) fleet(n int, pools ...string) error {
	for _, p := range pools {
		if err := w.addMachines(p, "a", n); err != nil {
			return err
		}
	}
	for range 3 {
		if err := w.addDaemon(); err != nil {
			return err
		}
	}
	return w.startAll()
}

// repoint: an operator takes a route away and adds one with the same host and prefix that names another service.
func repoint(w *world, trouble bool) outcome {
	services := []string{"s1", "s2"}
	w.configure(3, []route{{"q1", "/q1/", "s1"}, {"q2", "/q2/", "s2"}}, services...)
	if err := w.fleet(4, services...); err != nil {
		return outcome{err: err}
	}
	time.Sleep(3 * time.Second)
	step := map[string]any{"count": 3, "cpu": 1000, "mem_mb": 512, "estimated_ms": 30000}
	if err := w.submit("/q1/"+jobA, []work{{Millis: 40000}}, step); err != nil {
		return outcome{err: err}
	}
	if err := w.until(5*time.Second, "the job runs", func() bool { return w.atWork(jobA) == 3 }); err != nil {
		return outcome{err: err}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.configure(8, []route{{"q2", "/q2/", "s2"}}, services...)
		time.Sleep(4 * time.Second)
		w.configure(13, []route{{"q2", "/q2/", "s2"}, {"q3", "/q1/", "s2"}}, services...)
	} else {
		w.configure(8, []route{{"q1", "/q1/", "s1"}, {"q2", "/q2/", "s2"}}, services...)
		time.Sleep(4 * time.Second)
		w.configure(13, []route{{"q1", "/q1/", "s1"}, {"q2", "/q2/", "s2"}}, services...)
	}
	time.Sleep(4 * time.Second)
	gone := 0
	for _, d := range w.daemons {
		if status, _ := w.call(d, http.MethodGet, "/q1/"+jobA, nil); status == http.StatusGone {
			gone++
		}
	}
	// The request that handed the job in arrives once more.
	_ = w.submit("/q1/"+jobA, []work{{Millis: 40000}}, step)
	time.Sleep(3 * time.Second)
	twice := 0
	list := w.runsOf(jobA)
	for i, x := range list {
		for _, y := range list[i+1:] {
			if x.task == y.task && (x.ended.IsZero() || x.ended.After(y.began)) {
				twice++
			}
		}
	}
	if gone > 0 || twice > 0 {
		return outcome{broken: fmt.Sprintf("%d of 3 machines answer 410 for the accepted job, %d of its tasks run twice at the same time", gone, twice)}
	}
	return outcome{}
}

// block: tasks that last fail now and then, as the protocol says that they may.
func block(w *world, trouble bool) outcome {
	w.configure(3, []route{{"q1", "/q1/", "s1"}}, "s1")
	if err := w.fleet(2, "s1"); err != nil {
		return outcome{err: err}
	}
	time.Sleep(3 * time.Second)
	x := work{Lasts: true}
	if trouble {
		x.Fails = 8000
	}
	if err := w.submit("/q1/"+jobA, []work{x}, map[string]any{"count": 6, "cpu": 2000, "mem_mb": 4096, "long_running": true}); err != nil {
		return outcome{err: err}
	}
	if err := w.until(8*time.Second, "the job runs", func() bool { return w.atWork(jobA) == 6 }); err != nil {
		return outcome{err: err}
	}
	time.Sleep(95 * time.Second)
	worst, of := time.Duration(0), ""
	last := map[string]runLog{}
	for _, r := range w.runsOf(jobA) {
		if before, ok := last[r.task]; ok && r.began.Sub(before.ended) > worst {
			worst, of = r.began.Sub(before.ended), r.task
		}
		last[r.task] = r
	}
	for _, r := range last {
		if !r.ended.IsZero() && time.Since(r.ended) > worst {
			worst, of = time.Since(r.ended), r.task
		}
	}
	w.say("longest time without a run: %s of %s", worst, of)
	if worst > 9*time.Second {
		return outcome{broken: fmt.Sprintf("%s had no run for %s, with room on all servers", of, worst.Round(time.Millisecond))}
	}
	return outcome{}
}

// label: the demand of another queue rises for some seconds, while a task that requires a kind waits for its turn.
func label(w *world, trouble bool) outcome {
	w.configure(3, []route{{"q1", "/q1/", "s1"}, {"q2", "/q2/", "s2"}}, "s1", "s2")
	if err := w.addMachines("s1", "b", 2); err != nil {
		return outcome{err: err}
	}
	if err := w.fleet(3, "s1", "s2"); err != nil {
		return outcome{err: err}
	}
	time.Sleep(3 * time.Second)
	first := map[string]any{"count": 3, "cpu": 20000, "mem_mb": 4096, "estimated_ms": 8000, "requirements": "a"}
	second := map[string]any{"count": 2, "cpu": 4000, "mem_mb": 1024, "estimated_ms": 8000, "requirements": "b", "after": []int{0}}
	if err := w.submit("/q1/"+jobA, []work{{Millis: 8000}, {Millis: 1000}}, first, second); err != nil {
		return outcome{err: err}
	}
	if err := w.until(5*time.Second, "the first step runs", func() bool { return w.atWork(jobA) == 3 }); err != nil {
		return outcome{err: err}
	}
	if trouble {
		w.say("the demand of q2 rises for 4 s")
		w.burst()
	}
	return w.neverRun("b", 2)
}

// burst hands in jobs of the second queue for 4 s.
func (w *world) burst() {
	w.say("the demand of q2 rises for 4 s")
	for i := range 16 {
		path := fmt.Sprintf("/q2/%016x", 0xd000+i)
		step := map[string]any{"count": 6, "cpu": 8000, "mem_mb": 2048, "estimated_ms": 1500}
		go w.call(w.daemons[i%3], http.MethodPost, path, map[string]any{"specification": `[{"ms":1500}]`, "steps": []map[string]any{step}})
		time.Sleep(250 * time.Millisecond)
	}
}

// neverRun asks, finish_s after the end of the traffic, for the job whose next tasks could run on idle machines of a kind: need is the number of
// machines that has room for them twice over.
func (w *world) neverRun(kind string, need int) outcome {
	time.Sleep(14 * time.Second)
	w.say("finish_s after the end of the traffic")
	idle, busy := time.Duration(0), time.Now()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w.atWork(jobA) > 0 {
			busy = time.Now()
		}
		idle = max(idle, time.Since(busy))
	}
	status, body := w.call(w.daemons[0], http.MethodGet, "/q1/"+jobA, nil)
	if status != http.StatusOK {
		return outcome{err: fmt.Errorf("the job was not shown: %d", status)}
	}
	if strings.Contains(body, "completed") {
		return outcome{}
	}
	free := 0
	for _, m := range w.machinesOf(kind) {
		w.say("machine %s of kind %s is %s in pool %s, with %d runs", m.name, kind, m.state, m.pool, m.server.running())
		if m.state == "up" && m.server.running() == 0 {
			free++
		}
	}
	if idle > 3*time.Second && free >= need {
		return outcome{broken: fmt.Sprintf("for %s nothing of the job has run, while %d machines that may run it are up and idle", idle.Round(time.Millisecond), free)}
	}
	return outcome{}
}

// reborn: a minion crashes and is back at once, the daemon that gives it a task then is killed, and the minion is cut off.
func reborn(w *world, trouble bool) outcome {
	w.configure(3, []route{{"q1", "/q1/", "s1"}}, "s1")
	if err := w.fleet(9, "s1"); err != nil {
		return outcome{err: err}
	}
	time.Sleep(12 * time.Second)
	for i := range 6 {
		twice, err := w.rebornOnce(i, trouble)
		if err != nil {
			return outcome{err: err}
		}
		if twice != "" {
			return outcome{broken: twice}
		}
	}
	return outcome{}
}

func (w *world) rebornOnce(i int, trouble bool) (string, error) {
	filler, job := fmt.Sprintf("%016x", 0xf000+i), fmt.Sprintf("%016x", 0xa000+i)
	if err := w.submit("/q1/"+filler, []work{{Millis: 3000}}, map[string]any{"count": 8, "cpu": 30000, "mem_mb": 1024, "estimated_ms": 3000, "anti_affinity": 1}); err != nil {
		return "", err
	}
	if err := w.until(3*time.Second, "eight minions are full", func() bool { return w.atWork(filler) == 8 }); err != nil {
		return "", err
	}
	var idle *server
	for _, v := range w.servers {
		if v.running() == 0 {
			idle = v
		}
	}
	owner := w.owner()
	if idle == nil || owner == nil {
		return "", fmt.Errorf("no idle minion, or no daemon has started tasks")
	}
	var cutAt time.Time
	if trouble {
		w.say("%s crashes", idle.id)
		idle.crash()
		time.Sleep(150 * time.Millisecond)
		if err := idle.start(); err != nil {
			return "", err
		}
		w.say("%s is back", idle.id)
		idle.mu.Lock()
		idle.onStart = func() {
			owner.killed.Store(true)
			_ = owner.cmd.Process.Kill()
			w.say("%s, which gave the order, is killed", owner.name)
		}
		idle.mu.Unlock()
	}
	step := map[string]any{"count": 1, "cpu": 20000, "mem_mb": 1024, "estimated_ms": 9000}
	other := w.daemons[0]
	if other == owner {
		other = w.daemons[1]
	}
	go w.call(other, http.MethodPost, "/q1/"+job, map[string]any{"specification": `[{"ms":9000}]`, "steps": []map[string]any{step}})
	if err := w.until(3*time.Second, "the task runs", func() bool { return w.atWork(job) == 1 }); err != nil {
		return "", err
	}
	if trouble {
		time.Sleep(50 * time.Millisecond)
		if err := w.startDaemon(owner); err != nil {
			return "", err
		}
		time.Sleep(300 * time.Millisecond)
		cutAt = time.Now()
		w.say("%s is cut off", idle.id)
		idle.setCut(true)
	}
	most := 0
	cutEnds := cutAt.Add(cutTime)
	for end := time.Now().Add(11 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		most = max(most, w.atWork(job))
		if idle.isCut() && time.Now().After(cutEnds) {
			w.say("the cut of %s ends", idle.id)
			idle.setCut(false)
		}
	}
	if most > 1 {
		return fmt.Sprintf("task %s.0.0.0 had %d runs at the same time, on minions that are up", job, most), nil
	}
	return "", nil
}

// cutTime is the longest cut of minions of the site (node_cut, how = "servers").
const cutTime = 5500 * time.Millisecond
