package ownership_test

import (
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/ownership"
)

// Guards against a heartbeat of a killed daemon that reaches the store after its restart: the new process would count as gone, and
// as ended, although it gives orders.
func TestLateHeartbeatOfAnEarlierRunIsIgnored(t *testing.T) {
	is := is.New(t)
	heartbeat := func(run string, generation uint64) ownership.Node {
		return ownership.Node{Run: run, Ready: true, Weight: 1, Generation: generation}
	}
	store := &testStore{}
	v := ownership.NewView("b", "b1")
	store.put(ownership.NodePart, "a", heartbeat("a2", 2))
	store.put("s", ownership.OwnerKey, ownership.Owner{Name: "a", Run: "a2"})
	store.read(v, begin)
	_, token := v.Owner("s")
	store.put(ownership.NodePart, "a", heartbeat("a1", 1))
	store.read(v, begin)
	_, live := v.LiveOwner(begin, "s")
	is.True(live)
	is.True(!v.Restarted("a", "a2", token))
	store.put(ownership.NodePart, "a", heartbeat("a3", 3))
	store.read(v, begin)
	is.True(v.Restarted("a", "a2", token))
	store.put(ownership.NodePart, "a", heartbeat("a4", 0)) // a daemon of an earlier version
	store.read(v, begin)
	is.True(v.Restarted("a", "a3", token))
}

// Guards against a restarted daemon whose heartbeats are taken for those of its earlier run.
func TestGenerationIsHigherThanThatOfEarlierRuns(t *testing.T) {
	is := is.New(t)
	store := &testStore{}
	v := ownership.NewView("a", "a2")
	is.Equal(v.Generation(), uint64(1))
	store.put(ownership.NodePart, "a", ownership.Node{Run: "a1", Generation: 4})
	store.put(ownership.NodePart, "b", ownership.Node{Run: "b1", Generation: 9})
	store.put(ownership.NodePart, "a", ownership.Node{Run: "a2", Generation: 5})
	store.read(v, begin)
	is.Equal(v.Generation(), uint64(5))
}
