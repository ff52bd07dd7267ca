// Package local runs a whole system in one process: the stand-in for the platform, instances and entry daemons, which
// talk over real sockets on the loopback interface. Tests, the quick start and the measurements use it.
package local

import (
	"context"
	"crypto/rand"
	"fmt"
	"maps"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/daemon"
	"cuminstair.org/cuminstair/node"
	"cuminstair.org/cuminstair/operator"
	"cuminstair.org/cuminstair/peer"
	"cuminstair.org/cuminstair/settings"
	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/standin/table"
	"cuminstair.org/cuminstair/timer"
)

// Times of the system.
const (
	poll     = 5 * time.Millisecond
	StopTime = 5 * time.Second
	// wait is how long a daemon that stops goes on accepting requests, so that callers see that it is unready.
	wait = 200 * time.Millisecond
)

// ErrKilled is how the run of a daemon ends that was killed.
const ErrKilled = errors.ConstError("killed")

// ErrNotReady means that a daemon was not ready in time.
const ErrNotReady = errors.ConstError("not ready in time")

// System is a system in one process. Exported fields are set before Start.
type System struct {
	Dir     string // for the key of tickets
	Centres []Centre
	Log     hclog.Logger
	Seed    uint64
	Seeds   []string // Settings.Peers of the daemons that are started next
	// OnHost is table.Service.OnHost. It may be nil.
	OnHost func(name, state string)

	Timer     *timer.Service
	Platform  *table.Service
	Instances map[string]*instance.Server // by host
	Daemons   map[string]*Daemon          // by name; Running is safe while daemons are started and stopped

	mu        sync.Mutex // guards Daemons
	network   network
	addrs     map[string]string // host, address of its instance
	authority *peer.Authority
	stopClock context.CancelFunc
	wg        sync.WaitGroup
}

// Centre is a data centre of the system.
type Centre struct {
	Name    string
	Daemons int
	Hosts   int // each runs one instance; two hosts share a rack
}

// Daemon is a running entry daemon.
type Daemon struct {
	Name   string
	Centre string
	Node   *node.Node
	Link   *Link // to the platform
	cancel context.CancelFunc
	done   chan error
	wire   *wire
	killed chan struct{}
}

