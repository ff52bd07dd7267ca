package main

import (
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// playSoak plays jobs of all kinds with random disruptions.
func playSoak(dir, program string, trouble bool) (*fleet, []string) {
	f := newFleet(dir, program, fleetConfig{
		daemons: 4, pools: map[string]int{"wok": 5, "pan": 5, "spare": 3}, cpu: 32000, mem: 131072, fenced: true,
		labels: func(_ string, n int) []string {
			return []string{"a", "r1-" + string(rune('0'+n/3))}
		},
	})
	var mu sync.Mutex
	var jobs []*job
	var wg sync.WaitGroup
	stop := time.Now().Add(45 * time.Second)
	wg.Add(1)
	go func() {
		defer wg.Done()
		for time.Now().Before(stop) {
			j := randomJob()
			wg.Add(1)
			go func() {
				defer wg.Done()
				if f.submit(j, 8) {
					mu.Lock()
					jobs = append(jobs, j)
					mu.Unlock()
					if rand.IntN(10) == 0 {
						time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
						f.cancel(j, 20)
					}
				}
			}()
			time.Sleep(time.Duration(100+rand.IntN(400)) * time.Millisecond)
		}
	}()
	only := os.Getenv("SOAK")
	if trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(4 * time.Second)
			for time.Now().Before(stop) {
				wg.Add(1)
				go func() { defer wg.Done(); f.randomTrouble(only) }()
				time.Sleep(time.Duration(700+rand.IntN(3000)) * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	for _, d := range f.daemons {
		f.p.store.setFaults(d.name, storeFaults{})
	}
	f.rec.add("the traffic has ended, %d jobs accepted", len(jobs))
	open := func() int {
		n := 0
		for _, j := range jobs {
			if !j.cancelSent.IsZero() || j.Steps[0].LongRunning {
				continue
			}
			st := f.state(f.daemons[0], j)
			if st == "failed" {
				f.checkFailed(j)
			}
			if st != "completed" && st != "failed" {
				n++
			}
		}
		return n
	}
	ok := f.wait(50*time.Second, func() bool { time.Sleep(time.Second); return open() == 0 })
	if !ok {
		for _, j := range jobs {
			if j.cancelSent.IsZero() && !j.Steps[0].LongRunning {
				if s := f.state(f.daemons[0], j); s != "completed" && s != "failed" {
					f.rec.breaks("LOST", "job %s (%s) is %s at the end: %+v reps %d", j.ID, j.Service, s, j.Steps, j.Repetitions)
				}
			}
		}
	}
	for _, j := range jobs {
		if j.Steps[0].LongRunning && j.cancelSent.IsZero() {
			f.p.mu.Lock()
			n := 0
			for _, t := range j.tasks {
				n += t.running
			}
			f.p.mu.Unlock()
			if n < j.Steps[0].Count {
				f.rec.breaks("LOST", "long-running job %s has %d of %d", j.ID, n, j.Steps[0].Count)
			}
		}
	}
	f.p.mu.Lock()
	f.rec.add("%d starts", f.p.starts)
	f.p.mu.Unlock()
	return f, []string{"UNASKED", "TWICE", "ORDER", "ROUTE", "BUDGET", "LIMIT", "MIXED", "LOST", "REFUSED", "ONE"}
}

func (f *fleet) checkFailed(j *job) {
	f.p.mu.Lock()
	defer f.p.mu.Unlock()
	for _, t := range j.tasks {
		if t.failures >= f.p.attempts || t.crashes >= 2 {
			return
		}
	}
	f.rec.breaks("LOST", "job %s is shown as failed without cause", j.ID)
}

func randomJob() *job {
	j := &job{ID: newID(), Service: []string{"wok", "pan"}[rand.IntN(2)]}
	n := 1 + rand.IntN(3)
	for s := range n {
		st := step{Count: 1 + rand.IntN(5), CPU: 500 + rand.IntN(2500), Memory: 500, duration: time.Duration(200+rand.IntN(2500)) * time.Millisecond, spread: 0.3}
		if s > 0 {
			st.After = []int{rand.IntN(s)}
		}
		switch rand.IntN(7) {
		case 0:
			st.Gang, st.Checkpointing = true, os.Getenv("CKPT") != ""
		case 1:
			st.AntiAffinity = 1 + rand.IntN(2)
			st.Count = min(st.Count, 3)
		case 2:
			st.Label = "a"
		case 3:
			st.Duplicates = true
		case 4:
			st.Checkpointing = true
			st.duration *= 3
		case 5:
			st.failing = 0.2
		}
		st.Estimate = int(st.duration.Milliseconds())
		j.Steps = append(j.Steps, st)
	}
	switch rand.IntN(6) {
	case 0:
		j.Repetitions, j.Interval, j.First = 2+rand.IntN(5), 300+rand.IntN(3000), time.Now().Add(time.Duration(rand.IntN(5000))*time.Millisecond).UnixMilli()
	case 1:
		j.First = time.Now().Add(time.Duration(rand.IntN(8000)) * time.Millisecond).UnixMilli()
	case 2:
		if rand.IntN(3) == 0 {
			j.Steps = []step{{Count: 2, CPU: 1000, Memory: 500, Estimate: 1000, LongRunning: true, MayMiss: 1, AntiAffinity: 1}}
		}
	}
	return j
}

func (f *fleet) randomMachine() *machine {
	var list []*machine
	for _, x := range f.p.machines {
		if x.m != nil && x.state == "up" && len(x.m.runs) > 0 {
			list = append(list, x)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rand.IntN(len(list))]
}

var busy sync.Map

func (f *fleet) randomTrouble(only string) {
	ms := func(lo, hi int) time.Duration { return time.Duration(lo+rand.IntN(hi-lo)) * time.Millisecond }
	d := f.daemons[rand.IntN(len(f.daemons))]
	if rand.IntN(2) == 0 {
		if o := f.owner([]string{"wok", "pan", "@hosts"}[rand.IntN(3)]); o != nil {
			d = o
		}
	}
	minion := func(fn func(x *machine)) {
		f.p.mu.Lock()
		defer f.p.mu.Unlock()
		if x := f.randomMachine(); x != nil {
			fn(x)
		}
	}
	minionFault := func(mf minionFaults, t time.Duration) {
		minion(func(x *machine) {
			m := x.m
			f.rec.add("minion %s: %+v for %v", m.id, mf, t)
			m.faults = mf
			time.AfterFunc(t, func() {
				f.p.mu.Lock()
				defer f.p.mu.Unlock()
				m.faults = minionFaults{}
			})
		})
	}
	storeFault := func(sf storeFaults, all bool, t time.Duration) {
		f.rec.add("store: %+v for %s (all: %v) for %v", sf, d.name, all, t)
		for _, x := range f.daemons {
			if all || x == d {
				f.p.store.setFaults(x.name, sf)
			}
		}
		time.Sleep(t)
		for _, x := range f.daemons {
			if all || x == d {
				f.p.store.setFaults(x.name, storeFaults{})
			}
		}
	}
	proc := func(fn func()) {
		if _, taken := busy.LoadOrStore(d.name, true); taken {
			return
		}
		defer busy.Delete(d.name)
		fn()
	}
	switch rand.IntN(14) {
	case 0:
		proc(func() { f.kill(d, ms(300, 3000)) })
	case 1, 2:
		proc(func() {
			f.signal(d, syscall.SIGSTOP)
			time.Sleep(ms(500, 4000))
			f.signal(d, syscall.SIGCONT)
		})
	case 3:
		proc(func() {
			f.signal(d, syscall.SIGTERM)
			select {
			case <-d.ended:
			case <-time.After(6 * time.Second):
				f.signal(d, syscall.SIGKILL)
				<-d.ended
			}
			f.start(d)
		})
	case 4, 5:
		minion(func(x *machine) { f.p.crashMachine(x, ms(200, 3000), true) })
	case 6:
		minion(func(x *machine) { f.p.crashMachine(x, ms(1000, 5000), false) })
	case 7:
		minionFault(minionFaults{Silent: true}, ms(1000, 6500))
	case 8:
		minionFault(minionFaults{Late: 0.5}, ms(2000, 5500))
	case 9:
		minionFault(minionFaults{Lose: 0.5}, ms(2000, 5500))
	case 10:
		storeFault(storeFaults{Lose: 0.35}, true, ms(2000, 4500))
	case 11:
		storeFault(storeFaults{Late: 0.35}, true, ms(2000, 4500))
	case 12:
		storeFault(storeFaults{Silent: true}, rand.IntN(3) == 0, ms(1500, 5500))
	case 13:
		f.p.store.compact()
		storeFault(storeFaults{Busy: true}, rand.IntN(2) == 0, ms(1000, 4500))
	}
}
