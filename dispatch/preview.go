package dispatch

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/admission"
	"cuminstair.org/cuminstair/place"
	"cuminstair.org/cuminstair/quota"
)

// maxPreviewWorkers bounds the workers in a preview, over all first steps, since the answer goes through other daemons.
const maxPreviewWorkers = 20

// previewID is the id of a job that is only previewed. No call can have it.
const previewID = "preview"

// Preview is what would become of a job if it were submitted now.
type Preview struct {
	Service   string           `json:"service"`
	Admission AdmissionPreview `json:"admission"`
	Account   *AccountPreview  `json:"account,omitempty"` // nil: the job has none
	Steps     []StepPreview    `json:"steps"`
}

// AdmissionPreview is the decision on the job with its inputs.
type AdmissionPreview struct {
	Accept     bool    `json:"accept"`
	Late       bool    `json:"late,omitempty"` // accepted although it can't be done by its due time
	Why        string  `json:"why,omitempty"`  // of a refusal
	Decided    bool    `json:"decided"`        // the decision depended on the figures; false for long-running and scheduled jobs
	Cores      float64 `json:"cores"`          // of the pool, for short tasks
	ExtraCores float64 `json:"extra_cores"`    // that are coming to the pool
	Free       float64 `json:"free"`           // idle cores
	Before     float64 `json:"before"`         // core-seconds that run before the job
	Work       float64 `json:"work"`           // core-seconds of the job
	FinishMS   int64   `json:"finish_ms"`      // expected finish, from now
	DueMS      int64   `json:"due_ms"`
	ExpiryMS   int64   `json:"expiry_ms"` // when the result becomes useless
}

// AccountPreview is what is known of the account of the job at the service.
type AccountPreview struct {
	Name       string       `json:"name"`
	Above      bool         `json:"above_share"`
	FairShare  *float64     `json:"fair_share,omitempty"` // cores; nil: there is room for the demand of all accounts
	Accepted   float64      `json:"accepted"`             // cores that its work accepted lately amounts to
	Limit      quota.Amount `json:"limit"`                // thousandths of a core, MB, accelerators; 0: none
	LimitShare quota.Amount `json:"limit_share"`          // of the service
	Used       quota.Amount `json:"used"`
}

// StepPreview is the placement of the first task of a step that depends on no other.
type StepPreview struct {
	Index      int             `json:"index"`
	Tasks      int             `json:"tasks"`
	Workers    []WorkerPreview `json:"workers,omitempty"` // best first
	Eligible   int             `json:"eligible"`          // also those that are left out of Workers
	Ineligible map[string]int  `json:"ineligible"`        // workers by reason
	Blocked    string          `json:"blocked,omitempty"` // why no task would start now, whatever the workers
}

// WorkerPreview is a worker that may run the task.
type WorkerPreview struct {
	ID    string      `json:"id"`
	Rack  string      `json:"rack,omitempty"`
	Score float64     `json:"score"` // lower is better
	Terms place.Terms `json:"terms"`
}

// Preview returns what would become of a job if it were submitted now. It changes nothing: all decisions are made on a copy.
// Waits for a rack are not included, since they depend on the other steps that are ready.
func (s *Service) Preview(now time.Time, spec *cuminstair.JobSpec, queue cuminstair.WorkQueue, account string) Preview {
	x := s.previewCopy(now)
	j := newJob(previewID, spec, queue)
	j.account, j.firstSent, j.receivedAt, j.token = account, now, now, x.Token
	j.due = x.objective(j, now)
	p := Preview{Service: x.Name, Admission: x.previewAdmission(now, j), Account: x.previewAccount(now, j)}
	x.listCandidates(now)
	o := j.occurrence(0, x.pathsAfter(j))
	first := slices.DeleteFunc(slices.Clone(o.steps), func(st *step) bool { return len(st.After) > 0 })
	left := maxPreviewWorkers
	for _, st := range first {
		v := x.previewStep(now, st)
		v.Workers = v.Workers[:min(len(v.Workers), left)]
		left -= len(v.Workers)
		p.Steps = append(p.Steps, v)
	}
	return p
}

// previewCopy returns a copy of the state for admission and placement of one more job, which write to the copy only. Jobs and
// the runs on workers are shared, since neither changes them for a job that is not started.
func (s *Service) previewCopy(now time.Time) *Service {
	x := *s
	x.now, x.Log, x.Rand = now, hclog.NewNullLogger(), rand.New(rand.NewPCG(1, 1))
	x.denied, x.offered = map[string]denial{}, slices.Clone(s.offered)
	x.loads, x.limitLoads = slices.Clone(s.loads), maps.Clone(s.limitLoads)
	for name, l := range x.limitLoads {
		x.limitLoads[name] = &limitLoad{loads: slices.Clone(l.loads), longRunning: l.longRunning}
	}
	x.fairShares = s.fairShares.Clone()
	x.candidates, x.centreFree = nil, map[string]float64{}
	x.workers = make(map[string]*worker, len(s.workers))
	for id, w := range s.workers {
		copied := *w
		x.workers[id] = &copied
	}
	return &x
}