// Start starts all parts. Stop must be called also after an error.
func (s *System) Start(ctx context.Context) error {
	s.Timer = timer.New()
	clock, stop := context.WithCancel(context.Background())
	s.stopClock = stop
	s.wg.Go(func() { _ = s.Timer.Run(clock) })
	s.Platform = &table.Service{Timer: s.Timer, Reboot: time.Second, Replace: time.Second, OnHost: s.OnHost}
	s.Instances = map[string]*instance.Server{}
	s.Daemons = map[string]*Daemon{}
	s.addrs = map[string]string{}
	var err error
	if s.authority, err = peer.NewAuthority(rand.Reader, s.Timer.Now()); err != nil {
		return fmt.Errorf("make the authority: %w", err)
	}
	if err := os.WriteFile(s.keyFile(), []byte("a key for tests and the quick start only"), 0o600); err != nil {
		return fmt.Errorf("write the ticket key: %w", err)
	}
	for _, c := range s.Centres {
		for i := range c.Hosts {
			if err := s.startInstance(ctx, c.Name, i); err != nil {
				return err
			}
		}
	}
	for _, c := range s.Centres {
		for i := range c.Daemons {
			if _, err := s.StartDaemon(fmt.Sprintf("%s-e%d", c.Name, i+1), c.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *System) keyFile() string { return filepath.Join(s.Dir, "ticket.key") }

func (s *System) startInstance(ctx context.Context, centre string, i int) error {
	host := fmt.Sprintf("%s-h%d", centre, i+1)
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for instance %s: %w", host, err)
	}
	server := &instance.Server{Timer: s.Timer}
	s.Instances[host] = server
	s.addrs[host] = l.Addr().String()
	s.Platform.AddHosts(table.Host{Name: host, Centre: centre, Rack: rackOf(i), Role: "upstream"})
	s.Platform.AddWorkers(table.Worker{Name: host, Centre: centre, Rack: rackOf(i), Cores: cores, Memory: memory})
	s.wg.Go(func() { _ = server.Serve(l) })
	return nil
}

// listenPeers opens the socket of a daemon for its peers.
func (s *System) listenPeers(centre string) (*wire, error) {
	conn, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp", loopback)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	s.network.add(conn.LocalAddr().String(), centre)
	return &wire{PacketConn: conn, network: &s.network, centre: centre}, nil
}

// StartDaemon starts an entry daemon. A name that was used before is a later run of that daemon.
func (s *System) StartDaemon(name, centre string) (*Daemon, error) {
	config, err := s.authority.Config(name)
	if err != nil {
		return nil, fmt.Errorf("make the certificate of %s: %w", name, err)
	}
	s.Seed++
	conn, err := s.listenPeers(centre)
	if err != nil {
		return nil, err
	}
	link := &Link{Platform: s.Platform, Timer: s.Timer}
	killed := make(chan struct{})
	n := &node.Node{
		Settings: &settings.Settings{
			Name: name, Centre: centre, Key: s.keyFile(), Share: 1, Peers: s.Seeds,
			Listen: settings.Listen{Callers: loopback, Operators: loopback, Peers: loopback},
			Stop:   cuminstair.Duration(StopTime),
			Wait:   cuminstair.Duration(wait),
		},
		Log:      s.Log.Named(name),
		Timer:    s.Timer,
		Rand:     mathrand.New(mathrand.NewPCG(s.Seed, 1)),
		Platform: link,
		PeerTLS:  config,
		PeerConn: conn,
		Parts:    []daemon.Part{{Name: "kill", Run: killer(killed)}},
	}
	if err := n.Build(); err != nil {
		return nil, fmt.Errorf("build %s: %w", name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{Name: name, Centre: centre, Node: n, Link: link, wire: conn, killed: killed, cancel: cancel, done: make(chan error, 1)}
	s.mu.Lock()
	s.Daemons[name] = d
	s.mu.Unlock()
	s.Platform.AddHosts(table.Host{Name: name, Centre: centre, Rack: "entry", Role: "entry"})
	s.wg.Go(func() { d.done <- n.Run(ctx) })
	return d, s.await(func() bool { return n.Addr("operators") != nil })
}

// loopback lets the system choose a free port.
const loopback = "127.0.0.1:0"

// Stop makes a planned stop of the daemon and returns its error.
func (d *Daemon) Stop() error {
	d.cancel()
	err := <-d.done
	d.done <- nil
	return err
}

// Kill ends the daemon without a planned stop: nothing that it sends from now on reaches the platform or a peer, and its
// connections break.
func (d *Daemon) Kill() error {
	d.Link.Cut(true)
	d.wire.kill()
	close(d.killed)
	err := <-d.done
	d.done <- nil
	if errors.Is(err, ErrKilled) {
		return nil
	}
	return err
}

// killer returns the part that ends a daemon when it is killed.
func killer(killed <-chan struct{}) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-killed:
			return ErrKilled
		case <-ctx.Done():
			return nil
		}
	}
}

// Seed returns the entry of Settings.Peers for the daemon.
func (d *Daemon) Seed() string { return d.Name + "=" + d.wire.LocalAddr().String() }

// Callers returns the base URL for callers.
func (d *Daemon) Callers() string { return "http://" + d.Node.Addr("callers").String() }

// Operators returns a client of the operators' interface.
func (d *Daemon) Operators() *operator.Client {
	return &operator.Client{
		Servers: []string{"http://" + d.Node.Addr("operators").String()},
		HTTP:    &http.Client{Timeout: StopTime},
	}
}

// Running returns the daemons that are ready, in order of their names.
func (s *System) Running() []*Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*Daemon
	for _, name := range slices.Sorted(maps.Keys(s.Daemons)) {
		d := s.Daemons[name]
		if d.Node.Addr("callers") != nil && d.Node.Ready() == nil {
			list = append(list, d)
		}
	}
	return list
}

// CutCentre cuts a data centre off from the platform and from the others, or heals that.
func (s *System) CutCentre(name string, cut bool) {
	s.network.set(name, cut)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.Daemons {
		if d.Centre == name {
			d.Link.Cut(cut)
		}
	}
}

// Ready waits until all daemons are ready.
func (s *System) Ready() error {
	for _, d := range s.Daemons {
		if err := s.await(func() bool { return d.Node.Ready() == nil }); err != nil {
			return fmt.Errorf("%s: %w: %w", d.Name, d.Node.Ready(), err)
		}
	}
	return nil
}

// Await waits until a condition holds. Error: ErrNotReady.
func (s *System) Await(cond func() bool) error { return s.await(cond) }

func (s *System) await(cond func() bool) error {
	end := s.Timer.Now().Add(2 * StopTime)
	for !cond() {
		if s.Timer.Now().After(end) {
			return ErrNotReady
		}
		passed := make(chan struct{})
		s.Timer.After(poll, func(time.Time) { close(passed) })
		<-passed
	}
	return nil
}

// Stop stops the daemons that still run, then the rest.
func (s *System) Stop() {
	for _, d := range s.Daemons {
		d.cancel()
	}
	for _, d := range s.Daemons {
		if err := <-d.done; err != nil {
			s.Log.Warn("daemon failed", "name", d.Name, "error", err)
		}
	}
	for _, i := range s.Instances {
		_ = i.Close()
	}
	if s.stopClock != nil {
		s.stopClock()
	}
	s.wg.Wait()
}
