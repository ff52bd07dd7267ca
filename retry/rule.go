package retry

import "cuminstair.org/cuminstair"

// May reports whether a request may be sent again after an attempt that ended with res, as far as its effects are
// concerned; the budget decides whether it is. A request that may have run is sent again only if it is idempotent. One
// that was proved not to have run may be sent again in any case, unless the reason holds for every upstream.
func May(r *cuminstair.Request, res cuminstair.Result) bool {
	switch res.Outcome {
	case cuminstair.OutcomeDone:
		return false
	case cuminstair.OutcomeNotRun:
		return !lasting(res.Reason)
	default:
		return r.Idempotent && !lasting(res.Reason)
	}
}

// lasting reports whether another attempt would end for the same reason. An upstream that can't be reached is no such
// reason, since another one may be.
func lasting(reason cuminstair.Reason) bool {
	switch reason {
	case cuminstair.ReasonMalformed, cuminstair.ReasonNoService, cuminstair.ReasonQuota, cuminstair.ReasonLate,
		cuminstair.ReasonDeadline, cuminstair.ReasonExpired, cuminstair.ReasonBudget, cuminstair.ReasonHomeGone,
		cuminstair.ReasonStopping, cuminstair.ReasonFull, cuminstair.ReasonStale:
		return true
	default:
		return false
	}
}

// Settle returns the outcome of a request after one more attempt. before is the outcome that its earlier attempts add up
// to, OutcomeNotRun before the first. Once an attempt may have run, a later one that did not run proves nothing.
func Settle(before, last cuminstair.Outcome) cuminstair.Outcome {
	if last == cuminstair.OutcomeNotRun {
		return before
	}
	return last
}
