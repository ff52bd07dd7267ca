package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cuminstair.org/cuminstair/standin/site"
)

var (
	soakSeeds = flag.Int("soak.seeds", 2, "number of seeds of TestSoak")
	soakFirst = flag.Uint64("soak.first", 1, "first seed of TestSoak")
)

// Limits of one run of TestSoak.
const (
	soakDuration   = 12 * time.Second // in which faults are injected
	submitInterval = 120 * time.Millisecond
	clearTime      = 4 * time.Second // the timers of injectFault fire within 3.5 s
	maxAttempts    = 6               // to submit one job
	mayGiveUpAfter = 2               // crashes under a task, after which its job may be reported as failed
	resizePeriod   = 6               // one in so many faults comes with a change of a worker's capacity
	minCPU         = 4000            // smallest capacity of a worker, in thousandths of a core
	crashingJobs   = 25              // one in so many jobs has a task that crashes its workers
)

// regressionSeeds are seeds with which a fault was found, with the events that lead to it. Each run includes them.
var regressionSeeds = map[uint64]string{
	611:  "a host controller is killed after it has stored the end of a wave and before it reports that end",
	2000: "a suspect is found by a new owner, which places other tasks beside it",
	2001: "a long-running task is alone on two workers that crash soon after its start",
	2004: "a task that crashes its workers is tried beside a long-running task",
	2006: "a start on a worker that has crashed before is not answered",
	2009: "a worker of the stand-in is crashed while a task is started on it",
	3002: "as 2006",
	3003: "as 2004",
	3014: "as 2004",
	4000: "as 2000",
	4002: "as 2001",
	4007: "a long-running task is given up: three workers crashed under it, the last while it was alone on trial",
	4012: "as 2000",
}

// outcome is the result of submitting a job, as its caller sees it.
type outcome uint8

const (
	unknown  outcome = iota // no attempt succeeded, and the result of at least one attempt is unknown
	accepted                // an attempt succeeded
	refused                 // every attempt was answered with a refusal
)

// soak is one run of TestSoak with one seed.
type soak struct {
	*fleet
	*soakAccounts
	rand      *rand.Rand
	resizes   *rand.Rand // of its own, so that the other faults of a seed stay the same
	services  []string
	mu        sync.Mutex
	outcomes  map[string]outcome // by job
	serviceOf map[string]string  // by job
	crashing  map[string]bool    // jobs with a task that crashes its workers
	waves     int                // started so far
}

// Guards against a violated guarantee when faults follow each other and overlap: daemons that are killed, stopped,
// paused and cut off from the store, a store that is unavailable, loses answers and compacts its history, workers that
// crash, stop answering, shrink and grow, and tasks that crash their workers, all of this during configuration changes,
// waves and moves. In a part of the seeds, client accounts get and lose keys, and their limits change.
func TestSoak(t *testing.T) {
	seeds := map[uint64]bool{}
	for seed := range regressionSeeds {
		seeds[seed] = true
	}
	for i := range *soakSeeds {
		seeds[*soakFirst+uint64(i)] = true
	}
	for seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel() // the runs wait most of the time
			runSoak(t, seed)
		})
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{
		fleet: newFleet(t, 3, map[string]int{"s1": 4, "s2": 4, "spare": 2}), rand: rand.New(rand.NewPCG(seed, 1)),
		resizes: rand.New(rand.NewPCG(seed, 3)), soakAccounts: newSoakAccounts(seed),
		services: []string{"s1", "s2"}, outcomes: map[string]outcome{}, serviceOf: map[string]string{}, crashing: map[string]bool{},
	}
	if s.accounts != nil {
		s.answer = s.callWithKey
	}
	s.configure(func() { s.timeout = 3 * time.Second })
	s.startAll()
	longRunning := []string{jobID(1), jobID(2)}
	for i, id := range longRunning {
		s.assignJob(id, 0)
		s.submit(s.daemons[0], s.services[i], id, 3, 0)
	}
	end := time.Now().Add(soakDuration)
	var callers, probes sync.WaitGroup
	callers.Add(1)
	go func() {
		defer callers.Done()
		s.submitJobs(seed, end, &callers)
	}()
	if s.accounts != nil {
		callers.Go(func() { s.changeAccounts(end) })
		probes.Go(func() { s.probe(seed, end.Add(clearTime), &probes) })
	}
	for time.Now().Before(end) {
		s.injectFault()
		s.resizeWorker()
		time.Sleep(time.Duration(200+s.rand.IntN(700)) * time.Millisecond)
	}
	callers.Wait()
	s.clearFaults()
	probes.Wait()
	s.checkGuarantees(longRunning)
	t.Logf("%d versions, answers by whether the key may and must be valid: %v", len(s.versions), s.answers)
}

