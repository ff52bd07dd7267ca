package main

import (
	"time"
)

// Jobs of the case.
const (
	largeTasks  = 2000
	largeLength = 60 * time.Second
	ackBound    = 4 * time.Second // ack_ms of the sheet
	cancels     = 6
)

// playLarge: a large job comes, whose tasks save their progress. Then clients cancel other jobs of the service, and the
// ends that minions list have to be taken note of. Without the disruption the same tasks come as twenty jobs.
func playLarge(dir, program string, trouble bool) (*fleet, []string) {
	f := newFleet(dir, program, fleetConfig{daemons: 3, pools: map[string]int{"wok": 9, "spare": 2}, cpu: 32000, mem: 131072, fenced: true})
	var small []*job
	for range cancels {
		j := &job{ID: newID(), Service: "wok", Steps: []step{{Count: 2, CPU: 500, Memory: 100, Estimate: 70000, duration: 70 * time.Second}}}
		if !f.submit(j, 20) {
			fatal("a job was not accepted")
		}
		small = append(small, j)
	}
	parts := 1
	if !trouble {
		parts = 20
	}
	for n := range parts {
		st := step{
			Count: largeTasks / parts, CPU: 100, Memory: 50, Estimate: int(largeLength.Milliseconds()), Checkpointing: true,
			duration: largeLength, spread: 0.2,
		}
		if n == 0 {
			st.first = 8 * time.Second
		}
		if !f.submit(&job{ID: newID(), Service: "wok", Steps: []step{st}}, 20) {
			fatal("a large job was not accepted")
		}
	}
	// The first task ends, and all others have saved some progress by then.
	f.until(30*time.Second, "a task of the large job has ended", func() bool {
		f.p.mu.Lock()
		defer f.p.mu.Unlock()
		for _, j := range f.p.jobs {
			if j.Steps[0].first > 0 && j.task(taskName(taskID{job: j.ID})).done {
				return true
			}
		}
		return false
	})
	time.Sleep(time.Second)
	begun := time.Now()
	acked := make(chan bool, cancels)
	for _, j := range small {
		go func() { acked <- f.cancel(j, 40) && time.Since(begun) <= ackBound }()
	}
	late := 0
	time.Sleep(time.Until(begun.Add(ackBound + time.Second)))
	f.p.mu.Lock()
	for _, j := range small {
		if j.cancelledAt.IsZero() || j.cancelledAt.Sub(begun) > ackBound {
			late++
		}
	}
	listed, old := 0, 0
	for _, x := range f.p.machines {
		if x.m == nil {
			continue
		}
		for _, e := range x.m.ends {
			listed++
			if time.Since(e.at) > ackBound {
				old++
			}
		}
	}
	f.p.mu.Unlock()
	f.rec.add("%d of %d cancels have no 2xx or 410 after %v; %d ends are listed, %d of them for over %v", late, cancels, ackBound, listed, old, ackBound)
	if late >= 3 && late*10 > cancels {
		f.rec.breaks("Acks", "%d of %d cancels of accepted jobs have no 2xx or 410 after %v, with no disruption of the store or the links", late, cancels, ackBound)
	}
	one := &job{ID: newID(), Service: "wok", Steps: []step{{Count: 1, CPU: 500, Memory: 100, Estimate: 500, duration: 500 * time.Millisecond}}}
	f.rec.add("a new job of one short task is accepted: %v", f.submit(one, 4))
	f.rec.add("refused transactions by status: %v, largest value %d bytes", f.p.store.refused, f.p.store.largest)
	return f, []string{"Acks"}
}
