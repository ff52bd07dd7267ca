package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// reborn: a minion ends, and starts again within a third of a second under its ID and at its address, as another kind. Tasks that
// last wait for room on minions of its earlier kind.
func reborn(s *system, trouble bool) {
	w := s.w
	w.addMachines("alpha", 4, 8000, 32000, "a")
	w.addMachines("alpha", 4, 8000, 32000, "b")
	q := newQueue("alpha", "alpha", 3)
	w.configure(3, []*queue{q}, []string{"alpha", "spare"})
	s.start(3)
	s.ready([]string{"alpha"})
	// One task fills each minion of kind b, and two more wait for room there.
	j := w.job(q, &stepState{count: 6, cpu: 6000, mem: 1000, label: "b", long: true, estimate: time.Second})
	if !s.submit(j) {
		fail("the job was not accepted")
	}
	time.Sleep(4 * time.Second)
	for range 10 {
		w.mu.Lock()
		var n *minion
		for _, m := range w.machines {
			if m.minion != nil && m.kind != "a" {
				n = m.minion
				break
			}
		}
		if n != nil && trouble {
			n.m.kind = map[string]string{"b": "c", "c": "b"}[n.m.kind]
			back := time.Duration(200+rand.IntN(100)) * time.Millisecond
			w.log("%s ends, and starts again after %v under its ID and at its address as kind %s", n.id, back, n.m.kind)
			w.crashMinion(n, back, true)
		}
		w.mu.Unlock()
		time.Sleep(4 * time.Second)
	}
}

// deadly: a task crashes each minion that starts it, before the minion has answered the order.
func deadly(s *system, trouble bool) {
	w := s.w
	w.crashDelay = -1
	if os.Getenv("ANSWERED") != "" {
		w.crashDelay = 10 * time.Millisecond
	}
	w.addMachines("alpha", 8, 8000, 32000, "a")
	q := newQueue("alpha", "alpha", 3)
	w.configure(3, []*queue{q}, []string{"alpha", "spare"})
	s.start(3)
	s.ready([]string{"alpha"})
	j := w.job(q, &stepState{count: 1, cpu: 1000, mem: 500, estimate: time.Second, length: time.Second})
	if trouble {
		j.deadly = j.id + ".0.0.0"
	}
	s.submit(j)
	for range 40 {
		time.Sleep(time.Second)
		_, j.lastState = s.state(j)
		if j.lastState == "failed" || j.lastState == "completed" {
			break
		}
	}
	w.mu.Lock()
	t := j.task(0, 0, 0)
	w.log("the job is shown as %q after %d starts and %d crashes", j.lastState, len(t.starts), t.crashes)
	w.mu.Unlock()
}

// ratios: a configuration has many queues, each of them is used once, and then a minion crashes.
func ratios(s *system, trouble bool) {
	w := s.w
	w.quietStarts = true
	w.addMachines("alpha", 7, 32000, 131072, "a")
	w.addMachines("alpha", 1, 32000, 131072, "b")
	queues := 1500
	if n, err := strconv.Atoi(os.Getenv("QUEUES")); err == nil {
		queues = n
	}
	var list []*queue
	for i := range queues {
		list = append(list, newQueue(fmt.Sprintf("team-%04d-nutrition-panels-eu-1", i), "alpha", 3))
	}
	w.configure(3, list, []string{"alpha", "spare"})
	s.start(3)
	s.ready([]string{"alpha"})
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	work := make(chan *queue)
	accepted := 0
	for range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for q := range work {
				j := w.job(q, &stepState{count: 1, cpu: 500, mem: 100, estimate: 50 * time.Millisecond, length: 45 * time.Millisecond})
				if s.submit(j) {
					w.mu.Lock()
					accepted++
					w.mu.Unlock()
				}
			}
		}()
	}
	tick := time.NewTicker(33 * time.Millisecond)
	for _, q := range list {
		<-tick.C
		work <- q
	}
	close(work)
	wg.Wait()
	tick.Stop()
	w.mu.Lock()
	w.log("%d of %d jobs accepted, one for each queue; refused transactions: %d", accepted, queues, w.store.tooLarge)
	w.mu.Unlock()
	// A job whose second step needs the kind of the minion that crashes during its first step. The kind stays with the machine.
	j := w.job(list[0], &stepState{count: 2, cpu: 500, mem: 100, label: "a", estimate: 8 * time.Second, length: 8 * time.Second},
		&stepState{count: 1, cpu: 500, mem: 100, label: "b", after: []int{0}, estimate: time.Second, length: time.Second})
	w.mu.Lock()
	w.quietStarts = false
	w.mu.Unlock()
	if !s.submit(j) {
		fail("the job was not accepted")
	}
	time.Sleep(time.Second)
	m := w.machines[7]
	if trouble {
		w.mu.Lock()
		w.log("%s of %s (kind %s) crashes, and another one is there after 3 s", m.minion.id, m.name, m.kind)
		w.crashMinion(m.minion, 3*time.Second, false)
		w.mu.Unlock()
	}
	time.Sleep(6 * time.Second)
	late := w.job(list[1], &stepState{count: 1, cpu: 500, mem: 100, estimate: time.Second, length: time.Second})
	ok := s.submit(late)
	traffic := time.Now() // its end
	time.Sleep(14 * time.Second)
	// finish_s after the end of the traffic: for 3 s the job has nothing running, its step's turn has come, and there is room.
	idle, checks := 0, 0
	for time.Since(traffic) < 17500*time.Millisecond {
		w.mu.Lock()
		t := j.task(0, 1, 0)
		turn := !j.task(0, 0, 0).doneAt.IsZero() && !j.task(0, 0, 1).doneAt.IsZero()
		room := m.minion != nil && len(m.minion.runs) == 0
		checks++
		if turn && room && len(t.runs) == 0 && t.doneAt.IsZero() {
			idle++
		}
		w.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
	st, state := s.state(j)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log("job %s is answered %d %q; a job that was sent after the crash was accepted: %v", j.id, st, state, ok)
	w.log("transactions that the store refused with 400: %d; the last had %s", w.store.tooLarge, w.store.lastBig)
	if idle == checks {
		w.violate("LOST", "accepted job %s has had nothing running for 3 s, %d s after the end of the traffic; the step's turn came at %.1f s, and %s is up and empty",
			j.id, 14, j.task(0, 0, 0).doneAt.Sub(w.begun).Seconds(), m.minion.id)
	}
}

