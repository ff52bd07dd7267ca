package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/admit"
)

var start = time.Unix(1_000_000, 0)

func request(kind string, at time.Time, deadline time.Duration) *cuminstair.Request {
	return &cuminstair.Request{Kind: kind, Arrived: at, Deadline: at.Add(deadline)}
}

func took(d time.Duration) cuminstair.Result {
	return cuminstair.Result{Outcome: cuminstair.OutcomeDone, Latency: d}
}

func queue(capacity int, kinds ...cuminstair.Kind) *admit.Queue {
	q := &admit.Queue{}
	q.Configure(kinds)
	q.SetCapacity(start, capacity)
	return q
}

// learn runs requests with a fixed latency, so that the queue learns the service time of a kind.
func learn(q *admit.Queue, kind string, d time.Duration) {
	for range 50 {
		r := request(kind, start, time.Minute)
		q.Offer(start, r)
		q.Finish(start, r, took(d))
	}
}

// Guards against idle shares that are not lent, and against lent shares that are not returned within one service time.
func TestShareLentAndGivenBack(t *testing.T) {
	is := is.New(t)
	q := queue(10, cuminstair.Kind{Name: "a", Weight: 1, Deadline: cuminstair.Duration(time.Second)},
		cuminstair.Kind{Name: "b", Weight: 1, Deadline: cuminstair.Duration(time.Second)})
	learn(q, "a", 50*time.Millisecond)
	learn(q, "b", 50*time.Millisecond)
	var running []*cuminstair.Request
	for range 20 {
		r := request("a", start, time.Second)
		if q.Offer(start, r).Run {
			running = append(running, r)
		}
	}
	is.Equal(q.Running("a"), 10) // lent
	for range 8 {
		is.True(q.Offer(start, request("b", start, time.Second)).Wait)
	}
	for _, r := range running { // one service time later
		q.Finish(start.Add(50*time.Millisecond), r, took(50*time.Millisecond))
	}
	is.Equal(q.Running("b"), 5)
	is.Equal(q.Running("a"), 5)
}

// Guards against urgency that gives a kind priority over other kinds, and against requests of one kind that are not
// ordered by urgency.
func TestUrgencyOrdersInsideShare(t *testing.T) {
	is := is.New(t)
	second := cuminstair.Duration(time.Second)
	q := queue(1, cuminstair.Kind{Name: "a", Deadline: second}, cuminstair.Kind{Name: "b", Urgency: 9, Deadline: second})
	first := request("a", start, time.Second)
	is.True(q.Offer(start, first).Run)
	low, high := request("a", start, time.Second), request("a", start, 2*time.Second)
	high.Urgency = 5
	other := request("b", start, time.Second)
	other.Urgency = 9
	for _, r := range []*cuminstair.Request{low, high, other} {
		is.True(q.Offer(start, r).Wait)
	}
	order := []*cuminstair.Request{}
	for r := first; r != nil; {
		next := q.Finish(start, r, took(time.Millisecond))
		r = nil
		if len(next) == 1 {
			r = next[0]
			order = append(order, r)
		}
	}
	is.Equal(order[0], other) // b has received no slot so far
	is.Equal(order[1:], []*cuminstair.Request{high, low})
}

// Guards against requests that wait although they can't end in time, and against refusals without a retry hint.
func TestLateAndFullAtOnce(t *testing.T) {
	is := is.New(t)
	q := queue(1, cuminstair.Kind{Name: "a", Deadline: cuminstair.Duration(time.Minute)})
	learn(q, "a", 100*time.Millisecond)
	is.True(q.Offer(start, request("a", start, time.Second)).Run)
	v := q.Offer(start, request("a", start, 150*time.Millisecond))
	is.Equal(v.Reason, cuminstair.ReasonLate)
	is.True(v.After > 0)
	for range admit.MaxWaiting {
		is.True(q.Offer(start, request("a", start, time.Hour)).Wait)
	}
	v = q.Offer(start, request("a", start, time.Hour))
	is.Equal(v.Reason, cuminstair.ReasonFull)
	is.True(v.After > 0)
	is.Equal(len(q.Expire(start.Add(2*time.Hour))), admit.MaxWaiting)
}

// Guards against a learned service time above the deadline that makes the queue refuse a kind for ever.
func TestLearnedTimeRecovers(t *testing.T) {
	is := is.New(t)
	q := queue(4, cuminstair.Kind{Name: "a", Deadline: cuminstair.Duration(time.Second)})
	learn(q, "a", 5*time.Second)
	for range 200 {
		r := request("a", start, time.Second)
		is.True(q.Offer(start, r).Run)
		q.Finish(start, r, took(20*time.Millisecond))
	}
	a, b := request("a", start, time.Second), request("a", start, time.Second)
	is.True(q.Offer(start, a).Run)
	is.True(q.Offer(start, b).Run)
}

// Guards against more running requests than the capacity, requests that are accepted or finished twice, and slots that
// leak, under any order of calls.
func TestQueueProperties(t *testing.T) { rapid.Check(t, drive) }

// FuzzQueue runs the checks of TestQueueProperties with the fuzzer's input.
func FuzzQueue(f *testing.F) {
	seed := make([]byte, 1<<14)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(seed) // never fails
	f.Add(seed)
	f.Fuzz(rapid.MakeFuzz(drive))
}

// model is the state of a queue as its caller tracks it.
type model struct {
	q        *admit.Queue
	running  []*cuminstair.Request
	waiting  map[*cuminstair.Request]bool
	capacity int
}

