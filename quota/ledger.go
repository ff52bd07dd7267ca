package quota

import (
	"slices"
	"strings"
	"time"
)

// Ledger is the controller's side. It must be made with NewLedger.
//
// For each service and account it knows a bound: the most that the service could have running, whatever became of the messages.
// A share is raised only by what the bounds of all services leave of the limit. A bound falls only with an answer of the owner that
// confirms the last grant, or once the service has had no owner for absentTime. An owner that does not answer may have used its
// whole grant before it expired, so that the expiry alone frees nothing.
type Ledger struct {
	token      uint64
	seq        uint64
	startsAt   time.Time
	servicesAt time.Time // last call of SetServices
	services   map[string]*serviceState
	order      []*serviceState // by name
	accounts   map[string]*account
	rows       []row // reused by planAccount
}

// serviceState is the controller's state of a service.
type serviceState struct {
	name      string
	token     uint64    // of its owner
	heard     bool      // an owner has answered this controller
	answered  bool      // the owner has answered the last grant
	unsettled bool      // see Report.Unsettled
	replaced  bool      // another owner has answered this controller before the present one
	exempt    bool      // its owner keeps no limits, see Unlimited
	lastSeq   uint64    // of the last grant sent; 0: none
	absent    time.Time // since when it has had no owner; zero: it has one
	gone      bool      // it has had none for absentTime
	entries   map[string]*accountState
}

// accountState is the controller's state of an account at a service.
type accountState struct {
	bound              Amount    // see Ledger
	granted            Amount    // most that the service may hold by grants; below bound if earlier owners may have more runs
	used, wanted, unit Amount    // as last reported; used includes unsure
	share, reach       Amount    // as planned
	before             Amount    // share when it was last listed as changed
	sent               Amount    // share of the last grant
	prior              Amount    // bound before the last grant
	earlier            Amount    // bound of the owners before the present one
	servedAt           time.Time // when it was last known to use something
}

type account struct {
	limit    Amount
	highest  Amount // highest limit of which a service may hold a share, as far as is known
	activeAt time.Time
	listed   bool // in the configuration
}

// NewLedger returns the ledger of a controller with a token that has taken over at now.
func NewLedger(token uint64, now time.Time) *Ledger {
	return &Ledger{token: token, startsAt: now, services: map[string]*serviceState{}, accounts: map[string]*account{}}
}

// SetLimits sets the limits of the accounts of the configuration; zero: none. An account that is no longer there keeps its last
// limit while services have shares of it.
func (l *Ledger) SetLimits(now time.Time, limits map[string]Amount) {
	for _, a := range l.accounts {
		a.listed = false
	}
	for name, limit := range limits {
		a := l.accounts[name]
		switch {
		case limit.IsZero():
			delete(l.accounts, name)
		case a == nil:
			l.accounts[name] = &account{limit: limit, highest: limit, activeAt: now, listed: true}
		default:
			a.limit, a.highest, a.listed = limit, a.highest.Max(limit), true
		}
	}
}

// SetServices sets the services, and those of them that have an owner. One without an owner is left out after absentTime, during
// which this has to be called often: a controller that was paused does not know whether it had an owner meanwhile.
func (l *Ledger) SetServices(now time.Time, list, present []string) {
	paused := now.Sub(l.servicesAt) > maxPause
	l.servicesAt = now
	for _, name := range list {
		if l.services[name] == nil {
			l.services[name] = &serviceState{name: name, absent: now, entries: map[string]*accountState{}}
		}
	}
	l.order = l.order[:0]
	for name, h := range l.services {
		switch {
		case slices.Contains(present, name):
			h.absent, h.gone = time.Time{}, false
		case h.absent.IsZero() || paused && !h.gone:
			h.absent = now
		}
		if !h.absent.IsZero() {
			h.answered = false
			if h.gone = now.Sub(h.absent) > absentTime; h.gone {
				h.heard, h.replaced, h.lastSeq, h.entries = false, false, 0, map[string]*accountState{}
			}
		}
		if h.gone && !slices.Contains(list, name) {
			delete(l.services, name)
		}
		if !h.gone {
			l.order = append(l.order, h)
		}
	}
	slices.SortFunc(l.order, func(a, b *serviceState) int { return strings.Compare(a.name, b.name) })
}

