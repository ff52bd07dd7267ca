package tables

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"

	"cuminstair.org/cuminstair"
)

// hostCache is the platform's list as it was last read. Only changes are read: at 28,000 hosts the whole list has 3 MB.
type hostCache struct {
	mu      sync.Mutex
	run     string // of the service that counts the versions
	version uint64
	hosts   map[string]cuminstair.HostStatus
}

// hostsAnswer is the answer to GET /hosts.
type hostsAnswer struct {
	Hosts   []cuminstair.HostStatus `json:"hosts"`
	Version uint64                  `json:"version"`
	Run     string                  `json:"run"`
	Full    bool                    `json:"full"` // the answer holds all hosts, and others exist no more
}

// Hosts implements cuminstair.HostList.
func (c *Client) Hosts(ctx context.Context) ([]cuminstair.HostStatus, error) {
	h := &c.hosts
	h.mu.Lock()
	defer h.mu.Unlock()
	path := "/hosts?since=" + strconv.FormatUint(h.version, 10) + "&run=" + url.QueryEscape(h.run)
	var out hostsAnswer
	if err := c.get(ctx, path, &out); err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	if out.Full || h.hosts == nil {
		h.hosts = make(map[string]cuminstair.HostStatus, len(out.Hosts))
	}
	for _, s := range out.Hosts {
		h.hosts[s.Name] = s
	}
	h.version, h.run = out.Version, out.Run
	list := make([]cuminstair.HostStatus, 0, len(h.hosts))
	for _, s := range h.hosts {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b cuminstair.HostStatus) int { return strings.Compare(a.Name, b.Name) })
	return list, nil
}
