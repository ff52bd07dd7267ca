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

// Names of the invariants in checks.
const (
	invariantBudget  = "budget"
	invariantOnePool = "one pool for each host"
	invariantFence   = "writes only under the lease"
	invariantIdle    = "nothing in flight"
	invariantOneTask = "one task for each job"
)

// violate adds a failed check at the first violation of an invariant.
func (p *Player) violate(invariant, expected, found string) {
	if !p.violated[invariant] {
		p.violated[invariant] = true
		p.checks = append(p.checks, Check{At: p.now(), What: invariant, Expected: expected, Found: found})
	}
}

// commit passes a commit to the table and, if it took effect, records and checks its rows. A commit can take effect
// although its response is lost.
func (p *Player) commit(c cuminstair.Commit) (uint64, error) {
	version, err := p.service.Commit(context.Background(), c)
	if err == nil || errors.Is(err, cuminstair.ErrUncertain) && p.tookEffect(c.ID) {
		p.recordCommit(c)
	}
	return version, err
}

// tookEffect reports whether the last commit in the table's history has the given id.
func (p *Player) tookEffect(id string) bool {
	history := p.service.History()
	return len(history) > 0 && history[len(history)-1].Commit.ID == id
}

// recordCommit records and checks the rows of a commit that took effect.
func (p *Player) recordCommit(c cuminstair.Commit) {
	for _, put := range c.Puts {
		kind, id, _ := strings.Cut(put.Key, "/")
		switch kind + "/" {
		case lease.Prefix:
			var l lease.Record
			if json.Unmarshal(put.Value, &l) == nil {
				p.setEpoch(id, l)
			}
		case wave.Prefix:
			var w wave.Wave
			if json.Unmarshal(put.Value, &w) == nil {
				_, centre, _ := strings.Cut(id, "/")
				p.checkEpoch(put.Key, centre, w.Epoch)
				p.waves[id] = w
			}
		case wave.HostPrefix:
			var h wave.Host
			if json.Unmarshal(put.Value, &h) == nil {
				p.setRow(put.Key, id, h)
			}
		}
	}
	for _, key := range c.Deletes {
		for _, h := range p.hosts {
			if h.rowKey == key {
				h.hasRow, h.rowKey = false, ""
				p.budgets.Remove(h.Name)
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

func (p *Player) checkEpoch(key, centre string, epoch uint64) {
	if epoch != p.epochs[centre] {
		p.violate(invariantFence, fmt.Sprintf("epoch %d", p.epochs[centre]), fmt.Sprintf("%s written in epoch %d", key, epoch))
	}
}

// setRow records and checks a host row that was written.
func (p *Player) setRow(key, id string, row wave.Host) {
	centre, name, _ := strings.Cut(id, "/")
	h := p.hosts[name]
	if h == nil {
		p.violate(invariantOnePool, "rows of hosts of the fleet", "a row "+key)
		return
	}
	p.checkEpoch(key, centre, row.Epoch)
	if h.hasRow && h.rowKey != key || !p.declared(row.Pool) {
		p.violate(invariantOnePool, "one row in a declared pool", fmt.Sprintf("rows %s and %s, pool %q", h.rowKey, key, row.Pool))
	}
	if h.hasRow && h.row.Pool != row.Pool {
		p.moves++
		p.checkMove(h, row)
	}
	h.row, h.hasRow, h.rowKey = row, true, key
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

// checkMove checks that a host that changes its pool is drained or moving, and idle.
func (p *Player) checkMove(h *host, row wave.Host) {
	if h.row.State != cuminstair.HostDrained && h.row.State != cuminstair.HostMoving {
		p.violate(invariantOnePool, "a drained host", fmt.Sprintf("%s moved in state %s from %s to %s", h.Name, h.row.State, h.row.Pool, row.Pool))
	}
	p.checkIdle(h.Name, "moved")
}

// recordAction checks and counts an action that the platform accepted. It ignores a repeat, which has the same id.
func (p *Player) recordAction(id, name, before string) {
	if p.actions[id] {
		return
	}
	p.actions[id] = true
	p.record(WhatActs, name, "")
	if before == table.StateLive {
		p.checkIdle(name, "rebooted")
	}
}

func (p *Player) checkIdle(host, action string) {
	for _, d := range p.daemons {
		if d.live && d.inflight(host) {
			p.violate(invariantIdle, "no request in flight on a host that is "+action, fmt.Sprintf("%s has a request of %s in flight", host, d.name))
		}
	}
}

// account updates the budgets after a change of a host and checks those of its services.
func (p *Player) account(h *host) {
	if !h.hasRow {
		return
	}
	p.setBudgets(h)
	for _, pool := range []string{h.row.Pool, h.Pool} {
		for _, s := range p.budgets.PoolServices(pool) {
			for _, c := range []string{h.Centre, budget.Fleet} {
				if a := p.budgets.Account(s, c); !a.Within() {
					p.violate(invariantBudget, fmt.Sprintf("at most %d unavailable", a.Allowed), a.String())
				}
			}
		}
	}
}

func (p *Player) setBudgets(h *host) {
	if h.hasRow {
		p.budgets.Set(h.Name, budget.Host{
			Centre: h.Centre, Rack: h.Rack, Home: h.Pool, Pool: h.row.Pool, State: h.row.State, Healthy: p.up(h) && !h.sick,
		})
	}
}

// checkTasks checks in all usage reports that no job had two tasks running at once.
func (p *Player) checkTasks() {
	running := map[string]string{} // job: its running task
	for _, u := range p.reports() {
		switch other := running[u.Job]; {
		case u.State != "running" && other == u.Task:
			delete(running, u.Job)
		case u.State == "running" && other != "" && other != u.Task:
			p.violate(invariantOneTask, "one task at once", fmt.Sprintf("%s and %s at %s", other, u.Task, u.At.Sub(p.start)))
		case u.State == "running":
			running[u.Job] = u.Task
		}
	}
}
