package ticket_test

import (
	"runtime"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ticket"
)

// BenchmarkTicket measures one request with a ticket: issue, sign, verify, begin and end.
func BenchmarkTicket(b *testing.B) {
	steps := []struct {
		name string
		run  func(s *ticket.Store, now time.Time)
	}{
		{"issue", func(s *ticket.Store, now time.Time) { s.Issue(now, 1) }},
		{"text", func(*ticket.Store, time.Time) { key.Text(ticket.Ticket{Home: homeA, Expires: start}) }},
		{"whole", func(s *ticket.Store, now time.Time) {
			text := key.Text(s.Issue(now, 1)[0])
			tk, err := key.Parse(text)
			if err != nil {
				panic(err)
			}
			v := s.Begin(now, tk, ticket.HashOf(first))
			s.End(now, tk, v.Run, cuminstair.OutcomeDone, cuminstair.ReasonOK, answer)
		}},
	}
	for _, step := range steps {
		b.Run(step.name, func(b *testing.B) {
			s := &ticket.Store{Self: homeA, MaxTickets: 1 << 30, MaxBytes: 1 << 40}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(5 * time.Millisecond) // 200 requests a second, so that old tickets expire
				step.run(s, now)
			}
		})
	}
	text := key.Text(ticket.Ticket{Home: homeA, Expires: start})
	b.Run("verify", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := key.Parse(text); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkMemory measures the heap that a stored outcome takes, without an answer and with one of 100 or 1000 bytes,
// and the bytes that the store charges for it.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{-1, 100, 1000} {
		name := map[int]string{-1: "outcome", 100: "answer100", 1000: "answer1000"}[size]
		b.Run(name, func(b *testing.B) {
			const count = 50_000
			for b.Loop() {
				used, charged := fillStore(count, size)
				b.ReportMetric(float64(used)/count, "heap-bytes/outcome")
				b.ReportMetric(float64(charged)/count, "charged-bytes/outcome")
			}
		})
	}
}

func fillStore(count, size int) (used, charged int64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := &ticket.Store{Self: homeA, MaxTickets: count, MaxBytes: 1 << 40}
	for _, tk := range s.Issue(start, count) {
		v := s.Begin(start, tk, ticket.Hash{})
		var m *cuminstair.Message
		if size >= 0 {
			m = &cuminstair.Message{
				Status: 200, Header: map[string][]string{"Content-Type": {"text/plain"}}, Body: make([]byte, size),
			}
		}
		s.End(start, tk, v.Run, cuminstair.OutcomeDone, cuminstair.ReasonOK, m)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	charged = s.Size()
	runtime.KeepAlive(s)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc), charged
}
