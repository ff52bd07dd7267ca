package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

type cloudOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int    `json:"wave"`
	holder  string
	token   int64
}

// serveCloud serves the list of machines and the orders for them, and returns the address.
func (p *platform) serveCloud(fenced bool) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", p.list)
	handle := func(carryOut func(*machine, cloudOrder) (int, string)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var o cloudOrder
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			o.holder = r.Header.Get("X-Duty-Holder")
			o.token, _ = strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
			p.mu.Lock()
			f := p.cloud
			if f.late != nil && f.late(r.URL.Path, o.Machine) {
				p.rec.add("%s of %s by %s with token %d: not answered, carried out in %v", r.URL.Path, o.Machine, o.holder, o.token, f.delay)
				p.mu.Unlock()
				time.AfterFunc(f.delay, func() {
					p.mu.Lock()
					defer p.mu.Unlock()
					p.command(r.URL.Path+" (late)", o, fenced, carryOut)
				})
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			status, reason := p.command(r.URL.Path, o, fenced, carryOut)
			p.mu.Unlock()
			body := map[string]any{}
			if reason != "" {
				body["reason"] = reason
			}
			writeJSON(w, status, body)
		}
	}
	mux.HandleFunc("POST /api/machine-move", handle(p.move))
	mux.HandleFunc("POST /api/machine-upkeep", handle(p.upkeep))
	return serveHTTP("127.0.0.1:0", mux)
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	rows := []map[string]any{}
	for _, x := range p.machines {
		id := ""
		if x.m != nil {
			id = x.m.id
		}
		rows = append(rows, map[string]any{
			"machine": x.name, "pool": x.pool, "state": x.state, "zone": x.zone, "labels": x.labels, "id": id,
			"capacity": map[string]int{"cpu": x.cpu, "mem_mb": x.mem, "gpus": 0},
		})
	}
	slow := p.cloud.slow
	p.mu.Unlock()
	time.Sleep(slow) // the answer is late, and as the machines were when it was asked for
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": nil})
}

func (p *platform) command(path string, o cloudOrder, fenced bool, carryOut func(*machine, cloudOrder) (int, string)) (int, string) {
	var x *machine
	for _, y := range p.machines {
		if y.name == o.Machine {
			x = y
		}
	}
	if x == nil {
		return http.StatusBadRequest, ""
	}
	if o.token < x.fence {
		if fenced {
			return http.StatusConflict, "fence"
		}
		p.rec.breaks("ONE", "%s of %s by %s with token %d after an order with token %d", path, x.name, o.holder, o.token, x.fence)
	}
	if o.token == x.fence && x.holder != "" && o.holder != x.holder {
		p.rec.breaks("ONE", "%s of %s by %s with token %d, which %s has used", path, x.name, o.holder, o.token, x.holder)
	}
	x.fence, x.holder, x.last = max(x.fence, o.token), o.holder, time.Now()
	status, reason := carryOut(x, o)
	p.rec.add("%s of %s by %s with token %d: %d %s", path, x.name, o.holder, o.token, status, reason)
	return status, reason
}

func (p *platform) move(x *machine, o cloudOrder) (int, string) {
	if x.pool == o.Pool {
		return http.StatusOK, ""
	}
	if x.state != "up" {
		return http.StatusConflict, "busy"
	}
	p.takeDown(x, "moving", o.Pool, moveTime)
	return http.StatusOK, ""
}

func (p *platform) upkeep(x *machine, o cloudOrder) (int, string) {
	if x.upkept[o.Wave] {
		return http.StatusOK, ""
	}
	if x.state != "up" {
		return http.StatusConflict, "busy"
	}
	down := 0
	for _, y := range p.machines {
		if y.state == "upkeep" && y.upkept[o.Wave] {
			down++
		}
	}
	if most, ok := p.waves[o.Wave]; ok && down >= most {
		p.rec.breaks("LIMIT", "the upkeep of %s begins while %d machines of wave %d are down, at most %d may be", x.name, down, o.Wave, most)
	}
	x.upkept[o.Wave] = true
	p.takeDown(x, "upkeep", x.pool, upkeepTime)
	return http.StatusOK, ""
}

// takeDown ends what runs on a machine and brings a new minion up on it after a time.
func (p *platform) takeDown(x *machine, state, pool string, after time.Duration) {
	if m := x.m; m != nil {
		if len(m.runs) > 0 {
			p.rec.add("%s ends %d runs on %s", state, len(m.runs), m.id)
		}
		m.crash()
		go p.store.remove("servers", "", m.id)
	}
	x.state, x.pool = state, pool
	time.AfterFunc(after, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		x.state = "up"
		if pool != "spare" {
			p.start(x, "", "")
		}
	})
}

// crashMachine crashes the minion of a machine. It is up again after a time, under its id or a new one.
func (p *platform) crashMachine(x *machine, after time.Duration, sameID bool) {
	m := x.m
	if m == nil {
		return
	}
	p.rec.add("minion %s of %s crashes with %d runs", m.id, x.name, len(m.runs))
	m.crash()
	x.state = "down"
	time.AfterFunc(after, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if x.state != "down" {
			return
		}
		if sameID {
			n := p.start(x, m.id, m.addr)
			n.faults, n.cold = m.faults, p.cold
		} else {
			p.start(x, "", "")
		}
		p.rec.add("minion %s of %s is up", x.m.id, x.name)
	})
	if after > 3*heartbeat || !sameID {
		time.AfterFunc(min(after, 3*heartbeat), func() {
			p.mu.Lock()
			gone := x.m == nil || x.m.id != m.id
			p.mu.Unlock()
			if gone {
				p.store.remove("servers", "", m.id)
			}
		})
	}
}

// wave asks for the upkeep of machines.
func (p *platform) wave(number int, names []string, seconds, most int) {
	p.mu.Lock()
	p.waves[number] = most
	p.mu.Unlock()
	data, _ := json.Marshal(map[string]any{"wave": number, "machines": names, "duration_s": seconds, "max_count": most})
	p.store.put("op", "", fmt.Sprintf("wave/%d", number), data)
}

func (p *platform) loop() {
	for {
		time.Sleep(tick)
		p.mu.Lock()
		for _, x := range p.machines {
			if x.m != nil {
				x.m.step()
			}
		}
		p.mu.Unlock()
	}
}

func (p *platform) beats() {
	for {
		time.Sleep(heartbeat)
		p.mu.Lock()
		for _, x := range p.machines {
			if x.m != nil && !x.m.faults.Silent {
				x.m.publish()
			}
		}
		p.mu.Unlock()
	}
}
