// Package straggler decides when a second copy of a slow task pays (speculative execution). It is made for a load in which 3
// of 100 tasks take 7 times as long as usual, by bad luck or a bad worker, while the declared durations are off by a factor
// that differs from step to step, and in which spare room of the pool can be full within a second. It learns what is
// usual from the tasks that end.
package straggler

import (
	"math"
	"time"
)

// Limits of decisions.
const (
	// minRuns is the number of runs, compared with others of their step, from which an image is known well enough.
	minRuns = 20
	// lateFactor is the multiple of the usual duration below which a run counts as on time; tasks of one step differ by
	// as much.
	lateFactor = 1.5
	// startDelay is the time from a decision to the start of the copy.
	startDelay = 100 * time.Millisecond
	// minPercent is the reported progress from which the duration of a run can be told from it.
	minPercent = 5
	// minFree is the free share of the pool that is kept for new jobs.
	minFree = 0.05
	// evenFree is the free share of the pool at which a saved second is worth a second of a copy. In an emptier pool a
	// copy costs less, in a fuller one more, down to minPrice and up to evenFree/minFree.
	evenFree = 0.25
	minPrice = 0.5
	// slackValue is the worth of a second saved within the slack. The job is in time without it: it only frees the room of the
	// slow run and brings the result earlier.
	slackValue = 0.5
	// budgetShare bounds the extra work, as a share of the core-seconds started. Three copies for 100 tasks need 3%.
	budgetShare = 0.05
	// budgetTime is the time after which started and extra work count for 1/e.
	budgetTime = 60 * time.Second
	// maxImages bounds the images that are remembered. Each takes 300 bytes.
	maxImages = 256
)

// Model is what is known of the durations and of the extra work of a service. It must be made with New.
type Model struct {
	images  map[string]*image
	count   int64 // observations
	started float64
	extra   float64
	decayed time.Time // when started and extra were last decayed
}

// image is what is known of the runs of an image.
type image struct {
	steps  histogram // first run that ends of each step, relative to its expected duration
	runs   histogram // later runs, relative to those of their step that have ended
	latest int64     // number of the latest observation
}

// Peers are the runs of a step that have ended. The zero value has none.
type Peers struct {
	n   int
	sum float64 // of the logarithms of their ratios
}

// usual returns the geometric mean of the ratios of duration to expected duration, 0 without runs.
func (p *Peers) usual() float64 {
	if p.n == 0 {
		return 0
	}
	return math.Exp(p.sum / float64(p.n))
}

// New returns a model that knows nothing.
func New() *Model { return &Model{images: map[string]*image{}} }

// Observe learns from a run of an image that has ended done. ratio is its duration relative to the expected one. peers are
// the runs of its step that have ended before; the run is added to them.
func (m *Model) Observe(name string, peers *Peers, ratio float64) {
	if ratio <= 0 {
		return
	}
	x := m.image(name)
	if usual := peers.usual(); usual > 0 {
		x.runs.add(ratio / usual)
	} else {
		x.steps.add(ratio)
	}
	peers.n++
	peers.sum += math.Log(ratio)
}

// ObserveStopped learns from a run that was stopped because the other copy of its task has ended, when its duration had reached
// ratio times the expected one. It counts as if it had ended then, so that copies do not hide how many runs are slow.
func (m *Model) ObserveStopped(name string, peers *Peers, ratio float64) {
	if usual := peers.usual(); usual > 0 {
		m.image(name).runs.add(ratio / usual)
	}
}

// image returns what is known of an image. A new one replaces the least recently observed one if there are maxImages.
func (m *Model) image(name string) *image {
	m.count++
	x, ok := m.images[name]
	if !ok {
		if len(m.images) >= maxImages {
			m.forgetOldest()
		}
		x = &image{}
		m.images[name] = x
	}
	x.latest = m.count
	return x
}

func (m *Model) forgetOldest() {
	oldest, at := "", int64(math.MaxInt64)
	for name, x := range m.images {
		if x.latest < at {
			oldest, at = name, x.latest
		}
	}
	delete(m.images, oldest)
}

// Started adds the work of a run that is started, in core-seconds, to the base of the budget.
func (m *Model) Started(now time.Time, work float64) {
	m.decay(now)
	m.started += work
}

// Charge adds extra work in core-seconds, which may be negative when a copy has cost less than was charged for it.
func (m *Model) Charge(now time.Time, work float64) {
	m.decay(now)
	m.extra = max(0, m.extra+work)
}

// Left returns the extra work in core-seconds that the budget allows now.
func (m *Model) Left(now time.Time) float64 {
	m.decay(now)
	return budgetShare*m.started - m.extra
}

// decayStep is the shortest time between two decays. Less makes no difference, and most starts are spared the exponential.
const decayStep = 100 * time.Millisecond

func (m *Model) decay(now time.Time) {
	passed := now.Sub(m.decayed)
	if passed < decayStep {
		return
	}
	keep := math.Exp(-passed.Seconds() / budgetTime.Seconds())
	m.started, m.extra, m.decayed = m.started*keep, m.extra*keep, now
}