// submitJobs submits jobs until the end of the soak.
func (s *soak) submitJobs(seed uint64, end time.Time, callers *sync.WaitGroup) {
	r, crashing := rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 4))
	for n := 100; time.Now().Before(end); n++ {
		id, service, firstDaemon := jobID(n), s.services[r.IntN(2)], r.IntN(len(s.daemons))
		tasks, length := 1+r.IntN(4), time.Duration(50+r.IntN(500))*time.Millisecond
		crashes := crashing.IntN(crashingJobs) == 0
		s.crashing[id] = crashes
		tasks = s.assignJob(id, tasks)
		s.site.DeclareJob(id, site.Task{CPU: 4000, Length: length, Crashes: crashes})
		callers.Add(1)
		go func() {
			defer callers.Done()
			o := s.submitWithRetries(id, service, firstDaemon, tasks)
			s.mu.Lock()
			s.outcomes[id], s.serviceOf[id] = o, service
			if o == accepted {
				s.accepted = append(s.accepted, "/"+service+"/"+id)
			}
			s.mu.Unlock()
		}()
		time.Sleep(submitInterval)
	}
}

// submitWithRetries submits a job with the given number of tasks to the daemons in turn, beginning with the index
// firstDaemon, until one accepts it or maxAttempts is reached.
func (s *soak) submitWithRetries(id, service string, firstDaemon, tasks int) outcome {
	o := refused
	for i := range maxAttempts {
		status, _ := s.call(s.daemons[(firstDaemon+i)%len(s.daemons)], http.MethodPost, "/"+service+"/"+id, body(id, tasks, false))
		switch status {
		case http.StatusOK:
			return accepted
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusUnauthorized:
			time.Sleep(300 * time.Millisecond)
		default:
			o = unknown
			time.Sleep(100 * time.Millisecond)
		}
	}
	return o
}

// injectFault starts a random fault of a random daemon, of a random worker or of the store, or it starts a wave
// together with a configuration change.
func (s *soak) injectFault() {
	d := s.daemons[s.rand.IntN(len(s.daemons))]
	length := time.Duration(500+s.rand.IntN(3000)) * time.Millisecond
	switch s.rand.IntN(11) {
	case 0:
		d.signal(syscall.SIGKILL)
		s.restart(d, length/2)
	case 1:
		d.signal(syscall.SIGTERM)
		s.restart(d, 0)
	case 2:
		s.outage(d, "stopped", length, func() { d.signal(syscall.SIGSTOP) }, func() { d.signal(syscall.SIGCONT) })
	case 3, 4:
		m := []mode{silent, reset, slow}[s.rand.IntN(3)]
		s.outage(d, "cut off", length, func() { d.storeProxy.setMode(m) }, func() { d.storeProxy.setMode(passing) })
	case 5:
		s.outage(nil, "store down", length, func() { s.site.Store.SetDown(true) }, func() { s.site.Store.SetDown(false) })
	case 6:
		s.site.Store.LoseAnswers(1 + s.rand.IntN(4))
	case 7:
		s.site.Store.Compact()
	case 8, 9:
		workers := s.site.Workers(s.services[s.rand.IntN(2)])
		if len(workers) == 0 {
			return
		}
		w := workers[s.rand.IntN(len(workers))]
		if s.rand.IntN(2) == 0 {
			s.site.Crash(w, length)
			return
		}
		w.SetSilent(true)
		time.AfterFunc(length, func() { w.SetSilent(false) })
	case 10:
		s.waves++
		s.site.Wave(s.waves, s.services[s.rand.IntN(2)], 1)
		s.configure(func() { s.timeout = time.Duration(2000+s.rand.IntN(2000)) * time.Millisecond })
	}
}