// Figures of the case "aged": the rate of jobs of a service, and the hours for which it has served them.
const (
	agedRate  = 11.9
	sweptRate = 4 // jobs a second that an owner deletes at most: 20 every 5 s
)

// aged: a service has served jobs at the rate of its sheet for some hours. The store has what its owner has left there. Then its
// owner is killed.
func aged(s *system, trouble bool) {
	w := s.w
	w.quietStarts = true
	hours := 6.0
	if h, err := strconv.ParseFloat(os.Getenv("HOURS"), 64); err == nil {
		hours = h
	}
	w.addMachines("alpha", 6, 32000, 131072, "a")
	q := newQueue("alpha", "alpha", 3)
	w.configure(3, []*queue{q}, []string{"alpha", "spare"})
	s.enforceMemory = true
	s.start(3)
	s.ready([]string{"alpha"})
	one := func() *jobState {
		l := 640 * time.Millisecond
		j := w.job(q, &stepState{count: 6, cpu: 1800, mem: 3600, estimate: l, length: l}, &stepState{count: 6, cpu: 1800, mem: 3600, after: []int{0}, estimate: l, length: l})
		j.spec += strings.Repeat(" ", 400)
		return j
	}
	var mu sync.Mutex
	var jobs []*jobState
	send := func(d time.Duration) {
		for begin := time.Now(); time.Since(begin) < d; time.Sleep(time.Second / 12) {
			j := one()
			go func() {
				if s.submit(j) {
					mu.Lock()
					defer mu.Unlock()
					jobs = append(jobs, j)
				}
			}()
		}
	}
	send(10 * time.Second)
	time.Sleep(5 * time.Second)
	s.logMemory("before")
	// What the owner has left of the earlier hours: copies of the rows that it has written in these seconds.
	var run []byte
	var templates []row
	for _, r := range w.store.part("job", "alpha") {
		if v, _ := w.store.get("run", "alpha", r.Key); strings.Contains(string(v), `"ended"`) {
			templates, run = append(templates, r), v
		}
	}
	n := int((agedRate - sweptRate) * hours * 3600)
	var list []row
	for i := range n {
		id := newID()
		t := templates[i%len(templates)]
		list = append(list, row{rowKey: rowKey{"job", "alpha", id}, Value: t.Value}, row{rowKey: rowKey{"run", "alpha", id}, Value: run})
	}
	w.store.fill(list)
	w.log("the store has %d finished jobs of the last %.1f hours; a row of a job has %d bytes, that of its progress %d", n, hours, len(templates[0].Value), len(run))
	list = nil
	long := one()
	long.steps[0].length, long.steps[0].estimate = 10*time.Second, 10*time.Second
	if !s.submit(long) {
		fail("the job was not accepted")
	}
	if trouble {
		if d := s.owner("alpha"); d != nil {
			s.kill(d)
			time.AfterFunc(time.Second, func() { s.run(d) })
		}
	}
	send(20 * time.Second)
	end := time.Now()
	w.log("end of the traffic")
	for time.Since(end) < 14*time.Second {
		s.logMemory("after")
		time.Sleep(2 * time.Second)
	}
	// finish_s after the end of the traffic: for 3 s the job that was accepted before has nothing running.
	idle, checks := 0, 0
	for until := time.Now().Add(3500 * time.Millisecond); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		w.mu.Lock()
		running, left := 0, 0
		for k := range long.steps {
			for i := range long.steps[k].count {
				t := long.task(0, k, i)
				running += len(t.runs)
				if t.doneAt.IsZero() {
					left++
				}
			}
		}
		checks++
		if running == 0 && left > 0 {
			idle++
		}
		w.mu.Unlock()
	}
	s.logMemory("at the end")
	st, state := s.state(long)
	mu.Lock()
	all := append([]*jobState{}, jobs...)
	mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log("job %s, accepted before the kill, is answered %d %q; %d jobs were accepted in all", long.id, st, state, len(all)+1)
	if idle == checks {
		w.violate("LOST", "accepted job %s has had nothing running for 3 s, 14 s after the end of the traffic, and all minions are up", long.id)
	}
	for _, d := range s.daemons {
		if d.overMemory >= 3 {
			w.violate("Fault", "%s exceeded its memory of %d MB %d times", d.name, s.memory, d.overMemory)
		}
	}
}

