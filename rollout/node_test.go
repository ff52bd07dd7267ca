package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
	"cuminstair.org/cuminstair/rollout"
)

var now = time.Unix(1e6, 0)

// newNode returns a node of data centre 0 with peers in data centres 0 and 1.
func newNode() *rollout.Node {
	n := &rollout.Node{Name: "a", Incarnation: 1, Centre: "0", Rand: rand.New(rand.NewPCG(1, 1))}
	n.SetPeers([]rollout.Peer{{Name: "a", Centre: "0"}, {Name: "b", Centre: "0"}, {Name: "c", Centre: "1"}})
	return n
}

// plan returns the plan for a small fleet whose first host has a number of cores.
func plan(is *is.I, base rollout.Base, cores int) *rollout.Plan {
	f := fleet.Generate(rand.New(rand.NewPCG(1, 1)), fleet.Size{Hosts: 40, Pools: 2, Teams: 1, Centres: 1, Regions: 1, Rack: 4})
	f.Hosts[0].Cores = cores
	for i := range f.Services {
		f.Services[i].Budget.Down = 0.5
	}
	p, err := rollout.Make(base, rollout.Apply{Fleet: f, Base: base.Head.Gen, ID: "x"})
	is.NoErr(err)
	return p
}

// newRunningNode returns a node that has the first generation in force.
func newRunningNode(is *is.I) *rollout.Node {
	n := newNode()
	n.Tick(now)
	out := n.Accepted(now, plan(is, rollout.Base{}, 1), 10)
	is.Equal(out.Install.Head.Gen, uint64(1))
	return n
}

// Guards against a daemon that starts without the platform and installs the older one of two generations, and against a
// daemon that is ready without a configuration.
func TestStartWithoutThePlatform(t *testing.T) {
	is := is.New(t)
	n := newNode()
	out := n.Tick(now)
	is.True(out.Poll)
	is.Equal(len(out.Announce), 2)
	_, reason := n.Ready()
	is.Equal(reason, "no configuration: neither the platform nor one of 2 peers has answered")
	n.PlatformFailed("connection refused")
	_, reason = n.Ready()
	is.Equal(reason, "no configuration: no peer of 2 has one, and the platform: connection refused")
	out = n.Announced(now, rollout.Announcement{From: "b", Head: rollout.Head{Gen: 4}})
	is.True(out.Fetch == nil) // waits for more peers
	n.Announced(now, rollout.Announcement{From: "c", Head: rollout.Head{Gen: 5}})
	out = n.Tick(now.Add(time.Second))
	is.Equal(out.Fetch.Source.Peer, "c")
	is.Equal(out.Fetch.Request.To.Gen, uint64(5))
}

// Guards against new work on a view from before a pause, and against an answer that confirms the view although it was
// not requested after the pause or is from another data centre.
func TestViewAfterAPause(t *testing.T) {
	is := is.New(t)
	n := newRunningNode(is)
	head := n.Head()
	is.True(n.Usable(now))
	woke := now.Add(rollout.ViewAge + time.Second)
	is.True(!n.Usable(woke))
	n.PlatformHead(woke, now, head)
	is.True(!n.Usable(woke)) // read before the pause
	reply := rollout.Announcement{From: "c", Incarnation: 1, Head: head, Asked: woke.UnixNano()}
	n.Announced(woke, reply)
	is.True(!n.Usable(woke)) // a peer of another data centre
	reply.From, reply.Asked = "b", 0
	n.Announced(woke, reply)
	is.True(!n.Usable(woke)) // not an answer
	reply.Asked = now.UnixNano()
	n.Announced(woke, reply)
	is.True(!n.Usable(woke)) // an answer to a request from before the pause
	reply.Asked = woke.UnixNano()
	n.Announced(woke, reply)
	is.True(n.Usable(woke))
	is.True(n.Usable(woke.Add(rollout.ViewAge)))
}

