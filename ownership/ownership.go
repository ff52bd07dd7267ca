// Package ownership decides which daemon owns which service. Every daemon keeps a record in the store that it rewrites
// again and again; a service belongs to the daemon that its owner record names. When that daemon's record stops
// changing, another takes the service by a conditional write of the owner record. No clocks are compared: a record's age
// counts from when the observer saw it change.
package ownership

import (
	"encoding/json"
	"hash/fnv"
	"sort"
	"time"

	"cuminstair.org/cuminstair"
)

// Records of ownership.
const (
	// Table has the records of daemons and owners, so that one list of changes shows both.
	Table = "owner"
	// NodePart is the part of the daemons' records; a service's owner record lies in the part of the service.
	NodePart = "@node"
	// HostsPart is the part of the owner record of maintenance and moves of hosts.
	HostsPart = "@hosts"
	// OwnerKey is the key of an owner record.
	OwnerKey = "owner"
)

// Times of records.
const (
	// BeatEvery is how often a daemon rewrites its record, OwnerBeatEvery while it owns services, so that its death is
	// noticed soon.
	BeatEvery      = time.Second
	OwnerBeatEvery = 300 * time.Millisecond
	// staleBase and staleBeats beats are the age at which a daemon counts as gone, plus staleDelays times the time that
	// calls to the store take: two lost writes and the delay of reading.
	staleBase   = 1100 * time.Millisecond
	staleBeats  = 2
	staleDelays = 3
	// settleTime is how long a daemon looks on before it takes anything, so that daemons that start together know of
	// each other.
	settleTime = 800 * time.Millisecond
	// blindAfter is the pause between two readings after which ages say nothing.
	blindAfter = 1500 * time.Millisecond
)

// Node is the record of a daemon.
type Node struct {
	Run    string  `json:"run"`    // unique for each start of the daemon
	Addr   string  `json:"addr"`   // for calls between daemons
	Centre string  `json:"centre"` // data centre
	Weight float64 `json:"weight"` // what it can carry
	Ready  bool    `json:"ready"`  // false: it takes no services
	Beat   int64   `json:"beat"`   // rises with each write
	Every  int64   `json:"every"`  // milliseconds until the next write
}

// Owner is the record of a service's owner.
type Owner struct {
	Name string `json:"name"` // daemon; empty after a release
	Run  string `json:"run"`  // Node.Run of the owner
	Addr string `json:"addr"`
	Seq  int64  `json:"seq"` // rises with each write of the owner
}

type nodeSeen struct {
	Node
	version uint64
	changed time.Time
}

type ownerSeen struct {
	Owner
	version uint64
}

// View is what a daemon has read of the records. It must be made with NewView and is not safe for concurrent use.
type View struct {
	self   string
	run    string
	nodes  map[string]*nodeSeen
	owners map[string]ownerSeen
	delay  time.Duration // of calls to the store, as seen lately
	read   time.Time     // last successful reading
	first  time.Time     // first successful reading
}

// NewView returns the empty view of a daemon.
func NewView(self, run string) *View {
	return &View{self: self, run: run, nodes: map[string]*nodeSeen{}, owners: map[string]ownerSeen{}}
}

// Apply takes records of Table, in the order of their versions, and the time of the reading. It returns the parts whose
// records can't be read.
func (v *View) Apply(now time.Time, records []cuminstair.Record) (bad []string) {
	if v.first.IsZero() {
		v.first = now
	}
	if !v.read.IsZero() && now.Sub(v.read) > blindAfter {
		for _, n := range v.nodes {
			n.changed = now
		}
		v.first = now
	}
	v.read = now
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
		n := &nodeSeen{version: r.Version, changed: now}
		if err := json.Unmarshal(r.Value, &n.Node); err != nil {
			return err
		}
		v.nodes[r.Key] = n
		return nil
	}
	if r.Key != OwnerKey || r.Version <= v.owners[r.Part].version {
		return nil
	}
	o := ownerSeen{version: r.Version}
	if !r.Deleted {
		if err := json.Unmarshal(r.Value, &o.Owner); err != nil {
			return err
		}
	}
	v.owners[r.Part] = o
	// An owner rewrites its owner records with every transaction.
	if n := v.nodes[o.Name]; n != nil && n.Run == o.Run {
		n.changed = now
	}
	return nil
}

// Took notes how long a call to the store took that has succeeded. A slow store makes the records of all daemons old.
func (v *View) Took(t time.Duration) {
	if t > v.delay {
		v.delay = t
		return
	}
	v.delay += (t - v.delay) / 4
}

// stale is the age at which the record of a daemon tells that it is gone.
func (v *View) stale(n *nodeSeen) time.Duration {
	every := BeatEvery
	if n.Every > 0 {
		every = time.Duration(n.Every) * time.Millisecond
	}
	return staleBase + staleBeats*every + staleDelays*v.delay
}

