package main

import (
	"time"
)

// Parameters of the case.
const (
	ackRestart = 60 * time.Millisecond // a minion is down
	ackSubmit  = 75 * time.Millisecond // from the crash to the next job of its rack
	ackTask    = 150 * time.Millisecond
)

// playAck: minions crash and start again under their id at once. A job for their rack comes soon after.
func playAck(dir, program string, trouble bool) (*fleet, []string) {
	racks := []string{"r1-0", "r1-1"}
	f := newFleet(dir, program, fleetConfig{
		daemons: 3, pools: map[string]int{"wok": 4, "spare": 1}, cpu: 32000, mem: 131072, fenced: true,
		labels: func(_ string, n int) []string { return []string{"a", racks[n/2%2]} },
	})
	for _, rack := range racks {
		j := &job{ID: newID(), Service: "wok", Steps: []step{{Count: 2, CPU: 2700, Memory: 1000, Estimate: 900, LongRunning: true, MayMiss: 1, AntiAffinity: 1, Label: rack}}}
		if !f.submit(j, 20) {
			fatal("a lasting job was not accepted")
		}
	}
	one := func(rack string, length time.Duration) {
		f.submit(&job{ID: newID(), Service: "wok", Steps: []step{
			{Count: 1, CPU: 300, Memory: 100, Estimate: int(length.Milliseconds()), duration: length, Label: rack},
		}}, 3)
	}
	stop := make(chan bool)
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(120 * time.Millisecond):
				go one(racks[n%2], 400*time.Millisecond)
			}
		}
	}()
	time.Sleep(8 * time.Second)
	for n := range restarts {
		rack := racks[n%2]
		f.p.mu.Lock()
		f.p.cold = coldTime
		if x := f.inRack(rack); trouble && x != nil {
			f.p.crashMachine(x, ackRestart, true)
		}
		f.p.mu.Unlock()
		time.Sleep(ackSubmit)
		go one(rack, ackTask)
		go one(rack, ackTask)
		time.Sleep(restartPause)
		if f.rec.count("TWICE") > 0 {
			break
		}
	}
	close(stop)
	time.Sleep(3 * time.Second)
	return f, []string{"TWICE"}
}
