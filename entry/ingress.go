package entry

import (
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/assignment"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/intake"
	"cuminstair.org/cuminstair/platform"
)

// Limits for callers.
const (
	// defaultCallTimeout bounds a call without a deadline.
	defaultCallTimeout = 3 * time.Second
	// answerReserve is the part of the caller's deadline that is kept for sending the answer.
	answerReserve = 150 * time.Millisecond
	// ownerWait is how long a call waits for a service to have an owner.
	ownerWait = 250 * time.Millisecond
	// peerCheckAfter is how long a call to another daemon may take before a second request checks that it is alive.
	peerCheckAfter = 400 * time.Millisecond
	// maxResends bounds how often a call is sent to an owner that asks for it with a newer stamp.
	maxResends = 4
	// defaultRetry is the Retry-After of a call that can't be served yet, for example because its service has no owner.
	defaultRetry = time.Second
)

func (d *Daemon) callerServer() *http.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Any("/*", d.serveCaller)
	return &http.Server{Handler: e}
}

func (d *Daemon) readyServer() *http.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET(platform.ReadinessPath, func(c echo.Context) error {
		if d.stopping.Load() || d.config.Load() == nil || d.cutOff.Load() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return &http.Server{Handler: e}
}

// findQueue returns, among the queues of an HTTP host name, the queue with the longest prefix of the path, and the path
// after that prefix.
func findQueue(c *cuminstair.JobConfig, host, path string) (cuminstair.WorkQueue, string, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	best := -1
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best < 0 || len(q.Prefix) > len(c.Queues[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return cuminstair.WorkQueue{}, "", false
	}
	return c.Queues[best], path[len(c.Queues[best].Prefix):], true
}

// call is a parsed request of a caller.
type call struct {
	queue         cuminstair.WorkQueue
	id            string // job; empty: the call is about the queue
	account       string // client account whose key the call has; empty: none
	configVersion int64
	method        string
	arrived       time.Time
	forwarded     bool      // by another daemon
	openAt        time.Time // if forwarded: the daemon was waiting for the answer then or later; zero: not known
}

func (d *Daemon) serveCaller(c echo.Context) error {
	d.openCalls.Add(1)
	defer d.openCalls.Add(-1)
	now := d.Timer.Now()
	req := c.Request()
	config := d.config.Load()
	if config == nil {
		return d.refuse(c, call{arrived: now}, http.StatusServiceUnavailable, defaultRetry, "no configuration yet")
	}
	queue, idPart, ok := findQueue(config, req.Host, req.URL.Path)
	if !ok {
		return c.String(http.StatusNotFound, "no such queue")
	}
	x := call{queue: queue, configVersion: config.Version, method: req.Method, arrived: now}
	x.id, ok = platform.JobID(idPart)
	if !ok {
		return c.String(http.StatusNotFound, "no such job: an id has 16 hexadecimal digits")
	}
	// Before the body takes memory.
	if !d.authorize(config, &x, req.Header) {
		return c.String(http.StatusUnauthorized, "no key of a client account, or an unknown one")
	}
	body, err := intake.ReadBody(req, intake.BodyLimit(config))
	if err != nil {
		return d.refuseBody(c, x, err)
	}
	wait := platform.CallerWait(req.Header.Get(platform.DeadlineHeader))
	if wait <= 0 {
		wait = defaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(req.Context(), max(answerReserve, wait-answerReserve))
	defer cancel()
	switch {
	case req.Method == http.MethodPost && x.id != "":
		return d.submit(ctx, c, x, body)
	case req.Method == http.MethodGet && x.id == "":
		return d.waiting(ctx, c, x)
	case req.Method == http.MethodGet:
		return d.state(ctx, c, x)
	case req.Method == http.MethodDelete && x.id != "":
		return d.cancel(ctx, c, x)
	default:
		return c.String(http.StatusMethodNotAllowed, "jobs take POST, GET and DELETE")
	}
}

func (d *Daemon) submit(ctx context.Context, c echo.Context, x call, body []byte) error {
	spec, err := platform.DecodeJob(body)
	if err != nil {
		d.Log.Info("entry: job is malformed", "job", x.id, "queue", x.queue.Name, "error", err)
		return c.String(http.StatusBadRequest, err.Error())
	}
	r := d.submitToOwner(ctx, x, spec)
	switch r.Outcome {
	case dispatch.Accepted:
		return c.NoContent(http.StatusOK)
	case dispatch.Uncertain:
		return d.uncertain(c, x, r.Why)
	case dispatch.Forbidden:
		return d.forbid(c, x)
	case dispatch.Refused, dispatch.Impossible:
		return d.refuse(c, x, http.StatusTooManyRequests, r.Wait, r.Why)
	default:
		return d.refuse(c, x, http.StatusServiceUnavailable, r.Wait, r.Why)
	}
}

// uncertain tells a caller that its request may have been carried out.
func (d *Daemon) uncertain(c echo.Context, x call, why string) error {
	d.Metrics.countCall(x.method, "uncertain")
	d.Log.Info("entry: job outcome unknown", "job", x.id, "method", x.method, "queue", x.queue.Name, "why", why, "config", x.configVersion)
	return c.String(http.StatusGatewayTimeout, why)
}

// refuse tells a caller that its request was refused, and never takes effect, and when to retry.
func (d *Daemon) refuse(c echo.Context, x call, status int, wait time.Duration, why string) error {
	d.Metrics.countCall(x.method, "refused")
	seconds := max(1, int(math.Round(wait.Seconds())))
	c.Response().Header().Set("Retry-After", strconv.Itoa(seconds))
	d.Log.Info("entry: call refused", "job", x.id, "queue", x.queue.Name, "status", status, "retry", seconds, "why", why,
		"held", d.Timer.Now().Sub(x.arrived).Round(time.Millisecond).String(), "config", x.configVersion)
	return c.String(status, why)
}

func (d *Daemon) state(ctx context.Context, c echo.Context, x call) error {
	state, err := d.stateAt(ctx, x)
	if err == nil && state == cuminstair.JobUnknown {
		state, err = d.stateElsewhere(ctx, x)
	}
	switch {
	case errors.Is(err, errForbidden):
		return d.forbid(c, x)
	case err != nil:
		return d.refuse(c, x, http.StatusServiceUnavailable, defaultRetry, "no owner and no store")
	case state == cuminstair.JobUnknown:
		return c.NoContent(http.StatusGone)
	}
	return c.JSONBlob(http.StatusOK, platform.EncodeState(state))
}

// stateAt returns the state of a job at the service of its queue.
func (d *Daemon) stateAt(ctx context.Context, x call) (cuminstair.JobState, error) {
	a, err := d.forward(ctx, x, nil)
	if err == nil && a.Outcome == dispatch.Forbidden {
		return cuminstair.JobUnknown, errForbidden
	}
	// A former owner may not know a job that its successor has accepted.
	if err != nil || a.Outcome == dispatch.Unavailable || a.State == cuminstair.JobUnknown {
		return d.storedState(ctx, x)
	}
	return a.State, nil
}

// stateElsewhere returns the state of a job that the service of its queue does not know.
func (d *Daemon) stateElsewhere(ctx context.Context, x call) (cuminstair.JobState, error) {
	service, err := d.locateElsewhere(ctx, x)
	if err != nil || service == "" {
		return cuminstair.JobUnknown, err
	}
	x.queue.Service = service
	return d.stateAt(ctx, x)
}

// storedState reads the state of a job from the store; it is used if no owner of the service answers or knows the job.
func (d *Daemon) storedState(ctx context.Context, x call) (cuminstair.JobState, error) {
	to := x.id + "\x00"
	jobs, _, err := d.Store.Read(ctx, dispatch.JobTable, x.queue.Service, x.id, to)
	if err != nil || len(jobs) == 0 {
		return cuminstair.JobUnknown, err
	}
	account, err := dispatch.RecordAccount(jobs[0].Value)
	if err != nil {
		return cuminstair.JobUnknown, err
	}
	if account != "" && x.account != "" && account != x.account {
		return cuminstair.JobUnknown, errForbidden
	}
	runs, _, err := d.Store.Read(ctx, dispatch.RunTable, x.queue.Service, x.id, to)
	if err != nil {
		return cuminstair.JobUnknown, err
	}
	if len(runs) == 0 {
		return cuminstair.JobQueued, nil
	}
	return dispatch.RecordState(runs[0].Value)
}

func (d *Daemon) cancel(ctx context.Context, c echo.Context, x call) error {
	a, err := d.forward(ctx, x, nil)
	if err == nil && a.Outcome == dispatch.NotFound {
		service, lerr := d.locateElsewhere(ctx, x)
		if lerr != nil {
			return d.refuse(c, x, http.StatusServiceUnavailable, defaultRetry, "the store does not tell whether another service has the job")
		}
		if service != "" {
			x.queue.Service = service
			a, err = d.forward(ctx, x, nil)
		}
	}
	switch {
	case errors.Is(err, errNoOwner) || err == nil && a.Outcome == dispatch.Unavailable:
		return d.refuse(c, x, http.StatusServiceUnavailable, defaultRetry, "the service has no owner")
	case err != nil:
		return d.uncertain(c, x, "the owner did not answer")
	case a.Outcome == dispatch.Forbidden:
		return d.forbid(c, x)
	case a.Outcome == dispatch.NotFound:
		return c.NoContent(http.StatusGone)
	case a.Outcome == dispatch.Uncertain:
		return d.uncertain(c, x, a.Why)
	}
	d.Log.Info("entry: job cancelled", "job", x.id, "queue", x.queue.Name, "config", x.configVersion)
	return c.NoContent(http.StatusOK)
}

// waiting answers with the number of the queue's jobs that wait, at all services that may have some.
func (d *Daemon) waiting(ctx context.Context, c echo.Context, x call) error {
	services := []string{x.queue.Service}
	if a := d.assignments.find(assignment.KeyOf(&x.queue)); a.version > 0 {
		services = append(services, a.queue.Others(x.queue.Service)...)
	}
	n := 0
	for _, service := range services {
		x.queue.Service = service
		a, err := d.forward(ctx, x, nil)
		if err != nil || a.Outcome == dispatch.Unavailable {
			return d.refuse(c, x, http.StatusServiceUnavailable, defaultRetry, "the service has no owner")
		}
		n += a.Waiting
	}
	return c.JSONBlob(http.StatusOK, platform.EncodeWaiting(n))
}

// submitToOwner submits a job to the owner of its service, unless a former service of the queue has it.
func (d *Daemon) submitToOwner(ctx context.Context, x call, spec *cuminstair.JobSpec) dispatch.Result {
	r := d.submitOnce(ctx, x, spec, false)
	if r.Outcome == dispatch.Moved {
		r = d.submitOnce(ctx, x, spec, true)
	}
	return r
}

// submitOnce submits a job. renew is whether the service has refused the assignment of the queue that this daemon knows.
func (d *Daemon) submitOnce(ctx context.Context, x call, spec *cuminstair.JobSpec, renew bool) dispatch.Result {
	q, err := d.assignSoon(ctx, x, renew)
	if err != nil {
		return dispatch.Result{Outcome: dispatch.Unavailable, Wait: defaultRetry, Why: err.Error()}
	}
	x.queue.Since = q.Since
	switch service, err := d.locate(ctx, x.id, q.Former); {
	case err != nil:
		return dispatch.Result{Outcome: dispatch.Unavailable, Wait: defaultRetry, Why: err.Error()}
	case service != "":
		d.Log.Info("entry: job is known to a former service of its queue", "job", x.id, "queue", x.queue.Name, "service", service)
		return dispatch.Result{Outcome: dispatch.Accepted, Why: "known"}
	}
	a, err := d.forward(ctx, x, spec)
	switch {
	case errors.Is(err, errNoOwner):
		return dispatch.Result{Outcome: dispatch.Unavailable, Wait: defaultRetry, Why: "the service has no owner"}
	case err != nil:
		return dispatch.Result{Outcome: dispatch.Uncertain, Why: "the owner did not answer"}
	}
	return dispatch.Result{Outcome: a.Outcome, Wait: time.Duration(a.Wait) * time.Millisecond, Why: a.Why}
}

// assignSoon returns the assignment of a call's queue. It tries again for ownerWait, since other daemons may write the assignment too.
func (d *Daemon) assignSoon(ctx context.Context, x call, renew bool) (assignment.Queue, error) {
	ctx, cancel := context.WithTimeout(ctx, assignTimeout)
	defer cancel()
	begin := d.Timer.Now()
	for {
		q, err := d.assign(ctx, x.queue, x.configVersion, renew)
		if err == nil || errors.Is(err, errLagging) || ctx.Err() != nil || d.Timer.Now().Sub(begin) > ownerWait {
			return q, err
		}
		d.sleep(ctx, ownerWait/5)
	}
}

// errUnanswered means that no owner has answered, but one may have acted on the call.
const errUnanswered = errors.ConstError("no owner has answered")

// errNoOwner means that no owner has acted on the call.
const errNoOwner = errors.ConstError("the service has no owner")

// forward sends a call to the owner of its service, in this daemon or another. A call that an owner did not answer is
// sent again, to whichever daemon owns the service then, since calls are idempotent by the id of the job. The error is
// errUnanswered if an owner may have acted, and errNoOwner otherwise.
func (d *Daemon) forward(ctx context.Context, x call, spec *cuminstair.JobSpec) (callReply, error) {
	begin := d.Timer.Now()
	sent := false
	for {
		r, addr := d.owner(x.queue.Service)
		var a callReply
		err := error(errNoOwner)
		switch {
		case r != nil:
			a, err = d.callLocal(ctx, r, x, spec)
		case addr != "" && !d.cutOff.Load():
			a, err = d.callPeer(ctx, addr, x, spec)
		}
		switch {
		case err != nil || a.NotOwner:
		case !d.stamps.observe(x.queue.Service, a.Stamp) && (a.denies() || x.method == http.MethodGet):
			d.Log.Info("entry: answer of a former owner ignored", "job", x.id, "service", x.queue.Service, "owner", addr, "why", a.Why)
			d.dropOwnerHint(x.queue.Service, addr)
			err = errNoOwner
		default:
			return a, nil
		}
		if err == nil {
			d.setOwnerHint(x.queue.Service, a.Owner)
			err = errNoOwner
		}
		if err != nil && !errors.Is(err, errNoOwner) {
			sent = true
		}
		// An unknown outcome is final for the caller, so once an owner may have received the call, the call is sent
		// again until its deadline.
		if ctx.Err() != nil || (!sent && d.Timer.Now().Sub(begin) > ownerWait) {
			if sent {
				return callReply{}, errUnanswered
			}
			return callReply{}, errNoOwner
		}
		signal(d.readOwnersNow)
		d.sleep(ctx, ownerWait/5)
	}
}

// callPeer sends a call to another daemon. If there is no answer within peerCheckAfter, a notification checks that
// the daemon is alive, and the call is cancelled if it is not. A call to a live daemon continues, since the daemon may be
// waiting for the store.
func (d *Daemon) callPeer(ctx context.Context, addr string, x call, spec *cuminstair.JobSpec) (callReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := d.Timer.After(peerCheckAfter, func(time.Time) {
		go func() {
			if !d.peers.notify(ctx, addr) {
				cancel()
			}
		}()
	})
	defer stop()
	number := d.forwarded.begin()
	defer d.forwarded.end(number)
	q := callRequest{
		Method: x.method, ID: x.id, Queue: x.queue, Job: spec, Account: x.account, From: d.addr, Run: d.runID, Number: number,
	}
	for range maxResends {
		q.Stamp = d.requestStamp(x.queue.Service)
		a, err := d.callOwner(ctx, addr, q)
		if err != nil || !a.Late {
			return a, err
		}
		if !d.stamps.observe(x.queue.Service, a.Stamp) {
			break
		}
	}
	return callReply{NotOwner: true}, nil
}

// callOwner sends a call to the owner once.
func (d *Daemon) callOwner(ctx context.Context, addr string, q callRequest) (callReply, error) {
	begin := d.Timer.Now()
	a, err := d.peers.callOwner(ctx, addr, q)
	if err != nil {
		d.Log.Info("entry: forwarded call not answered", "job", q.ID, "method", q.Method, "owner", addr, "number", q.Number,
			"stamp", q.Stamp.String(), "after", d.Timer.Now().Sub(begin).Round(time.Millisecond).String(), "error", err)
	}
	return a, err
}