// Run is a running task.
type Run struct {
	Image    string
	Age      time.Duration
	Expected time.Duration // expected duration when it was started
	Percent  int           // reported progress, 0 if there is none
	ReadAt   time.Duration // age at which the progress was read; it may have stalled since long before
	Cores    float64
	Slack    time.Duration // time in which the task has to end for its job to be in time; negative: that is too late
	Peers    Peers         // runs of its step that have ended
}

// Pool is the state of the pool.
type Pool struct {
	Free    float64 // share of its cores
	Waiting bool    // tasks of jobs that can be in time wait for room
}

// Decision is the result of Decide with its inputs as far as they were needed.
type Decision struct {
	Copy      bool
	Remaining time.Duration // expected remaining time of the run
	Fresh     time.Duration // expected duration of a copy, from the decision on
	Gain      float64       // core-seconds that the copy saves, weighted by the slack
	Cost      float64       // core-seconds in which both copies run
}

// Late reports whether a run has lasted, or by its progress will last, so much longer than usual that Decide is to be asked. It
// is cheap enough for each run in each pass.
func (m *Model) Late(r *Run) bool {
	x := m.images[r.Image]
	if x == nil || x.runs.total < minRuns || r.Expected <= 0 {
		return false
	}
	usual := r.Peers.usual()
	if usual == 0 {
		usual = x.steps.median()
	}
	return max(r.Age, r.projected()) > time.Duration(lateFactor*usual*float64(r.Expected))
}

// projected returns the whole duration of a run by its progress, 0 if that does not tell. A percentage is rounded down, so
// that the next one may have been reached nearly.
func (r *Run) projected() time.Duration {
	if r.Percent < minPercent || r.Percent >= 100 || r.ReadAt <= 0 {
		return 0
	}
	return r.ReadAt * 100 / time.Duration(r.Percent+1)
}

// Decide decides whether a second copy of a late run pays now.
//
// The duration of a run is its expected duration times a factor of its step, which all copies share since the declared duration
// is wrong by it, times a factor of the run, which each copy draws anew. Both are learned by image. The factor of the step is
// known once other runs of it have ended; else both are weighed by what the age of the run leaves possible, so that a
// run which is only declared too short gets no copy. Reported progress gives the duration of the run directly.
//
// For each possible remaining time R of the run and duration F of a copy, drawn anew, the task ends max(0, R-F) earlier, and
// both copies run for min(R, F). What is saved after the end of the job's slack counts whole, before it by slackValue.
// The copy pays if the saved time exceeds the time of both, at a price that rises as the pool fills: a run of which
// two usual durations remain saves as much as it costs. Then the copy needs free room that nobody in time waits for,
// and its cost must be left in the budget, which bounds the loss if the model is wrong.
func (m *Model) Decide(now time.Time, r *Run, p Pool) Decision {
	if p.Waiting || p.Free < minFree || !m.Late(r) {
		return Decision{}
	}
	d := m.images[r.Image].weigh(r)
	price := max(minPrice, evenFree/p.Free)
	d.Copy = d.Gain > price*d.Cost && d.Cost <= m.Left(now)
	return d
}

// sums are weighted sums over the possible durations.
type sums struct{ weight, remaining, fresh, gain, cost float64 }

// weigh returns the expected times, gain and cost of a copy, as means over the distributions of durations.
func (x *image) weigh(r *Run) Decision {
	var s sums
	if usual := r.Peers.usual(); usual > 0 {
		x.weighStep(&s, r, usual, 1)
	} else {
		for i, factor := range binRatios {
			x.weighStep(&s, r, factor, x.steps.weight(i))
		}
	}
	if s.weight == 0 {
		return Decision{}
	}
	return Decision{
		Remaining: seconds(s.remaining / s.weight), Fresh: seconds(s.fresh / s.weight),
		Gain: r.Cores * s.gain / s.weight, Cost: r.Cores * s.cost / s.weight,
	}
}

// weighStep adds the possible durations if the step takes factor times its expected duration, which has a probability.
func (x *image) weighStep(s *sums, r *Run, factor, probability float64) {
	usual := factor * r.Expected.Seconds()
	age := r.Age.Seconds()
	if whole := r.projected().Seconds(); whole > 0 {
		x.weighRun(s, r, usual, max(0, whole-age), probability*x.runs.weight(binOf(whole/usual)))
		return
	}
	possible := false
	for i, ratio := range binRatios {
		if whole := ratio * usual; whole > age {
			possible = true
			x.weighRun(s, r, usual, whole-age, probability*x.runs.weight(i))
		}
	}
	if !possible { // it takes longer than any that is remembered, and may go on as long again
		x.weighRun(s, r, usual, age, probability*x.runs.weight(bins-1))
	}
}

// weighRun adds one remaining time of the run, in seconds, against all durations of a copy.
func (x *image) weighRun(s *sums, r *Run, usual, remaining, weight float64) {
	if weight <= 0 {
		return
	}
	slack := max(0, r.Slack.Seconds())
	for i, ratio := range binRatios {
		w := weight * x.runs.weight(i)
		if w <= 0 {
			continue
		}
		fresh := startDelay.Seconds() + ratio*usual
		saved := max(0, remaining-fresh)
		late := max(0, remaining-max(fresh, slack))
		s.weight += w
		s.remaining += w * remaining
		s.fresh += w * fresh
		s.gain += w * (late + slackValue*(saved-late))
		s.cost += w * min(remaining, fresh)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
