package node

import (
	"context"
	"slices"
	"strings"

	"cuminstair.org/cuminstair"
)

// Pools implements cuminstair.Operations.
func (o *operations) Pools(context.Context) ([]cuminstair.PoolStatus, error) {
	f := o.node.current().Fleet
	if f == nil {
		return nil, nil
	}
	inflight := o.inflight()
	type poolCentre struct{ pool, centre string }
	rows := map[poolCentre]*cuminstair.PoolStatus{}
	row := func(pool, centre string) *cuminstair.PoolStatus {
		p := poolCentre{pool, centre}
		if rows[p] == nil {
			rows[p] = &cuminstair.PoolStatus{Name: pool, Centre: centre}
		}
		return rows[p]
	}
	for i := range f.Hosts {
		h := &f.Hosts[i]
		row(h.Pool, h.Centre).Declared++
		serving := row(o.node.view.poolOf(h), h.Centre)
		serving.Hosts++
		if o.node.daemon.Decisions().State(h.Name) == cuminstair.HostActive {
			serving.Active++
		}
		serving.Inflight += inflight[h.Name]
	}
	var list []cuminstair.PoolStatus
	for _, r := range rows {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b cuminstair.PoolStatus) int {
		if d := strings.Compare(a.Name, b.Name); d != 0 {
			return d
		}
		return strings.Compare(a.Centre, b.Centre)
	})
	return list, nil
}

func (o *operations) inflight() map[string]int {
	out := map[string]int{}
	for _, l := range o.node.daemon.Decisions().Loads() {
		out[l.Host] += l.Inflight
	}
	return out
}

// Hosts implements cuminstair.Operations.
func (o *operations) Hosts(context.Context) ([]cuminstair.HostInfo, error) {
	f := o.node.current().Fleet
	if f == nil {
		return nil, nil
	}
	inflight := o.inflight()
	var rows []cuminstair.HostInfo
	for i := range f.Hosts {
		h := &f.Hosts[i]
		reason, _ := o.node.control.HostReason(h.Name)
		rows = append(rows, cuminstair.HostInfo{
			Name: h.Name, Centre: h.Centre, Rack: h.Rack, Pool: o.node.view.poolOf(h),
			State: o.node.view.stateOf(h.Name), Health: o.node.daemon.Decisions().State(h.Name),
			Inflight: inflight[h.Name], Reason: string(reason),
		})
	}
	return rows, nil
}

// Waves implements cuminstair.Operations, for the data centre of this daemon.
func (o *operations) Waves(context.Context) ([]cuminstair.WaveStatus, error) {
	var rows []cuminstair.WaveStatus
	for _, w := range o.node.control.Waves() {
		rows = append(rows, cuminstair.WaveStatus{
			Name: w.Name, Centre: w.Centre, State: string(w.State), Done: w.Done, Total: w.Done + w.Out + w.Pending,
			Step: w.Step, Message: w.Reason,
		})
	}
	return rows, nil
}

// Budgets implements cuminstair.Operations.
func (o *operations) Budgets(context.Context) ([]cuminstair.BudgetStatus, error) {
	var rows []cuminstair.BudgetStatus
	for _, a := range o.node.control.Budgets() {
		rows = append(rows, cuminstair.BudgetStatus{
			Service: a.Service, Centre: a.Centre, Declared: a.Declared, Down: a.Net(), Allowed: a.Allowed,
			Reserve: a.Reserve, Room: a.Room(),
		})
	}
	return rows, nil
}
