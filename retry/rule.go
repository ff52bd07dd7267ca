package retry

import "cuminstair.org/cuminstair"

// Allowed reports whether it is safe and useful to send a request again after an attempt that ended with res; the budget
// decides whether it is sent. A request that may have run is sent again only if it is idempotent. A request that provably
// did not run may be sent again. No request is sent again if the reason applies to every upstream.
func Allowed(r *cuminstair.Request, res cuminstair.Result) bool {
	switch res.Outcome {
	case cuminstair.OutcomeDone:
		return false
	case cuminstair.OutcomeNotRun:
		return !permanent(res.Reason)
	default:
		return r.Idempotent && !permanent(res.Reason)
	}
}

// permanent reports whether another attempt would fail for the same reason. ReasonNoUpstream is not permanent, since
// another upstream may be reachable.
func permanent(reason cuminstair.Reason) bool {
	switch reason {
	case cuminstair.ReasonMalformed, cuminstair.ReasonNoService, cuminstair.ReasonQuota, cuminstair.ReasonLate,
		cuminstair.ReasonDeadline, cuminstair.ReasonExpired, cuminstair.ReasonBudget, cuminstair.ReasonHomeGone,
		cuminstair.ReasonStopping, cuminstair.ReasonFull, cuminstair.ReasonStale:
		return true
	default:
		return false
	}
}

// CombineOutcome returns the outcome of a request after one more attempt. before is the combined outcome of its earlier
// attempts, OutcomeNotRun before the first. Once an attempt may have run, a later attempt that did not run does not
// prove that the request did not run.
func CombineOutcome(before, last cuminstair.Outcome) cuminstair.Outcome {
	if last == cuminstair.OutcomeNotRun {
		return before
	}
	return last
}
