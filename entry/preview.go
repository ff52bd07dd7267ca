package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/assignment"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/platform"
)

// PreviewPath is the path of previews on the internal port of a daemon.
const PreviewPath = "/preview"

// PreviewRequest asks where a job would go now.
type PreviewRequest struct {
	Host    string          `json:"host"`
	Path    string          `json:"path"`              // of the queue
	Job     json.RawMessage `json:"job"`               // as callers send it
	Account string          `json:"account,omitempty"` // name of the client account; empty: a call without a key
	// Owner is set by a daemon that forwards the request: the queue that it has found.
	Owner *cuminstair.WorkQueue `json:"owner,omitempty"`
}

// PreviewReply is the answer to a PreviewRequest. Error is set if there is no preview.
type PreviewReply struct {
	Error   string            `json:"error,omitempty"`
	Status  int               `json:"status,omitempty"` // with Error
	Queue   string            `json:"queue,omitempty"`
	Owner   string            `json:"owner,omitempty"` // name of the daemon
	Config  int64             `json:"config,omitempty"`
	Preview *dispatch.Preview `json:"preview,omitempty"`
}

func noPreview(status int, why string) PreviewReply { return PreviewReply{Status: status, Error: why} }

// servePreview answers a preview. There is one at a time, since its cost grows with the jobs and workers of the service.
func (d *Daemon) servePreview(c echo.Context) error {
	var q PreviewRequest
	if err := decodeBody(c, &q); err != nil {
		return c.JSON(http.StatusBadRequest, noPreview(http.StatusBadRequest, err.Error()))
	}
	a := d.previewAlone(c.Request().Context(), q)
	if a.Error != "" && q.Owner == nil { // the daemon that forwards a request reads the answer
		return c.JSON(a.Status, a)
	}
	return c.JSON(http.StatusOK, a)
}

func (d *Daemon) previewAlone(ctx context.Context, q PreviewRequest) PreviewReply {
	if !d.previewing.CompareAndSwap(false, true) {
		return noPreview(http.StatusTooManyRequests, "the daemon answers another preview")
	}
	defer d.previewing.Store(false)
	ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
	defer cancel()
	return d.preview(ctx, q)
}

// preview answers a preview here, or asks the owner of the service.
func (d *Daemon) preview(ctx context.Context, q PreviewRequest) PreviewReply {
	spec, err := platform.DecodeJob(q.Job)
	if err != nil {
		return noPreview(http.StatusBadRequest, err.Error())
	}
	forwarded := q.Owner != nil
	version := int64(0)
	if config := d.config.Load(); !forwarded {
		queue, refusal := d.previewQueue(config, &q)
		if refusal.Error != "" {
			return refusal
		}
		q.Owner, version = &queue, config.Version
	}
	a := d.previewAtOwner(ctx, q, spec, forwarded)
	for begin := d.Timer.Now(); a.Status == http.StatusServiceUnavailable && !forwarded && d.Timer.Now().Sub(begin) < ownerWait; {
		signal(d.readOwnersNow)
		d.sleep(ctx, ownerWait/5)
		a = d.previewAtOwner(ctx, q, spec, forwarded)
	}
	if a.Error == "" {
		a.Config = max(a.Config, version)
	}
	return a
}

func (d *Daemon) previewAtOwner(ctx context.Context, q PreviewRequest, spec *cuminstair.JobSpec, forwarded bool) PreviewReply {
	r, addr := d.owner(q.Owner.Service)
	switch {
	case r != nil:
		return d.previewLocal(ctx, r, q, spec)
	case addr != "" && !forwarded:
		return d.previewAt(ctx, addr, q)
	}
	return noPreview(http.StatusServiceUnavailable, errNoOwner.Error())
}

// previewQueue returns the queue of a preview as the configuration has it, unless a call of the account would not be served.
func (d *Daemon) previewQueue(config *cuminstair.JobConfig, q *PreviewRequest) (cuminstair.WorkQueue, PreviewReply) {
	if config == nil {
		return cuminstair.WorkQueue{}, noPreview(http.StatusServiceUnavailable, "no configuration yet")
	}
	queue, _, ok := findQueue(config, q.Host, q.Path)
	isNamed := func(a cuminstair.ClientAccount) bool { return a.Name == q.Account }
	switch {
	case !ok:
		return queue, noPreview(http.StatusNotFound, fmt.Sprintf("no such queue: host %q, path %q", q.Host, q.Path))
	case q.Account != "" && !slices.ContainsFunc(config.Accounts, isNamed):
		return queue, noPreview(http.StatusNotFound, fmt.Sprintf("no such client account: %q", q.Account))
	case q.Account == "" && config.Accounts != nil && !queue.Anonymous:
		return queue, noPreview(http.StatusUnauthorized, "the queue needs a client account")
	}
	if a := d.assignments.find(assignment.KeyOf(&queue)); a.version > 0 {
		queue.Since = a.queue.Since
	}
	return queue, PreviewReply{}
}

// previewAt asks the daemon that owns the service.
func (d *Daemon) previewAt(ctx context.Context, addr string, q PreviewRequest) PreviewReply {
	a, err := d.peers.preview(ctx, addr, q)
	if err != nil {
		return noPreview(http.StatusBadGateway, "the owner did not answer: "+err.Error())
	}
	return a
}

// previewLocal computes a preview at the owner.
func (d *Daemon) previewLocal(ctx context.Context, r *runner, q PreviewRequest, spec *cuminstair.JobSpec) PreviewReply {
	answers := make(chan PreviewReply, 1)
	posted := r.post(func(now time.Time) {
		if r.state.Deposed() || r.ended {
			answers <- noPreview(http.StatusServiceUnavailable, errNoOwner.Error())
			return
		}
		p := r.state.Preview(now, spec, *q.Owner, q.Account)
		answers <- PreviewReply{Queue: q.Owner.Name, Owner: d.Settings.Name, Preview: &p}
	})
	if !posted {
		return noPreview(http.StatusServiceUnavailable, errNoOwner.Error())
	}
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		return noPreview(http.StatusGatewayTimeout, "the owner did not answer in time")
	case <-r.done:
		return noPreview(http.StatusServiceUnavailable, errNoOwner.Error())
	}
}
