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
	soakSeeds = flag.Int("soak.seeds", 2, "seeds of the fault soak")
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the fault soak")
)

// Lengths of one soak.
const (
	soakTime   = 12 * time.Second
	jobsEvery  = 120 * time.Millisecond
	triesLimit = 6
)

// seedsThatFailed are seeds that once broke a promise, with the cause.
var seedsThatFailed = map[uint64]string{
	611: "a controller of hosts was killed between storing the end of a wave and telling it",
}

// outcome is what a caller knows of its job.
type outcome uint8

const (
	unknown  outcome = iota // some try had no clear answer
	accepted                // a try was answered with success
	refused                 // every try was answered with a refusal
)

// soak is one run of the fault soak.
type soak struct {
	*fleet
	rand     *rand.Rand
	services []string
	mu       sync.Mutex
	jobs     map[string]outcome
	service  map[string]string
	wave     int
}

// Guards against any break of a promise when faults come in series and overlap: daemons that are killed, stopped, paused
// and cut from the store, a store that is away, loses answers and drops its history, workers that crash and fall silent,
// configurations, waves and moves meanwhile.
func TestSoak(t *testing.T) {
	seeds := map[uint64]bool{}
	for seed := range seedsThatFailed {
		seeds[seed] = true
	}
	for i := range *soakSeeds {
		seeds[*soakFirst+uint64(i)] = true
	}
	for seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { soakOnce(t, seed) })
	}
}

func soakOnce(t *testing.T, seed uint64) {
	s := &soak{
		fleet: newFleet(t, 3, map[string]int{"s1": 4, "s2": 4, "spare": 2}), rand: rand.New(rand.NewPCG(seed, 1)),
		services: []string{"s1", "s2"}, jobs: map[string]outcome{}, service: map[string]string{},
	}
	s.site.Configure(s.services, 3*time.Second)
	s.startAll()
	lasting := []string{jobID(1), jobID(2)}
	for i, id := range lasting {
		s.submit(s.daemons[0], s.services[i], id, 3, 0)
	}
	end := time.Now().Add(soakTime)
	var callers sync.WaitGroup
	callers.Add(1)
	go func() {
		defer callers.Done()
		s.load(seed, end, &callers)
	}()
	for time.Now().Before(end) {
		s.fault()
		time.Sleep(time.Duration(200+s.rand.IntN(700)) * time.Millisecond)
	}
	callers.Wait()
	s.heal()
	s.judge(lasting)
}

// load hands jobs in until the end.
func (s *soak) load(seed uint64, end time.Time, callers *sync.WaitGroup) {
	r := rand.New(rand.NewPCG(seed, 2))
	for n := 100; time.Now().Before(end); n++ {
		id, service, first := jobID(n), s.services[r.IntN(2)], r.IntN(len(s.daemons))
		count, length := 1+r.IntN(4), time.Duration(50+r.IntN(500))*time.Millisecond
		s.site.Expect(id, site.Task{CPU: 4000, Length: length})
		callers.Add(1)
		go func() {
			defer callers.Done()
			o := s.try(id, service, first, count)
			s.mu.Lock()
			s.jobs[id], s.service[id] = o, service
			s.mu.Unlock()
		}()
		time.Sleep(jobsEvery)
	}
}

// try hands a job in at one daemon after the other until an answer is clear.
func (s *soak) try(id, service string, first, count int) outcome {
	o := refused
	for i := range triesLimit {
		status, _ := s.call(s.daemons[(first+i)%len(s.daemons)], http.MethodPost, "/"+service+"/"+id, body(id, count, false))
		switch status {
		case http.StatusOK:
			return accepted
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			time.Sleep(300 * time.Millisecond)
		default:
			o = unknown
			time.Sleep(100 * time.Millisecond)
		}
	}
	return o
}

// fault starts one fault.
func (s *soak) fault() {
	d := s.daemons[s.rand.IntN(len(s.daemons))]
	long := time.Duration(500+s.rand.IntN(3000)) * time.Millisecond
	switch s.rand.IntN(11) {
	case 0:
		d.signal(syscall.SIGKILL)
		s.restart(d, long/2)
	case 1:
		d.signal(syscall.SIGTERM)
		s.restart(d, 0)
	case 2:
		d.signal(syscall.SIGSTOP)
		time.AfterFunc(long, func() { d.signal(syscall.SIGCONT) })
	case 3, 4:
		d.store.set([]mode{silent, reset, slow}[s.rand.IntN(3)])
		time.AfterFunc(long, func() { d.store.set(passing) })
	case 5:
		s.site.Store.SetDown(true)
		time.AfterFunc(long, func() { s.site.Store.SetDown(false) })
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
			s.site.Crash(w, long)
			return
		}
		w.SetSilent(true)
		time.AfterFunc(long, func() { w.SetSilent(false) })
	case 10:
		s.wave++
		s.site.Wave(s.wave, s.services[s.rand.IntN(2)], 1)
		s.site.Configure(s.services, time.Duration(2000+s.rand.IntN(2000))*time.Millisecond)
	}
}

// restart starts a daemon again some time after it has ended, and kills it when the grace time is over, as the platform
// does.
func (s *soak) restart(d *daemon, after time.Duration) {
	time.AfterFunc(after, func() {
		if !d.wait(time.Duration(grace * float64(time.Second))) {
			d.signal(syscall.SIGKILL)
			d.wait(soon)
		}
		s.revive(d)
	})
}

// revive starts a daemon that has ended. Only one of several calls does.
func (s *soak) revive(d *daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.wait(0) {
		s.start(d)
	}
}

// heal ends all faults.
func (s *soak) heal() {
	s.site.Store.SetDown(false)
	s.site.Store.LoseAnswers(0)
	time.Sleep(4 * time.Second) // faults under way end
	for _, d := range s.daemons {
		d.signal(syscall.SIGCONT)
		d.store.set(passing)
		if d.wait(100 * time.Millisecond) {
			s.revive(d)
		}
	}
}

// judge checks the promises.
func (s *soak) judge(lasting []string) {
	s.t.Helper()
	count := map[outcome]int{}
	for id, o := range s.jobs {
		count[o]++
		switch o {
		case accepted:
			s.until(settled, fmt.Sprintf("job %s of %s, which was accepted, is completed", id, s.service[id]), func() bool {
				state := s.state(s.daemons[0], s.service[id], id)
				if state == strconv.Itoa(http.StatusGone) || state == "failed" || state == "cancelled" {
					s.t.Fatalf("job %s of %s, which was accepted, is told as %s", id, s.service[id], state)
				}
				return state == "completed"
			})
		case refused:
			if n := s.site.Starts(id); len(n) > 0 {
				s.t.Errorf("job %s was refused and has run: %v", id, n)
			}
		case unknown:
		}
	}
	for _, id := range lasting {
		s.until(settled, "lasting job "+id+" runs", func() bool { return s.site.Running(id) == 3 })
	}
	s.until(settled, "all waves are completed", func() bool {
		for i := range s.wave {
			if !strings.Contains(string(s.site.Store.Get("status", "", fmt.Sprintf("wave/%d", i+1))), "completed") {
				return false
			}
		}
		return true
	})
	s.noFaults()
	s.t.Logf("%d jobs accepted, %d refused, %d unknown", count[accepted], count[refused], count[unknown])
	if count[accepted] == 0 {
		s.t.Error("no job was accepted")
	}
}
