package daemon

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

// Guards against checks whose cost grows with the fleet, against hosts that are never checked, and against inactive
// hosts whose next check waits until all other hosts have been checked.
func TestChecksTakeTurns(t *testing.T) {
	is := is.New(t)
	var list []candidate
	for i := range 100 {
		list = append(list, candidate{upstream: cuminstair.Upstream{Host: fmt.Sprintf("h%03d", i)}, active: i != 50})
	}
	var rotation rotation
	seen := map[string]int{}
	const rounds = 34 // 3 hosts a round from the rotation: 34 rounds cover 100 hosts
	for range rounds {
		taken := rotation.next(list)
		is.Equal(len(taken), checksPerInterval)
		for _, u := range taken {
			seen[u.Host]++
		}
	}
	is.Equal(len(seen), 100)
	is.Equal(seen["h050"], rounds)

	small := list[:3]
	is.Equal(len(rotation.next(small)), 3)
	is.Equal(len(rotation.next(nil)), 0)
}
