package main

import (
	"context"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ticket"
)

const (
	answerSize = 100
	// ticketRun is longer than the life of a ticket and the repeat window, so that the store reaches its steady state.
	ticketRun = 5 * time.Minute
)

var ticketRates = []int{50, 100, 200, 270, 400}

// ticketCost is the size of a ticket store after ticketRun at a rate, and the time that a ticket took.
type ticketCost struct {
	kept    int
	charged int64         // bytes by the store's own count
	heap    int64         // bytes in use
	refused int           // tickets that were not issued or could not be parsed
	mean    time.Duration // wall-clock time of one ticket
}

// runTickets issues rate tickets a second of virtual time, and signs, parses and uses each of them at once.
func runTickets(rate int) ticketCost {
	key := ticket.Key("0123456789abcdef0123456789abcdef")
	var out ticketCost
	m := &cuminstair.Message{Method: "POST", Service: service, Kind: "k", Team: "t", Path: "/x", Body: []byte("body")}
	var store *ticket.Store
	begin := clock.Now()
	store, out.heap = heapOf(func() *ticket.Store {
		s := &ticket.Store{Self: ticket.Home{Name: "entry-001", Incarnation: 1}}
		total := rate * int(ticketRun/time.Second)
		for i := range total {
			now := epoch.Add(time.Duration(i) * time.Second / time.Duration(rate))
			issued := s.Issue(now, 1)
			if len(issued) == 0 {
				out.refused++
				continue
			}
			t, err := key.Parse(key.Text(issued[0]))
			if err != nil {
				out.refused++
				continue
			}
			v := s.Begin(now, t, ticket.HashOf(m))
			s.End(now, t, v.Run, cuminstair.OutcomeDone, cuminstair.ReasonOK, &cuminstair.Message{Status: 200, Body: make([]byte, answerSize)})
		}
		return s
	})
	out.mean = clock.Now().Sub(begin) / time.Duration(rate*int(ticketRun/time.Second))
	out.kept, out.charged = store.Count(), store.Size()
	return out
}

func measureTicket(_ context.Context, r *report) error {
	var rows [][]string
	for _, rate := range ticketRates {
		c := runTickets(rate)
		r.record("ticket memory", rate, float64(c.heap)/1e6)
		rows = append(rows, cells(rate, c.kept, float64(c.charged)/1e6, float64(c.heap)/1e6, c.refused, c.mean.Round(100*time.Nanosecond),
			100*c.mean.Seconds()*float64(rate)))
	}
	r.table("tickets of one daemon, each used once at once, answers of 100 bytes", []string{
		"requests/s", "kept", "charged MB", "heap MB", "not issued", "time each" + wall, "% of a core" + wall,
	}, rows)
	return nil
}
