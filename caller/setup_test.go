package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/caller"
	"cuminstair.org/cuminstair/timer"
)

var fleet = &cuminstair.Fleet{
	Pools: []cuminstair.Pool{{Name: "p1"}},
	Hosts: []cuminstair.Host{{Name: "h1", Pool: "p1", Addr: "a1"}, {Name: "h2", Pool: "p1", Addr: "a2"}},
	Services: []cuminstair.Service{{Name: "scale", Pool: "p1", Slots: 1, Conns: 64, Kinds: []cuminstair.Kind{
		{Name: "portion", Weight: 1, Deadline: cuminstair.Duration(10 * time.Second)},
		{Name: "convert", Weight: 1, Deadline: cuminstair.Duration(10 * time.Second), Idempotent: true},
	}}},
	Teams: []cuminstair.Team{{Name: "t1"}},
}

// fakeSlots is a router and an admission with one slot each. It fails the test when a slot is released twice.
type fakeSlots struct {
	t       *testing.T
	picked  int
	running int
	full    bool // admission refuses everything
	noRetry bool // no upstream accepts a second attempt
	queue   []*cuminstair.Request
	expired []*cuminstair.Request
}

func (p *fakeSlots) SetUpstreams(string, []cuminstair.Upstream)       {}
func (p *fakeSlots) SetState(string, cuminstair.HostState)            {}
func (p *fakeSlots) SetRemote(string, []cuminstair.Load)              {}
func (p *fakeSlots) Loads() []cuminstair.Load                         { return nil }
func (p *fakeSlots) Capacity(string) int                              { return 1 }
func (p *fakeSlots) Configure([]cuminstair.Kind)                      {}
func (p *fakeSlots) SetCapacity(time.Time, int) []*cuminstair.Request { return nil }

func (p *fakeSlots) Pick(_ time.Time, _, avoid string) cuminstair.Pick {
	if p.noRetry && avoid != "" {
		return cuminstair.Pick{Reason: cuminstair.ReasonNoUpstream}
	}
	p.picked++
	host := "h1"
	if avoid == "h1" {
		host = "h2"
	}
	return cuminstair.Pick{Upstream: &cuminstair.Upstream{Host: host}, Reason: cuminstair.ReasonLocal}
}

func (p *fakeSlots) Release(time.Time, cuminstair.Pick, cuminstair.Result) {
	p.picked--
	if p.picked < 0 {
		p.t.Error("a slot at an upstream was released twice")
	}
}

func (p *fakeSlots) Offer(_ time.Time, r *cuminstair.Request) cuminstair.Verdict {
	if p.full {
		return cuminstair.Verdict{Reason: cuminstair.ReasonFull}
	}
	if p.running > 0 {
		p.queue = append(p.queue, r)
		return cuminstair.Verdict{Wait: true}
	}
	p.running++
	return cuminstair.Verdict{Run: true}
}

func (p *fakeSlots) Finish(time.Time, *cuminstair.Request, cuminstair.Result) []*cuminstair.Request {
	p.running--
	if p.running < 0 {
		p.t.Error("an admission slot was released twice")
	}
	if len(p.queue) == 0 {
		return nil
	}
	next := p.queue[0]
	p.queue = p.queue[1:]
	p.running++
	return []*cuminstair.Request{next}
}

