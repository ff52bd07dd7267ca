package fleet

import (
	"fmt"
	"net/netip"

	"cuminstair.org/cuminstair"
)

// The types below are the CBOR forms of the types of package cuminstair. They are encoded as arrays without field names
// to keep them small, since every change is sent to every daemon and the traffic budget is 3 KB/s per node.

// topRow is the content of the section sectionTop.
type topRow struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Centres []centreRow
	Pools   []poolRow
}

type centreRow struct {
	_            struct{} `cbor:",toarray"`
	Name, Region string
}

type poolRow struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Spare bool
}

type serviceRow struct {
	_            struct{} `cbor:",toarray"`
	Name, Pool   string
	Slots, Conns int
	Down         float64
	Kinds        []kindRow
}

type kindRow struct {
	_                   struct{} `cbor:",toarray"`
	Name                string
	Weight, Urgency     int
	Deadline            int64
	Idempotent, Archive bool
}

type teamRow struct {
	_            struct{} `cbor:",toarray"`
	Name         string
	Rate         float64
	Burst, Cores int
}

type waveRow struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Pools       []string
	Action      string
	Drain, Back int64
	Limit       int
	Hold        bool
}

// hostsRow is a block of hosts of one pool in one data centre.
type hostsRow struct {
	_            struct{} `cbor:",toarray"`
	Pool, Centre string
	Racks        []string // each rack of the block once
	Hosts        []hostRow
}

type hostRow struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Rack   int // index in hostsRow.Racks
	Addr   []byte
	Cores  int
	Memory int64
	Accel  int
}

func encodeHosts(hosts []cuminstair.Host) []byte {
	row := hostsRow{Pool: hosts[0].Pool, Centre: hosts[0].Centre}
	racks := make(map[string]int)
	for _, h := range hosts {
		rack, ok := racks[h.Rack]
		if !ok {
			rack = len(row.Racks)
			racks[h.Rack] = rack
			row.Racks = append(row.Racks, h.Rack)
		}
		row.Hosts = append(row.Hosts, hostRow{
			Name: h.Name, Rack: rack, Addr: packAddr(h.Addr), Cores: h.Cores, Memory: int64(h.Memory), Accel: h.Accel,
		})
	}
	return encode(row)
}

func decodeHosts(data []byte) ([]cuminstair.Host, error) {
	var row hostsRow
	if err := decode(data, &row); err != nil {
		return nil, err
	}
	hosts := make([]cuminstair.Host, 0, len(row.Hosts))
	for _, h := range row.Hosts {
		var addr netip.AddrPort
		if err := addr.UnmarshalBinary(h.Addr); err != nil {
			return nil, fmt.Errorf("address of host %q: %w", h.Name, ErrSection)
		}
		if h.Rack < 0 || h.Rack >= len(row.Racks) {
			return nil, fmt.Errorf("rack of host %q: %w", h.Name, ErrSection)
		}
		hosts = append(hosts, cuminstair.Host{
			Name: h.Name, Centre: row.Centre, Rack: row.Racks[h.Rack], Pool: row.Pool, Addr: addr.String(),
			Cores: h.Cores, Memory: cuminstair.Bytes(h.Memory), Accel: h.Accel,
		})
	}
	return hosts, nil
}

// packAddr returns the binary form of an address that Check accepts.
func packAddr(s string) []byte {
	addr, err := netip.ParseAddrPort(s)
	if err != nil {
		return nil
	}
	data, _ := addr.MarshalBinary() // MarshalBinary never fails.
	return data
}

func encodeServices(list []cuminstair.Service) []byte {
	rows := make([]serviceRow, 0, len(list))
	for _, s := range list {
		r := serviceRow{Name: s.Name, Pool: s.Pool, Slots: s.Slots, Conns: s.Conns, Down: s.Budget.Down}
		for _, k := range s.Kinds {
			r.Kinds = append(r.Kinds, kindRow{
				Name: k.Name, Weight: k.Weight, Urgency: k.Urgency, Deadline: int64(k.Deadline),
				Idempotent: k.Idempotent, Archive: k.Archive,
			})
		}
		rows = append(rows, r)
	}
	return encode(rows)
}

func decodeServices(data []byte) ([]cuminstair.Service, error) {
	var rows []serviceRow
	if err := decode(data, &rows); err != nil {
		return nil, err
	}
	var list []cuminstair.Service
	for _, r := range rows {
		s := cuminstair.Service{Name: r.Name, Pool: r.Pool, Slots: r.Slots, Conns: r.Conns}
		s.Budget.Down = r.Down
		for _, k := range r.Kinds {
			s.Kinds = append(s.Kinds, cuminstair.Kind{
				Name: k.Name, Weight: k.Weight, Urgency: k.Urgency, Deadline: cuminstair.Duration(k.Deadline),
				Idempotent: k.Idempotent, Archive: k.Archive,
			})
		}
		list = append(list, s)
	}
	return list, nil
}

func encodeTeams(list []cuminstair.Team) []byte {
	rows := make([]teamRow, 0, len(list))
	for _, t := range list {
		rows = append(rows, teamRow{Name: t.Name, Rate: t.Quota.Rate, Burst: t.Quota.Burst, Cores: t.Quota.Cores})
	}
	return encode(rows)
}

func decodeTeams(data []byte) ([]cuminstair.Team, error) {
	var rows []teamRow
	if err := decode(data, &rows); err != nil {
		return nil, err
	}
	var list []cuminstair.Team
	for _, r := range rows {
		q := cuminstair.Quota{Rate: r.Rate, Burst: r.Burst, Cores: r.Cores}
		list = append(list, cuminstair.Team{Name: r.Name, Quota: q})
	}
	return list, nil
}

func encodeWaves(list []cuminstair.Wave) []byte {
	rows := make([]waveRow, 0, len(list))
	for _, w := range list {
		rows = append(rows, waveRow{
			Name: w.Name, Pools: w.Pools, Action: w.Action, Drain: int64(w.Drain), Back: int64(w.Back),
			Limit: w.Limit, Hold: w.Hold,
		})
	}
	return encode(rows)
}

func decodeWaves(data []byte) ([]cuminstair.Wave, error) {
	var rows []waveRow
	if err := decode(data, &rows); err != nil {
		return nil, err
	}
	var list []cuminstair.Wave
	for _, r := range rows {
		list = append(list, cuminstair.Wave{
			Name: r.Name, Pools: r.Pools, Action: r.Action, Drain: cuminstair.Duration(r.Drain),
			Back: cuminstair.Duration(r.Back), Limit: r.Limit, Hold: r.Hold,
		})
	}
	return list, nil
}

func encodeTop(f *cuminstair.Fleet) []byte {
	row := topRow{Name: f.Name}
	for _, c := range f.Centres {
		row.Centres = append(row.Centres, centreRow{Name: c.Name, Region: c.Region})
	}
	for _, p := range f.Pools {
		row.Pools = append(row.Pools, poolRow{Name: p.Name, Spare: p.Spare})
	}
	return encode(row)
}

func decodeTop(data []byte) (topRow, error) {
	var row topRow
	err := decode(data, &row)
	return row, err
}
