package node_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/standin/instance"
)

// Guards against requests that are refused while another data centre has free slots, and against requests that still run
// after the only daemon of that data centre stopped.
func TestSpill(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	for host, i := range s.Instances {
		if strings.HasPrefix(host, "c1-") {
			i.SetFaults(instance.Faults{Leaving: true})
		}
	}
	near := s.Daemons["c1-e1"]
	ranIn := func(centre string) int {
		total := 0
		for host, i := range s.Instances {
			if strings.HasPrefix(host, centre) {
				total += i.Total()
			}
		}
		return total
	}
	// The instances announce in their answers to requests and to checks that they leave.
	is.NoErr(s.Await(func() bool {
		before := ranIn("c2-")
		body, h, err := ask(near.Callers(), "order", "one skin")
		return err == nil && h.Get("Outcome") == "done" && body == "one skin" && ranIn("c2-") == before+1
	}))
	is.NoErr(s.Daemons["c2-e1"].Stop())
	is.NoErr(s.Await(func() bool {
		before := ranIn("c")
		_, h, err := ask(near.Callers(), "order", "one skin")
		return err == nil && h.Get("Outcome") == "notrun" && ranIn("c") == before
	}))
}