// resizeWorker changes the capacity of a random worker now and then, and back after a while.
func (s *soak) resizeWorker() {
	workers := s.site.Workers(s.services[s.resizes.IntN(2)])
	if len(workers) == 0 || s.resizes.IntN(resizePeriod) > 0 {
		return
	}
	w := workers[s.resizes.IntN(len(workers))]
	before := w.CPU()
	w.Resize(minCPU + s.resizes.IntN(before))
	time.AfterFunc(time.Duration(1000+s.resizes.IntN(2500))*time.Millisecond, func() { w.Resize(before) })
}

// restart waits for the given time, kills a daemon that does not end within the grace time, as the platform does, and
// starts it again.
func (s *soak) restart(d *daemon, after time.Duration) {
	time.AfterFunc(after, func() {
		if !d.wait(time.Duration(graceSeconds * float64(time.Second))) {
			d.signal(syscall.SIGKILL)
			d.wait(shortTimeout)
		}
		s.startIfEnded(d)
	})
}

// startIfEnded starts a daemon that has ended. Of several concurrent calls only one starts it.
func (s *soak) startIfEnded(d *daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.wait(0) {
		s.start(d)
	}
}

// clearFaults ends all faults and restarts daemons that have ended.
func (s *soak) clearFaults() {
	s.site.Store.SetDown(false)
	s.site.Store.LoseAnswers(0)
	time.Sleep(clearTime)
	for _, d := range s.daemons {
		d.signal(syscall.SIGCONT)
		d.storeProxy.setMode(passing)
		if d.wait(100 * time.Millisecond) {
			s.startIfEnded(d)
		}
	}
}

// mayBeGivenUp reports whether enough workers crashed under a task of a job for it to be reported as failed.
func (s *soak) mayBeGivenUp(id string) bool { return s.site.CrashedUnder(id) >= mayGiveUpAfter }

// hasEnded reports whether an accepted job has ended, and ends the test if it ended in a way that it must not.
func (s *soak) hasEnded(id string) bool {
	s.t.Helper()
	state := s.state(s.daemons[0], s.serviceOf[id], id)
	if state == "failed" && s.mayBeGivenUp(id) || state == "cancelled" && s.cancelled[id] {
		return true
	}
	if state == "completed" && s.crashing[id] {
		s.t.Fatalf("job %s of %s crashes its workers and is reported as completed, workers crashed: %d, starts: %v",
			id, s.serviceOf[id], s.site.CrashedUnder(id), s.site.Starts(id))
	}
	if state == strconv.Itoa(http.StatusGone) || state == "failed" || state == "cancelled" {
		s.t.Fatalf("job %s of %s, which was accepted, is reported as %s", id, s.serviceOf[id], state)
	}
	return state == "completed"
}

// checkGuarantees checks that accepted jobs are completed, or given up if workers crashed under a task, that refused jobs have not run, that the long-running jobs
// run with all their tasks and that all waves are completed.
func (s *soak) checkGuarantees(longRunning []string) {
	s.t.Helper()
	count := map[outcome]int{}
	for id, o := range s.outcomes {
		count[o]++
		switch o {
		case accepted:
			s.until(settleTimeout, fmt.Sprintf("job %s of %s, which was accepted, is completed", id, s.serviceOf[id]), func() bool { return s.hasEnded(id) })
		case refused:
			if n := s.site.Starts(id); len(n) > 0 {
				s.t.Errorf("job %s was refused and has run: %v", id, n)
			}
		case unknown:
		}
	}
	for i, id := range longRunning {
		s.until(settleTimeout, "long-running job "+id+" runs", func() bool {
			return s.site.Running(id) == 3 || s.mayBeGivenUp(id) && s.state(s.daemons[0], s.services[i], id) == "failed"
		})
	}
	s.until(settleTimeout, "all waves are completed", func() bool {
		for i := range s.waves {
			if !strings.Contains(string(s.site.Store.Get("status", "", fmt.Sprintf("wave/%d", i+1))), "completed") {
				return false
			}
		}
		return true
	})
	s.checkNoFaults()
	s.t.Logf("%d jobs accepted, %d refused, %d unknown", count[accepted], count[refused], count[unknown])
	if count[accepted] == 0 {
		s.t.Error("no job was accepted")
	}
}
