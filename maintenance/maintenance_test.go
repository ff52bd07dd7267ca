package maintenance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/maintenance"
)

var begin = time.Unix(1000, 0)

func wave(hosts ...string) cuminstair.MaintenanceWave {
	return cuminstair.MaintenanceWave{Number: 1, Hosts: hosts, Duration: 20 * time.Second, Limit: 2}
}

func hostList(phase cuminstair.HostPhase, hosts ...string) []cuminstair.HostRecord {
	var out []cuminstair.HostRecord
	for _, h := range hosts {
		out = append(out, cuminstair.HostRecord{Name: h, Phase: phase})
	}
	return out
}

// Guards against more hosts down than the wave allows, counting orders without an answer.
func TestLimit(t *testing.T) {
	is := is.New(t)
	w := maintenance.New(begin, wave("a", "b", "c", "d"), maintenance.Record{})
	is.Equal(len(w.OrderNext(begin, []string{"a", "b", "c"}, time.Second)), 2)
	w.Confirm(begin, "a", true, false)
	w.Confirm(begin, "b", false, false) // no answer: b may be down
	is.Equal(len(w.OrderNext(begin.Add(100*time.Millisecond), []string{"c", "d"}, time.Second)), 0)
	is.Equal(w.Pending(), []string{"b"})
	is.Equal(len(w.OrderNext(begin.Add(2*time.Second), []string{"c", "d"}, time.Second)), 0)             // b is not idle
	is.Equal(w.OrderNext(begin.Add(2*time.Second), []string{"b", "c", "d"}, time.Second), []string{"b"}) // ordered again
	w.Confirm(begin.Add(2*time.Second), "b", false, true)                                                // the first order may still be carried out
	is.Equal(len(w.OrderNext(begin.Add(2*time.Second), []string{"c"}, time.Second)), 0)
	is.Equal(w.OrderNext(begin.Add(3*time.Second), []string{"b", "c"}, time.Second), []string{"b"})
	w.Confirm(begin.Add(3*time.Second), "b", true, false)
	w.Observe(begin.Add(4*time.Second), hostList(cuminstair.PhaseUp, "a", "b", "c", "d"))
	is.Equal(w.OrderNext(begin.Add(4*time.Second), []string{"c"}, time.Second), []string{"c"})
	w.Confirm(begin.Add(4*time.Second), "c", false, true) // all orders for c were refused: it stays up
	is.Equal(w.OrderNext(begin.Add(4*time.Second), []string{"d", "c"}, time.Second), []string{"d", "c"})
}

// Guards against more hosts down than the wave allows: an order of an earlier controller is carried out after that of the next
// one was refused.
func TestRefusalDoesNotCoverOrdersOfAnEarlierController(t *testing.T) {
	is := is.New(t)
	w := maintenance.New(begin, wave("a", "b", "c"), maintenance.Record{Ordered: []string{"a", "b"}})
	is.Equal(len(w.OrderNext(begin, []string{"a", "b", "c"}, time.Second)), 2)
	w.Confirm(begin, "a", false, true)
	is.Equal(len(w.OrderNext(begin, []string{"c"}, time.Second)), 0)
}

// Guards against a wave that is reported completed while a host has not been down, and against a wave that waits for
// ever for a host that no longer exists.
func TestCompleted(t *testing.T) {
	is := is.New(t)
	w := maintenance.New(begin, wave("a", "b"), maintenance.Record{})
	w.Observe(begin, hostList(cuminstair.PhaseUp, "a", "b"))
	is.True(!w.Completed())
	w.OrderNext(begin, []string{"a"}, time.Second)
	w.Confirm(begin.Add(time.Second), "a", true, false)
	w.Observe(begin.Add(500*time.Millisecond), hostList(cuminstair.PhaseUp, "a", "b")) // read before the confirmation
	is.Equal(w.Down(), 1)
	w.Observe(begin.Add(2*time.Second), append(hostList(cuminstair.PhaseMaintenance, "a"), hostList(cuminstair.PhaseUp, "b")...))
	is.Equal(w.Down(), 1)
	w.Observe(begin.Add(4*time.Second), hostList(cuminstair.PhaseUp, "a", "b"))
	is.Equal(w.Down(), 0)
	is.True(!w.Completed())
	w.Observe(begin.Add(5*time.Second), hostList(cuminstair.PhaseUp, "a")) // b no longer exists
	is.True(w.Completed())
}

// Guards against a new controller that takes hosts down a second time.
func TestNextControllerGoesOn(t *testing.T) {
	is := is.New(t)
	w := maintenance.New(begin, wave("a", "b", "c"), maintenance.Record{})
	w.OrderNext(begin, []string{"a"}, time.Second)
	w.Confirm(begin, "a", true, false)
	r, err := maintenance.DecodeRecord(w.EncodeRecord())
	is.NoErr(err)
	next := maintenance.New(begin.Add(time.Second), wave("a", "b", "c"), r)
	is.Equal(next.Down(), 1)
	is.Equal(next.Candidates(func(string) int { return 0 }), []string{"b", "c"})
	_, err = maintenance.DecodeRecord([]byte("{"))
	is.True(err != nil)
}

// Guards against records that can't be read during a rolling upgrade.
func TestRecordsOfOtherVersions(t *testing.T) {
	is := is.New(t)
	for _, data := range []string{`{"begun":["a"]}`, `{"begun":["a"],"fieldOfALaterVersion":["b"]}`} {
		r, err := maintenance.DecodeRecord([]byte(data))
		is.NoErr(err)
		is.Equal(maintenance.New(begin, wave("a", "b"), r).Down(), 1)
	}
}

// Guards against more hosts down than the wave allows after a change of the controller: if the store rejects the writes
// of the earlier controller, hosts that it has ordered are missing from the record.
func TestHostsThatAreDownCount(t *testing.T) {
	is := is.New(t)
	w := maintenance.New(begin, wave("a", "b", "c", "d"), maintenance.Record{})
	w.Observe(begin, append(hostList(cuminstair.PhaseMaintenance, "a", "b"), hostList(cuminstair.PhaseUp, "c", "d")...))
	is.Equal(w.Down(), 2)
	is.Equal(len(w.OrderNext(begin, []string{"c", "d"}, time.Second)), 0)
	w.Observe(begin.Add(2*time.Second), hostList(cuminstair.PhaseUp, "a", "b", "c", "d"))
	is.Equal(w.Down(), 0)
	is.Equal(w.Due(), []string{"a", "b", "c", "d"}) // whether the maintenance of a and b was for this wave is unknown
}

// Guards against a wave that is never reported completed because its controller ended after storing the record and
// before reporting the state.
func TestEndedWaveIsToldAgain(t *testing.T) {
	is := is.New(t)
	w := maintenance.New(begin, wave("a"), maintenance.Record{})
	w.OrderNext(begin, []string{"a"}, time.Second)
	w.Confirm(begin, "a", true, false)
	w.Observe(begin.Add(3*time.Second), hostList(cuminstair.PhaseUp, "a"))
	r, err := maintenance.DecodeRecord(w.EncodeRecord())
	is.NoErr(err)
	is.True(r.Ended)
	is.True(maintenance.New(begin.Add(4*time.Second), wave("a"), r).Completed())
}
