package quota

import "time"

// Share is the owner's side: the shares of a service in the limits of accounts, and what is used of them.
type Share struct {
	token           uint64 // of the owner
	controller, seq uint64
	until           time.Time // when the grant expires
	allowances      map[string]Allowance
	configured      map[string]Amount // limits of the configuration
	limits          map[string]Amount // by account with a limit, also those that were removed while in use
	used            map[string]Amount
	unsure          map[string]Amount
	found           map[string]Amount // part of used: runs of earlier owners
	earlier         map[string]Amount // see Allowance.Earlier
}

// NewShare returns the side of an owner with a token that has no grant yet.
func NewShare(token uint64) *Share {
	return &Share{token: token, allowances: map[string]Allowance{}, limits: map[string]Amount{}, used: map[string]Amount{}, unsure: map[string]Amount{}, found: map[string]Amount{}, earlier: map[string]Amount{}}
}

// SetLimits sets the limits of the accounts of the configuration; the limit of an account without one is zero. An account that is
// no longer there keeps its last limit while inUse reports that it has jobs.
func (s *Share) SetLimits(limits map[string]Amount, inUse func(account string) bool) {
	s.configured = limits
	for name, limit := range limits {
		if limit.IsZero() {
			delete(s.limits, name)
		} else {
			s.limits[name] = limit
		}
	}
	for name := range s.limits {
		if _, ok := limits[name]; !ok && !inUse(name) {
			delete(s.limits, name)
		}
	}
}

// Limit returns the limit of an account, zero if it has none.
func (s *Share) Limit(account string) Amount { return s.limits[account] }

// AnyLimit reports whether some account has a limit.
func (s *Share) AnyLimit() bool { return len(s.limits) > 0 }

// Accept replaces the shares by those of a grant that was sent after issued, a time on the owner's clock. It refuses a grant of an
// earlier controller, and one that is not newer than the last one accepted.
func (s *Share) Accept(issued time.Time, g Grant) bool {
	if g.Token < s.controller {
		return false
	}
	if g.Token > s.controller {
		s.controller, s.seq = g.Token, 0
	}
	if g.Seq <= s.seq {
		return false
	}
	s.seq, s.until, s.allowances = g.Seq, issued.Add(GrantTTL), g.Shares
	for name, p := range g.Shares {
		if _, ok := s.earlier[name]; !ok && p.Earlier != nil && g.Owner == s.token {
			s.earlier[name] = *p.Earlier
		}
		if _, ok := s.configured[name]; !ok {
			s.limits[name] = p.Limit // of an account that was removed, or is to come
		}
	}
	return true
}

// Expire ends the validity of the last grant, but for what already runs.
func (s *Share) Expire() { s.until = time.Time{} }

// Charge adds n times an amount to what an account uses.
func (s *Share) Charge(account string, amount Amount, n int) {
	if used := s.used[account].Plus(amount, n); used.IsZero() {
		delete(s.used, account)
	} else {
		s.used[account] = used
	}
}

// ChargeFound adds n times an amount to the part of what an account uses that runs of earlier owners take.
func (s *Share) ChargeFound(account string, amount Amount, n int) {
	s.found[account] = s.found[account].Plus(amount, n)
}

// SetUnsure sets what runs of earlier owners may use that the owner does not know.
func (s *Share) SetUnsure(unsure map[string]Amount) { s.unsure = unsure }

// Used returns what an account uses, with the runs that earlier owners may have started.
func (s *Share) Used(account string) Amount { return s.used[account].Plus(s.unsureUse(account), 1) }

// unsureUse returns what runs of earlier owners may use that the owner does not know. Together with the runs that it has found, they
// use no more than those owners could start.
func (s *Share) unsureUse(account string) Amount {
	unsure := s.unsure[account]
	if earlier, ok := s.earlier[account]; ok {
		unsure = unsure.Min(earlier.Plus(s.found[account], -1).Max(Amount{}))
	}
	return unsure
}

// Allowed returns what an account may use at now. A share of a limit that has been cut since is cut in proportion.
func (s *Share) Allowed(now time.Time, account string) Amount {
	p, ok := s.allowances[account]
	if !ok || !now.Before(s.until) {
		return Amount{}
	}
	return scaled(p.Share, p.Limit, s.limits[account])
}

// scaled returns the share of the limit before as a share of the limit after, if that is lower.
func scaled(share, before, after Amount) Amount {
	for i := range share {
		if after[i] < before[i] && after[i] > 0 {
			share[i] = int(int64(share[i]) * int64(after[i]) / int64(before[i]))
		}
	}
	return share
}

// Fits reports whether n tasks of an account that take an amount each may start at now. A resource without a limit in the
// configuration of the owner or of the controller, which may have different versions, is not checked.
func (s *Share) Fits(now time.Time, account string, amount Amount, n int) bool {
	limit, ok := s.limits[account]
	if !ok {
		return true
	}
	p, ok := s.allowances[account]
	if !ok || !now.Before(s.until) {
		return false
	}
	allowed, used := s.Allowed(now, account), s.Used(account).Plus(amount, n)
	for i := range limit {
		if limit[i] > 0 && p.Limit[i] > 0 && amount[i] > 0 && used[i] > allowed[i] {
			return false
		}
	}
	return true
}

// Reach returns the largest share of an account that the service can expect: all of its limit if there is no grant.
func (s *Share) Reach(account string) Amount {
	limit := s.limits[account]
	p, ok := s.allowances[account]
	if !ok {
		return limit
	}
	reach := scaled(p.Reach, p.Limit, limit)
	for i := range reach {
		if p.Limit[i] == 0 {
			reach[i] = limit[i]
		}
	}
	return reach
}

// Waiting is what the waiting tasks of an account could use.
type Waiting struct {
	Total Amount
	Unit  Amount // of the largest task
}

// Report returns the answer of the owner.
func (s *Share) Report(unsettled bool, waiting map[string]Waiting) Report {
	r := Report{Token: s.token, Controller: s.controller, Seq: s.seq, Unsettled: unsettled, Accounts: map[string]Use{}}
	for name, limit := range s.limits {
		u := Use{Limit: limit, Held: s.allowances[name].Share, Of: s.allowances[name].Limit, Used: s.used[name], Unsure: s.unsureUse(name), Unit: waiting[name].Unit}
		u.Wanted = s.Used(name).Plus(waiting[name].Total, 1)
		if !u.Held.IsZero() || !u.Wanted.IsZero() {
			r.Accounts[name] = u
		}
	}
	return r
}

// Seq returns the number of the grant.
func (s *Share) Seq() uint64 { return s.seq }
