package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/abort"
	"cuminstair.org/cuminstair/assignment"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/intake"
)

// Paths and limits of calls between daemons. A daemon forwards the calls of its callers to the owner of their service.
const (
	callPath        = "/call"
	notifyPath      = "/poke"
	cordonPath      = "/cordon"
	stopPath        = "/stop"
	offerPath       = "/offer"
	openPath        = "/open"
	closePath       = "/close"
	peerDialTimeout = 500 * time.Millisecond
	peerIdleTimeout = 30 * time.Second
	peerTimeout     = 500 * time.Millisecond
)

// callRequest is a caller's call that is forwarded to the owner.
type callRequest struct {
	Method string               `json:"method"`
	ID     string               `json:"id"`
	Queue  cuminstair.WorkQueue `json:"queue"`
	Job    *cuminstair.JobSpec  `json:"job,omitempty"`
	// Account is the client account whose key the call had; empty: none.
	Account string `json:"account,omitempty"`
	From    string `json:"from,omitempty"`  // address of the daemon that forwards the call
	Run     string `json:"run,omitempty"`   // its Node.Run
	Number  uint64 `json:"n,omitempty"`     // unique in that run; 0: the daemon is of an earlier version
	Stamp   *stamp `json:"stamp,omitempty"` // see requestStamp; nil: the daemon is of an earlier version
}

// callReply is the owner's answer to a callRequest.
type callReply struct {
	NotOwner bool                `json:"not,omitempty"`
	Owner    string              `json:"owner,omitempty"` // if NotOwner: address of the owner, if known
	Outcome  dispatch.Outcome    `json:"outcome"`
	Wait     int64               `json:"wait,omitempty"` // milliseconds
	Why      string              `json:"why,omitempty"`
	State    cuminstair.JobState `json:"state,omitempty"`
	Waiting  int                 `json:"waiting,omitempty"`
	Stamp    *stamp              `json:"stamp,omitempty"` // of the owner that answers; nil: it is of an earlier version
	// Late means that the call was not acted on, since it may be a late copy. A daemon that still waits sends it again with Stamp.
	Late bool `json:"late,omitempty"`
}

// cordonRequest asks an owner to drain workers.
type cordonRequest struct {
	Service string   `json:"service"`
	Workers []string `json:"workers,omitempty"` // workers that get no more tasks
	Due     []string `json:"due,omitempty"`     // workers that get no more long-running tasks
	Yield   int      `json:"yield,omitempty"`   // number of workers to drain for another pool
	Stamp   *stamp   `json:"stamp,omitempty"`   // see requestStamp
}

// stopRequest tells an earlier owner that it no longer owns the service.
type stopRequest struct {
	Service string `json:"service"`
	Token   int64  `json:"token"` // of the new owner
	Run     string `json:"run"`   // Node.Run of the earlier owner
	Owner   string `json:"owner"` // address of the new owner
}

// stopReply reports whether the daemon has stopped giving orders for the service.
type stopReply struct {
	Stopped bool `json:"stopped"`
}

// offerRequest asks a daemon to take over a service.
type offerRequest struct {
	Service string `json:"service"`
	Run     string `json:"run"` // Node.Run of the owner that offers it
	Seq     int64  `json:"seq"` // Owner.Seq as last written, or being written; 0: the owner is of an earlier version
}

type offerReply struct {
	Taken bool `json:"taken"`
}

type cordonReply struct {
	NotOwner bool     `json:"not,omitempty"`
	Late     bool     `json:"late,omitempty"`  // nothing was done, since the request may be a late one
	Stamp    *stamp   `json:"stamp,omitempty"` // nil: the owner is of an earlier version
	Idle     []string `json:"idle,omitempty"`  // of Workers: those without tasks
	Free     []string `json:"free,omitempty"`  // of Due: those without long-running tasks
}

// peerClient calls other daemons.
type peerClient struct {
	dialer *net.Dialer

	mu      sync.Mutex
	clients map[string]*http.Client // by the address of the daemon
}

