package main

import (
	"os"
	"time"
)

// Bounds of the case: RULES.md, LOST, for tasks that last.
const (
	lastingAfter = 6 * time.Second // from its last run on
	lastingLimit = 3 * time.Second // with nothing running
	calmBefore   = 4 * time.Second
	contactBound = 3 * time.Second // contact_ms of the sheet
)

// playSilent: the open connections to the minions go silent for good, once. New connections work.
func playSilent(dir, program string, trouble bool) (*fleet, []string) {
	f := newFleet(dir, program, fleetConfig{daemons: 3, pools: map[string]int{"wok": 9, "spare": 2}, cpu: 32000, mem: 131072, fenced: true})
	lasting := &job{ID: newID(), Service: "wok", Steps: []step{{Count: 5, CPU: 2700, Memory: 17000, Estimate: 900, LongRunning: true, MayMiss: 1, AntiAffinity: 1}}}
	if !f.submit(lasting, 20) {
		fatal("the lasting job was not accepted")
	}
	stop := make(chan bool)
	go f.traffic(stop)
	time.Sleep(12 * time.Second)
	close(stop)
	time.Sleep(3 * time.Second)
	if trouble {
		f.p.mu.Lock()
		for _, x := range f.p.machines {
			if x.m != nil {
				f.rec.add("%d open connections to %s go silent", x.m.conns.mute(), x.m.id)
			}
		}
		f.p.mu.Unlock()
		if os.Getenv("ALL") == "1" {
			for _, l := range listeners {
				f.rec.add("%d open connections to the store or the list of machines go silent", l.mute())
			}
		}
	}
	at := time.Now()
	lastRun, down := map[string]time.Time{}, map[string]time.Time{}
	broken := map[string]bool{}
	for time.Since(at) < 45*time.Second {
		time.Sleep(50 * time.Millisecond)
		now := time.Now()
		f.p.mu.Lock()
		used, total := 0, 0
		for _, x := range f.p.machines {
			if x.m != nil {
				total += x.cpu
				for _, r := range x.m.runs {
					used += r.cpu
				}
			}
		}
		for i := range lasting.Steps[0].Count {
			name := taskName(taskID{job: lasting.ID, i: i})
			if lasting.task(name).running > 0 {
				if !down[name].IsZero() {
					f.rec.add("%s runs again after %v", name, now.Sub(down[name]).Round(10*time.Millisecond))
				}
				lastRun[name], down[name] = now, time.Time{}
				continue
			}
			if down[name].IsZero() {
				down[name] = now
				f.rec.add("%s does not run, %v after the trouble", name, now.Sub(at).Round(10*time.Millisecond))
			}
			calm := now.Sub(at) > contactBound+calmBefore+lastingLimit
			if calm && now.Sub(down[name]) > lastingAfter+lastingLimit && used*2 < total && !broken[name] {
				broken[name] = true
				f.rec.breaks("LOST", "%s has not run for %v, with %d of %d in use, %v after the trouble", name, now.Sub(down[name]).Round(10*time.Millisecond), used, total, now.Sub(at).Round(10*time.Millisecond))
			}
		}
		f.p.mu.Unlock()
	}
	return f, []string{"LOST"}
}

// traffic submits short jobs until stop is closed.
func (f *fleet) traffic(stop chan bool) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(400 * time.Millisecond):
		}
		go f.submit(&job{ID: newID(), Service: "wok", Steps: []step{
			{Count: 16, CPU: 1800, Memory: 3600, Estimate: 640, duration: 500 * time.Millisecond, spread: 1},
		}}, 3)
	}
}