func (p *fakeSlots) Cancel(_ time.Time, r *cuminstair.Request) bool {
	for i, queued := range p.queue {
		if queued == r {
			p.queue = append(p.queue[:i:i], p.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (p *fakeSlots) Expire(time.Time) []*cuminstair.Request {
	expired := p.expired
	p.expired = nil
	return expired
}

// fakeHealth counts the results that it observes. It fails the test when a result has no kind of work.
type fakeHealth struct {
	cuminstair.Health
	t        *testing.T
	observed int
}

func (h *fakeHealth) State(string) cuminstair.HostState { return cuminstair.HostActive }
func (h *fakeHealth) Changed() []string                 { return nil }

func (h *fakeHealth) Observe(_ time.Time, _ string, r cuminstair.Result) {
	h.observed++
	if r.Kind == "" {
		h.t.Error("result without a kind of work")
	}
}

// fakeRetries is a retry budget that allows the number of retries in its field left. It fails the test when the
// attempt number of a request is wrong.
type fakeRetries struct {
	t    *testing.T
	left int
	made int
}

func (r *fakeRetries) Success(time.Time, string, string) {}

func (r *fakeRetries) Retry(_ time.Time, request *cuminstair.Request, _ string) (time.Duration, bool) {
	if request.Attempt != r.made {
		r.t.Errorf("attempt number: got %d, want %d", request.Attempt, r.made)
	}
	r.made++
	r.left--
	return 0, r.left >= 0
}

// fakeSender answers with the next result, or waits for the end of the context when there are none left.
type fakeSender struct {
	results []cuminstair.Result
	hosts   []string
	sending chan struct{}
	ctx     context.Context // of the request that waits
	header  http.Header     // of the last request
}

func (s *fakeSender) Send(ctx context.Context, u *cuminstair.Upstream, m *cuminstair.Message) (*cuminstair.Message, cuminstair.Result) {
	s.hosts = append(s.hosts, u.Host)
	s.header = m.Header
	if len(s.results) == 0 {
		s.ctx = ctx
		s.sending <- struct{}{}
		<-ctx.Done()
		return nil, cuminstair.Result{Outcome: cuminstair.OutcomeUnknown, Reason: cuminstair.ReasonDeadline}
	}
	r := s.results[0]
	s.results = s.results[1:]
	if r.Outcome != cuminstair.OutcomeDone {
		return nil, r
	}
	return &cuminstair.Message{ID: m.ID, Status: http.StatusOK, Reason: cuminstair.ReasonOK, Body: m.Body}, r
}

type nullRecorder struct{}

func (nullRecorder) Record(cuminstair.Decision) {}

// rig is a server with fake dependencies.
type rig struct {
	clock  *timer.Virtual
	slots  *fakeSlots
	sender *fakeSender
	health *fakeHealth
	server *caller.Server
	limit  time.Duration // the deadline of requests
}

func newRig(t *testing.T, results ...cuminstair.Result) *rig {
	t.Helper()
	r := &rig{
		clock:  timer.NewVirtual(time.Unix(1000, 0)),
		limit:  5 * time.Second,
		slots:  &fakeSlots{t: t},
		health: &fakeHealth{t: t},
		sender: &fakeSender{results: results, sending: make(chan struct{})},
	}
	d := &caller.Decisions{
		Timer:        r.clock,
		Router:       r.slots,
		NewAdmission: func() cuminstair.Admission { return r.slots },
		Retries:      &fakeRetries{t: t, left: 2},
	}
	d.Health = r.health
	d.SetFleet(fleet, 1)
	path := &caller.Path{Timer: r.clock, Log: hclog.NewNullLogger(), Recorder: nullRecorder{}, Decisions: d, Sender: r.sender}
	r.server = &caller.Server{Path: path, Log: hclog.NewNullLogger(), Name: "e1"}
	return r
}

// do sends a request. headers are names and values that replace the valid default headers.
func (r *rig) do(ctx context.Context, kind string, headers ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/s/scale/work", strings.NewReader("body"))
	req.Header.Set("Team", "t1")
	req.Header.Set("Kind", kind)
	req.Header.Set("Deadline", r.limit.String())
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return r.serve(req)
}

func (r *rig) serve(req *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r.server.ServeHTTP(w, req)
	return w
}

// checkIdle fails the test if a slot is still held.
func (r *rig) checkIdle(is *is.I) {
	is.Helper()
	is.Equal(r.slots.picked, 0)
	is.Equal(r.slots.running, 0)
	is.Equal(len(r.slots.queue), 0)
}