func (m *model) start(t *rapid.T, reqs []*cuminstair.Request) {
	for _, r := range reqs {
		if !m.waiting[r] {
			t.Fatalf("started a request that is not waiting")
		}
		delete(m.waiting, r)
		m.running = append(m.running, r)
	}
	if len(reqs) > 0 && len(m.running) > m.capacity {
		t.Fatalf("%d running, capacity %d", len(m.running), m.capacity)
	}
}

var propertyKinds = []cuminstair.Kind{
	{Name: "a", Weight: 1, Deadline: cuminstair.Duration(time.Second)},
	{Name: "b", Weight: 3, Deadline: cuminstair.Duration(5 * time.Second)},
	{Name: "c", Weight: 2, Deadline: cuminstair.Duration(time.Minute)},
}

func drive(t *rapid.T) {
	m := &model{q: queue(4, propertyKinds...), waiting: map[*cuminstair.Request]bool{}, capacity: 4}
	now := start
	for range 150 {
		op := rapid.IntRange(0, 1<<16).Draw(t, "op")
		now = now.Add(time.Duration(op%40) * time.Millisecond)
		arg := op / 8
		switch op % 8 {
		case 0, 1, 2:
			m.offer(t, now, arg)
		case 3, 4:
			m.finish(t, now, arg)
		case 5:
			m.cancel(t, now)
		case 6:
			m.expire(t, now)
		case 7:
			m.capacity = arg % 9
			m.start(t, m.q.SetCapacity(now, m.capacity))
			if arg%4 == 0 {
				m.q.Configure(propertyKinds[:1+arg%3])
			}
		}
		m.compare(t)
	}
}

func (m *model) offer(t *rapid.T, now time.Time, arg int) {
	r := request(propertyKinds[arg%3].Name, now, time.Duration(arg%500+1)*10*time.Millisecond)
	r.Urgency = arg % 5
	v := m.q.Offer(now, r)
	if v.Run && v.Wait || (!v.Run && !v.Wait && v.Reason == cuminstair.ReasonOK) {
		t.Fatalf("verdict %+v", v)
	}
	if !v.Run && !v.Wait {
		return
	}
	m.waiting[r] = true
	if again := m.q.Offer(now, r); again.Run || again.Wait {
		t.Fatalf("a request was accepted twice")
	}
	if v.Run {
		m.start(t, []*cuminstair.Request{r})
	}
}

func (m *model) finish(t *rapid.T, now time.Time, arg int) {
	if len(m.running) == 0 {
		return
	}
	r := m.running[0]
	m.running = m.running[1:]
	res := cuminstair.Result{Outcome: cuminstair.Outcome(arg % 3), Latency: time.Duration(arg) * 100 * time.Microsecond}
	m.start(t, m.q.Finish(now, r, res))
	if m.q.Finish(now, r, res) != nil || m.q.Cancel(now, r) {
		t.Fatalf("a request was finished twice, or cancelled after it finished")
	}
}

func (m *model) cancel(t *rapid.T, now time.Time) {
	for r := range m.waiting {
		if !m.q.Cancel(now, r) || m.q.Cancel(now, r) {
			t.Fatalf("a waiting request was not cancelled exactly once")
		}
		delete(m.waiting, r)
		return
	}
}

func (m *model) expire(t *rapid.T, now time.Time) {
	for _, r := range m.q.Expire(now) {
		if !m.waiting[r] {
			t.Fatalf("expired a request that is not waiting")
		}
		delete(m.waiting, r)
	}
}

func (m *model) compare(t *rapid.T) {
	n, w := 0, 0
	for _, k := range propertyKinds {
		n += m.q.Running(k.Name)
		w += m.q.Waiting(k.Name)
	}
	if n != len(m.running) || w != len(m.waiting) {
		t.Fatalf("%d running, want %d; %d waiting, want %d", n, len(m.running), w, len(m.waiting))
	}
}

// Guards against quotas that the daemons together exceed or can't use up, for 310 teams on 8 daemons.
func TestQuotasSplit(t *testing.T) {
	is := is.New(t)
	const live, seconds = 8, 20
	teams := make([]cuminstair.Team, 310)
	for i := range teams {
		teams[i] = cuminstair.Team{Name: fmt.Sprint("t", i), Quota: cuminstair.Quota{Rate: float64(8 + i), Burst: 16}}
	}
	taken := map[string]int{}
	for range live {
		q := &admit.Quotas{}
		q.Configure(teams, live)
		for step := range seconds * 100 {
			now := start.Add(time.Duration(step) * 10 * time.Millisecond)
			for _, t := range teams {
				if _, ok := q.Take(now, t.Name); ok {
					taken[t.Name]++
				}
			}
		}
	}
	for _, team := range teams {
		allowed := team.Quota.Rate*seconds + float64(team.Quota.Burst)
		got := float64(taken[team.Name])
		is.True(got <= allowed && got >= 0.95*allowed-live)
	}
	q := &admit.Quotas{}
	_, ok := q.Take(start, "unknown")
	is.True(!ok)
	q.Configure([]cuminstair.Team{{Name: "t", Quota: cuminstair.Quota{Rate: 2, Burst: 1}}}, 1)
	_, ok = q.Take(start, "t")
	is.True(ok)
	after, ok := q.Take(start, "t")
	is.True(!ok)
	is.Equal(after, 500*time.Millisecond)
	q.Configure([]cuminstair.Team{{Name: "t", Quota: cuminstair.Quota{Rate: 2, Burst: 1}}}, 1)
	_, ok = q.Take(start, "t")
	is.True(!ok) // a new configuration does not fill the bucket
}
