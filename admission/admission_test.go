package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/admission"
)

var now = time.Unix(1000, 0)

func in(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }

// Guards against jobs that are refused although the pool can finish them on time, or accepted although it can't.
func TestDecide(t *testing.T) {
	pool := admission.Pool{Cores: 100, Utilization: 1}
	for _, c := range []struct {
		name   string
		load   []admission.Load
		job    admission.Job
		pool   admission.Pool
		accept bool
	}{
		{"empty pool", nil, admission.Job{Due: in(2), Work: 150, CriticalPath: time.Second}, pool, true},
		{"chain longer than the objective", nil, admission.Job{Due: in(2), Work: 1, CriticalPath: 3 * time.Second}, pool, false},
		{"earlier work leaves capacity", []admission.Load{{Due: in(1), Work: 90}}, admission.Job{Due: in(3), Work: 50, CriticalPath: time.Second}, pool, true},
		{"earlier work leaves no capacity", []admission.Load{{Due: in(1), Work: 90}, {Due: in(2), Work: 110}}, admission.Job{Due: in(2.5), Work: 60, CriticalPath: time.Second}, pool, false},
		{"would make later work late", []admission.Load{{Due: in(4), Work: 390}}, admission.Job{Due: in(2), Work: 50, CriticalPath: time.Second}, pool, false},
		{"late work runs after the job", []admission.Load{{Due: in(-1), Work: 500, Late: true}, {Due: in(2), Work: 100}}, admission.Job{Due: in(3), Work: 50, CriticalPath: time.Second}, pool, true},
		{
			"work of later steps delays the job less",
			[]admission.Load{{Due: in(2.5), Work: 60}},
			admission.Job{Due: in(3), Work: 100, CriticalPath: 2500 * time.Millisecond, Width: 40},
			admission.Pool{Cores: 100, Utilization: 1, Free: 50},
			true,
		},
		{
			"ready work delays the job",
			[]admission.Load{{Due: in(2.5), Work: 150, Ready: 100}},
			admission.Job{Due: in(3), Work: 100, CriticalPath: 2500 * time.Millisecond, Width: 40},
			admission.Pool{Cores: 100, Utilization: 1},
			false,
		},
		{
			"workers being moved to the pool",
			[]admission.Load{{Due: in(2), Work: 190}},
			admission.Job{Due: in(3), Work: 150, CriticalPath: time.Second},
			admission.Pool{Cores: 100, ExtraCores: 100, ExtraDelay: time.Second, Utilization: 1},
			true,
		},
		{"earlier work of a higher class", []admission.Load{{Due: in(1), Work: 90, Class: 1}}, admission.Job{Due: in(2), Work: 100, CriticalPath: time.Second}, pool, false},
		{"work that yields", []admission.Load{{Due: in(1), Work: 90, Class: 1, Yields: true}}, admission.Job{Due: in(2), Work: 100, CriticalPath: time.Second}, pool, true},
		{"work that yields but has begun", []admission.Load{{Due: in(1), Work: 190, Class: 1, Yields: true, Begun: 150}}, admission.Job{Due: in(2), Work: 100, CriticalPath: time.Second}, pool, false},
		{"later work of a lower class", []admission.Load{{Due: in(9), Work: 190}}, admission.Job{Due: in(2), Work: 100, CriticalPath: time.Second, Class: 1}, pool, false},
		{"no workers", nil, admission.Job{Due: in(2), Work: 1, CriticalPath: time.Second}, admission.Pool{Utilization: 1}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := admission.Decide(now, c.pool, c.load, c.job)
			is.Equal(v.Accept, c.accept)
			is.Equal(v.Wait == 0, c.accept) // a refusal gives the time until a retry
		})
	}
}
