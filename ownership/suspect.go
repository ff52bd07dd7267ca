package ownership

import "time"

// A daemon is suspected when its record is older than suspectBase, plus a heartbeat interval, plus staleLatencies times
// the latency of the store. A suspected owner is probed, since a frozen or killed daemon shows in a probe earlier than in
// the age of its record.
const suspectBase = 500 * time.Millisecond

// Suspect is an owner that has not written its record for some time.
type Suspect struct {
	Name    string
	Node    Node
	Changed time.Time // when its records were last seen to change
}

// Suspects returns the owners of the given services that are suspected, and whose services would go to this daemon.
func (v *View) Suspects(now time.Time, services []string) []Suspect {
	if v.firstRead.IsZero() || now.Sub(v.firstRead) < settleTime || v.Outdated(now) {
		return nil
	}
	var list []Suspect
	listed := map[string]bool{}
	for _, service := range services {
		o, ok := v.LiveOwner(now, service)
		if !ok || o.Name == v.self || listed[o.Name] || !v.suspected(now, o.Name) {
			continue
		}
		if v.assign(now, []string{service}, o.Name)[service] == v.self {
			listed[o.Name] = true
			n := v.nodes[o.Name]
			list = append(list, Suspect{Name: o.Name, Node: n.Node, Changed: n.changed})
		}
	}
	return list
}

// Unreachable records that a suspected daemon did not answer a probe. It counts as gone until its record changes. Without
// a change since the probe began, the daemon has neither written to the store nor answered.
func (v *View) Unreachable(s Suspect) {
	n := v.nodes[s.Name]
	if n != nil && n.Run == s.Node.Run && n.changed.Equal(s.Changed) {
		n.unreachable = true
	}
}

// suspected reports whether the record of a daemon has not changed for longer than a healthy daemon takes.
func (v *View) suspected(now time.Time, name string) bool {
	n := v.nodes[name]
	return n == nil || now.Sub(n.changed) >= suspectBase+n.interval()+staleLatencies*v.latency
}

// silentCentre returns the data centre of the recorded owner of a service if the owner is suspected, or "". The whole data
// centre may be cut off, which its other daemons' records show only later.
func (v *View) silentCentre(now time.Time, service string) string {
	o := v.owners[service]
	n := v.nodes[o.Name]
	if n == nil || n.Run != o.Run || !v.suspected(now, o.Name) {
		return ""
	}
	return n.Centre
}
