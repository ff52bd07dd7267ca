package fleettest

import (
	"time"

	"cuminstair.org/cuminstair/wave"
)

// Exposed tells whether the loss of one more rack could break the budget of some service.
func (w *World) Exposed() bool {
	for _, s := range w.Truth.Services() {
		for _, c := range w.Names {
			if w.Truth.Account(s, c).Room() < 0 {
				return true
			}
		}
	}
	return false
}

// FixedWave reboots the hosts of each data centre in steps of a fixed size, whatever the budget. It is the baseline. It
// returns how long it takes and how long the loss of a rack could break a budget meanwhile.
func FixedWave(w *World, size int) (took, exposed time.Duration) {
	left := map[string][]string{}
	for _, h := range w.Fleet.Hosts {
		left[h.Centre] = append(left[h.Centre], h.Name)
	}
	for {
		all := true
		for _, c := range w.Names {
			n := min(size, len(left[c]))
			all = all && n == 0
			for _, name := range left[c][:n] {
				w.Hosts[name].Until = w.Now.Add(Drain + Reboot)
				w.Account(name)
			}
			left[c] = left[c][n:]
		}
		if all {
			return w.Now.Sub(Start), exposed
		}
		for range int((Drain + Reboot + Lag + wave.Probation) / time.Second) {
			w.Now = w.Now.Add(time.Second)
			for name := range w.Hosts {
				w.Account(name)
			}
			if w.Exposed() {
				exposed += time.Second
			}
		}
	}
}
