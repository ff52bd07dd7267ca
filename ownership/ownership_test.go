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

func (w *testStore) put(part, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.version++
	w.records = append(w.records, cuminstair.Record{
		RecordKey: cuminstair.RecordKey{Table: ownership.Table, Part: part, Key: key}, Value: data, Version: w.version,
	})
}

func (w *testStore) heartbeat(name string, ready bool) {
	w.put(ownership.NodePart, name, ownership.Node{Run: name + "1", Addr: name, Weight: 1, Ready: ready, Beat: int64(w.version)})
}

func (w *testStore) setOwner(service, name string) {
	w.put(service, ownership.OwnerKey, ownership.Owner{Name: name, Run: name + "1", Addr: name})
}

func (w *testStore) read(v *ownership.View, now time.Time) { v.Apply(now, w.records) }

// run makes all daemons read the records, and all but dead write heartbeats, for the time d. It returns the time of the
// last round.
func (w *testStore) run(views map[string]*ownership.View, from time.Time, d time.Duration, dead string) time.Time {
	now := from
	for end := from.Add(d); now.Before(end); now = now.Add(500 * time.Millisecond) {
		for name := range views {
			if name != dead {
				w.heartbeat(name, true)
			}
		}
		for _, v := range views {
			w.read(v, now)
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
	w, views := &testStore{}, daemons("a", "b", "c")
	services := []string{"s1", "s2", "s3", "s4", "s5", "s6"}
	now := w.run(views, begin, 3*time.Second, "")
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

// Guards against a daemon that takes services over before it can know of the other daemons.
func TestNothingIsTakenAtOnce(t *testing.T) {
	is := is.New(t)
	w, views := &testStore{}, daemons("a", "b")
	now := w.run(views, begin, 600*time.Millisecond, "")
	is.Equal(len(views["a"].Claims(now, []string{"s1"})), 0)
}

// Guards against a dead owner that keeps its services, and a live one that loses them.
func TestDeadOwnerIsReplaced(t *testing.T) {
	is := is.New(t)
	w, views := &testStore{}, daemons("a", "b", "c")
	now := w.run(views, begin, 3*time.Second, "")
	w.setOwner("s1", "a")
	w.setOwner("s2", "b")
	now = w.run(views, now, 1500*time.Millisecond, "a")
	is.Equal(len(views["c"].Claims(now, []string{"s1", "s2"})), 0) // a may still be alive
	now = w.run(views, now, 3*ownership.HeartbeatInterval, "a")
	is.Equal(views["c"].Claims(now, []string{"s1", "s2"}), []string{"s1"}) // b already owns one
	is.Equal(len(views["b"].Claims(now, []string{"s1", "s2"})), 0)
}

// Guards against a dead owner that is noticed late, and against a live owner that counts as dead because the store is
// slow, or because its heartbeats are lost while its transactions are not.
func TestOwnersAreWatchedClosely(t *testing.T) {
	is := is.New(t)
	beat := func(w *testStore) {
		w.put(ownership.NodePart, "a", ownership.Node{
			Run: "a1", Addr: "a", Weight: 1, Ready: true, Beat: int64(w.version), Every: ownership.OwnerHeartbeatInterval.Milliseconds(),
		})
	}
	for _, c := range []struct {
		name    string
		delay   time.Duration
		commits bool
		dead    bool // 1.8 s after the last heartbeat
	}{
		{"dead", 5 * time.Millisecond, false, true},
		{"slow store", 400 * time.Millisecond, false, false},
		{"only beats are lost", 5 * time.Millisecond, true, false},
	} {
		w, views := &testStore{}, daemons("a", "b")
		now := w.run(views, begin, 3*time.Second, "")
		beat(w)
		w.setOwner("s1", "a")
		views["b"].ObserveLatency(c.delay)
		w.read(views["b"], now)
		for range 6 {
			now = now.Add(300 * time.Millisecond)
			if c.commits {
				w.setOwner("s1", "a")
			}
			w.read(views["b"], now)
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
	w, views := &testStore{}, daemons("a", "b")
	now := w.run(views, begin, 3*time.Second, "")
	w.setOwner("s1", "a")
	w.put(ownership.NodePart, "a", ownership.Node{Run: "a2", Weight: 1, Ready: true})
	w.read(views["b"], now)
	_, live := views["b"].LiveOwner(now, "s1")
	is.True(!live)
}

// Guards against takeovers after an outage of the store, during which no daemon's record changes.
func TestStoreAwayIsNoDeath(t *testing.T) {
	is := is.New(t)
	w, views := &testStore{}, daemons("a", "b")
	now := w.run(views, begin, 3*time.Second, "")
	w.setOwner("s1", "a")
	w.read(views["b"], now)
	now = now.Add(8 * time.Second)
	w.read(views["b"], now) // the first reading after the outage; a has not written yet
	_, live := views["b"].LiveOwner(now, "s1")
	is.True(live)
	is.Equal(len(views["b"].Claims(now, []string{"s1"})), 0)
}

// Guards against a service that is handed over to a daemon that is stopping, or to none.
func TestSuccessor(t *testing.T) {
	is := is.New(t)
	w, views := &testStore{}, daemons("a", "b", "c")
	now := w.run(views, begin, 3*time.Second, "")
	w.setOwner("s1", "a")
	w.heartbeat("b", false)
	w.read(views["a"], now)
	name, _ := views["a"].Successor(now, "s1")
	is.Equal(name, "c")
}

// Guards against a record of an earlier version that replaces a later one, and against undecodable records that are not
// reported.
func TestOldAndBrokenRecords(t *testing.T) {
	is := is.New(t)
	w, views := &testStore{}, daemons("a")
	w.setOwner("s1", "a")
	old := w.records[0]
	w.setOwner("s1", "b")
	w.read(views["a"], begin)
	views["a"].Apply(begin, []cuminstair.Record{old})
	o, version := views["a"].Owner("s1")
	is.Equal(o.Name, "b")
	is.Equal(version, uint64(2))
	bad := old
	bad.Version, bad.Value = 9, []byte("{")
	is.Equal(views["a"].Apply(begin, []cuminstair.Record{bad}), []string{"s1"})
}

// Guards against a service that goes to a daemon with a low weight, and stays there, while one with a high weight has
// capacity: a daemon with a fifth of a core once owned the queue with the highest demand.
func TestStrongDaemonsCarryFirst(t *testing.T) {
	is := is.New(t)
	w, views := &testStore{}, daemons("a", "b", "c")
	now := w.run(views, begin, 3*time.Second, "")
	for name, weight := range map[string]float64{"a": 0.2, "b": 0.2, "c": 0.8} {
		w.put(ownership.NodePart, name, ownership.Node{Run: name + "1", Addr: name, Weight: weight, Ready: true})
	}
	w.setOwner("s1", "a")
	w.setOwner("s2", "c")
	for _, v := range views {
		w.read(v, now)
	}
	is.Equal(views["a"].Peers(now)[0].Addr, "c") // load with one more service: 2.5 on c, 5 on b
	is.True(views["a"].Overloaded(now))          // its load is 5
	is.True(!views["c"].Overloaded(now))
	is.True(!views["b"].Overloaded(now))
}
