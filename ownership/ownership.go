// Package ownership decides which daemon owns which service. Every daemon has a record in the store that it rewrites as
// a heartbeat; a service belongs to the daemon that its owner record names. When that daemon's record stops changing,
// another daemon takes the service over by a conditional write of the owner record. No clocks are compared: the age of
// a record is measured from when the observer saw the record change.
package ownership

import (
	"encoding/json"
	"hash/fnv"
	"sort"
	"time"

	"cuminstair.org/cuminstair"
)

// Table, parts and keys of the ownership records.
const (
	// Table has the records of daemons and owners, so that one request for changes returns both.
	Table = "owner"
	// NodePart is the part of the daemons' records; a service's owner record is in the part of the service.
	NodePart = "@node"
	// HostsPart is the part of the owner record for the control of hosts: their maintenance and moves.
	HostsPart = "@hosts"
	// OwnerKey is the key of an owner record.
	OwnerKey = "owner"
)

// Intervals and age limits of records.
const (
	// HeartbeatInterval is how often a daemon rewrites its record. OwnerHeartbeatInterval applies while it owns
	// services, so that its failure is noticed soon.
	HeartbeatInterval      = time.Second
	OwnerHeartbeatInterval = 300 * time.Millisecond
	// A daemon counts as gone when its record is older than staleBase, plus staleHeartbeats heartbeat intervals, plus
	// staleLatencies times the latency of the store. This allows for two lost writes and the delay of reading.
	staleBase       = 1100 * time.Millisecond
	staleHeartbeats = 2
	staleLatencies  = 3
	// settleTime is how long a daemon only reads records before it takes a service, so that daemons that start together
	// have read each other's records.
	settleTime = 800 * time.Millisecond
	// outdatedAfter is the time without a read of the records after which their ages are not valid.
	outdatedAfter = 1500 * time.Millisecond
)

// Node is the record of a daemon.
type Node struct {
	Run            string  `json:"run"`    // unique for each start of the daemon
	Addr           string  `json:"addr"`   // for calls between daemons
	Centre         string  `json:"centre"` // data centre
	Weight         float64 `json:"weight"` // relative capacity
	Ready          bool    `json:"ready"`  // false: is given no services
	Sequence       int64   `json:"beat"`   // increases with each write
	IntervalMillis int64   `json:"every"`  // milliseconds between writes
	Generation     uint64  `json:"gen"`    // rises with each start of the daemon; 0: it is of an earlier version
}

// Owner is the record of a service's owner.
type Owner struct {
	Name string `json:"name"` // daemon; empty after a release
	Run  string `json:"run"`  // Node.Run of the owner
	Addr string `json:"addr"`
	Seq  int64  `json:"seq"` // increases with each write of the record, also by a new owner
	// Unsettled means that owners before this one may still give orders: they have not confirmed that they stopped, and the
	// time for which they give orders without the store has not passed.
	Unsettled bool `json:"unsettled,omitempty"`
}

// SuccessorMustWait reports whether a successor of the owner has to expect orders of earlier owners, at the time of its takeover.
// version is that of the owner record, 0 if there was none.
func (o Owner) SuccessorMustWait(version uint64) bool {
	return version > 0 && (o.Name != "" || o.Unsettled)
}

type observedNode struct {
	Node
	version     uint64
	changed     time.Time
	unreachable bool // see View.Unreachable
}

// interval returns the time between two heartbeats of the daemon.
func (n *observedNode) interval() time.Duration {
	if n.IntervalMillis > 0 {
		return time.Duration(n.IntervalMillis) * time.Millisecond
	}
	return HeartbeatInterval
}

type observedOwner struct {
	Owner
	version uint64
}

// View is a daemon's view of the records, as read from the store. It must be made with NewView and is not safe for
// concurrent use.
type View struct {
	self      string
	run       string
	nodes     map[string]*observedNode
	owners    map[string]observedOwner
	earlier   uint64        // highest Generation of this daemon's earlier starts
	latency   time.Duration // moving mean of the store's latency; a rise takes effect at once
	lastRead  time.Time     // last successful read
	firstRead time.Time     // first successful read since the start or since the view was last outdated
}

// NewView returns the empty view of a daemon.
func NewView(self, run string) *View {
	return &View{self: self, run: run, nodes: map[string]*observedNode{}, owners: map[string]observedOwner{}}
}

