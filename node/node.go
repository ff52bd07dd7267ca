// Package node assembles an entry daemon from its parts: the request path, the client of the platform, the exchange with
// the other daemons, the configuration rollout and the control of its data centre.
package node

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/admit"
	"cuminstair.org/cuminstair/control"
	"cuminstair.org/cuminstair/daemon"
	"cuminstair.org/cuminstair/health"
	"cuminstair.org/cuminstair/operator"
	"cuminstair.org/cuminstair/retry"
	"cuminstair.org/cuminstair/rollout"
	"cuminstair.org/cuminstair/rollout/runner"
	"cuminstair.org/cuminstair/route"
	"cuminstair.org/cuminstair/settings"
	"cuminstair.org/cuminstair/tables"
	"cuminstair.org/cuminstair/ticket"
)

// Node is an entry daemon with all its parts. Exported fields are set before Run.
type Node struct {
	Settings *settings.Settings
	Log      hclog.Logger
	Timer    cuminstair.Timer // the owner of the timer calls its Run
	Rand     *rand.Rand       // used only by Build; each part gets a generator of its own
	// Platform is optional; the default is a client of Settings.Platform. A daemon without either serves the file
	// Settings.Fleet.
	Platform cuminstair.Platform
	// PeerTLS is optional; the default is read from the files of Settings.TLS.Peers.
	PeerTLS *tls.Config
	// PeerConn is optional; the default is a socket at the address Settings.Listen.Peers.
	PeerConn net.PacketConn
	// Parts are optional further parts; a part that returns early stops the daemon without a planned stop.
	Parts []daemon.Part

	start         uint64 // start time in Unix nanoseconds, which identifies this run of the daemon
	commits       atomic.Uint64
	daemon        *daemon.Daemon
	config        *runner.Runner
	control       *control.Control
	network       *network
	tickets       *Tickets
	health        *health.Monitor
	router        *route.Router
	view          *hostView
	liveDaemons   atomic.Pointer[[]string] // usable daemons of the data centre, among which the active checks are divided
	registrations registrations
	freshAt       atomic.Int64 // when the view was last found usable, in Unix nanoseconds
}

// Run runs the daemon until ctx ends (a planned stop) or a part fails.
func (n *Node) Run(ctx context.Context) error {
	if err := n.Build(); err != nil {
		return err
	}
	return n.daemon.Run(ctx)
}

// Addr returns the address of a running listener, "callers", "operators" or "metrics", or nil. It is called after
// Build.
func (n *Node) Addr(name string) net.Addr { return n.daemon.Addr(name) }

// Ready returns nil if the load balancer may send callers to this daemon, and otherwise the reason why not. It is called
// after Build.
func (n *Node) Ready() error { return n.daemon.Ready() }

// Build creates and connects the parts. Run calls it if it was not called before.
func (n *Node) Build() error {
	if n.daemon != nil {
		return nil
	}
	n.start = uint64(n.Timer.Now().UnixNano())
	n.buildRequestPath()
	if err := n.buildNetwork(); err != nil {
		return err
	}
	if err := n.buildTickets(); err != nil {
		return err
	}
	if n.Platform == nil && n.Settings.Platform != "" {
		n.Platform = &tables.Client{Base: "http://" + n.Settings.Platform, Timer: n.Timer, Rand: n.rand(), HTTP: &http.Client{}}
	}
	if n.Platform != nil {
		n.buildPlatformParts()
	}
	n.daemon.Parts = append(n.daemon.Parts, n.Parts...)
	return nil
}

// buildPlatformParts creates the parts that need the platform. The fields of the daemon that its request path reads are
// set before its methods are called, because the first call builds the request path.
func (n *Node) buildPlatformParts() {
	n.daemon.Fresh = n.fresh
	n.daemon.NoFleetReason = n.noFleetReason
	n.buildConfig()
	n.buildControl()
	n.daemon.Parts = append(n.daemon.Parts,
		daemon.Part{Name: "rollout", Run: n.config.Run},
		daemon.Part{Name: "control", Run: n.control.Run},
		daemon.Part{Name: "register", Run: n.register},
	)
	n.daemon.Operators = (&operator.Server{Operations: &operations{node: n}, Log: n.Log.Named("operator")}).Handler()
}

