package ownership_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ownership"
)

var begin = time.Unix(1000, 0)

// testStore has the records that several daemons read.
type testStore struct {
	version uint64
	records []cuminstair.Record
}

func (store *testStore) put(part, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.version++
	store.records = append(store.records, cuminstair.Record{
		RecordKey: cuminstair.RecordKey{Table: ownership.Table, Part: part, Key: key}, Value: data, Version: store.version,
	})
}

func (store *testStore) heartbeat(name string, ready bool) {
	store.put(ownership.NodePart, name, ownership.Node{Run: name + "1", Addr: name, Weight: 1, Ready: ready, Sequence: int64(store.version)})
}

func (store *testStore) setOwner(service, name string) {
	store.put(service, ownership.OwnerKey, ownership.Owner{Name: name, Run: name + "1", Addr: name})
}

func (store *testStore) read(v *ownership.View, now time.Time) { v.Apply(now, store.records) }

// run makes all daemons read the records every 500 ms for the time d, and all daemons except dead write heartbeats. It
// returns the time of the last round.
func (store *testStore) run(views map[string]*ownership.View, from time.Time, d time.Duration, dead string) time.Time {
	now := from
	for end := from.Add(d); now.Before(end); now = now.Add(500 * time.Millisecond) {
		for name := range views {
			if name != dead {
				store.heartbeat(name, true)
			}
		}
		for _, v := range views {
			store.read(v, now)
		}
	}
	return now.Add(-500 * time.Millisecond)
}

func daemons(names ...string) map[string]*ownership.View {
	views := map[string]*ownership.View{}
	for _, n := range names {
		views[n] = ownership.NewView(n, n+"1")
	}
	return views
}

// Guards against services that no daemon or two daemons take over, and against services that all go to one daemon.
func TestServicesAreSpreadOnce(t *testing.T) {
	is := is.New(t)
	store, views := &testStore{}, daemons("a", "b", "c")
	services := []string{"s1", "s2", "s3", "s4", "s5", "s6"}
	now := store.run(views, begin, 3*time.Second, "")
	taken := map[string]string{}
	for name, v := range views {
		claims := v.Claims(now, services)
		is.Equal(len(claims), 2)
		for _, s := range claims {
			is.Equal(taken[s], "")
			taken[s] = name
		}
	}
	is.Equal(len(taken), len(services))
}

// Guards against a daemon that takes services over before it has read the records of the other daemons.
func TestNothingIsTakenAtOnce(t *testing.T) {
	is := is.New(t)
	store, views := &testStore{}, daemons("a", "b")
	now := store.run(views, begin, 600*time.Millisecond, "")
	is.Equal(len(views["a"].Claims(now, []string{"s1"})), 0)
}

// Guards against a dead owner that keeps its services, and a live owner that loses its services.
func TestDeadOwnerIsReplaced(t *testing.T) {
	is := is.New(t)
	store, views := &testStore{}, daemons("a", "b", "c")
	now := store.run(views, begin, 3*time.Second, "")
	store.setOwner("s1", "a")
	store.setOwner("s2", "b")
	now = store.run(views, now, 1500*time.Millisecond, "a")
	is.Equal(len(views["c"].Claims(now, []string{"s1", "s2"})), 0) // a may still be alive
	now = store.run(views, now, 3*ownership.HeartbeatInterval, "a")
	is.Equal(views["c"].Claims(now, []string{"s1", "s2"}), []string{"s1"}) // b already owns a service
	is.Equal(len(views["b"].Claims(now, []string{"s1", "s2"})), 0)
}

// Guards against a dead owner that is noticed late, and against a live owner that counts as dead because the store is
// slow, or because its heartbeats are lost while its transactions are not.
func TestOwnersAreWatchedClosely(t *testing.T) {
	is := is.New(t)
	ownerHeartbeat := func(store *testStore) {
		store.put(ownership.NodePart, "a", ownership.Node{
			Run: "a1", Addr: "a", Weight: 1, Ready: true, Sequence: int64(store.version), IntervalMillis: ownership.OwnerHeartbeatInterval.Milliseconds(),
		})
	}
	for _, c := range []struct {
		name         string
		delay        time.Duration
		ownerCommits bool // the owner's transactions still rewrite its owner record
		dead         bool // whether the owner counts as dead 1.8 s after its last heartbeat
	}{
		{"dead", 5 * time.Millisecond, false, true},
		{"slow store", 400 * time.Millisecond, false, false},
		{"only heartbeats are lost", 5 * time.Millisecond, true, false},
	} {
		store, views := &testStore{}, daemons("a", "b")
		now := store.run(views, begin, 3*time.Second, "")
		ownerHeartbeat(store)
		store.setOwner("s1", "a")
		views["b"].ObserveLatency(c.delay)
		store.read(views["b"], now)
		for range 6 {
			now = now.Add(300 * time.Millisecond)
			if c.ownerCommits {
				store.setOwner("s1", "a")
			}
			store.read(views["b"], now)
		}
		_, live := views["b"].LiveOwner(now, "s1")
		if live == c.dead {
			t.Errorf("%s: owner counts as live: %v", c.name, live)
		}
	}
	is.True(ownership.OwnerHeartbeatInterval < ownership.HeartbeatInterval)
}

