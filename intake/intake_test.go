package intake_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/intake"
)

var now = time.Unix(1000, 0)

func in(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }

// Guards against refusals while the pool can do the work in time, and acceptance when it can't.
func TestDecide(t *testing.T) {
	pool := intake.Pool{Cores: 100, Share: 1}
	for _, c := range []struct {
		name   string
		load   []intake.Load
		ask    intake.Ask
		pool   intake.Pool
		accept bool
	}{
		{"empty pool", nil, intake.Ask{Due: in(2), Work: 150, Chain: time.Second}, pool, true},
		{"chain longer than the objective", nil, intake.Ask{Due: in(2), Work: 1, Chain: 3 * time.Second}, pool, false},
		{"work ahead leaves room", []intake.Load{{Due: in(1), Work: 90}}, intake.Ask{Due: in(3), Work: 50, Chain: time.Second}, pool, true},
		{"work ahead leaves none", []intake.Load{{Due: in(1), Work: 90}, {Due: in(2), Work: 110}}, intake.Ask{Due: in(2.5), Work: 60, Chain: time.Second}, pool, false},
		{"would make later work late", []intake.Load{{Due: in(4), Work: 390}}, intake.Ask{Due: in(2), Work: 50, Chain: time.Second}, pool, false},
		{"late work gives way", []intake.Load{{Due: in(-1), Work: 500, Late: true}, {Due: in(2), Work: 100}}, intake.Ask{Due: in(3), Work: 50, Chain: time.Second}, pool, true},
		{
			"later steps stand less in the way",
			[]intake.Load{{Due: in(2.5), Work: 60}},
			intake.Ask{Due: in(3), Work: 100, Chain: 2500 * time.Millisecond, Width: 40},
			intake.Pool{Cores: 100, Share: 1, Free: 50},
			true,
		},
		{
			"but work that could run does",
			[]intake.Load{{Due: in(2.5), Work: 150, Front: 100}},
			intake.Ask{Due: in(3), Work: 100, Chain: 2500 * time.Millisecond, Width: 40},
			intake.Pool{Cores: 100, Share: 1},
			false,
		},
		{
			"workers on their way",
			[]intake.Load{{Due: in(2), Work: 190}},
			intake.Ask{Due: in(3), Work: 150, Chain: time.Second},
			intake.Pool{Cores: 100, More: 100, Delay: time.Second, Share: 1},
			true,
		},
		{"no workers", nil, intake.Ask{Due: in(2), Work: 1, Chain: time.Second}, intake.Pool{Share: 1}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := intake.Decide(now, c.pool, c.load, c.ask)
			is.Equal(v.Accept, c.accept)
			is.Equal(v.Wait == 0, c.accept) // a refusal says when room is expected
		})
	}
}
