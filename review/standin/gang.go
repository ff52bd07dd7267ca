package main

import (
	"os"
	"time"
)

// Jobs of the case, and the length of their tasks.
const (
	gangJobs   = 6
	gangWidth  = 5
	gangLength = 10 * time.Second
)

// playGang: a minion crashes while members of gangs that save their progress work on it. The gangs start again, and all
// members of one run have to carry the same checkpoint.
func playGang(dir, program string, trouble bool) (*fleet, []string) {
	f := newFleet(dir, program, fleetConfig{daemons: 3, pools: map[string]int{"wok": 6, "spare": 2}, cpu: 32000, mem: 131072, fenced: true})
	f.p.strictGangs = os.Getenv("STRICT") == "1"
	var jobs []*job
	for range gangJobs {
		j := &job{ID: newID(), Service: "wok", Steps: []step{{
			Count: gangWidth, CPU: 3000, Memory: 1000, Estimate: int(gangLength.Milliseconds()), Gang: true, Checkpointing: true,
			AntiAffinity: 1, duration: gangLength,
		}}}
		if !f.submit(j, 20) {
			fatal("a job was not accepted")
		}
		jobs = append(jobs, j)
		time.Sleep(170 * time.Millisecond)
	}
	for _, j := range jobs {
		f.until(15*time.Second, "all gangs work", func() bool { return f.gangWorks(j) != nil })
	}
	time.Sleep(4 * time.Second)
	if trouble {
		f.p.mu.Lock()
		f.p.crashMachine(f.p.busiest(), 3500*time.Millisecond, false)
		f.p.mu.Unlock()
	}
	open := len(jobs)
	f.wait(60*time.Second, func() bool {
		open = 0
		for _, j := range jobs {
			if f.state(f.daemons[0], j) != "completed" {
				open++
			}
		}
		return open == 0
	})
	f.rec.add("%d of %d jobs are not completed", open, len(jobs))
	return f, []string{"UNASKED"}
}

// gangWorks returns the gang of the first step of a job if all its members are at work.
func (f *fleet) gangWorks(j *job) *gang {
	f.p.mu.Lock()
	defer f.p.mu.Unlock()
	for _, x := range f.p.machines {
		if x.m == nil {
			continue
		}
		for _, r := range x.m.runs {
			if r.j == j && r.gang != nil && r.gang.begun {
				return r.gang
			}
		}
	}
	return nil
}

// busiest returns the machine with the most runs.
func (p *platform) busiest() *machine {
	var best *machine
	for _, x := range p.machines {
		if x.m != nil && (best == nil || len(x.m.runs) > len(best.m.runs)) {
			best = x
		}
	}
	return best
}
