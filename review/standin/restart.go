package main

import (
	"math/rand/v2"
	"time"
)

// Parameters of the case.
const (
	restartTime  = 150 * time.Millisecond // a minion is down
	submitAfter  = 165 * time.Millisecond // from the crash to the next job of its rack
	listLate     = 200 * time.Millisecond // 50 times the 4 ms of the platform's other answers
	coldTime     = time.Second            // a minion is slow after its start
	restarts     = 32
	restartPause = 2600 * time.Millisecond
)

// playRestart: minions crash and start again under their id at once, while answers to the list of machines are slow. A job
// for their rack comes soon after.
func playRestart(dir, program string, trouble bool) (*fleet, []string) {
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
	time.Sleep(8 * time.Second)
	for n := range restarts {
		rack := racks[n%2]
		f.p.mu.Lock()
		f.p.cloud.slow, f.p.cold = listLate, coldTime
		if x := f.inRack(rack); trouble && x != nil {
			f.p.crashMachine(x, restartTime, true)
		}
		f.p.mu.Unlock()
		time.Sleep(submitAfter)
		go f.submit(&job{ID: newID(), Service: "wok", Steps: []step{
			{Count: 1, CPU: 300, Memory: 100, Estimate: 12000, duration: 12 * time.Second, Label: rack},
		}}, 3)
		time.Sleep(restartPause)
		if f.rec.count("TWICE") > 0 {
			break
		}
	}
	time.Sleep(6 * time.Second)
	return f, []string{"TWICE"}
}

// inRack returns a machine of a rack that is up and has runs, or nil.
func (f *fleet) inRack(rack string) *machine {
	var list []*machine
	for _, x := range f.p.machines {
		if x.m != nil && x.state == "up" && len(x.m.runs) > 0 && x.labels[1] == rack && x.pool == "wok" {
			list = append(list, x)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rand.IntN(len(list))]
}
