package daemon

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

// Guards against checks whose cost grows with the fleet, and against hosts that never get their turn or that wait a whole
// round until they come back into service.
func TestChecksTakeTurns(t *testing.T) {
	is := is.New(t)
	var list []candidate
	for i := range 100 {
		list = append(list, candidate{upstream: cuminstair.Upstream{Host: fmt.Sprintf("h%03d", i)}, active: i != 50})
	}
	var turn turn
	seen := map[string]int{}
	const rounds = 34 // 3 hosts in turn a round are enough for 100 in 34 rounds
	for range rounds {
		taken := turn.take(list)
		is.Equal(len(taken), checkRate)
		for _, u := range taken {
			seen[u.Host]++
		}
	}
	is.Equal(len(seen), 100)
	is.Equal(seen["h050"], rounds)

	small := list[:3]
	is.Equal(len(turn.take(small)), 3)
	is.Equal(len(turn.take(nil)), 0)
}