// Guards against a restarted owner that counts as the owner although it has lost the state of its earlier start.
func TestRestartedOwnerOwnsNothing(t *testing.T) {
	is := is.New(t)
	store, views := &testStore{}, daemons("a", "b")
	now := store.run(views, begin, 3*time.Second, "")
	store.setOwner("s1", "a")
	store.put(ownership.NodePart, "a", ownership.Node{Run: "a2", Weight: 1, Ready: true})
	store.read(views["b"], now)
	_, live := views["b"].LiveOwner(now, "s1")
	is.True(!live)
}

// Guards against takeovers after an outage of the store, during which no daemon's record changes.
func TestStoreAwayIsNoDeath(t *testing.T) {
	is := is.New(t)
	store, views := &testStore{}, daemons("a", "b")
	now := store.run(views, begin, 3*time.Second, "")
	store.setOwner("s1", "a")
	store.read(views["b"], now)
	now = now.Add(8 * time.Second)
	store.read(views["b"], now) // the first read after the outage; a has not written yet
	_, live := views["b"].LiveOwner(now, "s1")
	is.True(live)
	is.Equal(len(views["b"].Claims(now, []string{"s1"})), 0)
}

// Guards against a service that is handed over to a daemon that is stopping, or to none.
func TestSuccessor(t *testing.T) {
	is := is.New(t)
	store, views := &testStore{}, daemons("a", "b", "c")
	now := store.run(views, begin, 3*time.Second, "")
	store.setOwner("s1", "a")
	store.heartbeat("b", false)
	store.read(views["a"], now)
	name, _ := views["a"].Successor(now, "s1")
	is.Equal(name, "c")
}

// Guards against a record of an earlier version that replaces a later one, and against undecodable records that are not
// reported.
func TestOldAndBrokenRecords(t *testing.T) {
	is := is.New(t)
	store, views := &testStore{}, daemons("a")
	store.setOwner("s1", "a")
	old := store.records[0]
	store.setOwner("s1", "b")
	store.read(views["a"], begin)
	views["a"].Apply(begin, []cuminstair.Record{old})
	o, version := views["a"].Owner("s1")
	is.Equal(o.Name, "b")
	is.Equal(version, uint64(2))
	bad := old
	bad.Version, bad.Value = 9, []byte("{")
	is.Equal(views["a"].Apply(begin, []cuminstair.Record{bad}), []string{"s1"})
}

// Guards against a daemon with a low weight that is given a service, or keeps one, while a daemon with a high weight has
// capacity.
func TestStrongDaemonsCarryFirst(t *testing.T) {
	is := is.New(t)
	store, views := &testStore{}, daemons("a", "b", "c")
	now := store.run(views, begin, 3*time.Second, "")
	for name, weight := range map[string]float64{"a": 0.2, "b": 0.2, "c": 0.8} {
		store.put(ownership.NodePart, name, ownership.Node{Run: name + "1", Addr: name, Weight: weight, Ready: true})
	}
	store.setOwner("s1", "a")
	store.setOwner("s2", "c")
	for _, v := range views {
		store.read(v, now)
	}
	is.Equal(views["a"].Peers(now)[0].Addr, "c") // load with one more service: 2.5 on c, 5 on b
	is.True(views["a"].Overloaded(now))          // the load of a is 5
	is.True(!views["c"].Overloaded(now))
	is.True(!views["b"].Overloaded(now))
}

// Guards against taking a daemon for restarted because an old record of it is known: its present start would not be told to
// stop and would go on giving orders.
func TestOldRecordProvesNoRestart(t *testing.T) {
	is := is.New(t)
	v := ownership.NewView("a", "a1")
	record := func(version uint64, run string) cuminstair.Record {
		data, err := json.Marshal(ownership.Node{Run: run, Addr: "b", Ready: true})
		is.NoErr(err)
		key := cuminstair.RecordKey{Table: ownership.Table, Part: ownership.NodePart, Key: "b"}
		return cuminstair.Record{RecordKey: key, Value: data, Version: version}
	}
	v.Apply(begin, []cuminstair.Record{record(3, "b1")})
	is.True(!v.Restarted("b", "b2", 5)) // the owner record of b2 is newer
	v.Apply(begin, []cuminstair.Record{record(6, "b3")})
	is.True(v.Restarted("b", "b2", 5))
}
