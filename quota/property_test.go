package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminstair.org/cuminstair/quota"
)

const (
	playLimit = 40
	largest   = 6 // units of a task
	// fullStop is how long a controller or an owner without the store may go on.
	fullStop = 6 * time.Second
)

// playTask is a task of a service; only one owner at a time runs it.
type playTask struct {
	size      int
	by        *playOwner // that runs it; nil: nobody
	done      bool
	inherited uint64 // token of the first owner that found it in the records; 0: the owner that accepted it is the present one
}

type playOwner struct {
	*quota.Share
	token     uint64
	at        time.Time // of the takeover
	unsettled bool
	known     map[*playTask]bool // runs of earlier owners that it has found
}

type playService struct {
	name   string
	owners []*playOwner // the last one is the present one
	tasks  []*playTask
}

type playController struct {
	ledger *quota.Ledger
	token  uint64
	begin  time.Time
	heard  map[string]bool
	asked  map[string]*playOwner // by service: the owner that was asked last
}

// sentGrant is a grant that the network may deliver late or again.
type sentGrant struct {
	service *playService
	to      *playOwner
	grant   quota.Grant
	issued  time.Time
}

// play is a random order of events. It checks that no order lets the tasks that run exceed the limit.
type play struct {
	*rapid.T
	now         time.Time
	next        uint64 // token
	services    []*playService
	controllers []*playController
	sent        []sentGrant
	starts      int
}

func (p *play) limits() map[string]quota.Amount { return map[string]quota.Amount{account: {playLimit}} }

func (p *play) newOwner(s *playService) {
	p.next++
	o := &playOwner{Share: quota.NewShare(p.next), token: p.next, at: p.tick(), unsettled: len(s.owners) > 0, known: map[*playTask]bool{}}
	o.SetLimits(p.limits(), nil)
	s.owners = append(s.owners, o)
	for _, t := range s.tasks {
		if t.inherited == 0 {
			t.inherited = o.token
		}
	}
	p.countUnsure(s, o)
	if n := len(p.controllers); n > 0 {
		o.Accept(p.now, quota.Grant{Token: p.controllers[n-1].token}) // the owner has read who the controller is
	}
}

// countUnsure counts the tasks that earlier owners may run or start, as dispatch does.
func (p *play) countUnsure(s *playService, o *playOwner) {
	n := 0
	for _, t := range s.tasks {
		if o.unsettled && !t.done && t.inherited != 0 && t.inherited <= o.token && !o.known[t] {
			n += t.size
		}
	}
	o.SetUnsure(map[string]quota.Amount{account: {n}})
}

func (p *play) newController() {
	p.next++
	c := &playController{ledger: quota.NewLedger(p.next, p.now), token: p.next, begin: p.tick(), heard: map[string]bool{}, asked: map[string]*playOwner{}}
	c.ledger.SetLimits(p.now, p.limits())
	p.controllers = append(p.controllers, c)
}

// tick returns the next point in time, so that no two takeovers are at the same time.
func (p *play) tick() time.Time {
	p.now = p.now.Add(time.Microsecond)
	return p.now
}

func (s *playService) present() *playOwner { return s.owners[len(s.owners)-1] }

func (p *play) drawService() *playService {
	return p.services[rapid.IntRange(0, len(p.services)-1).Draw(p.T, "service")]
}

func (p *play) drawController() *playController {
	last := len(p.controllers) - 1
	c := p.controllers[rapid.IntRange(max(0, last-1), last).Draw(p.T, "controller")]
	if c != p.controllers[last] && p.now.Sub(p.controllers[last].begin) > fullStop {
		return p.controllers[last] // the earlier one has stopped
	}
	return c
}

// drawOwner draws the present owner or, if it is not settled, the one before.
func (p *play) drawOwner(s *playService) *playOwner {
	if n := len(s.owners); n > 1 && s.present().unsettled && rapid.Bool().Draw(p.T, "former") {
		return s.owners[n-2]
	}
	return s.present()
}

// poll sends a grant to an owner. It may be lost, and so may the answer.
func (p *play) poll(c *playController, s *playService) {
	c.ledger.SetServices(p.now, p.names(), p.names())
	c.ledger.Plan(p.now)
	o := p.drawOwner(s)
	if s.present().at.Before(c.begin) || c.asked[s.name] == s.present() {
		o = s.present() // the controller has read who the owner is
	}
	c.asked[s.name] = o
	g := sentGrant{service: s, to: o, grant: c.ledger.Grant(s.name), issued: p.now.Add(-time.Duration(rapid.IntRange(0, 1500).Draw(p.T, "age")) * time.Millisecond)}
	p.sent = append(p.sent, g)
	p.Logf("%d grants %s, owner %d: %v", c.token, s.name, o.token, g.grant)
	fate := rapid.SampledFrom([]string{"answered", "answered", "answered", "answer lost", "lost", "not taken"}).Draw(p.T, "fate")
	if fate == "lost" {
		return
	}
	if fate != "not taken" {
		p.deliver(g)
	}
	if fate != "answer lost" {
		p.countUnsure(s, o)
		r := o.Report(o.unsettled, map[string]quota.Waiting{account: p.waiting(s, o)})
		p.Logf("%s answers %d/%d: %v", s.name, r.Controller, r.Seq, r.Accounts)
		c.heard[s.name] = c.ledger.Report(p.now, s.name, r) || c.heard[s.name]
	}
}