// Owner returns the owner record of a service and its version, 0 if there is none.
func (v *View) Owner(service string) (Owner, uint64) {
	o := v.owners[service]
	return o.Owner, o.version
}

// fresh tells whether a daemon lives.
func (v *View) fresh(now time.Time, name, run string) bool {
	n := v.nodes[name]
	return n != nil && (run == "" || n.Run == run) && now.Sub(n.changed) < v.stale(n)
}

// Live returns the live owner of a service, or false.
func (v *View) Live(now time.Time, service string) (Owner, bool) {
	o, ok := v.owners[service]
	if !ok || o.Name == "" || !v.fresh(now, o.Name, o.Run) {
		return Owner{}, false
	}
	return o.Owner, true
}

// Blind tells whether the records have not been read lately, so that ages say nothing.
func (v *View) Blind(now time.Time) bool { return now.Sub(v.read) > blindAfter }

// Gone tells whether a daemon has started again since the start that run names.
func (v *View) Gone(name, run string) bool {
	n := v.nodes[name]
	return n != nil && n.Run != run
}

// Claims returns the services that this daemon should take now, of those that exist.
func (v *View) Claims(now time.Time, services []string) []string {
	if v.first.IsZero() || now.Sub(v.first) < settleTime || v.Blind(now) {
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

// Successor returns the daemon that should take a service when this one leaves, or "".
func (v *View) Successor(now time.Time, service string) (string, Node) {
	name := v.assign(now, []string{service}, v.self)[service]
	if name == "" {
		return "", Node{}
	}
	return name, v.nodes[name].Node
}

// assign gives each service without a live owner to the ready daemon that carries least for its weight; a hash that
// differs by service decides between equals. Daemons that see the same records come to the same result.
func (v *View) assign(now time.Time, services []string, without string) map[string]string {
	carried := v.carried(now)
	var open []string
	for _, service := range services {
		if o, ok := v.Live(now, service); ok && o.Name != without {
			continue
		}
		open = append(open, service)
	}
	sort.Strings(open)
	result := map[string]string{}
	for _, service := range open {
		if best := v.best(now, service, without, carried); best != "" {
			result[service] = best
			carried[best]++
		}
	}
	return result
}

func (v *View) best(now time.Time, service, without string, carried map[string]float64) string {
	best, low, rank := "", 0.0, uint64(0)
	for name, n := range v.nodes {
		if name == without || !n.Ready || !v.fresh(now, name, "") {
			continue
		}
		load := v.load(name, carried)
		h := hash(service, name)
		if best == "" || load < low || (load == low && h > rank) {
			best, low, rank = name, load, h
		}
	}
	return best
}

func hash(service, name string) uint64 {
	h := fnv.New64a()
	// A hash never returns an error.
	_, _ = h.Write([]byte(service + "\x00" + name))
	return h.Sum64()
}

// Nodes returns the other daemons that live, or that lived when the records were read last, those that carry least for
// their weight first.
func (v *View) Nodes(now time.Time) []Node {
	if v.Blind(now) {
		now = v.read
	}
	carried := v.carried(now)
	var names []string
	for name, n := range v.nodes {
		if name != v.self && n.Ready && v.fresh(now, name, "") {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := v.load(names[i], carried), v.load(names[j], carried)
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

// carried counts the services of each live daemon.
func (v *View) carried(now time.Time) map[string]float64 {
	n := map[string]float64{}
	for service := range v.owners {
		if o, ok := v.Live(now, service); ok {
			n[o.Name]++
		}
	}
	return n
}

// load is what a daemon would carry for its weight with one service more.
func (v *View) load(name string, carried map[string]float64) float64 {
	return (carried[name] + 1) / max(0.01, v.nodes[name].Weight)
}

// Strongest tells whether no other live daemon can carry more than this one.
func (v *View) Strongest(now time.Time) bool {
	own, ok := v.nodes[v.self]
	if !ok {
		return false
	}
	for name, n := range v.nodes {
		if n.Ready && n.Weight > own.Weight && v.fresh(now, name, "") {
			return false
		}
	}
	return true
}

// Overloaded tells whether another daemon would carry a service of this one with half the load or less.
func (v *View) Overloaded(now time.Time) bool {
	own, ok := v.nodes[v.self]
	if !ok || v.Blind(now) || now.Sub(v.first) < settleTime {
		return false
	}
	carried := v.carried(now)
	load := carried[v.self] / max(0.01, own.Weight)
	for name, n := range v.nodes {
		if name != v.self && n.Ready && v.fresh(now, name, "") && v.load(name, carried)*2 <= load {
			return true
		}
	}
	return false
}
