package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// Parameters of the replays.
const (
	replayWorkers  = 40
	replayAccounts = 20
	replaySeeds    = 3
	replayTime     = 16 * time.Second
	meanJobs       = 1.78 // a second of each account; together four fifths of the pool
	burstStart     = 4 * time.Second
	burstEnd       = 10 * time.Second
	largeTasks     = 180              // of a large job; they run in two waves
	busyEnd        = 12 * time.Second // the pool is observed from burstStart until then
)

var replayQueue = cuminstair.WorkQueue{Name: "q", Service: "s", TargetFactor: 2, Target: 600 * time.Millisecond, Attempts: 3}

// load is what the accounts offer in a replay, and what happens to the pool.
type load struct {
	usual  float64                        // of account 0, as a multiple of that of each other account
	factor func(at time.Duration) float64 // of the rate of all accounts; nil: 1
	burst  float64                        // factor of the rate of account 0 from burstStart to burstEnd
	rack   bool                           // one rack of five is lost at burstStart
	seeds  uint64                         // 0: replaySeeds
	large  bool                           // account 0 sends large jobs, four others send eight times as many, and the rest none
}

func (l *load) rate(account int, at time.Duration) float64 {
	rate := meanJobs * replayAccounts / (replayAccounts - 1 + l.usual)
	if l.factor != nil {
		rate *= l.factor(at)
	}
	switch {
	case l.large && account == 0:
		return 0.4
	case l.large && account <= 4:
		return 8 * rate
	case l.large:
		return 0
	case account == 0 && at >= burstStart && at < burstEnd:
		return l.usual * l.burst * rate
	case account == 0:
		return l.usual * rate
	}
	return rate
}

// replay plays a load against a service, with callers that come back after a refusal while the result is of use.
type replay struct {
	*pool
	shares              bool // the accounts are configured
	jobs                []*replayJob
	busy                float64 // core-seconds
	returns, readmitted int
}

type replayJob struct {
	reply
	id            string
	account       int
	sent, due     time.Time
	back, endedAt time.Time // when its caller comes back, and when it was completed
}

// play plays a load with one seed. Each account has a random source, so that the load of one does not change that of the others.
func play(t *testing.T, l load, seed uint64, shares bool) *replay {
	r := &replay{pool: newPool(t, 0), shares: shares}
	for i := range replayWorkers {
		r.addWorker(fmt.Sprintf("w%d", i), i/8)
	}
	r.takeOver(200, 0)
	r.duration = estimateOff
	if shares {
		r.s.SetAccounts(replayAccountList())
	}
	var arrivals [replayAccounts]*rand.Rand
	var next [replayAccounts]float64
	for i := range arrivals {
		arrivals[i] = rand.New(rand.NewPCG(seed, uint64(i)))
		next[i] = arrivals[i].ExpFloat64()
	}
	r.run(500 * time.Millisecond)
	for at := time.Duration(0); at < replayTime+6*time.Second; at += tick {
		for i, w := range r.workers {
			w.crashed = l.rack && i%5 == 0 && at >= burstStart
		}
		for i, x := range arrivals {
			if at < replayTime {
				next[i] -= l.rate(i, at) * tick.Seconds()
			}
			for ; next[i] < 0; next[i] += x.ExpFloat64() {
				r.offer(i, l.large && i == 0, x)
			}
		}
		r.comeBack()
		r.run(tick)
		r.observe(at)
	}
	return r
}

func replayAccountList() []cuminstair.ClientAccount {
	list := make([]cuminstair.ClientAccount, replayAccounts)
	for i := range list {
		list[i] = cuminstair.ClientAccount{Name: fmt.Sprint(i), Weight: 1}
	}
	return list
}

// estimateOff returns durations that are off the estimate by a factor from 0.6 to 1.4.
func estimateOff(id cuminstair.TaskID) time.Duration {
	x := rand.New(rand.NewPCG(uint64(id.Index), uint64(id.Step)+uint64(len(id.Job))*uint64(id.Job[15])))
	return time.Duration((0.6 + 0.8*x.Float64()) * float64(600*time.Millisecond))
}