// Guards against a view that is confirmed while the generation that the platform named is not in force yet.
func TestViewThatIsBehind(t *testing.T) {
	is := is.New(t)
	n := newRunningNode(is)
	woke := now.Add(time.Minute)
	n.Tick(woke)
	next := plan(is, n.Base(), 2)
	out := n.PlatformHead(woke, woke, next.Head)
	is.True(!n.Usable(woke))
	delta := next.Change.Delta
	u := rollout.Update{Head: next.Head, From: 1, Delta: &delta, Sections: next.Objects[:len(delta.Set)]}
	n.FetchDone(woke, out.Fetch.ID, out.Fetch.Source, u)
	is.Equal(n.Head().Gen, uint64(2))
	is.True(n.Usable(woke))
}

// Guards against an update that is installed although it does not have the root hash of its generation, is incomplete,
// or has another root hash than the platform's.
func TestDamagedUpdates(t *testing.T) {
	is := is.New(t)
	now := now
	n := newRunningNode(is)
	next := plan(is, n.Base(), 2)
	other := plan(is, n.Base(), 3)
	delta := next.Change.Delta
	good := rollout.Update{Head: next.Head, From: 1, Delta: &delta, Sections: next.Objects[:len(delta.Set)]}
	out := n.PlatformHead(now, now, next.Head)
	finishFetch := func(u rollout.Update) {
		is.True(out.Fetch != nil)
		id, from := out.Fetch.ID, out.Fetch.Source
		out = n.FetchDone(now, id, from, u)
		is.Equal(n.Head().Gen, uint64(1))
		now = now.Add(time.Second)
		n.PlatformHead(now, now, next.Head)
		if later := n.Tick(now); later.Fetch != nil {
			out = later
		}
	}
	bad := good
	bad.Delta, bad.Sections = &other.Change.Delta, other.Objects
	finishFetch(bad)
	is.True(out.Fetch.Request.Full) // the delta did not lead to the root hash
	bad = rollout.Update{Head: next.Head, Manifest: n.Manifest().Encode()}
	finishFetch(bad)
	bad = rollout.Update{Head: other.Head, From: 1, Delta: &other.Change.Delta, Sections: other.Objects}
	finishFetch(bad)
	bad = good
	bad.Sections = []fleet.Section{{Name: delta.Set[0].Name, Hash: delta.Set[0].Hash, Data: []byte("x")}}
	finishFetch(bad)
	is.Equal(len(out.Fetch.Request.Sections), 1) // the manifest is verified, its section was damaged
	n.FetchDone(now, out.Fetch.ID, out.Fetch.Source, rollout.Update{Head: next.Head, Sections: good.Sections})
	is.Equal(n.Head().Gen, uint64(2))
	is.Equal(n.Work().Rejected, 3)
}

// Guards against a generation that no source has any more and that blocks the fetch of earlier ones for ever.
func TestLostGeneration(t *testing.T) {
	is := is.New(t)
	n := newRunningNode(is)
	next := plan(is, n.Base(), 2)
	out := n.Announced(now, rollout.Announcement{From: "c", Incarnation: 1, Head: rollout.Head{Gen: 9}})
	is.Equal(out.Fetch.Source.Peer, "c")
	n.SetPeers([]rollout.Peer{{Name: "b", Centre: "0"}}) // c is gone
	n.FetchFailed(now, out.Fetch.ID, "no answer")
	n.PlatformHead(now, now, next.Head)
	out = n.Tick(now.Add(time.Second))
	is.Equal(out.Fetch.Source, rollout.Source{})
	is.Equal(out.Fetch.Request.To, next.Head)
	delta := next.Change.Delta
	u := rollout.Update{Head: next.Head, From: 1, Delta: &delta, Sections: next.Objects[:len(delta.Set)]}
	n.FetchDone(now, out.Fetch.ID, out.Fetch.Source, u)
	is.Equal(n.Head().Gen, uint64(2))
}

// Guards against a late message that undoes a confirmation, and against a confirmation by an earlier process that
// counts for the current process.
func TestConfirmations(t *testing.T) {
	is := is.New(t)
	n := newRunningNode(is)
	has := func(gen uint64) bool {
		in, _ := n.InForce([]string{"b"}, gen)
		return len(in) == 1
	}
	is.True(!has(1))
	n.Confirm("b", 7, 3)
	n.Confirm("b", 7, 2)
	is.True(has(3))
	n.Confirm("b", 8, 1)
	is.True(has(1) && !has(2))
	n.Confirm("b", 7, 4)
	is.True(!has(2))
}

