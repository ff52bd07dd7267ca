package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/control"
	"cuminstair.org/cuminstair/rollout"
	"cuminstair.org/cuminstair/standin/table"
	"cuminstair.org/cuminstair/tables"
	"cuminstair.org/cuminstair/timer"
	"cuminstair.org/cuminstair/wave"
)

const (
	// registrationReadsPerSecond is the rate at which a daemon reads the registrations: node.registerInterval is 5 s.
	registrationReadsPerSecond = 0.2
	// requestPackets is the least number of packets of a request on an open connection: request, answer and ACK.
	requestPackets = 3
	// waveLimit is the Wave.Limit of the measured wave, the same as in the test of package wave.
	waveLimit = 16

	tableWarm = 30 * time.Second
	tableRun  = 5 * time.Minute
)

// entryCases are the numbers of entry hosts in 7 data centres for which docs/CAPACITY.md gives figures.
var entryCases = []int{21, 50, 100, 280}

// tableCost is the load of the controls on the platform.
type tableCost struct {
	holder, follower     float64       // reads a second of one holder and of one follower
	idleWrites           float64       // commits a second of one holder without planned work
	done                 int           // hosts maintained in tableRun
	commits, rows, bytes float64       // for each host maintained, without the writes for leases
	actions, confirms    float64       // calls for each host maintained
	maxCommits           int           // of all data centres together, in the second with the most commits
	took                 time.Duration // wall-clock time of tableRun for all controls
}

// total adds up the counts of all controls, except their reads.
func (s *controlSim) total() counts {
	var out counts
	for _, c := range s.controls {
		out.commits += c.commits
		out.rows += c.rows
		out.bytes += c.bytes
		out.actions += c.actions
		out.confirms += c.confirms
	}
	return out
}

// measureControls runs all controls for tableWarm without planned work, then for tableRun with a wave.
func measureControls(hosts int) (tableCost, error) {
	f := fleetWithWave(hosts, waveLimit)
	f.Waves[0].Hold = true
	s := newControlSim(f, 1)
	centres := len(f.Centres)
	s.v.Advance(tableWarm)
	s.reset()
	s.v.Advance(tableWarm)
	out := tableCost{
		holder:     float64(s.controls[0].reads) / tableWarm.Seconds(),
		follower:   float64(s.controls[centres].reads) / tableWarm.Seconds(),
		idleWrites: float64(s.controls[0].commits) / tableWarm.Seconds(),
	}
	idle := s.total()
	if err := s.controls[0].OrderWave(context.Background(), f.Waves[0].Name, "start"); err != nil {
		return out, fmt.Errorf("start wave: %w", err)
	}
	s.reset()
	before := 0
	out.took = wallTime(1, func() {
		for range int(tableRun / time.Second) {
			s.v.Advance(time.Second)
			commits := s.total().commits
			out.maxCommits = max(out.maxCommits, commits-before)
			before = commits
		}
	})
	out.done = s.maintainedHosts(centres)
	if out.done == 0 {
		return out, fmt.Errorf("no host of %d was maintained in %s", hosts, tableRun)
	}
	sum := s.total()
	leases := out.idleWrites * float64(centres) * tableRun.Seconds()
	n := float64(out.done)
	out.commits, out.rows = (float64(sum.commits)-leases)/n, (float64(sum.rows)-leases)/n
	out.bytes = (float64(sum.bytes) - float64(idle.bytes)*tableRun.Seconds()/tableWarm.Seconds()) / n
	out.actions = float64(sum.actions) / n
	out.confirms = float64(sum.confirms) / n
	return out, s.err
}

func measureTable(ctx context.Context, r *report) error {
	var rows [][]string
	var last tableCost
	for _, h := range fleetSizes {
		c, err := measureControls(h)
		if err != nil {
			return err
		}
		r.record("follower reads", 0, c.follower)
		r.record("holder reads", 0, c.holder)
		rows = append(rows, cells(h, c.holder, c.follower, c.idleWrites, c.done, float64(c.done)*day.Hours()/tableRun.Hours(),
			c.commits, c.rows, c.bytes, c.actions, c.confirms, c.maxCommits, c.took.Round(time.Millisecond)))
		last = c
		// The time covers 8 controls at 28,000 hosts: a holder in each of 7 data centres and a follower.
		r.record("control core", h, 100*c.took.Seconds()/tableRun.Seconds()/8)
	}
	r.table(fmt.Sprintf("controls of all data centres, a wave with limit %d over all pools for %s", waveLimit, tableRun), []string{
		"hosts", "holder reads/s", "follower reads/s", "holder writes/s idle", "done", "done/day", "commits/host", "rows/host",
		"value bytes/host", "actions/host", "rounds of questions/host", "commits in worst s", "all controls" + wall,
	}, rows)
	measureReads(r, last)
	return measureRequestBytes(ctx, r)
}

// measureReads computes the reads of all daemons with one lease holder in each of 7 data centres, and the writes with
// 2,000 hosts maintained and changesPerDay changes a day.
func measureReads(r *report, c tableCost) {
	var rows [][]string
	for _, n := range entryCases {
		head := headReads(n)
		perDaemon := c.follower + registrationReadsPerSecond + head
		total := float64(n)*perDaemon + 7*(c.holder-c.follower)
		rows = append(rows, cells(n, head, perDaemon, c.holder+registrationReadsPerSecond+head, total, total/2000*100))
	}
	r.table("reads of the table service by all daemons of 7 data centres", []string{
		"entry daemons", "head reads/s each", "reads/s each", "holder", "reads/s all", "% of 2,000/s",
	}, rows)
	writes := 2000*c.commits/day.Seconds() + 7*c.idleWrites + float64(changesPerDay)/day.Seconds()
	r.printf("writes: %.2f/s with 2,000 hosts maintained and 19,000 changes a day, leases of 7 data centres included\n", writes)
}