// Apply adds records of Table, in the order of their versions, that were read at now. It returns the parts of records
// that can't be decoded. After a longer gap than outdatedAfter between two reads, the ages of all records start anew.
func (v *View) Apply(now time.Time, records []cuminstair.Record) (bad []string) {
	if v.firstRead.IsZero() {
		v.firstRead = now
	}
	if !v.lastRead.IsZero() && now.Sub(v.lastRead) > outdatedAfter {
		for _, n := range v.nodes {
			n.changed = now
		}
		v.firstRead = now
	}
	v.lastRead = now
	for _, r := range records {
		if err := v.apply(now, r); err != nil {
			bad = append(bad, r.Part)
		}
	}
	return bad
}

func (v *View) apply(now time.Time, r cuminstair.Record) error {
	if r.Part == NodePart {
		old := v.nodes[r.Key]
		if old != nil && r.Version <= old.version {
			return nil
		}
		if r.Deleted {
			delete(v.nodes, r.Key)
			return nil
		}
		n := &observedNode{version: r.Version, changed: now}
		if err := json.Unmarshal(r.Value, &n.Node); err != nil {
			return err
		}
		if r.Key == v.self && n.Run != v.run {
			v.earlier = max(v.earlier, n.Generation)
		}
		if old != nil && n.Generation > 0 && n.Generation < old.Generation {
			return nil // the store carried out a heartbeat of an earlier start late
		}
		v.nodes[r.Key] = n
		return nil
	}
	if r.Key != OwnerKey || r.Version <= v.owners[r.Part].version {
		return nil
	}
	o := observedOwner{version: r.Version}
	if !r.Deleted {
		if err := json.Unmarshal(r.Value, &o.Owner); err != nil {
			return err
		}
	}
	v.owners[r.Part] = o
	// An owner rewrites the owner record of a service with every transaction, so a change shows that the owner is alive.
	if n := v.nodes[o.Name]; n != nil && n.Run == o.Run {
		n.changed, n.unreachable = now, false
	}
	return nil
}

// ObserveLatency records how long a successful call to the store took. A slow store makes the records of all daemons
// look older.
func (v *View) ObserveLatency(t time.Duration) {
	if t > v.latency {
		v.latency = t
		return
	}
	v.latency += (t - v.latency) / 4
}

// staleAfter is the age of a daemon's record at which the daemon counts as gone.
func (v *View) staleAfter(n *observedNode) time.Duration {
	return staleBase + staleHeartbeats*n.interval() + staleLatencies*v.latency
}

// Generation returns the Generation of this daemon's record. The records must have been read once.
func (v *View) Generation() uint64 { return v.earlier + 1 }

// Owner returns the owner record of a service and its version, 0 if there is none.
func (v *View) Owner(service string) (Owner, uint64) {
	o := v.owners[service]
	return o.Owner, o.version
}

// alive reports whether the last observed write of a daemon is more recent than staleAfter. If run isn't empty, it must
// identify the daemon's current start.
func (v *View) alive(now time.Time, name, run string) bool {
	n := v.nodes[name]
	return n != nil && !n.unreachable && (run == "" || n.Run == run) && now.Sub(n.changed) < v.staleAfter(n)
}

// LiveOwner returns the owner of a service, or false if there is none that is alive.
func (v *View) LiveOwner(now time.Time, service string) (Owner, bool) {
	o, ok := v.owners[service]
	if !ok || o.Name == "" || !v.alive(now, o.Name, o.Run) {
		return Owner{}, false
	}
	return o.Owner, true
}

// Outdated reports whether the last read is too long ago for the ages of records to be valid.
func (v *View) Outdated(now time.Time) bool { return now.Sub(v.lastRead) > outdatedAfter }

// Restarted reports whether a daemon has been restarted since the start that is identified by run, and that wrote a record
// with the given version. An older record of the daemon proves nothing: it may be of the start before.
func (v *View) Restarted(name, run string, version uint64) bool {
	n := v.nodes[name]
	return n != nil && n.Run != run && n.version > version
}

// Claims returns those of the given services that this daemon should take over now.
func (v *View) Claims(now time.Time, services []string) []string {
	if v.firstRead.IsZero() || now.Sub(v.firstRead) < settleTime || v.Outdated(now) {
		return nil
	}
	var mine []string
	for service, to := range v.assign(now, services, "") {
		if to == v.self {
			mine = append(mine, service)
		}
	}
	sort.Strings(mine)
	return mine
}

