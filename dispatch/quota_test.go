package dispatch_test

import (
	"strings"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/quota"
)

const (
	limitedAccount = "acme"
	accountCPU     = 10000 // limit of limitedAccount
	otherJob       = "00000000000000bb"
)

// limitAccount sets the limit of the account, and grants a share of it that is sent now.
func (p *pool) limitAccount(share int) {
	p.s.SetAccounts([]cuminstair.ClientAccount{{Name: limitedAccount, Limit: cuminstair.Resources{CPU: accountCPU}}, {Name: "other"}})
	p.grant(1, share)
}

func (p *pool) grant(seq uint64, share int) {
	p.s.Grant(p.now, p.now, quota.Grant{Token: 1, Seq: seq, Shares: map[string]quota.Allowance{
		limitedAccount: {Share: quota.Amount{share}, Limit: quota.Amount{accountCPU}, Reach: quota.Amount{share}},
	}})
}

// submitFor submits a job of the account.
func (p *pool) submitFor(id string, target time.Duration, steps ...cuminstair.JobStep) *reply {
	a := &reply{}
	spec := &cuminstair.JobSpec{Steps: steps}
	p.specs[id] = spec
	p.s.Submit(p.now, id, spec, cuminstair.WorkQueue{Name: "q", Service: "s", TargetFactor: 2, Target: target, Attempts: 3}, limitedAccount, a.set)
	return a
}

// Guards against tasks of an account that start beyond its share, without a valid grant, or do not start once there is one.
func TestTasksStartWithinTheShareOfTheirAccount(t *testing.T) {
	p := newPool(t, 4)
	p.s.SetAccounts([]cuminstair.ClientAccount{{Name: limitedAccount, Limit: cuminstair.Resources{CPU: accountCPU}}})
	p.run(200 * time.Millisecond)
	p.submitFor(jobA, time.Minute, step(12, 2000))
	p.submit(otherJob, step(2, 2000))
	p.run(300 * time.Millisecond)
	p.is.Equal(p.running(), 0)
	use := p.s.LimitReport().Accounts[limitedAccount]
	p.is.Equal(use.Wanted[0], 24000)
	p.is.Equal(p.s.Counts().LimitBlocks, 1)
	p.is.Equal(p.s.Counts().LimitTasks, 12)
	p.is.Equal(p.s.Counts().Starts, 2) // those of the other job

	p.grant(1, 6000)
	p.run(300 * time.Millisecond)
	p.is.Equal(p.running(), 3)
	p.is.Equal(p.s.LimitReport().Accounts[limitedAccount].Used, quota.Amount{6000, 3000})
	p.grant(2, accountCPU)
	p.run(100 * time.Millisecond)
	p.is.Equal(p.running(), 5)
	p.run(quota.GrantTTL)
	p.is.Equal(p.running(), 0) // the rest has been done, or waits
	done := p.s.Counts().Done
	p.run(time.Second)
	p.is.Equal(p.s.Counts().Done, done)
	p.grant(3, accountCPU)
	p.run(2 * time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	p.is.True(p.s.LimitReport().Accounts[limitedAccount].Used.IsZero())
}

// Guards against starts by a grant from before a freeze of the daemon, during which the limit may have been cut.
func TestNoStartsByAGrantFromBeforeAFreeze(t *testing.T) {
	p := newPool(t, 4)
	p.limitAccount(accountCPU)
	p.run(200 * time.Millisecond)
	p.now = p.now.Add(2 * time.Second)
	p.submitFor(jobA, time.Minute, step(2, 2000))
	p.run(300 * time.Millisecond)
	p.is.Equal(p.running(), 0)
	p.grant(2, accountCPU)
	p.run(300 * time.Millisecond)
	p.is.Equal(p.running(), 2)
}

// Guards against a gang that starts in part, or beyond the share.
func TestGangNeedsRoomForAllOfItInTheLimit(t *testing.T) {
	p := newPool(t, 4)
	p.run(200 * time.Millisecond)
	p.limitAccount(7999)
	gang := step(4, 2000)
	gang.Gang = true
	p.submitFor(jobA, time.Minute, gang)
	p.run(300 * time.Millisecond)
	p.is.Equal(p.running(), 0)
	p.is.Equal(p.s.LimitReport().Accounts[limitedAccount].Unit[0], 8000)
	p.grant(2, 8000)
	p.run(300 * time.Millisecond)
	p.is.Equal(p.running(), 4)
}

// Guards against a new owner that starts tasks beyond the share of its account beside runs that it does not know: those of an
// earlier owner on a worker that does not answer.
func TestRunsOfEarlierOwnersCountTowardsTheLimit(t *testing.T) {
	p := newPool(t, 4)
	p.duration = func(cuminstair.TaskID) time.Duration { return time.Minute }
	p.run(200 * time.Millisecond)
	p.limitAccount(accountCPU)
	p.submitFor(jobA, time.Hour, step(4, 2000))
	p.run(300 * time.Millisecond)
	p.is.Equal(p.running(), 4)
	for _, w := range p.busy() {
		w.partitioned = true
	}
	p.takeOver(200, 6*time.Second)
	p.limitAccount(accountCPU)
	p.submitFor(otherJob, time.Hour, step(4, 2000))
	p.run(time.Second)
	report := p.s.LimitReport()
	p.is.True(report.Unsettled)
	p.is.Equal(report.Accounts[limitedAccount].Unsure[0], 8000)
	p.is.Equal(p.s.Counts().Starts, 1) // 2000 are left
	for _, w := range p.workers {
		w.partitioned = false
	}
	p.run(time.Second)
	report = p.s.LimitReport()
	p.is.True(!report.Unsettled)
	p.is.Equal(report.Accounts[limitedAccount].Used[0], accountCPU)
	p.is.Equal(p.s.Counts().Starts, 1)
}

// Guards against jobs that are accepted although the limit of their account leaves no room in time, and against refusals of jobs of
// other accounts.
func TestJobIsRefusedForTheLimitOfItsAccount(t *testing.T) {
	p := newPool(t, 4)
	p.run(200 * time.Millisecond)
	p.limitAccount(accountCPU)
	a := p.submitFor(jobA, 2*time.Second, step(100, 2000)) // in twenty waves
	p.run(100 * time.Millisecond)
	p.is.Equal(a.Outcome, dispatch.Accepted)
	b := p.submitFor(otherJob, 300*time.Millisecond, step(10, 2000))
	p.is.Equal(b.Outcome, dispatch.Refused)
	p.is.True(strings.HasSuffix(b.Why, "within the limit of the account"))
	p.is.True(b.Wait >= time.Second)
	c := p.submitFor("00000000000000cc", time.Hour, step(1, accountCPU+1))
	p.is.Equal(c.Outcome, dispatch.Impossible)
	d := p.submit("00000000000000dd", step(10, 2000))
	p.run(100 * time.Millisecond)
	p.is.Equal(d.Outcome, dispatch.Accepted)
}
