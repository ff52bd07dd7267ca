package dispatch

import (
	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/quota"
)

// otherAccount is the reason of a Forbidden result.
const otherAccount = "the job belongs to another client account"

// SetAccounts sets the client accounts of the configuration in force; nil: none are configured.
func (s *Service) SetAccounts(list []cuminstair.ClientAccount) {
	if list == nil && s.accounts == nil {
		return
	}
	s.accounts = nil
	if list != nil {
		s.accounts = make(map[string]cuminstair.ClientAccount, len(list))
	}
	limits := make(map[string]quota.Amount, len(list))
	for _, a := range list {
		s.accounts[a.Name] = a
		limits[a.Name] = quota.AmountOf(a.Limit)
	}
	s.limitShares.SetLimits(limits, s.hasJobsOf)
	s.changed = true
}

// hasJobsOf reports whether the service has unfinished jobs of an account.
func (s *Service) hasJobsOf(account string) bool {
	for _, j := range s.active {
		if j.account == account {
			return true
		}
	}
	return false
}

// MayAccess reports whether a call of a client account may concern a job. A call without an account came to a queue that needs
// none, so that it may concern any job.
func (s *Service) MayAccess(id, account string) bool {
	j, ok := s.jobs[id]
	return !ok || j.account == "" || account == "" || j.account == account
}