func (r *replay) offer(account int, large bool, x *rand.Rand) {
	next := step(4+x.IntN(9), 3000)
	next.After = []int{0}
	spec := &cuminstair.JobSpec{Steps: []cuminstair.JobStep{step(4+x.IntN(9), 3000), next}}
	if large {
		spec.Steps = []cuminstair.JobStep{step(largeTasks, 3000)}
	}
	j := &replayJob{id: fmt.Sprintf("%08x%08x", account, len(r.jobs)), account: account, sent: r.now}
	j.due = r.now.Add(2*2*600*time.Millisecond + replayQueue.Target) // two steps, or two waves
	r.jobs, r.specs[j.id] = append(r.jobs, j), spec
	r.send(j)
}

func (r *replay) send(j *replayJob) {
	account := ""
	if r.shares {
		account = fmt.Sprint(j.account)
	}
	j.back, j.Outcome = time.Time{}, dispatch.Uncertain
	r.s.Submit(r.now, j.id, r.specs[j.id], replayQueue, account, j.set)
	if j.Outcome == dispatch.Refused {
		j.back = r.now.Add(j.Wait.Round(time.Second))
	}
}

// useless is when the result of a job is of no use any more.
func (j *replayJob) useless() time.Time { return j.sent.Add(3 * j.due.Sub(j.sent)) }

func (r *replay) comeBack() {
	for _, j := range r.jobs {
		if j.back.IsZero() || r.now.Before(j.back) || r.now.After(j.useless()) {
			continue
		}
		r.send(j)
		r.returns++
		if j.Outcome != dispatch.Refused {
			r.readmitted++
		}
	}
}

func (r *replay) observe(at time.Duration) {
	for _, w := range r.workers {
		if !w.crashed && at >= burstStart && at < busyEnd {
			r.busy += float64(w.usedCPU()) / 1000 * tick.Seconds()
		}
	}
	for _, j := range r.jobs {
		if j.endedAt.IsZero() && j.Outcome == dispatch.Accepted && r.s.State(j.id) == cuminstair.JobCompleted {
			j.endedAt = r.now
		}
	}
}

// result has the figures of some replays.
type result struct {
	first, others                                                   float64 // parts of the jobs of account 0, and of the others, that ended in time
	busy                                                            float64 // part of the pool
	late, stuck, refused, above, returns, readmitted, firstN, restN int
}

// playSeeds plays a load with all seeds.
func playSeeds(t *testing.T, name string, l load, shares bool) (sum result) {
	seeds := max(l.seeds, replaySeeds)
	for seed := range seeds {
		r := play(t, l, seed, shares)
		for _, j := range r.jobs {
			inTime := 0.0
			if !j.endedAt.IsZero() && !j.endedAt.After(j.due) {
				inTime = 1
			}
			if j.account == 0 {
				sum.first, sum.firstN = sum.first+inTime, sum.firstN+1
			} else {
				sum.others, sum.restN = sum.others+inTime, sum.restN+1
			}
			if j.endedAt.After(j.due) {
				sum.late++
			}
			if j.Outcome == dispatch.Accepted && j.endedAt.IsZero() {
				sum.stuck++
			}
		}
		counts := r.s.Counts()
		sum.refused, sum.above = sum.refused+counts.Refused, sum.above+counts.AboveShare
		sum.returns, sum.readmitted = sum.returns+r.returns, sum.readmitted+r.readmitted
		sum.busy += r.busy / float64(seeds) / (busyEnd - burstStart).Seconds() / (replayWorkers * hostCPU / 1000)
	}
	sum.first, sum.others = sum.first/float64(sum.firstN), sum.others/float64(sum.restN)
	t.Logf("%s, shares %v: %+v", name, shares, sum)
	return sum
}

// Guards against an account that takes the capacity of the others: its burst makes their jobs late, or its refusal leaves the
// pool idle. Also guards against callers that come back as told and are refused again.
func TestBurstOfOneAccount(t *testing.T) {
	for _, usual := range []float64{1, 4} {
		is := is.New(t)
		calm := playSeeds(t, "calm", load{usual: usual, burst: 1}, true)
		plain := playSeeds(t, "burst", load{usual: usual, burst: 7}, false)
		fair := playSeeds(t, "burst", load{usual: usual, burst: 7}, true)
		is.True(fair.others >= calm.others-0.02)
		is.True(fair.busy >= plain.busy-0.02)
		is.True(fair.first < plain.first) // the burst pays for itself, by waiting or by refusals
		is.True(float64(fair.readmitted) >= 0.9*float64(fair.returns))
		is.Equal(fair.stuck, 0)  // accepted jobs of the account end too
		is.Equal(plain.above, 0) // without accounts nothing is refused for a share
	}
}