// rand returns a generator for one part.
func (n *Node) rand() *rand.Rand {
	return rand.New(rand.NewPCG(n.Rand.Uint64(), n.Rand.Uint64()))
}

// buildRequestPath creates the daemon with its router, admission, quotas, retries and health.
func (n *Node) buildRequestPath() {
	n.router = &route.Router{Centre: n.Settings.Centre, Rand: n.rand()}
	n.health = &health.Monitor{}
	n.daemon = &daemon.Daemon{
		Settings:     n.Settings,
		Log:          n.Log,
		Timer:        n.Timer,
		Router:       n.router,
		NewAdmission: func() cuminstair.Admission { return &admit.Queue{} },
		Quotas:       &admit.Quotas{},
		Retries:      &retry.Budget{Rand: n.rand()},
		Health:       n.health,
	}
	n.view = &hostView{node: n}
}

// buildConfig creates the part that rolls out configurations.
func (n *Node) buildConfig() {
	n.config = &runner.Runner{
		Node: &rollout.Node{
			Name:        n.Settings.Name,
			Incarnation: n.start,
			Centre:      n.Settings.Centre,
			Rand:        n.rand(),
		},
		Timer:     n.Timer,
		Table:     n.Platform,
		Objects:   n.Platform,
		Exchange:  n.network,
		Recorder:  n.daemon.Explain(),
		OnInstall: n.install,
		NewID:     n.newCommitID,
	}
}

// newCommitID returns a unique id for a commit.
func (n *Node) newCommitID() string {
	return n.Settings.Name + "-" + strconv.FormatUint(n.start, 36) + "-" + strconv.FormatUint(n.commits.Add(1), 36)
}

// noFleetReason returns why there is no configuration yet.
func (n *Node) noFleetReason() string {
	why := ""
	n.config.View(func(r *rollout.Node) { _, why = r.Ready() })
	return why
}

// buildControl creates the part that plans maintenance.
func (n *Node) buildControl() {
	n.control = &control.Control{
		Centre:       n.Settings.Centre,
		Self:         n.Settings.Name,
		Boot:         strconv.FormatUint(n.start, 36),
		Table:        n.Platform,
		Hosts:        n.Platform,
		Peers:        n.network,
		Timer:        n.Timer,
		Rand:         n.rand(),
		Recorder:     n.daemon.Explain(),
		Tasks:        n.Platform,
		Log:          n.Log.Named("control"),
		OnHostState:  n.view.setState,
		OnPoolChange: n.view.setPool,
		OnHostList:   n.setLeavingByList,
		Idle:         n.daemon.Decisions().Confirm,
	}
}

// buildTickets creates the ticket store, which keeps repeated requests from running twice, if the settings name a key.
func (n *Node) buildTickets() error {
	if n.Settings.Key == "" {
		return nil
	}
	key, err := os.ReadFile(n.Settings.Key)
	if err != nil {
		return fmt.Errorf("read the ticket key: %w", err)
	}
	if err := ticket.Key(key).Check(); err != nil {
		return fmt.Errorf("check the ticket key: %w", err)
	}
	n.tickets = &Tickets{
		Timer:   n.Timer,
		Log:     n.Log.Named("ticket"),
		Key:     key,
		Store:   &ticket.Store{Self: ticket.Home{Name: n.Settings.Name, Incarnation: n.start}},
		Members: n.network.member,
		Peers:   n.network,
	}
	n.daemon.Tickets = n.tickets
	n.daemon.HandOver = n.handOver
	n.daemon.Parts = append(n.daemon.Parts, daemon.Part{Name: "ticket", Run: n.expireTickets})
	return nil
}

// expireTickets frees the memory of old tickets until ctx ends.
func (n *Node) expireTickets(ctx context.Context) error {
	stop := n.Timer.Every(time.Second, func(time.Time) { n.tickets.Expire() })
	<-ctx.Done()
	stop()
	return nil
}
