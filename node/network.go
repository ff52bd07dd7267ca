package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/member"
	"cuminstair.org/cuminstair/rollout"
	"cuminstair.org/cuminstair/ticket"
)

// confirmTimeout bounds a Confirm request to the daemons of the data centre, which answer within a round trip.
const confirmTimeout = 2 * time.Second

// errNoPeers means that the settings name no listener for peers.
const errNoPeers = errors.ConstError("this daemon has no peers")

// transport carries messages between daemons.
type transport interface {
	cuminstair.Peers
	cuminstair.Exchange
	// Gossip sends a digest, which may be lost.
	Gossip(s member.Send)
	// HandOver sends encoded tickets to a daemon, which imports them.
	HandOver(ctx context.Context, daemon string, data []byte) error
}

// network keeps the membership of the daemons and sends messages to them. It is safe for concurrent use.
type network struct {
	name, centre string
	timer        cuminstair.Timer
	log          hclog.Logger
	client       transport // nil if the settings name no listener for peers

	mu      sync.Mutex
	members member.Members
	seeds   []member.Seed
}

var (
	_ cuminstair.Peers    = (*network)(nil)
	_ cuminstair.Exchange = (*network)(nil)
)

// Forward implements cuminstair.Peers.
func (w *network) Forward(ctx context.Context, daemon string, m *cuminstair.Message) *cuminstair.Message {
	if w.client == nil {
		return reply(m, cuminstair.OutcomeNotRun, cuminstair.ReasonNoUpstream, errNoPeers.Error())
	}
	answer := w.client.Forward(ctx, daemon, m)
	if answer.Status == 0 {
		// The request did not reach the peer, so no daemon has set a status.
		answer.Status = statusOf(answer.Outcome, answer.Reason)
	}
	return answer
}

// Confirm implements cuminstair.Peers.
func (w *network) Confirm(ctx context.Context, daemons []string, host string) []string {
	if w.client == nil {
		return daemons
	}
	// A daemon that is gone must delay neither the step of the controller nor a planned stop, which waits for that step.
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	missing := make(chan []string, 1)
	go func() { missing <- w.client.Confirm(ctx, daemons, host) }()
	select {
	case list := <-missing:
		return list
	case <-ctx.Done():
		return daemons
	}
}

// Tell implements cuminstair.Exchange.
func (w *network) Tell(daemon string, message []byte) {
	if w.client != nil {
		w.client.Tell(daemon, message)
	}
}

// Ask implements cuminstair.Exchange.
func (w *network) Ask(ctx context.Context, daemon string, message []byte) ([]byte, error) {
	if w.client == nil {
		return nil, errNoPeers
	}
	return w.client.Ask(ctx, daemon, message)
}

// run sends gossip until ctx ends.
func (w *network) run(ctx context.Context) error {
	stop := w.timer.Every(member.Tick, func(now time.Time) {
		w.updateMembers(func() []member.Send { return w.members.Tick(now) })
	})
	<-ctx.Done()
	stop()
	return nil
}

// updateMembers runs event with the lock held and sends the gossip that it returns.
func (w *network) updateMembers(event func() []member.Send) {
	w.mu.Lock()
	sends := event()
	w.mu.Unlock()
	for _, s := range sends {
		w.send(s)
	}
}

func (w *network) send(s member.Send) {
	if w.client != nil {
		w.client.Gossip(s)
	}
}

// receiveGossip applies a digest from a peer.
func (w *network) receiveGossip(from string, data []byte) {
	w.updateMembers(func() []member.Send {
		sends, err := w.members.Receive(w.timer.Now(), from, data)
		if err != nil {
			w.log.Warn("gossip digest ignored", "from", from, "error", err)
		}
		return sends
	})
}

// setSeeds sets the addresses of daemons to contact besides the known members.
func (w *network) setSeeds(seeds []member.Seed) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seeds = seeds
	w.members.Seed(seeds)
}

// locate returns the address of a daemon, from the membership or the seeds.
func (w *network) locate(daemon string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.members.List(w.timer.Now()) {
		if m.Name == daemon && m.Addr != "" {
			return m.Addr, true
		}
	}
	for _, s := range w.seeds {
		if s.Name == daemon {
			return s.Addr, true
		}
	}
	return "", false
}

