package node

import (
	"slices"
	"sync"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/daemon"
	"cuminstair.org/cuminstair/rollout"
)

// install puts a generation of the configuration in force. The runner calls it with its lock held.
func (n *Node) install(r *rollout.Node, in rollout.Install) {
	f := r.Base().Fleet
	n.network.setGeneration(in.Head.Gen)
	n.view.setFleet(f)
	n.control.SetFleet(f)
}

// hostView combines the fleet configuration with the rows of the hosts. A host serves the pool in its row, which may
// differ from the pool in the configuration.
type hostView struct {
	node *Node

	mu         sync.Mutex
	fleet      *cuminstair.Fleet
	region     string                          // region of the local data centre
	localHosts []string                        // hosts of the local data centre
	declared   map[string]string               // host of the local data centre -> pool in the configuration
	pools      map[string]string               // host -> pool in its row
	states     map[string]cuminstair.HostState // host -> state in its row
}

func (v *hostView) setFleet(f *cuminstair.Fleet) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet = f
	v.region = v.regionOf(v.node.Settings.Centre)
	v.publish()
}

// setPool sets the pool that the row of a host names.
func (v *hostView) setPool(host, pool string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, ok := v.pools[host]
	if !ok {
		old = v.declared[host]
	}
	if v.pools == nil {
		v.pools = map[string]string{}
	}
	v.pools[host] = pool
	if v.fleet != nil && old != pool {
		v.publish()
	}
}

// setState sets the state that the row of a host names.
func (v *hostView) setState(host string, state cuminstair.HostState) {
	v.mu.Lock()
	if v.states == nil {
		v.states = map[string]cuminstair.HostState{}
	}
	old := v.states[host]
	v.states[host] = state
	local := slices.Contains(v.localHosts, host)
	v.mu.Unlock()
	v.node.daemon.Events.Set(daemon.Key{Kind: daemon.EventHost, Name: host}, daemon.Event{State: state})
	if local && isLeaving(old) != isLeaving(state) {
		v.node.setLeavingByRow(host, isLeaving(state))
	}
}

// poolOf returns the pool that a host serves.
func (v *hostView) poolOf(h *cuminstair.Host) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if pool, ok := v.pools[h.Name]; ok {
		return pool
	}
	return h.Pool
}

// stateOf returns the state in the row of a host; a host without a row is active.
func (v *hostView) stateOf(host string) cuminstair.HostState {
	v.mu.Lock()
	defer v.mu.Unlock()
	if state, ok := v.states[host]; ok {
		return state
	}
	return cuminstair.HostActive
}

// hosts returns the hosts of the local data centre. publish replaces the list and never modifies a returned one.
func (v *hostView) hosts() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.localHosts
}

// sameRegion reports whether a data centre is in the region of this daemon.
func (v *hostView) sameRegion(centre string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.regionOf(centre) == v.region
}

func (v *hostView) regionOf(centre string) string {
	if v.fleet == nil {
		return ""
	}
	for _, c := range v.fleet.Centres {
		if c.Name == centre {
			return c.Region
		}
	}
	return ""
}

// publish sends the hosts of the local data centre to the request path, each with the pool in its row or, without a row,
// the pool in the configuration. It is called with the lock held.
func (v *hostView) publish() {
	if v.fleet == nil {
		return
	}
	local := *v.fleet
	local.Hosts = nil
	v.localHosts = nil
	v.declared = map[string]string{}
	for _, h := range v.fleet.Hosts {
		if h.Centre != v.node.Settings.Centre {
			continue
		}
		v.declared[h.Name] = h.Pool
		if pool, ok := v.pools[h.Name]; ok {
			h.Pool = pool
		}
		local.Hosts = append(local.Hosts, h)
		v.localHosts = append(v.localHosts, h.Name)
	}
	v.updateHealthGroups(&local)
	v.node.daemon.Events.Set(daemon.Key{Kind: daemon.EventFleet}, daemon.Event{Fleet: &local})
}

// updateHealthGroups passes the hosts of each service to health.
func (v *hostView) updateHealthGroups(f *cuminstair.Fleet) {
	byPool := map[string][]string{}
	for i := range f.Hosts {
		byPool[f.Hosts[i].Pool] = append(byPool[f.Hosts[i].Pool], f.Hosts[i].Name)
	}
	v.node.daemon.Decisions().Update(func() {
		for i := range f.Services {
			v.node.health.SetGroup(f.Services[i].Name, byPool[f.Services[i].Pool])
		}
	})
}