func newPeerClient() *peerClient {
	return &peerClient{
		dialer: &net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1}, clients: map[string]*http.Client{},
	}
}

// to returns the client for calls to a daemon, which has the connections to it.
func (p *peerClient) to(addr string) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[addr]
	if !ok {
		c = &http.Client{Transport: &http.Transport{
			DialContext: p.dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: peerIdleTimeout, DisableCompression: true,
		}}
		p.clients[addr] = c
	}
	return c
}

// dial connects to a daemon. Calls that are given up on the connection are not sent any more.
func (p *peerClient) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := p.dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err //nolint:wrapcheck // post looks for the net.OpError and names the address
	}
	return abort.New(c), nil
}

// post sends body as JSON and decodes the answer into the variable that into points to, unless into is nil. The error
// wraps errNoOwner if the connection failed, so that nothing was sent.
func (p *peerClient) post(ctx context.Context, addr, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode call to %s: %w", addr, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("make call to %s: %w", addr, err)
	}
	req.GetBody = nil
	client := p.to(addr)
	resp, err := client.Do(req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			client.CloseIdleConnections() // they may all be half-open, and each would cost a timeout
		}
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return fmt.Errorf("call %s: %w: %w", addr, errNoOwner, err)
		}
		return fmt.Errorf("call %s: %w", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, intake.PeerBody))
	if err != nil {
		return fmt.Errorf("read answer of %s: %w", addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("call %s: status %d", addr, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return fmt.Errorf("decode answer of %s: %w", addr, err)
	}
	return nil
}

func (p *peerClient) callOwner(ctx context.Context, addr string, q callRequest) (callReply, error) {
	var a callReply
	err := p.post(ctx, addr, callPath, q, &a)
	return a, err
}

// preview asks the owner of a service for a preview. An answer without one is an error here.
func (p *peerClient) preview(ctx context.Context, addr string, q PreviewRequest) (PreviewReply, error) {
	var a PreviewReply
	err := p.post(ctx, addr, PreviewPath, q, &a)
	return a, err
}

// notify makes a daemon read the owner records at once and returns whether it answered. The daemon reads the records
// regularly anyway, so a lost notification only costs time.
func (p *peerClient) notify(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return p.post(ctx, addr, notifyPath, struct{}{}, nil) == nil
}

// stop tells an earlier owner to stop and returns whether it has.
func (p *peerClient) stop(ctx context.Context, addr string, q stopRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var a stopReply
	return p.post(ctx, addr, stopPath, q, &a) == nil && a.Stopped
}

// offer asks a daemon to take over a service and returns whether it has begun to.
func (p *peerClient) offer(ctx context.Context, addr string, q offerRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var a offerReply
	return p.post(ctx, addr, offerPath, q, &a) == nil && a.Taken
}

// serveStop ends this daemon's runner of a service that has a newer owner.
func (d *Daemon) serveStop(c echo.Context) error {
	var q stopRequest
	if err := decodeBody(c, &q); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	d.mu.Lock()
	r := d.runners[q.Service]
	// An order that TCP delivers late may be of an owner that has a successor.
	if _, version := d.view.Owner(q.Service); q.Token >= max(d.newerOwners[q.Service], int64(version)) {
		d.ownerHints[q.Service] = ownerHint{addr: q.Owner, at: d.Timer.Now()}
	}
	d.newerOwners[q.Service] = max(d.newerOwners[q.Service], q.Token) // ends a takeover in progress
	d.mu.Unlock()
	if r == nil || int64(r.token) >= q.Token {
		// A runner of an earlier start of this daemon ended with its process; this process has no runner of the service,
		// or a runner with the same or a newer token.
		return c.JSON(http.StatusOK, stopReply{Stopped: r == nil || q.Run != d.runID})
	}
	r.post(func(time.Time) { r.state.Depose("the new owner ordered the stop") })
	select {
	case <-r.done:
		return c.JSON(http.StatusOK, stopReply{Stopped: true})
	case <-c.Request().Context().Done():
		return c.JSON(http.StatusOK, stopReply{})
	}
}

func (d *Daemon) serveOffer(c echo.Context) error {
	var q offerRequest
	if err := decodeBody(c, &q); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, offerReply{Taken: d.acceptOffer(q)})
}