// headReads returns the mean rate at which one of the daemons reads the head, in reads a second over 60 s.
func headReads(daemons int) float64 {
	s := newConfigSim(daemons, 7)
	s.v.Advance(time.Minute)
	total := 0
	for _, d := range s.daemons {
		total += d.reads
	}
	return float64(total) / float64(daemons) / 60
}

// httpPlatform is the stand-in of the platform with an HTTP server and a client on loopback.
type httpPlatform struct {
	service *table.Service
	client  *tables.Client
	l       *countingListener
	server  *http.Server
}

func newHTTPPlatform(ctx context.Context) (*httpPlatform, error) {
	l, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	p := &httpPlatform{service: &table.Service{Timer: timer.NewVirtual(epoch)}, l: l}
	p.server = &http.Server{Handler: p.service.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = p.server.Serve(l) }()
	p.client = &tables.Client{
		Base: "http://" + l.Addr().String(), Timer: clock, Rand: rand.New(rand.NewPCG(1, 6)), HTTP: &http.Client{},
		Reads: 1e6, Writes: 1e6, Timeout: 20 * time.Second,
	}
	return p, nil
}

// bytes returns the size of a request and its answer with packet headers. It assumes requestPackets packets, plus one
// for each 1,448 bytes of content (a packet of 1,500 bytes less packetHeader). It calls fn twice and counts the second
// call.
func (p *httpPlatform) bytes(fn func() error) (int, error) {
	if err := fn(); err != nil { // opens the connection
		return 0, err
	}
	before := p.l.bytes.Load()
	err := fn()
	content := int(p.l.bytes.Load() - before)
	return content + (requestPackets+content/1448)*packetHeader, err
}

func (p *httpPlatform) rows(ctx context.Context, prefix string, since uint64) (int, error) {
	return p.bytes(func() error {
		_, _, err := p.client.Rows(ctx, prefix, since)
		return err
	})
}

// put writes count rows below prefix, all with the same value.
func (p *httpPlatform) put(prefix string, count int, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	for i := range count {
		put := cuminstair.Put{Key: fmt.Sprintf("%sentry-%05d", prefix, i), Value: data}
		commit := cuminstair.Commit{ID: fmt.Sprintf("entry-001-c5jk3f9a2b1-%05d", i), Puts: []cuminstair.Put{put}}
		if _, err := p.service.Commit(context.Background(), commit); err != nil {
			return fmt.Errorf("write row: %w", err)
		}
	}
	return nil
}

// registration has the same JSON form as the row that an entry daemon writes (package node).
type registration struct {
	Centre string `json:"centre"`
	Addr   string `json:"addr"`
	Start  uint64 `json:"start"`
}

func measureRequestBytes(ctx context.Context, r *report) error {
	p, err := newHTTPPlatform(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = p.server.Close() }()
	head := cuminstair.Put{Key: rollout.HeadKey, Value: rollout.Encode(rollout.Head{Gen: 19000})}
	if _, err := p.service.Commit(ctx, cuminstair.Commit{ID: "entry-001-c5jk3f9a2b1-1", Puts: []cuminstair.Put{head}}); err != nil {
		return fmt.Errorf("write head: %w", err)
	}
	headBytes, err := p.rows(ctx, rollout.HeadKey, 0)
	if err != nil {
		return err
	}
	empty, err := p.rows(ctx, wave.HostPrefix, 1)
	if err != nil {
		return err
	}
	r.printf("bytes of one read, packet headers computed: %d without rows, %d of the head\n", empty, headBytes)
	follow, hold := r.figure("follower reads", 0)*float64(empty), r.figure("holder reads", 0)*float64(empty)
	r.record("follow bytes", 0, follow)
	r.record("hold bytes", 0, hold)
	r.printf("following without changes: %.0f bytes/s of a follower, %.0f of a holder, the list left out\n",
		follow, hold)
	return p.measureLists(ctx, r, empty)
}

// measureLists measures the answers that grow with the fleet: the size of the first read, and the bytes a second of
// further reads without changes. empty is the size of a read without rows.
func (p *httpPlatform) measureLists(ctx context.Context, r *report, empty int) error {
	var rows [][]string
	written := 0
	for _, n := range entryCases {
		value := registration{Centre: "centre1", Addr: "10.1.0.10:7000", Start: 1764806400000000000}
		if err := p.put("entry/", n-written, value); err != nil {
			return err
		}
		written = n
		bytes, err := p.rows(ctx, "entry/", 0)
		if err != nil {
			return err
		}
		r.record("register bytes", n, float64(empty)*registrationReadsPerSecond)
		rows = append(rows, cells(n, bytes, float64(empty)*registrationReadsPerSecond))
	}
	r.table("reading the registrations", []string{"entry daemons", "first read bytes", "then bytes/s of one daemon"}, rows)
	rows = nil
	listed := 0
	for _, h := range fleetSizes {
		for ; listed < h; listed++ {
			p.service.AddHosts(table.Host{Name: fmt.Sprintf("h%05d", listed+1), Centre: "centre1", Rack: "r1", Role: "upstream"})
		}
		bytes, err := p.bytes(func() error {
			_, err := p.client.Hosts(ctx)
			return err
		})
		if err != nil {
			return err
		}
		r.record("list bytes", h, float64(bytes)/control.ListEvery.Seconds())
		rows = append(rows, cells(h, bytes, float64(bytes)/control.ListEvery.Seconds()))
	}
	r.table("reading the list of hosts, by each holder of a lease", []string{"hosts", "bytes without changes", "bytes/s of one holder"}, rows)
	return nil
}
