package table

import (
	"context"
	"fmt"
	"strconv"

	"cuminstair.org/cuminstair"
)

// hostListing gives each change of the host list a version. The list is the one that callers see, with Faults.Lag applied.
type hostListing struct {
	run     string // id of this run of the service; versions start over with each run
	version uint64
	shown   map[string]listEntry
}

// listEntry is an entry of the host list with the version at which it last changed.
type listEntry struct {
	status  cuminstair.HostStatus
	version uint64
}

// listAnswer is the answer to GET /hosts.
type listAnswer struct {
	Hosts   []cuminstair.HostStatus `json:"hosts"`
	Version uint64                  `json:"version"`
	Run     string                  `json:"run"`
	Full    bool                    `json:"full"` // Hosts holds all hosts
}

// changedHosts returns the entries that changed after version since, or all entries if since is 0 or run is not the
// current run of the service.
func (s *Service) changedHosts(ctx context.Context, run string, since uint64) (listAnswer, error) {
	var out listAnswer
	err := s.read(ctx, func() error {
		s.refreshList()
		out = listAnswer{
			Hosts: []cuminstair.HostStatus{}, Version: s.list.version, Run: s.list.run, Full: run != s.list.run || since == 0,
		}
		for _, h := range sortedValues(s.hosts) {
			if e := s.list.shown[h.Name]; out.Full || e.version > since {
				out.Hosts = append(out.Hosts, e.status)
			}
		}
		return nil
	})
	if err != nil {
		return listAnswer{}, fmt.Errorf("read host list: %w", err)
	}
	return out, nil
}

// refreshList gives a new version to each entry whose listed status has changed. With Faults.Lag, an entry changes that
// long after its host.
func (s *Service) refreshList() {
	now, lag := s.Timer.Now(), s.faults.Lag.D()
	if s.list.shown == nil {
		s.list.shown = map[string]listEntry{}
		s.list.run = strconv.FormatInt(now.UnixNano(), 36)
	}
	for name, h := range s.hosts {
		status := h.status(now, lag)
		if old, ok := s.list.shown[name]; !ok || old.status != status {
			s.list.version++
			s.list.shown[name] = listEntry{status: status, version: s.list.version}
		}
	}
}