func (d *Daemon) peerServer() *http.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.POST(callPath, d.servePeer)
	e.POST(cordonPath, d.serveCordon)
	e.POST(demandPath, d.serveDemand)
	e.POST(stopPath, d.serveStop)
	e.POST(offerPath, d.serveOffer)
	e.POST(openPath, d.serveOpen)
	e.POST(closePath, d.serveClose)
	e.POST(PreviewPath, d.servePreview)
	e.POST(notifyPath, func(c echo.Context) error {
		signal(d.readOwnersNow)
		return c.NoContent(http.StatusOK)
	})
	return &http.Server{Handler: e}
}

func (d *Daemon) servePeer(c echo.Context) error {
	var q callRequest
	if err := decodeBody(c, &q); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	if q.Job != nil {
		if err := q.Job.Validate(); err != nil {
			d.Log.Error("entry: invalid job from another daemon", "job", q.ID, "error", err)
			return c.String(http.StatusBadRequest, err.Error())
		}
	}
	r, addr := d.owner(q.Queue.Service)
	if r == nil {
		return c.JSON(http.StatusOK, callReply{NotOwner: true, Owner: addr})
	}
	x := call{queue: q.Queue, id: q.ID, method: q.Method, account: q.Account, arrived: d.Timer.Now()}
	a, err := d.callForwarded(c.Request().Context(), r, x, q)
	if errors.Is(err, errNoOwner) {
		return c.JSON(http.StatusOK, callReply{NotOwner: true})
	}
	if err != nil {
		a = callReply{Outcome: dispatch.Uncertain, Why: err.Error()}
	}
	return c.JSON(http.StatusOK, a)
}

func decodeBody(c echo.Context, into any) error {
	data, err := intake.ReadBody(c.Request(), intake.PeerBody)
	if err != nil {
		intake.Refuse(c.Response(), c.Request())
		return fmt.Errorf("read call: %w", err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("decode call: %w", err)
	}
	return nil
}

// callLocal passes a call to the runner of a service that this daemon owns. A forwarded call that may be a late copy is not
// acted on.
func (d *Daemon) callLocal(ctx context.Context, r *runner, x call, spec *cuminstair.JobSpec) (callReply, error) {
	answers := make(chan callReply, 1)
	posted := r.post(func(now time.Time) {
		answer := func(a callReply) {
			a.Stamp = r.stamp(now)
			answers <- a
		}
		result := func(res dispatch.Result) {
			answer(callReply{Outcome: res.Outcome, Wait: res.Wait.Milliseconds(), Why: res.Why})
		}
		switch {
		case r.state.Deposed() || r.ended:
			answers <- callReply{NotOwner: true}
		case x.forwarded && r.mayBeLate(now, x):
			answer(callReply{Late: true, Outcome: dispatch.Uncertain})
		case !r.state.MayAccess(x.id, x.account):
			answer(callReply{Outcome: dispatch.Forbidden})
		case x.method == http.MethodPost && spec != nil:
			r.state.Submit(now, x.id, spec, x.queue, x.account, result)
		case x.method == http.MethodDelete:
			r.state.Cancel(now, x.id, result)
		case x.id == "":
			answer(callReply{Waiting: r.state.Waiting(assignment.KeyOf(&x.queue))})
		default:
			answer(callReply{State: r.state.State(x.id)})
		}
	})
	if !posted {
		return callReply{}, errNoOwner
	}
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		return callReply{}, fmt.Errorf("owner of %s: %w", r.service, ctx.Err())
	case <-r.done:
		// Before it ends, the runner answers every event that it has read.
		select {
		case a := <-answers:
			return a, nil
		default:
			return callReply{}, errNoOwner
		}
	}
}