func (p *play) deliver(g sentGrant) { g.to.Accept(g.issued, g.grant) }

func (p *play) waiting(s *playService, o *playOwner) (w quota.Waiting) {
	for _, t := range s.tasks {
		if p.startable(o, t) {
			w.Total[0] += t.size
			w.Unit[0] = max(w.Unit[0], t.size)
		}
	}
	return w
}

// startable reports whether an owner may start a task: a former one those that the next one has inherited, the present one those
// that no earlier one may run.
func (p *play) startable(o *playOwner, t *playTask) bool {
	return !t.done && t.by == nil && (t.inherited == 0 || t.inherited > o.token || !o.unsettled)
}

func (p *play) names() (names []string) {
	for _, s := range p.services {
		names = append(names, s.name)
	}
	return names
}

func (p *play) start(s *playService) {
	o := p.drawOwner(s)
	for _, t := range s.tasks {
		if t.inherited == 0 && o != s.present() || !p.startable(o, t) || !o.Fits(p.now, account, quota.Amount{t.size}, 1) {
			continue
		}
		p.starts++
		p.Logf("owner %d of %s starts %d", o.token, s.name, t.size)
		t.by = o
		o.Charge(account, quota.Amount{t.size}, 1)
		p.check()
	}
}

// check guards against tasks that together exceed the limit, whoever has started them.
func (p *play) check() {
	total := 0
	for _, s := range p.services {
		for _, t := range s.tasks {
			if t.by != nil && !t.done {
				total += t.size
			}
		}
	}
	if total > playLimit {
		p.Fatalf("%d of %d are in use", total, playLimit)
	}
}

// end ends a run, which its owner and the one that has found it learn.
func (p *play) end(s *playService) {
	running := slices.DeleteFunc(slices.Clone(s.tasks), func(t *playTask) bool { return t.done || t.by == nil })
	if len(running) == 0 {
		return
	}
	t := running[rapid.IntRange(0, len(running)-1).Draw(p.T, "run")]
	t.done = true
	for _, o := range s.owners {
		if o == t.by || o.known[t] {
			o.Charge(account, quota.Amount{t.size}, -1)
		}
		if o.known[t] {
			o.ChargeFound(account, quota.Amount{t.size}, -1)
		}
	}
}

// find lets the present owner find some or all runs of earlier ones; then these start nothing any more.
func (p *play) find(s *playService, all bool) {
	o := s.present()
	for _, t := range s.tasks {
		if o.unsettled && !t.done && t.by != nil && t.by != o && !o.known[t] && (all || rapid.Bool().Draw(p.T, "found")) {
			o.known[t] = true
			o.Charge(account, quota.Amount{t.size}, 1)
			o.ChargeFound(account, quota.Amount{t.size}, 1)
		}
	}
	o.unsettled = o.unsettled && !all
	p.countUnsure(s, o)
}

func (p *play) event() {
	s := p.drawService()
	switch rapid.SampledFrom([]string{
		"poll", "poll", "poll", "poll", "poll", "late", "job", "job", "start", "start", "start", "end", "end", "find", "settle", "owner", "controller", "time",
	}).Draw(p.T, "event") {
	case "poll":
		p.poll(p.drawController(), s)
	case "late":
		if n := len(p.sent); n > 0 {
			if g := p.sent[rapid.IntRange(max(0, n-20), n-1).Draw(p.T, "copy")]; p.now.Sub(g.issued) < 2*time.Second {
				p.deliver(g)
			}
		}
	case "job":
		for range rapid.IntRange(1, 12).Draw(p.T, "tasks") {
			s.tasks = append(s.tasks, &playTask{size: rapid.IntRange(1, largest).Draw(p.T, "size")})
		}
	case "start":
		p.start(s)
	case "end":
		p.end(s)
	case "find":
		p.find(s, false)
	case "settle":
		p.find(s, true)
	case "owner":
		p.takeOver(s)
	case "controller":
		if p.now.Sub(p.controllers[len(p.controllers)-1].begin) > time.Second {
			p.newController()
		}
	case "time":
		p.pass(time.Duration(rapid.IntRange(50, 2500).Draw(p.T, "time")) * time.Millisecond)
	}
}

// takeOver gives a service a new owner. Only the last two owners start tasks, so that the one before has settled or is given up.
func (p *play) takeOver(s *playService) {
	if !s.present().unsettled && len(s.owners) < 8 {
		p.newOwner(s)
	}
}

// pass lets time pass. A controller hears from each service within the time after which it takes none into account any more.
func (p *play) pass(d time.Duration) {
	p.now = p.now.Add(d)
	c := p.controllers[len(p.controllers)-1]
	for _, s := range p.services {
		for p.now.Sub(c.begin) > 9*time.Second && !c.heard[s.name] {
			p.poll(c, s)
		}
	}
}

// Guards against any order of polls, losses, delays, starts, ends and changes of owners and controllers in which more runs than the
// limit allows.
func TestLimitHoldsInAnyOrder(t *testing.T) {
	starts := 0
	rapid.Check(t, func(r *rapid.T) {
		p := &play{T: r, now: time.Unix(1000, 0)}
		for i := range 3 {
			s := &playService{name: fmt.Sprint("s", i)}
			p.services = append(p.services, s)
			p.newOwner(s)
		}
		p.newController()
		for range rapid.IntRange(20, 250).Draw(r, "events") {
			p.event()
		}
		starts += p.starts
	})
	t.Log("starts", starts)
	is.New(t).True(starts > 0)
}
