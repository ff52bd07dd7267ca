package fleettest

import (
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/trace"
)

// burstLength is how long a service gets five times its mean demand in its turn.
const burstLength = 5 * time.Second

// PlayRotation rotates the demand between the services of the fleet for some seconds, each in turn at five times its
// mean and at a twentieth otherwise. It replays the demand of each service through package trace and steps the world
// with the host health that the replays give. It returns how many seconds, added up over all hosts, a daemon saw a host
// as not active.
func (w *World) PlayRotation(daemonsInCentre, seconds int) int {
	unhealthySeconds := 0
	health := make([][]map[string]cuminstair.HostState, len(w.Fleet.Services))
	for i, s := range w.Fleet.Services {
		health[i] = rotateOne(ServiceTraffic(w.Fleet, s.Name, daemonsInCentre), i, len(w.Fleet.Services), seconds)
	}
	for second := range seconds {
		for i, s := range w.Fleet.Services {
			unhealthySeconds += w.markUnhealthy(s.Pool, health[i][second])
		}
		w.Step()
	}
	return unhealthySeconds
}

// markUnhealthy makes the hosts of a pool whose state in states is not active unhealthy for the next second. It returns
// their number.
func (w *World) markUnhealthy(pool string, states map[string]cuminstair.HostState) int {
	centres, index, unhealthy := Centres(w.Fleet, pool), map[string]int{}, 0
	for _, h := range w.Fleet.Hosts {
		if h.Pool != pool {
			continue
		}
		for c, name := range centres {
			if name != h.Centre {
				continue
			}
			k := index[name]
			index[name]++
			if states[hostName(k*len(centres)+c)] != cuminstair.HostActive {
				w.Hosts[h.Name].DownUntil = w.Now.Add(2 * time.Second)
				w.Account(h.Name)
				unhealthy++
			}
		}
	}
	return unhealthy
}

// rotateOne replays the demand of the service at a position in the rotation and returns the states of its hosts at the
// end of each second.
func rotateOne(f Traffic, position, services, seconds int) []map[string]cuminstair.HostState {
	const mean, high, low = 0.3, 5, 0.05
	t := append(trace.Trace{f.Line}, f.Kinds...)
	for n := range seconds / int(burstLength/time.Second) {
		factor := low
		if n%services == position {
			factor = high
		}
		for _, k := range f.Kinds {
			at := cuminstair.Duration(time.Duration(n) * burstLength)
			t = append(t, trace.Line{At: at, Event: trace.EventLoad, Kind: k.Kind, Rate: f.Rate(k, mean*factor)})
		}
	}
	t = append(t, trace.Line{At: ms(1000 * seconds), Event: trace.EventHeal})
	var states []map[string]cuminstair.HostState
	p := &trace.Player{}
	p.OnSecond = func(int) { states = append(states, p.States()) }
	p.Play(t)
	return states
}
