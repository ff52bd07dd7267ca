package fleettest

import (
	"time"

	"cuminstair.org/cuminstair/wave"
)

// Exposed reports whether the loss of one more rack could exceed the budget of a service.
func (w *World) Exposed() bool {
	for _, s := range w.Budgets.Services() {
		for _, c := range w.Centres {
			if w.Budgets.Account(s, c).Room() < 0 {
				return true
			}
		}
	}
	return false
}

// FixedWave is the baseline for waves: it reboots the hosts of each data centre in steps of a fixed size regardless of the
// budget. It returns the total time and the time during which the loss of a rack could have exceeded a budget.
func FixedWave(w *World, size int) (took, exposed time.Duration) {
	remaining := map[string][]string{}
	for _, h := range w.Fleet.Hosts {
		remaining[h.Centre] = append(remaining[h.Centre], h.Name)
	}
	for {
		finished := true
		for _, c := range w.Centres {
			n := min(size, len(remaining[c]))
			finished = finished && n == 0
			for _, name := range remaining[c][:n] {
				w.Hosts[name].DownUntil = w.Now.Add(Drain + Reboot)
				w.Account(name)
			}
			remaining[c] = remaining[c][n:]
		}
		if finished {
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
