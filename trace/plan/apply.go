package plan

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
	"cuminstair.org/cuminstair/fleet"
	"cuminstair.org/cuminstair/job"
	"cuminstair.org/cuminstair/rollout"
	"cuminstair.org/cuminstair/rollout/runner"
	"cuminstair.org/cuminstair/trace"
)

// Object kinds of orders and decisions.
const (
	kindHost = "host"
	kindWave = "wave"
	kindJob  = "job"
)

// Errors that a line may expect from an operator's call.
const (
	givesConflict    = "conflict"
	givesUnavailable = "unavailable"
	givesUncertain   = "uncertain"
)

// installDelay is the time from accepting a generation until the daemons use it (section 1.3 of docs/design.md,
// invariant 8).
const installDelay = 3 * time.Second

// apply executes a line.
func (p *Player) apply(l Line) error {
	if d := p.daemon(l.Daemon); l.Daemon != "" {
		if d == nil {
			return fmt.Errorf("unknown daemon %q: %w", l.Daemon, trace.ErrLine)
		}
		return p.applyTo(d, l)
	}
	f := p.service.Faults()
	switch l.Event {
	case EventDown:
		f.Down = true
	case EventSlow:
		p.replyDelay = l.Delay.D()
	case EventUp:
		f.Down, p.replyDelay = false, 0
	case EventForget:
		f.Lose = l.Count
	case EventFail:
		f.Workers, f.Jobs = l.Hosts, l.Jobs
	default:
		return p.applyToHosts(l)
	}
	p.service.SetFaults(f)
	return nil
}

func (p *Player) applyToHosts(l Line) error {
	found := 0
	for _, f := range p.fleet.Hosts {
		h := p.hosts[f.Name]
		if !l.matches(f) {
			continue
		}
		found++
		switch l.Event {
		case EventLose:
			p.service.FailHost(h.Name)
		case EventBack:
			p.service.RestoreHost(h.Name)
		case EventSick:
			h.sick = true
		case EventBreak:
			h.sickAfterReboot = true
		default:
			h.sick, h.sickAfterReboot = false, false
		}
		p.account(h)
	}
	if found == 0 {
		return fmt.Errorf("no host of the fleet matches: %w", trace.ErrLine)
	}
	return nil
}

// matches reports whether the line names the host or its data centre and rack.
func (l Line) matches(h cuminstair.Host) bool {
	for _, name := range l.Hosts {
		if name == h.Name {
			return true
		}
	}
	return len(l.Hosts) == 0 && l.Centre == h.Centre && (l.Rack == "" || l.Rack == h.Rack)
}

func (p *Player) applyTo(d *daemon, l Line) error {
	switch l.Event {
	case EventPause:
		d.pauseInCommit, d.paused = l.In == inCommit, l.In == ""
	case EventWake:
		d.pauseInCommit, d.paused = false, false
	case EventKill:
		d.kill()
	case EventStop:
		d.stop()
	case EventStart:
		p.service.RestoreHost(d.name)
		d.boot()
	default:
		p.spawn(d, func() { p.call(d, l) })
	}
	return nil
}

// call makes an operator's call and checks its error.
func (p *Player) call(d *daemon, l Line) {
	ctx := context.Background()
	var err error
	switch l.Event {
	case EventOrder:
		if l.Kind == kindWave {
			err = d.control.OrderWave(ctx, l.Name, l.Do)
		} else {
			err = d.control.OrderHost(ctx, l.Name, l.Do)
		}
	case EventSubmit:
		err = d.control.SubmitJobs(ctx, p.newJobs(l))
	case EventCancel:
		err = d.control.CancelJobs(ctx, l.jobNames())
	case EventApply:
		err = p.applyFleet(ctx, d, l)
	default:
		return
	}
	c := Check{At: p.now(), What: fmt.Sprintf("%s %s%s by %s", l.Event, l.Do, l.Name, d.name), Expected: or(l.Gives, "success"), Found: errorName(err)}
	c.OK = c.Expected == c.Found
	if !c.OK && err != nil {
		c.Found += " (" + err.Error() + ")"
	}
	p.checks = append(p.checks, c)
}

func errorName(err error) string {
	switch {
	case err == nil:
		return "success"
	case errors.Is(err, cuminstair.ErrConflict), errors.Is(err, rollout.ErrStale):
		return givesConflict
	case errors.Is(err, cuminstair.ErrUnavailable):
		return givesUnavailable
	case errors.Is(err, cuminstair.ErrUncertain):
		return givesUncertain
	default:
		return "another error"
	}
}

// jobNames returns the names of the jobs of a line.
func (l Line) jobNames() []string {
	if l.Count == 0 {
		return l.Jobs
	}
	n := l.Count
	if l.Share > 0 {
		n = int(l.Share * float64(n))
	}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint(l.Jobs[0], i))
	}
	return names
}

func (p *Player) newJobs(l Line) []job.Job {
	var list []job.Job
	for _, name := range l.jobNames() {
		p.submitted[name] = l
		list = append(list, job.Job{ID: name, Team: l.Team, Class: l.Jobs[0], Cores: l.Cores, Memory: l.Memory, Urgent: l.Urgent})
	}
	return list
}

// applyFleet applies the fleet of the base generation with the hosts of the line moved.
func (p *Player) applyFleet(ctx context.Context, d *daemon, l Line) error {
	if l.Base == 0 || l.Base > uint64(len(p.fleets)) {
		return fmt.Errorf("no generation %d: %w", l.Base, trace.ErrLine)
	}
	f := *p.fleets[l.Base-1]
	f.Hosts = append([]cuminstair.Host{}, f.Hosts...)
	for i := range f.Hosts {
		if pool := l.Moves[f.Hosts[i].Name]; pool != "" {
			f.Hosts[i].Pool = pool
		}
	}
	link := &link{d: d, boot: d.boots}
	a := &runner.Applier{
		Table: link, Objects: link,
		State: func() rollout.Base { return p.base },
		NewID: func() string { p.ids++; return fmt.Sprint("apply/", p.ids) },
		Pause: func(context.Context) bool { return p.wait(second) },
	}
	result, err := a.Apply(ctx, rollout.Apply{Fleet: &f, Base: l.Base, By: l.By})
	if err != nil || result.Again {
		return err
	}
	p.install(&f, result.Head)
	return nil
}

// install records an accepted fleet and, if it is still the newest after installDelay, passes it to the live daemons.
func (p *Player) install(f *cuminstair.Fleet, head rollout.Head) {
	p.base = rollout.Base{Head: head, Manifest: fleet.ManifestOf(fleet.Split(f)), Fleet: f}
	p.fleets = append(p.fleets, f)
	p.fleet, p.budgets = f, budget.New(f.Services)
	for _, h := range f.Hosts {
		p.hosts[h.Name].Host = h
	}
	for _, h := range f.Hosts {
		p.setBudgets(p.hosts[h.Name])
	}
	p.clock.After(installDelay, func(time.Time) {
		for _, d := range p.daemons {
			if d.live && head.Gen == p.base.Head.Gen {
				d.control.SetFleet(f)
			}
		}
	})
}

func or(s, def string) string {
	if s == "" {
		return def
	}
	return s
}

func (p *Player) daemon(name string) *daemon {
	for _, d := range p.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}