// Guards against shares that cost more than they save when no account is to blame, or when the pool shrinks.
func TestSharesOfAShortPool(t *testing.T) {
	peak := func(at time.Duration) float64 {
		if at >= burstStart && at < burstStart+4*time.Second {
			return 2.5 // five times the mean of 0.5
		}
		return 0.25
	}
	for _, c := range []struct {
		name string
		load load
	}{
		{"peak", load{usual: 1, burst: 1, factor: peak}},
		{"peak with one account at three times the others", load{usual: 3, burst: 1, factor: peak}},
		{"rack lost", load{usual: 1, burst: 1, rack: true}},
		{"rack lost in a burst", load{usual: 1, burst: 4, rack: true}},
	} {
		plain, fair := playSeeds(t, c.name, c.load, false), playSeeds(t, c.name, c.load, true)
		is := is.New(t)
		is.True(fair.others >= plain.others-0.03) // two plays of one seed differ by up to 0.02
		is.True(fair.busy >= plain.busy-0.02)
		is.Equal(fair.stuck, 0)
	}
}

// Guards against a queue of a low priority that is served before one of a high priority, and against any effect of priorities
// without client accounts.
func TestPriorityComesBeforeShares(t *testing.T) {
	for _, accounts := range [][]cuminstair.ClientAccount{nil, replayAccountList()} {
		is := is.New(t)
		p := newPool(t, 1)
		p.s.SetAccounts(accounts)
		p.run(200 * time.Millisecond)
		for i, id := range []string{jobA, jobB} { // the second has the later latest start
			p.specs[id] = &cuminstair.JobSpec{Steps: []cuminstair.JobStep{step(1, 20000)}}
			queue := replayQueue
			queue.Name, queue.Priority, queue.Target = id, 1-i, time.Duration(i+5)*time.Second
			p.s.Submit(p.now, id, p.specs[id], queue, "", func(dispatch.Result) {})
		}
		p.run(300 * time.Millisecond)
		first := cuminstair.TaskID{Job: jobA}
		if accounts != nil {
			first.Job = jobB
		}
		is.Equal(len(p.starts), 1)
		is.Equal(p.starts[first], 1)
	}
}

// Guards against an account below its share whose job waits for all that an account above its share was given of idle room.
func TestWorkBeyondAShareYields(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 1)
	p.s.SetAccounts(replayAccountList())
	p.run(200 * time.Millisecond)
	queue := replayQueue
	queue.Target = 30 * time.Second
	submit := func(id, account string) {
		p.specs[id] = &cuminstair.JobSpec{Steps: []cuminstair.JobStep{step(1, 10000)}}
		p.s.Submit(p.now, id, p.specs[id], queue, account, func(dispatch.Result) {})
	}
	submit(jobB, "1") // the load with which that of the other account is compared
	const jobs = 90   // 18 s of work, of which 3 s are within the share
	for i := range jobs {
		submit(fmt.Sprintf("%016x", i), "0")
		if i%3 == 0 {
			p.run(tick)
		}
	}
	is.Equal(p.s.Counts().Accepted, jobs+1)
	queue.Target *= 2 // so that its latest start is after all others
	submit(jobA, "1")
	p.run(4 * time.Second)
	is.Equal(p.starts[cuminstair.TaskID{Job: jobA}], 1)
}

// Guards against a large job that waits for, or is refused because of, a long queue of small jobs of accounts above their share.
func TestLargeJobAfterManySmallOnes(t *testing.T) {
	is := is.New(t)
	l := load{usual: 1, large: true, seeds: 8} // there are few large jobs
	plain, fair := playSeeds(t, "large", l, false), playSeeds(t, "large", l, true)
	is.True(fair.first >= plain.first)
	is.True(fair.busy >= plain.busy-0.02)
}