// Successor returns the daemon that should take over a service when this one releases it, or "".
func (v *View) Successor(now time.Time, service string) (string, Node) {
	name := v.assign(now, []string{service}, v.self)[service]
	if name == "" {
		return "", Node{}
	}
	return name, v.nodes[name].Node
}

// assign gives each service without a live owner to the ready daemon with the least load for its weight; a hash of the
// service and the daemon breaks ties. Suspected daemons, and those of the data centre of a suspected owner, get a service
// only if there is no other daemon. The daemon exclude gets none, and services that it owns count as having no owner.
// Daemons that see the same records get the same result.
func (v *View) assign(now time.Time, services []string, exclude string) map[string]string {
	counts := v.serviceCounts(now)
	var unowned []string
	for _, service := range services {
		if o, ok := v.LiveOwner(now, service); ok && o.Name != exclude {
			continue
		}
		unowned = append(unowned, service)
	}
	sort.Strings(unowned)
	result := map[string]string{}
	for _, service := range unowned {
		if best := v.leastLoaded(now, service, exclude, counts); best != "" {
			result[service] = best
			counts[best]++
		}
	}
	return result
}

func (v *View) leastLoaded(now time.Time, service, exclude string, counts map[string]float64) string {
	silent := v.silentCentre(now, service)
	best, lowest, bestHash, bestDoubtful := "", 0.0, uint64(0), false
	for name, n := range v.nodes {
		if name == exclude || !n.Ready || !v.alive(now, name, "") {
			continue
		}
		doubtful := v.suspected(now, name) || (silent != "" && n.Centre == silent)
		load := v.load(name, counts)
		h := hash(service, name)
		better := load < lowest || (load == lowest && h > bestHash)
		if doubtful != bestDoubtful {
			better = bestDoubtful
		}
		if best == "" || better {
			best, lowest, bestHash, bestDoubtful = name, load, h, doubtful
		}
	}
	return best
}

func hash(service, name string) uint64 {
	h := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(service + "\x00" + name))
	return h.Sum64()
}

// Peers returns the other ready daemons that are alive, the lowest load for their weight first. If the view is outdated,
// it returns those that were alive at the last read.
func (v *View) Peers(now time.Time) []Node {
	if v.Outdated(now) {
		now = v.lastRead
	}
	counts := v.serviceCounts(now)
	var names []string
	for name, n := range v.nodes {
		if name != v.self && n.Ready && v.alive(now, name, "") {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := v.load(names[i], counts), v.load(names[j], counts)
		if a != b {
			return a < b
		}
		return hash(v.self, names[i]) < hash(v.self, names[j])
	})
	nodes := make([]Node, len(names))
	for i, name := range names {
		nodes[i] = v.nodes[name].Node
	}
	return nodes
}

// serviceCounts returns the number of services of each live daemon.
func (v *View) serviceCounts(now time.Time) map[string]float64 {
	n := map[string]float64{}
	for service := range v.owners {
		if o, ok := v.LiveOwner(now, service); ok {
			n[o.Name]++
		}
	}
	return n
}

// load returns the load that a daemon would have with one more service: its number of services plus one, divided by its
// weight.
func (v *View) load(name string, counts map[string]float64) float64 {
	return (counts[name] + 1) / max(0.01, v.nodes[name].Weight)
}

// HasHighestWeight reports whether no other ready, live daemon has a higher weight than this daemon.
func (v *View) HasHighestWeight(now time.Time) bool {
	own, ok := v.nodes[v.self]
	if !ok {
		return false
	}
	for name, n := range v.nodes {
		if n.Ready && n.Weight > own.Weight && v.alive(now, name, "") {
			return false
		}
	}
	return true
}

// Overloaded reports whether another ready daemon, with one more service, would have at most half the load of this
// daemon.
func (v *View) Overloaded(now time.Time) bool {
	own, ok := v.nodes[v.self]
	if !ok || v.Outdated(now) || now.Sub(v.firstRead) < settleTime {
		return false
	}
	counts := v.serviceCounts(now)
	load := counts[v.self] / max(0.01, own.Weight)
	for name, n := range v.nodes {
		if name != v.self && n.Ready && v.alive(now, name, "") && v.load(name, counts)*2 <= load {
			return true
		}
	}
	return false
}
