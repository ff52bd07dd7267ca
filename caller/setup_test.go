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

// places is a router and an admission with one place each. It fails the test when a place is given back twice.
type places struct {
	t       *testing.T
	picked  int
	running int
	full    bool // admission refuses everything
	none    bool // no upstream may take a second attempt
	queue   []*cuminstair.Request
	expired []*cuminstair.Request
}

func (p *places) SetUpstreams(string, []cuminstair.Upstream)       {}
func (p *places) SetState(string, cuminstair.HostState)            {}
func (p *places) SetRemote(string, []cuminstair.Load)              {}
func (p *places) Loads() []cuminstair.Load                         { return nil }
func (p *places) Capacity(string) int                              { return 1 }
func (p *places) Configure([]cuminstair.Kind)                      {}
func (p *places) SetCapacity(time.Time, int) []*cuminstair.Request { return nil }

func (p *places) Pick(_ time.Time, _, avoid string) cuminstair.Pick {
	if p.none && avoid != "" {
		return cuminstair.Pick{Reason: cuminstair.ReasonNoUpstream}
	}
	p.picked++
	host := "h1"
	if avoid == "h1" {
		host = "h2"
	}
	return cuminstair.Pick{Upstream: &cuminstair.Upstream{Host: host}, Reason: cuminstair.ReasonLocal}
}

func (p *places) Release(time.Time, cuminstair.Pick, cuminstair.Result) {
	p.picked--
	if p.picked < 0 {
		p.t.Error("a place at an upstream was given back twice")
	}
}

func (p *places) Offer(_ time.Time, r *cuminstair.Request) cuminstair.Verdict {
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

func (p *places) Finish(time.Time, *cuminstair.Request, cuminstair.Result) []*cuminstair.Request {
	p.running--
	if p.running < 0 {
		p.t.Error("a place of admission was given back twice")
	}
	if len(p.queue) == 0 {
		return nil
	}
	next := p.queue[0]
	p.queue = p.queue[1:]
	p.running++
	return []*cuminstair.Request{next}
}

func (p *places) Cancel(_ time.Time, r *cuminstair.Request) bool {
	for i, queued := range p.queue {
		if queued == r {
			p.queue = append(p.queue[:i:i], p.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (p *places) Expire(time.Time) []*cuminstair.Request {
	expired := p.expired
	p.expired = nil
	return expired
}

// hosts is a health that counts what it observes. It fails the test when a result does not name the kind of work.
type hosts struct {
	cuminstair.Health
	t        *testing.T
	observed int
}

func (h *hosts) State(string) cuminstair.HostState { return cuminstair.HostActive }
func (h *hosts) Changed() []string                 { return nil }

func (h *hosts) Observe(_ time.Time, _ string, r cuminstair.Result) {
	h.observed++
	if r.Kind == "" {
		h.t.Error("a result without the kind of work")
	}
}

// retries allows a number of retries. It fails the test when a request names another number of attempts than it made.
type retries struct {
	t    *testing.T
	left int
	made int
}

func (r *retries) Success(time.Time, string, string) {}

func (r *retries) Retry(_ time.Time, request *cuminstair.Request, _ string) (time.Duration, bool) {
	if request.Attempt != r.made {
		r.t.Errorf("attempt %d instead of %d", request.Attempt, r.made)
	}
	r.made++
	r.left--
	return 0, r.left >= 0
}

// sender answers with the next result, or waits for the end of the context when there is none.
type sender struct {
	results []cuminstair.Result
	hosts   []string
	sending chan struct{}
	ctx     context.Context // of the request that waits
	header  http.Header     // of the last request
}

func (s *sender) Send(ctx context.Context, u *cuminstair.Upstream, m *cuminstair.Message) (*cuminstair.Message, cuminstair.Result) {
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

type recorder struct{}

func (recorder) Record(cuminstair.Decision) {}

// rig is a request path on fakes.
type rig struct {
	clock  *timer.Virtual
	places *places
	sender *sender
	hosts  *hosts
	server *caller.Server
	limit  time.Duration // the deadline of requests
}

func newRig(t *testing.T, results ...cuminstair.Result) *rig {
	t.Helper()
	r := &rig{
		clock:  timer.NewVirtual(time.Unix(1000, 0)),
		limit:  5 * time.Second,
		places: &places{t: t},
		hosts:  &hosts{t: t},
		sender: &sender{results: results, sending: make(chan struct{})},
	}
	d := &caller.Decisions{
		Timer:        r.clock,
		Router:       r.places,
		NewAdmission: func() cuminstair.Admission { return r.places },
		Retries:      &retries{t: t, left: 2},
	}
	d.Health = r.hosts
	d.SetFleet(fleet, 1)
	path := &caller.Path{Timer: r.clock, Log: hclog.NewNullLogger(), Recorder: recorder{}, Decisions: d, Sender: r.sender}
	r.server = &caller.Server{Path: path, Log: hclog.NewNullLogger(), Name: "e1"}
	return r
}

// do sends a request with the given headers instead of sound ones.
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

// idle fails the test if a place is still held.
func (r *rig) idle(is *is.I) {
	is.Helper()
	is.Equal(r.places.picked, 0)
	is.Equal(r.places.running, 0)
	is.Equal(len(r.places.queue), 0)
}