// Report enters the answer of an owner, which is that of the last grant to its service or of an announcement. It returns false if
// the answer is of a former owner, or the owner knows a later controller.
//
// The bound of an account falls only with a settled answer that confirms the last grant: the owner has dropped its earlier share, and
// no owner before it can start further tasks. Any other answer can only raise it. The first answer to a new controller sets it to
// what the owner holds or uses, because the owner takes no grants of the earlier controller from then on. ownerReplaced has to see
// the bound as it was before the answer of a new owner: that is what the owners before it may have used.
func (l *Ledger) Report(now time.Time, service string, r Report) bool {
	h := l.services[service]
	if h == nil || r.Token < h.token || r.Controller != l.token {
		return false
	}
	first := !h.heard
	confirmed := h.lastSeq > 0 && r.Seq == h.lastSeq
	if r.Token > h.token && h.heard {
		h.ownerReplaced(confirmed)
	}
	h.token, h.heard, h.answered, h.unsettled, h.exempt = r.Token, true, true, r.Unsettled, false
	l.seq = max(l.seq, r.Seq)
	for name, u := range r.Accounts {
		l.observe(now, name, u)
		e := h.entries[name]
		if e == nil {
			e = &accountState{}
			h.entries[name] = e
		}
		e.used, e.wanted, e.unit = u.Used.Plus(u.Unsure, 1), u.Wanted, u.Unit
		if !e.used.IsZero() {
			e.servedAt = now
		}
		switch {
		case first:
			e.bound, e.granted = u.Held.Max(e.used), u.Held
		case confirmed && !r.Unsettled:
			e.bound, e.granted = u.Held.Max(u.Used), u.Held
		default: // an earlier owner may have what it was granted
			e.bound, e.granted = e.bound.Max(u.Held).Max(u.Used), e.granted.Max(u.Held)
		}
	}
	for name, e := range h.entries {
		if _, ok := r.Accounts[name]; ok {
			continue
		}
		e.used, e.wanted, e.unit = Amount{}, Amount{}, Amount{}
		if confirmed && !r.Unsettled {
			delete(h.entries, name)
		}
	}
	return true
}

// ownerReplaced keeps what the owners before a new one may have running: the bounds without the last grant, if the new owner has it.
func (h *serviceState) ownerReplaced(confirmed bool) {
	h.replaced = true
	for _, e := range h.entries {
		if e.earlier = e.bound; confirmed {
			e.earlier = e.prior
		}
	}
}

// observe updates an account from the report of a service, whose owner may have a later configuration.
func (l *Ledger) observe(now time.Time, name string, u Use) {
	a := l.accounts[name]
	if a == nil {
		a = &account{activeAt: now}
		l.accounts[name] = a
	}
	if !a.listed {
		a.limit = a.limit.Max(u.Limit)
	}
	a.highest = a.highest.Max(u.Limit).Max(u.Of)
	if !u.Wanted.IsZero() {
		a.activeAt = now
	}
}

// Unlimited enters that the owner of a service keeps no limits because it is of an earlier version.
func (l *Ledger) Unlimited(service string) {
	if h := l.services[service]; h != nil {
		h.heard, h.answered, h.exempt = true, true, true
	}
}

// Grant returns what is to be sent to a service after Plan: its shares, or an announcement if no owner of it has answered yet. The
// service may have these shares from then on.
func (l *Ledger) Grant(service string) Grant {
	g := Grant{Token: l.token}
	h := l.services[service]
	if h == nil || !h.heard || h.exempt {
		return g
	}
	l.seq++
	h.lastSeq, h.answered = l.seq, false
	g.Seq, g.Owner, g.Shares = l.seq, h.token, map[string]Allowance{}
	for name, e := range h.entries {
		a := l.accounts[name]
		e.sent, e.prior = e.share, e.bound
		if a == nil || e.share.IsZero() {
			continue
		}
		e.bound, e.granted = e.bound.Max(e.share), e.granted.Max(e.share)
		x := Allowance{Share: e.share, Limit: a.limit, Reach: e.reach}
		if h.replaced && h.unsettled {
			earlier := e.earlier
			x.Earlier = &earlier
		}
		g.Shares[name] = x
	}
	return g
}
