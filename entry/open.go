package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair/dispatch"
)

// forwardedCalls is the set of forwarded calls that wait for an answer.
type forwardedCalls struct {
	mu   sync.Mutex
	last uint64
	open map[uint64]bool
}

// begin adds a call and returns its number.
func (o *forwardedCalls) begin() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open == nil {
		o.open = map[uint64]bool{}
	}
	o.last++
	o.open[o.last] = true
	return o.last
}

func (o *forwardedCalls) end(number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, number)
}

func (o *forwardedCalls) has(number uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.open[number]
}

// openRequest asks a daemon whether it still waits for the answer to a call that it forwarded.
type openRequest struct {
	Run     string `json:"run"` // Node.Run of the daemon
	Number  uint64 `json:"n"`
	Service string `json:"service,omitempty"`
	Token   uint64 `json:"token,omitempty"` // fencing token of the owner that asks
}

type openReply struct {
	Open bool `json:"open"`
}

func (d *Daemon) serveOpen(c echo.Context) error {
	var q openRequest
	if err := decodeBody(c, &q); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	// The token is observed first: if the call is given up after this answer, no denial of an earlier owner is passed on.
	if q.Service != "" {
		d.stamps.observe(q.Service, &stamp{Token: q.Token})
	}
	return c.JSON(http.StatusOK, openReply{Open: q.Run == d.runID && d.forwarded.has(q.Number)})
}

// isOpen asks a daemon whether it still waits for the answer to a call.
func (p *peerClient) isOpen(ctx context.Context, addr string, q openRequest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var a openReply
	err := p.post(ctx, addr, openPath, q, &a)
	return a.Open, err
}

// callForwarded passes a call of another daemon to the runner of a service that this daemon owns. A call that may be a late
// copy is acted on only if the other daemon says that it still waits for the answer. The question is repeated if the
// job is denied meanwhile.
func (d *Daemon) callForwarded(ctx context.Context, r *runner, x call, q callRequest) (callReply, error) {
	x.forwarded, x.openAt = true, r.issuedAt(d.Timer.Now(), q.Stamp)
	proof := "stamp"
	for {
		a, err := d.callLocal(ctx, r, x, q.Job)
		if err != nil || !a.late {
			if x.method == http.MethodPost && err == nil && a.Outcome == dispatch.Accepted && !a.NotOwner {
				d.Log.Info("entry: forwarded job accepted", "job", x.id, "from", q.From, "number", q.Number, "proof", proof,
					"age", d.Timer.Now().Sub(x.openAt).Round(time.Millisecond).String())
			}
			return a, err
		}
		if q.Number == 0 {
			d.logLate(x, q, "a daemon of an earlier version can't be asked for it")
			return callReply{Outcome: dispatch.Unavailable, Wait: defaultRetry.Milliseconds(), Why: "the daemon is of an earlier version"}, nil
		}
		asked := d.Timer.Now()
		open, err := d.peers.isOpen(ctx, q.From, openRequest{Run: q.Run, Number: q.Number, Service: r.service, Token: r.token})
		switch {
		case err != nil:
			d.Metrics.Questions.WithLabelValues("unanswered").Inc()
			d.logLate(x, q, err.Error())
			// The call has not been acted on, so the other daemon may send it again if it still waits.
			return callReply{}, fmt.Errorf("ask %s for its call: %w: %w", q.From, errNoOwner, err)
		case !open:
			d.Metrics.Questions.WithLabelValues("closed").Inc()
			d.logLate(x, q, "nobody waits for its answer")
			return callReply{Outcome: dispatch.Uncertain, Why: "the call was given up"}, nil
		}
		d.Metrics.Questions.WithLabelValues("open").Inc()
		x.openAt, proof = asked, "question"
	}
}

// logLate logs that a late copy of a call is dropped.
func (d *Daemon) logLate(x call, q callRequest, why string) {
	d.Log.Info("entry: late copy of a call dropped", "job", x.id, "method", x.method, "from", q.From, "number", q.Number, "stamp", q.Stamp.String(), "why", why)
}
