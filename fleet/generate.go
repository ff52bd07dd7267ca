package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"cuminstair.org/cuminstair"
)

// Size is the size of a generated fleet. All numbers are above zero; Pools includes the spare pool.
type Size struct {
	Hosts, Pools, Teams, Centres, Regions int
	Rack                                  int // hosts in a rack
}

// Large is the fleet size that the system is designed for (section 1.8 of docs/design.md).
var Large = Size{Hosts: 28000, Pools: 45, Teams: 310, Centres: 7, Regions: 3, Rack: 4}

const (
	genCores   = 32
	genMemory  = cuminstair.Bytes(128e9)
	genSlots   = 8
	genConns   = 64
	genPort    = 8100
	genDown    = 0.2      // share of the instances of a service that may be unavailable
	genAccel   = 8        // on average, one host in genAccel has an accelerator
	genBaseNet = 10 << 24 // the IPv4 address 10.0.0.0
)

// Generate returns a fleet of the given size. The same state of rng gives the same fleet. Hosts are assigned to the
// pools round-robin, so that the hosts of a rack belong to different pools if size.Pools is at least size.Rack.
func Generate(rng *rand.Rand, size Size) *cuminstair.Fleet {
	f := &cuminstair.Fleet{Name: "generated"}
	for i := range size.Centres {
		region := fmt.Sprintf("region%d", i%size.Regions+1)
		f.Centres = append(f.Centres, cuminstair.Centre{Name: fmt.Sprintf("centre%d", i+1), Region: region})
	}
	for i := range size.Pools {
		f.Pools = append(f.Pools, cuminstair.Pool{Name: fmt.Sprintf("pool%02d", i+1), Spare: i == size.Pools-1})
	}
	for i := range size.Hosts {
		f.Hosts = append(f.Hosts, generateHost(rng, size, f, i))
	}
	for i := range size.Pools - 1 {
		f.Services = append(f.Services, generateService(rng, f.Pools[i].Name, i))
	}
	for i := range size.Teams {
		quota := cuminstair.Quota{Rate: float64(10 + rng.IntN(990)), Burst: 10 + rng.IntN(90), Cores: rng.IntN(500)}
		f.Teams = append(f.Teams, cuminstair.Team{Name: fmt.Sprintf("team%03d", i+1), Quota: quota})
	}
	for i, p := range f.Pools {
		f.Waves = append(f.Waves, generateWave(p.Name, i, size.Hosts))
	}
	return f
}

func generateHost(rng *rand.Rand, size Size, f *cuminstair.Fleet, i int) cuminstair.Host {
	n := i / size.Centres // position in its data centre
	ip := uint32(genBaseNet + i + 1)
	addr := netip.AddrFrom4([4]byte{byte(ip >> 24), byte(ip >> 16), byte(ip >> 8), byte(ip)})
	h := cuminstair.Host{
		Name:   fmt.Sprintf("h%05d", i+1),
		Centre: f.Centres[i%size.Centres].Name,
		Rack:   fmt.Sprintf("r%04d", n/size.Rack+1),
		Pool:   f.Pools[n%size.Pools].Name,
		Addr:   netip.AddrPortFrom(addr, genPort).String(),
		Cores:  genCores,
		Memory: genMemory,
	}
	if rng.IntN(genAccel) == 0 {
		h.Accel = 1
	}
	return h
}

func generateService(rng *rand.Rand, pool string, i int) cuminstair.Service {
	s := cuminstair.Service{
		Name: fmt.Sprintf("service%02d", i+1), Pool: pool, Slots: genSlots, Conns: genConns,
		Budget: cuminstair.Budget{Down: genDown},
	}
	for k := range 1 + rng.IntN(4) {
		s.Kinds = append(s.Kinds, cuminstair.Kind{
			Name: fmt.Sprintf("kind%d", k+1), Weight: 1 + rng.IntN(5), Urgency: rng.IntN(3),
			Deadline: cuminstair.Duration(time.Duration(1+rng.IntN(10)) * time.Second), Idempotent: k%2 == 0,
		})
	}
	return s
}

func generateWave(pool string, i, hosts int) cuminstair.Wave {
	return cuminstair.Wave{
		Name: fmt.Sprintf("wave%02d", i+1), Pools: []string{pool}, Action: string(cuminstair.ActionReboot),
		Drain: cuminstair.Duration(5 * time.Minute), Back: cuminstair.Duration(10 * time.Minute),
		Limit: max(1, hosts/1000), Hold: true,
	}
}
