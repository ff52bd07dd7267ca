package runner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/rollout"
)

// Runner drives a node. The exported fields must be set before Run; OnInstall and Recorder may be nil. It is safe for
// concurrent use.
type Runner struct {
	Node     *rollout.Node
	Timer    cuminstair.Timer
	Table    cuminstair.Table
	Objects  cuminstair.Objects
	Exchange cuminstair.Exchange
	Recorder cuminstair.Recorder
	// OnInstall is called under the runner's lock for each generation, in order. It must not block or call the runner.
	OnInstall func(node *rollout.Node, in rollout.Install)
	// NewID returns a unique id for a commit.
	NewID func() string

	mu  sync.Mutex
	ctx context.Context // ends the goroutines that Run started; nil while Run does not run
	wg  sync.WaitGroup
}

// Run drives the node until ctx ends and waits for the goroutines that it started.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	tick := func(now time.Time) {
		r.handle(func() rollout.Actions { return r.Node.Tick(now) })
	}
	tick(r.Timer.Now())
	stop := r.Timer.Every(rollout.TickEvery, tick)
	<-ctx.Done()
	stop()
	r.mu.Lock()
	r.ctx = nil // From here on spawn does nothing.
	r.mu.Unlock()
	r.wg.Wait()
	return nil
}

// handle passes an event to the node under the lock and carries out the resulting actions.
func (r *Runner) handle(event func() rollout.Actions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.execute(event())
}

func (r *Runner) execute(a rollout.Actions) {
	if a.Install != nil && r.OnInstall != nil {
		r.OnInstall(r.Node, *a.Install)
	}
	if r.Recorder != nil {
		for _, d := range a.Decisions {
			r.Recorder.Record(d)
		}
	}
	for _, m := range a.Announce {
		r.Exchange.Tell(m.To, rollout.Encode(m.Message))
	}
	if a.Poll {
		r.spawn(r.poll)
	}
	if a.Fetch != nil {
		f := *a.Fetch
		r.spawn(func(ctx context.Context) { r.fetch(ctx, f) })
	}
}

// spawn starts fn on its own goroutine if Run runs. The lock must be held.
func (r *Runner) spawn(fn func(ctx context.Context)) {
	ctx := r.ctx
	if ctx == nil {
		return
	}
	r.wg.Go(func() { fn(ctx) })
}

func (r *Runner) poll(ctx context.Context) {
	asked := r.Timer.Now()
	h, err := ReadHead(ctx, r.Table)
	r.handle(func() rollout.Actions {
		if err != nil {
			r.Node.PlatformFailed(err.Error())
			return rollout.Actions{}
		}
		return r.Node.PlatformHead(r.Timer.Now(), asked, h)
	})
}

func (r *Runner) fetch(ctx context.Context, f rollout.Fetch) {
	u, err := r.request(ctx, f)
	r.handle(func() rollout.Actions {
		if err != nil {
			return r.Node.FetchFailed(r.Timer.Now(), f.ID, err.Error())
		}
		return r.Node.FetchDone(r.Timer.Now(), f.ID, f.Source, u)
	})
}

func (r *Runner) request(ctx context.Context, f rollout.Fetch) (rollout.Update, error) {
	if f.Source.Peer == "" {
		return ReadUpdate(ctx, r.Table, r.Objects, f.Request)
	}
	data, err := r.Exchange.Ask(ctx, f.Source.Peer, rollout.Encode(f.Request))
	if err != nil {
		return rollout.Update{}, fmt.Errorf("ask peer %s: %w", f.Source.Peer, err)
	}
	return rollout.Decode[rollout.Update](data)
}

// HandleAnnouncement processes an announcement of a peer.
func (r *Runner) HandleAnnouncement(message []byte) error {
	a, err := rollout.Decode[rollout.Announcement](message)
	if err != nil {
		return fmt.Errorf("read announcement: %w", err)
	}
	r.handle(func() rollout.Actions { return r.Node.Announced(r.Timer.Now(), a) })
	return nil
}

// HandleRequest answers the request of a peer.
func (r *Runner) HandleRequest(message []byte) ([]byte, error) {
	req, err := rollout.Decode[rollout.Request](message)
	if err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	r.mu.Lock()
	u := r.Node.Serve(req)
	r.mu.Unlock()
	return rollout.Encode(u), nil // Outside the lock: sections are immutable, and a whole fleet takes long to encode.
}

// Apply accepts a configuration; see Applier.Apply. A newly accepted configuration is in force in this daemon when Apply
// returns; one that was accepted before may still have to be fetched.
func (r *Runner) Apply(ctx context.Context, in rollout.Apply) (Result, error) {
	a := &Applier{Table: r.Table, Objects: r.Objects, State: r.state, NewID: r.NewID, Pause: r.pause}
	res, err := a.Apply(ctx, in)
	if err != nil {
		return res, err
	}
	r.handle(func() rollout.Actions { return r.Node.Accepted(r.Timer.Now(), res.Plan, res.Head.Version) })
	return res, nil
}

func (r *Runner) state() rollout.Base {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Node.Base()
}

// settlePause is the time between two reads of an uncertain commit.
const settlePause = 200 * time.Millisecond

func (r *Runner) pause(ctx context.Context) bool {
	done := make(chan struct{})
	stop := r.Timer.After(settlePause, func(time.Time) { close(done) })
	select {
	case <-done:
		return true
	case <-ctx.Done():
		stop()
		return false
	}
}

// View calls fn with the node under the lock. fn must only read.
func (r *Runner) View(fn func(n *rollout.Node)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(r.Node)
}