// previewAdmission decides on a job as Submit does.
func (s *Service) previewAdmission(now time.Time, j *job) AdmissionPreview {
	if s.closedTo(&j.queue) {
		return AdmissionPreview{Why: "the queue has gone to another service"}
	}
	s.observeOffer(now, j)
	request, pool := s.admissionRequest(j), s.pool(now)
	s.applyShare(now, j, pool, &request)
	v := admission.Decide(now, pool, s.recentLoad(now), request)
	r := s.readiness()
	if r.Outcome == Accepted {
		r = s.admit(now, j)
	}
	return AdmissionPreview{
		Accept: r.Outcome == Accepted, Late: j.late, Why: r.Why, Decided: !j.longRunning() && j.spec.Repeats == 0 && j.spec.First == 0,
		Cores: rounded(pool.Cores), ExtraCores: rounded(pool.ExtraCores), Free: rounded(pool.Free), Before: rounded(v.Before),
		Work: rounded(request.Work), FinishMS: v.Finish.Sub(now).Milliseconds(), DueMS: request.Due.Sub(now).Milliseconds(),
		ExpiryMS: request.Expiry.Sub(now).Milliseconds(),
	}
}

func (s *Service) previewAccount(now time.Time, j *job) *AccountPreview {
	if j.account == "" {
		return nil
	}
	standing := s.fairShares.Standing(now, j.account)
	a := &AccountPreview{
		Name: j.account, Above: s.fairShares.Above(now, j.account), Accepted: rounded(standing.Accepted), Limit: s.limitShares.Limit(j.account),
		LimitShare: s.limitShares.Allowed(now, j.account), Used: s.limitShares.Used(j.account),
	}
	if share := rounded(standing.Share); !math.IsInf(share, 0) {
		a.FairShare = &share
	}
	return a
}

// previewStep ranks the workers for the first task of a step.
func (s *Service) previewStep(now time.Time, st *step) StepPreview {
	v := StepPreview{Index: st.index, Tasks: st.Count, Ineligible: map[string]int{}, Blocked: s.whyBlocked(now, st)}
	s.preferCentre(st)
	want, racks := wantOf(st), s.spreadOf(st)
	risky := !st.LongRunning && s.atRisk(now, st.occ.job.queue.Name)
	for _, w := range s.workers {
		if why := s.whyIneligible(now, st, w, risky); why != "" {
			v.Ineligible[why]++
			continue
		}
		c := scored(st, w, racks, risky)
		terms := place.TermsOf(&want, &c)
		v.Workers = append(v.Workers, WorkerPreview{ID: w.info.ID, Rack: w.info.Rack, Score: terms.Sum(), Terms: terms})
	}
	v.Eligible = len(v.Workers)
	slices.SortFunc(v.Workers, func(a, b WorkerPreview) int {
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.ID, b.ID))
	})
	return v
}

// whyBlocked returns why no task of a step would start now, or "".
func (s *Service) whyBlocked(now time.Time, st *step) string {
	n := 1
	if st.Gang {
		n = st.Count
	}
	account := st.occ.job.account
	switch {
	case now.Before(st.occ.startAt):
		return "the start time has not come"
	case account != "" && !s.limitShares.Fits(now, account, chargeOf(&st.JobStep), n):
		return "the share in the limit of the account"
	}
	return ""
}

// whyIneligible returns why a worker would not get the first task of a step, or "". It follows choose.
func (s *Service) whyIneligible(now time.Time, st *step, w *worker, risky bool) string {
	t := st.tasks[0]
	switch {
	case !w.candidate:
		return s.whyUnusable(now, w)
	case !hasLabel(st.Label, w.info.Labels):
		return "no label " + st.Label
	case !st.room().Fits(w.total):
		return "too small"
	case !st.room().Fits(w.free()):
		return "no room"
	case !s.admits(w, t):
		return "trial or reservation"
	case st.needsTicket():
		return "no ticket yet"
	case !s.eligible(st, t, w):
		return "not eligible"
	case risky && now.Sub(w.riskyStart) < startSpacing:
		return "a task that may crash it has just started"
	}
	return ""
}

// whyUnusable returns why a worker gets no new tasks at all.
func (s *Service) whyUnusable(now time.Time, w *worker) string {
	switch {
	case w.entryDue():
		return "its entry is not read since its restart"
	case w.gone || !w.listed:
		return "gone or not listed"
	case w.unsized > 0:
		return "has a run of unknown size"
	case !w.leavingSince.IsZero():
		return "leaving"
	case w.suspect():
		return "does not answer"
	case !now.After(w.cordonedUntil) || w.mayHaveMoved:
		return "cordoned"
	case !now.After(w.blockedUntil):
		return "blocked after failures"
	case s.isCutOff(now, w):
		return "data centre cut off"
	case !w.synced || w.unread || w.moreEnds:
		return "not read yet"
	case !w.recorded:
		return "not recorded yet"
	}
	return "its state is out of date"
}

// rounded returns a figure with two decimals.
func rounded(x float64) float64 { return math.Round(x*100) / 100 }
