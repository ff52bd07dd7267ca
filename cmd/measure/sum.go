package main

import (
	"context"
	"fmt"
)

// Limits for the control plane of one node (section 1.8 of docs/design.md).
const (
	limitBytes  = 3000 // a second
	limitCore   = 3    // percent
	limitMemory = 64   // MB
)

// measureSum adds up the bytes, processor time and memory of one entry daemon at 28,000 hosts, with 3 and with 40 entry
// daemons in each of 7 data centres. It uses the figures that the other subjects recorded.
func measureSum(_ context.Context, r *report) error {
	const hosts = 28000
	var rows [][]string
	for _, perCentre := range []int{3, 40} {
		n := 7 * perCentre
		gossip := 2 * r.figure("gossip bytes", n) // each byte sent is also received by another daemon
		config := r.figure("config bytes", n)
		follow := r.figure("follow bytes", 0)
		register := r.figure("register bytes", n)
		all := gossip + config + follow + register
		list := r.figure("list bytes", hosts)
		extra := r.figure("hold bytes", 0) - follow + list
		checks := r.figure("check bytes", perCentre)
		rows = append(rows, cells(n, gossip, config, follow, register, all, all/limitBytes, checks, (all+checks)/limitBytes, extra,
			(all+checks)*float64(n)/hosts))
	}
	r.table(fmt.Sprintf("bytes a second of one entry daemon, sent and received; the limit is %d", limitBytes), []string{
		"daemons", "gossip", "config", "rows", "registrations", "all", "of limit", "checks", "with checks of limit",
		"more for a holder", "with checks for each host of the fleet",
	}, rows)
	rows = nil
	for _, perCentre := range []int{3, 40} {
		n := 7 * perCentre
		gossip := r.figure("gossip core", n)
		install := r.figure("install core", hosts)
		health := r.figure("health core", perCentre)
		control := r.figure("control core", hosts)
		checks := r.figure("check core", perCentre)
		all := gossip + install + health + control + checks
		loaded := 100 * r.figure("digests", n) * r.figure("digest time", 1000)
		rows = append(rows, cells(n, gossip, install, health, control, checks, all, all/limitCore, loaded))
	}
	r.table(fmt.Sprintf("percent of a core of one entry daemon, all%s; the limit is %d", wall, limitCore), []string{
		"daemons", "gossip", "install", "health", "control", "checks", "all", "of limit", "more if 1,000 upstreams have load",
	}, rows)
	state := r.figure("memory", hosts)
	tickets := r.figure("ticket memory", 200)
	r.printf("live heap of one entry daemon: %.1f MB of state, %.1f MB with the tickets of 200 requests/s: %.2f of the limit of %d MB\n",
		state, state+tickets, (state+tickets)/limitMemory, limitMemory)
	r.printf("the collector's default lets the heap grow to twice that before it frees: %.1f MB, %.2f of the limit (computed)\n",
		2*(state+tickets), 2*(state+tickets)/limitMemory)
	return nil
}
