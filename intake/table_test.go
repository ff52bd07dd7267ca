package intake

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

const testMemory = 1000 << 10 // bytes for the requests of callers; a quarter is reserved for small bodies

// newTestTable returns a table and a function that opens a connection of callers.
func newTestTable(t *testing.T, conns int) (*Table, func() *Client) {
	t.Helper()
	l := Limits{Conns: conns, Caps: [groups]int{conns, conns / 2, 1, 1}, Memory: [groups]int64{Callers: testMemory, Peers: testMemory}}
	table := NewTable(l)
	return table, func() *Client {
		c := &Client{}
		if _, ok := table.Open(c, Callers); !ok {
			t.Fatal("no room for a connection")
		}
		return c
	}
}

// Guards against a flood of large bodies that leaves no memory for ordinary jobs.
func TestLargeBodiesLeaveTheReserve(t *testing.T) {
	is := is.New(t)
	table, open := newTestTable(t, 100)
	for range 50 { // as many as arrive at once; none ends
		table.Hold(open(), 50<<10)
	}
	is.Equal(table.pools[0].used[large], int64(750<<10))
	c := open()
	table.Begin(c, 3000)
	victims, ok, done := table.Hold(c, 3000)
	is.True(ok && done) // a small body has room at once
	is.Equal(len(victims), 0)
}

// Guards against memory that is given to a new body before the evicted body has released it.
func TestOldestGivesWayAndCountsUntilReleased(t *testing.T) {
	is := is.New(t)
	table, open := newTestTable(t, 100)
	first, second, third := open(), open(), open()
	for _, c := range []*Client{first, second} {
		_, ok, _ := table.Hold(c, 350<<10)
		is.True(ok)
	}
	victims, _, done := table.Hold(third, 100<<10)
	is.Equal(victims, []*Client{first})
	is.True(!done) // the memory of the first body is still in use
	is.Equal(table.pools[0].used[large], int64(700<<10))
	table.Release(first, 0)
	is.True(<-third.answer)
	is.Equal(table.pools[0].used[large], int64(450<<10))
	_, ok, done := table.Hold(first, 1)
	is.True(!ok && done)            // an evicted request gets no more
	is.True(!table.Complete(first)) // and is not served
}

// Guards against a request that runs although its memory was taken, or is dropped although it runs.
func TestWholeRequestsDoNotGiveWay(t *testing.T) {
	is := is.New(t)
	table, open := newTestTable(t, 100)
	whole := open()
	table.Hold(whole, 700<<10)
	is.True(table.Complete(whole))
	late := open()
	victims, ok, done := table.Hold(late, 100<<10)
	is.True(!ok && done) // refused at once: nothing can be evicted
	is.Equal(len(victims), 0)
	is.True(!table.Wait(late)) // its connection is closed
	is.True(table.Wait(whole))
	_, ok, _ = table.Hold(whole, 100<<10)
	is.True(ok)
}

// Guards against connections without a request that keep others out, and against closing one whose request is served.
func TestConnectionThatWaitedLongestIsClosed(t *testing.T) {
	is := is.New(t)
	table, open := newTestTable(t, 4)
	served, idle, next := open(), open(), open()
	is.True(table.Complete(served))
	table.Wait(idle) // has had a request since the others began to wait
	peer := &Client{}
	_, ok := table.Open(peer, Peers)
	is.True(ok)
	for _, want := range []*Client{next, idle} {
		c := &Client{}
		victim, ok := table.Open(c, Callers)
		is.True(ok)
		is.Equal(victim, want)
		is.True(table.Complete(c))
	}
	_, ok = table.Open(&Client{}, Callers)
	is.True(!ok) // all connections of callers, the largest group, are being served
	is.Equal(table.total, 4)
}

// Guards against memory or a request that is lost in some order of events, with a replay of a flood that sends bodies of
// all sizes, most of which never end.
func TestFloodOfBodies(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	table, open := newTestTable(t, 60)
	clients := make([]*Client, 40)
	for i := range clients {
		clients[i] = open()
	}
	waits := map[*Client]bool{}
	served := 0
	for range 20_000 {
		c := clients[rng.IntN(len(clients))]
		select {
		case <-c.answer:
			waits[c] = false
		default:
		}
		switch {
		case waits[c]:
		case c.evicted:
			table.Close(c)
			*c = Client{}
			table.Open(c, Callers)
		case c.held == 0:
			table.Begin(c, rng.Int64N(2*smallBody))
			_, _, done := table.Hold(c, 1+rng.Int64N(100<<10))
			waits[c] = !done
		case !c.arriving.linked():
			table.Wait(c) // served
		case rng.IntN(10) == 0:
			if table.Complete(c) {
				served++
			}
		default:
			_, _, done := table.Hold(c, c.held+rng.Int64N(100<<10))
			waits[c] = !done
		}
		p := &table.pools[0]
		is.True(p.used[large]+p.used[small] <= p.limit)
		is.True(p.used[large] <= p.largeLimit())
	}
	is.True(served > 0)
	for _, c := range clients {
		table.Close(c)
	}
	p := &table.pools[0]
	is.Equal([3][sizes]int64{p.used, p.leaving, p.asked}, [3][sizes]int64{})
	is.Equal(table.total, 0)
}

// Guards against defaults that a client inside the limits of the pages meets, on the smallest entry host.
func TestLimitsOfTheSmallestHost(t *testing.T) {
	is := is.New(t)
	c := &cuminstair.JobConfig{MaxBody: 262144, MaxHead: 16384}
	for _, memory := range []int64{0, 20 << 20, 184 << 20} {
		l := Derive(memory, 4100, c)
		is.Equal(l.Head, 16384)
		is.True(l.Memory[Callers]*3/4 > l.largest(l.Body))
		is.True(l.Memory[Peers]*3/4 > l.largest(PeerBody))
	}
	is.True(Derive(184<<20, 4100, c).Conns >= 3000)
	is.True(Derive(536<<20, 8192, c).Conns >= 6000)
}