// flood: a client hands in many large jobs of legal size at once, whole, which are due in an hour.
func flood(s *system, trouble bool) {
	w := s.w
	w.quietStarts = true
	s.enforceMemory = true
	w.addMachines("alpha", 6, 32000, 131072, "a")
	q := newQueue("alpha", "alpha", 3)
	w.configure(3, []*queue{q}, []string{"alpha", "spare"})
	s.start(3)
	s.ready([]string{"alpha"})
	large := func() *jobState {
		var steps []*stepState
		for i := range 64 {
			x := &stepState{count: 1, cpu: 500, mem: 100, estimate: time.Second}
			for a := range i {
				x.after = append(x.after, a)
			}
			steps = append(steps, x)
		}
		j := w.job(q, steps...)
		j.spec += strings.Repeat("x", 4000-len(j.spec))
		j.repetitions, j.interval, j.first = 10, time.Hour, time.Now().Add(time.Hour)
		return j
	}
	w.log("a body has %d bytes, at most 262144 are legal", len(large().encode()))
	number := 7000
	if n, err := strconv.Atoi(os.Getenv("JOBS")); err == nil {
		number = n
	}
	answers := map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	left := make(chan struct{}, number)
	for range number {
		left <- struct{}{}
	}
	close(left)
	if trouble {
		for range 48 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for range left {
					if w.elapsed() > 65*time.Second {
						return
					}
					j := large()
					status, _ := s.call("POST", q.Prefix+j.id, j.encode())
					mu.Lock()
					answers[status]++
					mu.Unlock()
				}
			}()
		}
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	// Ordinary callers, one job a second.
	var jobs []*jobState
	accepted := 0
	for w.elapsed() < 75*time.Second {
		j := w.job(q, &stepState{count: 2, cpu: 500, mem: 100, estimate: time.Second, length: time.Second})
		if s.submit(j) {
			accepted++
		}
		jobs = append(jobs, j)
		if len(jobs)%5 == 0 {
			mu.Lock()
			text := fmt.Sprint(answers)
			mu.Unlock()
			s.logMemory("with the large jobs answered " + text)
		}
		time.Sleep(time.Second)
	}
	<-done
	time.Sleep(14 * time.Second)
	completed := 0
	for _, j := range jobs {
		if !j.accepted {
			continue
		}
		if _, state := s.state(j); state == "completed" {
			completed++
		}
		if w.elapsed() > 110*time.Second {
			break
		}
	}
	s.logMemory("at the end")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log("large jobs by answer: %v; of %d ordinary jobs, %d were accepted and %d are shown as completed", answers, len(jobs), accepted, completed)
	for _, d := range s.daemons {
		if d.overMemory > 0 {
			w.violate("letter", "%s exceeded its memory of %d MB %d times", d.name, s.memory, d.overMemory)
		}
	}
}

// sweep: which finished jobs an owner deletes once status_s and its margin of 30 s have passed. Not a case.
func sweep(s *system, _ bool) {
	w := s.w
	w.quietStarts = true
	s.bounds["status_s"] = 2
	w.addMachines("alpha", 6, 32000, 131072, "a")
	q := newQueue("alpha", "alpha", 3)
	w.configure(3, []*queue{q}, []string{"alpha", "spare"})
	s.start(3)
	s.ready([]string{"alpha"})
	sent, accepted := 0, 0
	begin := time.Now()
	var mu sync.Mutex
	for time.Since(begin) < 60*time.Second {
		sent++
		go func() {
			j := w.job(q, &stepState{count: 1, cpu: 500, mem: 100, estimate: 50 * time.Millisecond, length: 45 * time.Millisecond})
			if s.submit(j) {
				mu.Lock()
				accepted++
				mu.Unlock()
			}
		}()
		time.Sleep(time.Second / 12)
	}
	for range 9 {
		mu.Lock()
		w.log("%d jobs accepted, %d of them in the store", accepted, len(w.store.part("job", "alpha")))
		mu.Unlock()
		time.Sleep(5 * time.Second)
	}
}
