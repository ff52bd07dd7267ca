package caller

import (
	"sort"
	"strings"

	"cuminstair.org/cuminstair"
)

// view indexes a fleet for the request path. It is immutable.
type view struct {
	services map[string]*service
	teams    map[string]bool
	hosts    map[string][]string // host: services with an instance on it
}

type service struct {
	cuminstair.Service
	kinds     map[string]cuminstair.Kind
	upstreams []cuminstair.Upstream
}

func newView(f *cuminstair.Fleet) *view {
	v := &view{
		services: make(map[string]*service, len(f.Services)),
		teams:    make(map[string]bool, len(f.Teams)),
		hosts:    make(map[string][]string, len(f.Hosts)),
	}
	for _, s := range f.Services {
		v.services[s.Name] = newService(s)
	}
	for _, t := range f.Teams {
		v.teams[t.Name] = true
	}
	for _, h := range f.Hosts {
		v.addHost(h)
	}
	return v
}

func newService(s cuminstair.Service) *service {
	kinds := make(map[string]cuminstair.Kind, len(s.Kinds))
	for _, k := range s.Kinds {
		kinds[k.Name] = k
	}
	return &service{Service: s, kinds: kinds}
}

func (v *view) addHost(h cuminstair.Host) {
	for _, s := range v.services {
		if s.Pool != h.Pool {
			continue
		}
		v.hosts[h.Name] = append(v.hosts[h.Name], s.Name)
		s.upstreams = append(s.upstreams, cuminstair.Upstream{
			Host:    h.Name,
			Service: s.Name,
			Centre:  h.Centre,
			Rack:    h.Rack,
			Addr:    h.Addr,
			Slots:   s.Slots,
			Conns:   s.Conns,
		})
	}
}

// names returns the sorted keys of a map, separated by commas, for an error message.
func names[V any](m map[string]V) string {
	list := make([]string, 0, len(m))
	for name := range m {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}
