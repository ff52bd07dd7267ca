// Package local runs a whole system in one process: the simulated platform, instances and entry daemons. Instances and
// daemons listen on the loopback interface; the platform is called in process. Tests, the quick start and the
// measurements use it.
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
	pollInterval = 5 * time.Millisecond
	// StopTime is the Settings.Stop of the daemons and the timeout of the clients of their operator API.
	StopTime = 5 * time.Second
	// stopWait is how long a stopping daemon still accepts requests, so that callers can see that it is unready.
	stopWait = 200 * time.Millisecond
)

// ErrKilled is the error with which a killed daemon ends.
const ErrKilled = errors.ConstError("killed")

// ErrNotReady means that a daemon did not become ready in time, or that a condition passed to Await did not hold in
// time.
const ErrNotReady = errors.ConstError("not ready in time")

// System is a system in one process. Set the fields from Dir to OnHost before Start, which sets the others. SeedPeers may
// also be changed later.
type System struct {
	Dir       string // directory for the ticket key
	Centres   []Centre
	Log       hclog.Logger
	Seed      uint64   // of the random numbers; each started daemon uses the next value
	SeedPeers []string // Settings.Peers of the daemons started from now on
	// OnHost becomes table.Service.OnHost. It may be nil.
	OnHost func(name, state string)

	Timer     *timer.Service
	Platform  *table.Service
	Instances map[string]*instance.Server // by host
	Daemons   map[string]*Daemon          // by name; use Running while daemons are started and stopped

	mu        sync.Mutex // guards Daemons
	network   network
	addrs     map[string]string // by host: address of its instance
	authority *peer.Authority
	stopTimer context.CancelFunc
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
	socket *peerSocket
	killed chan struct{}
}

// Start starts the platform, the instances and the daemons. Stop must be called even after an error.
func (s *System) Start(ctx context.Context) error {
	s.Timer = timer.New()
	timerCtx, stop := context.WithCancel(context.Background())
	s.stopTimer = stop
	s.wg.Go(func() { _ = s.Timer.Run(timerCtx) })
	s.Platform = &table.Service{Timer: s.Timer, Reboot: time.Second, Replace: time.Second, OnHost: s.OnHost}
	s.Instances = map[string]*instance.Server{}
	s.Daemons = map[string]*Daemon{}
	s.addrs = map[string]string{}
	var err error
	if s.authority, err = peer.NewAuthority(rand.Reader, s.Timer.Now()); err != nil {
		return fmt.Errorf("create the certificate authority: %w", err)
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
	s.Platform.AddWorkers(table.Worker{Name: host, Centre: centre, Rack: rackOf(i), Cores: hostCores, Memory: hostMemory})
	s.wg.Go(func() { _ = server.Serve(l) })
	return nil
}

// listenPeers opens the socket on which a daemon talks to its peers.
func (s *System) listenPeers(centre string) (*peerSocket, error) {
	conn, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp", loopback)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	s.network.add(conn.LocalAddr().String(), centre)
	return &peerSocket{PacketConn: conn, network: &s.network, centre: centre}, nil
}

// StartDaemon starts an entry daemon and waits until it listens for operators, which may be before it is ready. If the
// name was used before, this restarts that daemon.
func (s *System) StartDaemon(name, centre string) (*Daemon, error) {
	config, err := s.authority.Config(name)
	if err != nil {
		return nil, fmt.Errorf("create the certificate of %s: %w", name, err)
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
			Name: name, Centre: centre, Key: s.keyFile(), Share: 1, Peers: s.SeedPeers,
			Listen: settings.Listen{Callers: loopback, Operators: loopback, Peers: loopback},
			Stop:   cuminstair.Duration(StopTime),
			Wait:   cuminstair.Duration(stopWait),
		},
		Log:      s.Log.Named(name),
		Timer:    s.Timer,
		Rand:     mathrand.New(mathrand.NewPCG(s.Seed, 1)),
		Platform: link,
		PeerTLS:  config,
		PeerConn: conn,
		Parts:    []daemon.Part{{Name: "kill", Run: killPart(killed)}},
	}
	if err := n.Build(); err != nil {
		return nil, fmt.Errorf("build %s: %w", name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{Name: name, Centre: centre, Node: n, Link: link, socket: conn, killed: killed, cancel: cancel, done: make(chan error, 1)}
	s.mu.Lock()
	s.Daemons[name] = d
	s.mu.Unlock()
	s.Platform.AddHosts(table.Host{Name: name, Centre: centre, Rack: "entry", Role: "entry"})
	s.wg.Go(func() { d.done <- n.Run(ctx) })
	return d, s.await(func() bool { return n.Addr("operators") != nil })
}

// loopback is a listen address on which the operating system chooses a free port.
const loopback = "127.0.0.1:0"

// Stop shuts the daemon down in a planned way and returns its error.
func (d *Daemon) Stop() error {
	d.cancel()
	err := <-d.done
	d.done <- nil
	return err
}

// Kill ends the daemon without a planned stop. Nothing that it sends from then on reaches the platform or a peer, and
// its connections break.
func (d *Daemon) Kill() error {
	d.Link.SetDisconnected(true)
	d.socket.kill()
	close(d.killed)
	err := <-d.done
	d.done <- nil
	if errors.Is(err, ErrKilled) {
		return nil
	}
	return err
}

// killPart returns the Run function of a daemon part that ends the daemon with ErrKilled when killed is closed.
func killPart(killed <-chan struct{}) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-killed:
			return ErrKilled
		case <-ctx.Done():
			return nil
		}
	}
}

// PeerEntry returns the entry for the daemon in the Settings.Peers of other daemons.
func (d *Daemon) PeerEntry() string { return d.Name + "=" + d.socket.LocalAddr().String() }

// Callers returns the base URL for callers.
func (d *Daemon) Callers() string { return "http://" + d.Node.Addr("callers").String() }

// Operators returns a client of the daemon's operator API.
func (d *Daemon) Operators() *operator.Client {
	return &operator.Client{
		Servers: []string{"http://" + d.Node.Addr("operators").String()},
		HTTP:    &http.Client{Timeout: StopTime},
	}
}

// Running returns the daemons that are ready, sorted by name.
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

// SetCentreDisconnected disconnects a data centre from the platform and from the other data centres, or reconnects it.
func (s *System) SetCentreDisconnected(name string, disconnected bool) {
	s.network.setDisconnected(name, disconnected)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.Daemons {
		if d.Centre == name {
			d.Link.SetDisconnected(disconnected)
		}
	}
}

// Ready waits until all daemons are ready. Error: ErrNotReady.
func (s *System) Ready() error {
	for _, d := range s.Daemons {
		if err := s.await(func() bool { return d.Node.Ready() == nil }); err != nil {
			return fmt.Errorf("%s: %w: %w", d.Name, d.Node.Ready(), err)
		}
	}
	return nil
}

// Await waits until a condition holds. It returns ErrNotReady if that takes longer than 2 × StopTime.
func (s *System) Await(cond func() bool) error { return s.await(cond) }

func (s *System) await(cond func() bool) error {
	deadline := s.Timer.Now().Add(2 * StopTime)
	for !cond() {
		if s.Timer.Now().After(deadline) {
			return ErrNotReady
		}
		passed := make(chan struct{})
		s.Timer.After(pollInterval, func(time.Time) { close(passed) })
		<-passed
	}
	return nil
}

// Stop stops the daemons that still run, then the instances and the timer.
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
	if s.stopTimer != nil {
		s.stopTimer()
	}
	s.wg.Wait()
}
