package plan

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
	"cuminstair.org/cuminstair/lease"
	"cuminstair.org/cuminstair/standin/table"
	"cuminstair.org/cuminstair/wave"
)

// Invariants, as checks name them.
const (
	invariantBudget = "budget"
	invariantPool   = "one pool for each host"
	invariantFence  = "writes only under the lease"
	invariantCut    = "nothing in flight"
	invariantTwice  = "one task for each job"
)

// violate reports the first time that an invariant does not hold.
func (p *Player) violate(invariant, expected, found string) {
	if !p.broken[invariant] {
		p.broken[invariant] = true
		p.checks = append(p.checks, Check{At: p.now(), What: invariant, Expected: expected, Found: found})
	}
}

// commit passes a commit to the table and checks what took effect.
func (p *Player) commit(c cuminstair.Commit) (uint64, error) {
	version, err := p.service.Commit(context.Background(), c)
	if err == nil || errors.Is(err, cuminstair.ErrUncertain) && p.tookEffect(c.ID) {
		p.committed(c)
	}
	return version, err
}

// tookEffect tells whether the last commit is the one whose answer was lost.
func (p *Player) tookEffect(id string) bool {
	history := p.service.History()
	return len(history) > 0 && history[len(history)-1].Commit.ID == id
}

// committed takes the rows of a commit.
func (p *Player) committed(c cuminstair.Commit) {
	for _, put := range c.Puts {
		kind, rest, _ := strings.Cut(put.Key, "/")
		switch kind + "/" {
		case lease.Prefix:
			var l lease.Record
			if json.Unmarshal(put.Value, &l) == nil {
				p.setEpoch(rest, l)
			}
		case wave.Prefix:
			var w wave.Wave
			if json.Unmarshal(put.Value, &w) == nil {
				_, centre, _ := strings.Cut(rest, "/")
				p.fenced(put.Key, centre, w.Epoch)
				p.waves[rest] = w
			}
		case wave.HostPrefix:
			var h wave.Host
			if json.Unmarshal(put.Value, &h) == nil {
				p.setRow(put.Key, rest, h)
			}
		}
	}
	for _, key := range c.Deletes {
		for _, h := range p.hosts {
			if h.key == key {
				h.known, h.key = false, ""
				p.truth.Remove(h.Name)
			}
		}
	}
}

func (p *Player) setEpoch(centre string, l lease.Record) {
	if l.Epoch < p.epochs[centre] {
		p.violate(invariantFence, "an epoch that never falls", fmt.Sprintf("%s: %d after %d", centre, l.Epoch, p.epochs[centre]))
	}
	p.epochs[centre] = l.Epoch
}

func (p *Player) fenced(key, centre string, epoch uint64) {
	if epoch != p.epochs[centre] {
		p.violate(invariantFence, fmt.Sprintf("epoch %d", p.epochs[centre]), fmt.Sprintf("%s written in epoch %d", key, epoch))
	}
}

// setRow takes a host row that was written.
func (p *Player) setRow(key, rest string, row wave.Host) {
	centre, name, _ := strings.Cut(rest, "/")
	h := p.hosts[name]
	if h == nil {
		p.violate(invariantPool, "rows of hosts of the fleet", "a row "+key)
		return
	}
	p.fenced(key, centre, row.Epoch)
	if h.known && h.key != key || !p.declared(row.Pool) {
		p.violate(invariantPool, "one row in a declared pool", fmt.Sprintf("rows %s and %s, pool %q", h.key, key, row.Pool))
	}
	if h.known && h.row.Pool != row.Pool {
		p.moves++
		p.moved(h, row)
	}
	h.row, h.known, h.key = row, true, key
	p.account(h)
}

func (p *Player) declared(pool string) bool {
	for _, x := range p.fleet.Pools {
		if x.Name == pool {
			return true
		}
	}
	return false
}

// moved checks that a host that changes its pool was drained and is idle.
func (p *Player) moved(h *host, row wave.Host) {
	if h.row.State != cuminstair.HostDrained && h.row.State != cuminstair.HostMoving {
		p.violate(invariantPool, "a drained host that moves", fmt.Sprintf("%s %s from %s to %s", h.Name, h.row.State, h.row.Pool, row.Pool))
	}
	p.uncut(h.Name, "moved")
}

// acted checks and counts an action that the platform accepted. One of the same id is a repeat, which it ignores.
func (p *Player) acted(id, name, before string) {
	if p.acts[id] {
		return
	}
	p.acts[id] = true
	p.count(WhatActs, name, "")
	if before == table.StateLive {
		p.uncut(name, "rebooted")
	}
}

func (p *Player) uncut(host, what string) {
	for _, d := range p.daemons {
		if d.live && d.inflight(host) {
			p.violate(invariantCut, "no request on a host that is "+what, fmt.Sprintf("%s has a request of %s in flight", host, d.name))
		}
	}
}

// account checks the budgets of the services of a host after a change.
func (p *Player) account(h *host) {
	if !h.known {
		return
	}
	p.setTruth(h)
	for _, pool := range []string{h.row.Pool, h.Pool} {
		for _, s := range p.truth.PoolServices(pool) {
			for _, c := range []string{h.Centre, budget.Fleet} {
				if a := p.truth.Account(s, c); !a.Within() {
					p.violate(invariantBudget, fmt.Sprintf("at most %d unavailable", a.Allowed), a.String())
				}
			}
		}
	}
}

func (p *Player) setTruth(h *host) {
	if h.known {
		p.truth.Set(h.Name, budget.Host{
			Centre: h.Centre, Rack: h.Rack, Home: h.Pool, Pool: h.row.Pool, State: h.row.State, Healthy: p.up(h) && !h.sick,
		})
	}
}

// checkTasks looks through all reports of tasks for jobs that had two at once.
func (p *Player) checkTasks() {
	running := map[string]string{} // job: its task
	for _, u := range p.reports() {
		switch other := running[u.Job]; {
		case u.State != "running" && other == u.Task:
			delete(running, u.Job)
		case u.State == "running" && other != "" && other != u.Task:
			p.violate(invariantTwice, "one task at once", fmt.Sprintf("%s and %s at %s", other, u.Task, u.At.Sub(p.start)))
		case u.State == "running":
			running[u.Job] = u.Task
		}
	}
}