// Guards against a peer that is behind and gets the whole manifest although the changes are known, and against an exact
// change over several generations that is used from a generation within it.
func TestServe(t *testing.T) {
	is := is.New(t)
	n := newRunningNode(is)
	for i := range 5 {
		p := plan(is, n.Base(), 10+i)
		n.Accepted(now, p, uint64(20+i))
	}
	u := n.Serve(rollout.Request{After: 3})
	is.Equal(u.Head.Gen, uint64(6))
	is.Equal(len(u.Delta.Set), 1) // three changes of the same section
	is.Equal(len(u.Sections)+len(u.Patches), 1)
	is.True(u.Manifest == nil)
	u = n.Serve(rollout.Request{})
	is.Equal(len(u.Sections), len(n.Manifest()))
	late := newRunningNode(is) // goes from generation 1 to 6 by the manifest
	out := late.PlatformHead(now, now, n.Head())
	late.FetchDone(now, out.Fetch.ID, out.Fetch.Source, u)
	is.Equal(late.Head(), n.Head())
	u = late.Serve(rollout.Request{After: 3})
	is.True(u.Delta == nil && u.Manifest != nil)
	u = late.Serve(rollout.Request{After: 1})
	is.Equal(len(u.Delta.Set), 1)
}

// Guards against a patch that is applied to a version other than its base, which would give a damaged section, and
// against a peer that then never gets the section.
func TestPatches(t *testing.T) {
	is := is.New(t)
	n, behind := newRunningNode(is), newRunningNode(is)
	for i := range 3 {
		n.Accepted(now, plan(is, n.Base(), 10+i), uint64(20+i))
	}
	for _, gen := range []uint64{1, 3} {
		// The patch leads from generation 3, also if the peer has generation 1 in force.
		u := n.Serve(rollout.Request{After: gen})
		is.Equal(len(u.Patches), 1)
		is.True(len(u.Patches[0].Data) < 100)
	}
	out := behind.PlatformHead(now, now, n.Head())
	out = behind.FetchDone(now, out.Fetch.ID, out.Fetch.Source, n.Serve(out.Fetch.Request))
	is.Equal(behind.Head().Gen, uint64(1))
	is.Equal(len(out.Fetch.Request.Sections), 1) // requests the whole section
	behind.FetchDone(now, out.Fetch.ID, out.Fetch.Source, n.Serve(out.Fetch.Request))
	is.Equal(behind.Head(), n.Head())
	n.Accepted(now, plan(is, n.Base(), 20), 30)
	out = behind.PlatformHead(now, now, n.Head())
	behind.FetchDone(now, out.Fetch.ID, out.Fetch.Source, n.Serve(out.Fetch.Request))
	is.Equal(behind.Head(), n.Head()) // installed from the patch
	is.Equal(behind.Work().Rejected, 0)
}

// Guards against an apply based on an older generation that overwrites a later one, and against a repeat that is not
// recognised.
func TestMake(t *testing.T) {
	is := is.New(t)
	n := newRunningNode(is)
	first := plan(is, n.Base(), 2)
	base := n.Base()
	n.Accepted(now, first, 11)
	later := n.Base()
	later.Changes = []rollout.Change{first.Change}
	edited := base.Fleet
	edited.Hosts[0].Cores = 2
	again, err := rollout.Make(later, rollout.Apply{Fleet: edited, Base: 1, ID: "y"})
	is.NoErr(err)
	is.True(again.Again && again.Head.Gen == 2 && len(again.Commit.Puts) == 0)
	edited.Hosts[0].Cores = 3
	_, err = rollout.Make(later, rollout.Apply{Fleet: edited, Base: 1, ID: "z"})
	is.Equal(err.Error(), "the file is based on generation 1, but generation 2 is accepted; since then: "+
		"changed host h00001: cores from 1 to 2; read the fleet again and repeat the change")
	var c *rollout.Conflict
	is.True(errors.As(err, &c))
	is.Equal(c.Overlap, []string{"changed host h00001: cores from 1 to 2"})
	is.Equal(first.Commit.Checks, []cuminstair.Check{{Key: rollout.HeadKey, Version: base.Head.Version}})
}