// addr returns the address at which peers reach this daemon; empty without a listener for peers.
func (w *network) addr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members.Self.Addr
}

// list returns the daemons that have not left, including this one.
func (w *network) list() []member.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members.List(w.timer.Now())
}

// expected returns the sorted names of the daemons that have to confirm a configuration: the members and the seeds,
// except members that are gone.
func (w *network) expected() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	gone := map[string]bool{}
	var names []string
	for _, m := range w.members.List(w.timer.Now()) {
		if m.Health == member.Gone {
			gone[m.Name] = true
			continue
		}
		names = append(names, m.Name)
	}
	for _, s := range w.seeds {
		if !gone[s.Name] && !slices.Contains(names, s.Name) {
			names = append(names, s.Name)
		}
	}
	slices.Sort(names)
	return names
}

// member implements ticket.Members.
func (w *network) member(h ticket.Home) (ticket.Member, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, alive, ok := w.members.FindRun(h.Name, h.Incarnation)
	if !ok {
		return ticket.Member{}, false
	}
	return ticket.Member{
		Alive:     alive,
		Left:      r.State == member.Left,
		Successor: ticket.Home{Name: r.Successor, Incarnation: r.SuccessorStart},
	}, true
}

func (w *network) setGeneration(gen uint64) {
	w.updateMembers(func() []member.Send { return w.members.SetGeneration(w.timer.Now(), gen) })
}

func (w *network) setLoads(loads []cuminstair.Load) {
	w.updateMembers(func() []member.Send {
		w.members.SetLoads(w.timer.Now(), loads)
		return nil
	})
}

func (w *network) setUpstreams(leaving, planned, suspect []string) {
	w.updateMembers(func() []member.Send {
		sends, dropped := w.members.SetUpstreams(w.timer.Now(), leaving, planned, suspect)
		if len(dropped) > 0 {
			w.log.Warn("hosts omitted from the gossip digest", "count", len(dropped))
		}
		return sends
	})
}

func (w *network) setState(s member.State, successor ticket.Home) {
	w.updateMembers(func() []member.Send {
		return w.members.SetState(w.timer.Now(), s, successor.Name, successor.Incarnation)
	})
}

// peers returns the other daemons for the exchange of configurations.
func (w *network) peers() []rollout.Peer {
	var list []rollout.Peer
	for _, m := range w.list() {
		if m.Name != w.name && m.Health != member.Gone {
			list = append(list, rollout.Peer{Name: m.Name, Centre: m.Centre})
		}
	}
	return list
}

// handOver transfers tickets to the first daemon that accepts them, or may have accepted them, and returns that daemon.
// Daemons of the local data centre are tried first.
func (w *network) handOver(ctx context.Context, export func(to ticket.Home) ([]byte, error), redirect func(to ticket.Home)) (ticket.Home, error) {
	exported := false
	var data []byte
	for _, m := range w.successors() {
		to := ticket.Home{Name: m.Name, Incarnation: m.Start}
		if !exported {
			var err error
			if data, err = export(to); err != nil {
				return ticket.Home{}, fmt.Errorf("export tickets: %w", err)
			}
			exported = true
		} else {
			redirect(to)
		}
		err := w.client.HandOver(ctx, to.Name, data)
		if err == nil {
			return to, nil
		}
		w.log.Warn("ticket hand-over failed", "to", to.Name, "error", err)
		if !errors.Is(err, ticket.ErrFull) && !errors.Is(err, ticket.ErrStopping) {
			// The daemon may have imported the tickets, so no other daemon may import them.
			return to, nil
		}
	}
	return ticket.Home{}, cuminstair.ErrNotFound
}

// successors returns the daemons that may take over tickets, those of the local data centre first.
func (w *network) successors() []member.Member {
	var local, remote []member.Member
	if w.client == nil {
		return nil
	}
	for _, m := range w.list() {
		switch {
		case m.Name == w.name || m.Health != member.Healthy || m.State != member.Alive:
		case m.Centre == w.centre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	return append(local, remote...)
}
