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

// hostCache is the platform's host list as last read. Later reads fetch only the changes: the whole list takes 3 MB at
// 28,000 hosts.
type hostCache struct {
	mu      sync.Mutex
	run     string // identifies the platform process that assigned the version
	version uint64
	hosts   map[string]cuminstair.HostStatus
}

// hostsResponse is the response to GET /hosts.
type hostsResponse struct {
	Hosts   []cuminstair.HostStatus `json:"hosts"`
	Version uint64                  `json:"version"`
	Run     string                  `json:"run"`
	Full    bool                    `json:"full"` // Hosts lists all hosts; any other host no longer exists
}

// Hosts implements cuminstair.HostList.
func (c *Client) Hosts(ctx context.Context) ([]cuminstair.HostStatus, error) {
	h := &c.hosts
	h.mu.Lock()
	defer h.mu.Unlock()
	path := "/hosts?since=" + strconv.FormatUint(h.version, 10) + "&run=" + url.QueryEscape(h.run)
	var out hostsResponse
	if err := c.get(ctx, path, &out); err != nil {
		return nil, fmt.Errorf("get host list: %w", err)
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
