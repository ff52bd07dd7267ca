package plan

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/job"
	"cuminstair.org/cuminstair/standin/table"
	"cuminstair.org/cuminstair/wave"
)

// expect compares an expected outcome with the present state.
func (p *Player) expect(l Line) {
	c := Check{At: p.now(), What: strings.Join(strings.Fields(l.What+" "+l.Name+" "+l.Centre), " ")}
	if l.Least != nil || l.Most != nil {
		p.expectNumber(l, &c)
	} else {
		found := p.foundTexts(l)
		c.Expected, c.Found = strconv.Quote(l.Is), strconv.Quote(strings.Join(found, ", "))
		c.OK = !slices.ContainsFunc(found, func(s string) bool {
			return s != l.Is && (l.What != WhatWhy || !strings.Contains(s, l.Is))
		})
	}
	p.checks = append(p.checks, c)
}

func (p *Player) expectNumber(l Line, c *Check) {
	n := p.foundNumber(l)
	var bounds []string
	if l.Least != nil {
		bounds = append(bounds, fmt.Sprint("at least ", *l.Least))
	}
	if l.Most != nil {
		bounds = append(bounds, fmt.Sprint("at most ", *l.Most))
	}
	c.What = strings.TrimSpace(c.What + " " + l.Is)
	c.Expected, c.Found = strings.Join(bounds, " and "), strconv.Itoa(n)
	c.OK = (l.Least == nil || n >= *l.Least) && (l.Most == nil || n <= *l.Most)
}

// foundTexts returns the values that must each match Line.Is. For a wave these are one value for each data centre that
// the line selects.
func (p *Player) foundTexts(l Line) []string {
	if l.What == WhatHolder {
		return []string{p.holder(l.Centre)}
	}
	if h := p.hosts[l.Name]; h != nil {
		switch l.What {
		case WhatHost:
			return []string{string(h.row.State)}
		case WhatPool:
			return []string{h.row.Pool}
		case WhatWhy:
			return []string{h.row.Why}
		}
	}
	return p.waveTexts(l)
}

func (p *Player) waveTexts(l Line) []string {
	var found []string
	for _, c := range p.fleet.Centres {
		if l.Centre == "" || l.Centre == c.Name {
			w, ok := p.waves[l.Name+"/"+c.Name]
			switch {
			case !ok:
				found = append(found, string(wave.Ready))
			case l.What == WhatWhy:
				found = append(found, w.Reason)
			default:
				found = append(found, string(w.State))
			}
		}
	}
	return found
}

// holder returns the daemons that consider themselves the holder of a lease. There should be at most one.
func (p *Player) holder(centre string) string {
	var names []string
	for _, d := range p.daemons {
		if d.centre == centre && d.running() && d.control.Holding() {
			names = append(names, d.name)
		}
	}
	return strings.Join(names, " and ")
}

func (p *Player) foundNumber(l Line) int {
	switch l.What {
	case WhatMoves:
		return p.moves
	case WhatGen:
		return int(p.base.Head.Gen)
	case WhatEpoch:
		return int(p.epochs[l.Centre])
	case WhatActive:
		return p.active()
	case WhatJobs:
		return p.jobsIn(l.Is)
	default:
		return p.countEvents(l)
	}
}

func (p *Player) active() int {
	n := 0
	for _, h := range p.hosts {
		if h.row.State == cuminstair.HostActive {
			n++
		}
	}
	return n
}

// jobsIn counts the jobs in a state. Done and cancelled jobs are counted from the recorded decisions, others from rows.
func (p *Player) jobsIn(state string) int {
	ended := map[string]bool{}
	for _, e := range p.events {
		if e.what == WhatJobs && e.name == state {
			ended[e.job] = true
		}
	}
	if state == string(job.Done) || state == string(job.Cancelled) {
		return len(ended)
	}
	n := 0
	for _, row := range p.rows(job.Prefix) {
		var j job.Job
		if json.Unmarshal(row.Value, &j) == nil && string(j.State) == state {
			n++
		}
	}
	return n
}

func (p *Player) countEvents(l Line) int {
	n := 0
	for _, e := range p.events {
		if e.what == l.What && e.at >= l.From.D() && (l.Name == "" || l.Name == e.name || l.Name == e.job) {
			n++
		}
	}
	return n
}

// rows reads the table with all faults disabled.
func (p *Player) rows(prefix string) []cuminstair.Row {
	defer p.service.SetFaults(p.service.Faults())
	p.service.SetFaults(table.Faults{})
	rows, _, _ := p.service.Rows(context.Background(), prefix, 0) // can fail only with a fault set
	return rows
}

// reports reads all usage reports with all faults disabled.
func (p *Player) reports() []cuminstair.Usage {
	defer p.service.SetFaults(p.service.Faults())
	p.service.SetFaults(table.Faults{})
	list, _, _ := p.service.Usage(context.Background(), 0) // can fail only with a fault set
	return list
}
