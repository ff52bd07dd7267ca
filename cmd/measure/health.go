package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/health"
	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/upstream"
)

const (
	// selectionsPerSecond is how often a daemon selects the hosts to check: daemon.checkInterval is 1 s.
	selectionsPerSecond = 1
	// maxChecks bounds the checks that a daemon makes in a second, like daemon.checkRate.
	maxChecks = 4
	// healthPassesPerSecond is how often a daemon reads the health of all its hosts: node.shareInterval is 200 ms.
	healthPassesPerSecond = 5
	// checkPackets is the number of packets of a check on a new connection: SYN, SYN-ACK, ACK, request, ACK, answer,
	// ACK, and three to close. Each has 52 bytes of IPv4 and TCP headers with a time stamp option.
	checkPackets = 10
	packetHeader = 52
	checkCount   = 200
)

// countingListener counts the bytes of all its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, bytes: &l.bytes}, nil
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn. It counts before it writes, since the peer may answer and the caller may read the total
// before Write returns.
func (c countingConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func listen(ctx context.Context) (*countingListener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return &countingListener{Listener: l}, nil
}

// checkCost is the cost of one active check.
type checkCost struct {
	content int           // bytes of the request and the answer
	took    time.Duration // includes the stand-in for the upstream, which runs in the same process
}

// measureCheck averages checkCount checks of a stand-in for an upstream over loopback.
func measureCheck(ctx context.Context) (checkCost, error) {
	l, err := listen(ctx)
	if err != nil {
		return checkCost{}, err
	}
	server := &instance.Server{Timer: clock}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	s := &upstream.Sender{Timer: clock}
	u := &cuminstair.Upstream{Host: "h", Service: service, Addr: l.Addr().String(), Slots: 8, Conns: 64}
	begin := clock.Now()
	for range checkCount {
		if ok, _ := s.Check(ctx, u); !ok {
			return checkCost{}, fmt.Errorf("check %s: no answer", u.Addr)
		}
	}
	took := clock.Now().Sub(begin) / checkCount
	return checkCost{content: int(l.bytes.Load() / checkCount), took: took}, nil
}

// measureHealthPass returns the time of one pass over the health of hosts. node.Node makes such a pass to collect
// the health states that it sends to its peers.
func measureHealthPass(hosts int) time.Duration {
	var m health.Monitor
	names := make([]string, hosts)
	for i := range names {
		names[i] = fmt.Sprintf("h%05d", i)
		m.Probe(epoch, names[i], true, false)
	}
	m.SetGroup(service, names)
	return wallTime(5, func() {
		for _, name := range names {
			m.OwnState(epoch, name)
		}
	})
}

// measureAssignment returns the time to find the hosts that one daemon has to check, and the largest number of such
// hosts in a sample of up to 5 daemons.
func measureAssignment(hosts, daemons int) (took time.Duration, maxHosts int) {
	rng := rand.New(rand.NewPCG(1, 4))
	names := make([]string, daemons)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%03d", i)
	}
	count := func(self string) int {
		n := 0
		for i := range hosts {
			if health.ChecksHost(fmt.Sprintf("h%05d", i), names, self) {
				n++
			}
		}
		return n
	}
	for range min(daemons, 5) {
		maxHosts = max(maxHosts, count(names[rng.IntN(daemons)]))
	}
	return wallTime(3, func() { count(names[0]) }), maxHosts
}

func measureHealth(ctx context.Context, r *report) error {
	check, err := measureCheck(ctx)
	if err != nil {
		return err
	}
	wire := check.content + checkPackets*packetHeader
	r.printf("one check: %d bytes of HTTP, %d with %d packet headers (computed), %s%s with both ends\n",
		check.content, wire, checkPackets, check.took.Round(time.Microsecond), wall)
	var rows [][]string
	for _, daemons := range []int{3, 9, 20, 40} {
		for _, hosts := range routeSizes {
			took, maxHosts := measureAssignment(hosts, daemons)
			perDaemon := float64(hosts) / float64(daemons)
			checks := min(perDaemon, maxChecks)
			pass := measureHealthPass(hosts)
			if hosts == 4000 {
				r.record("check bytes", daemons, checks*float64(wire))
				r.record("check core", daemons, 100*checks*check.took.Seconds())
				r.record("health core", daemons, 100*(took.Seconds()*selectionsPerSecond+pass.Seconds()*healthPassesPerSecond))
			}
			rows = append(rows, cells(hosts, daemons, maxHosts, perDaemon/checks, checks*float64(wire)/1000,
				100*took.Seconds()*selectionsPerSecond, 100*pass.Seconds()*healthPassesPerSecond,
				100*checks*check.took.Seconds()))
		}
	}
	r.table("active checks of one daemon; hosts and daemons of one data centre", []string{
		"hosts", "daemons", "own hosts most", "s between checks of a host", "checks KB/s", "choice % core" + wall, "tell % core" + wall, "checks % core" + wall,
	}, rows)
	return nil
}
