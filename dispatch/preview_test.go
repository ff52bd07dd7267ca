package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/quota"
)

// previewed returns jobs of different kinds.
func previewed() []*cuminstair.JobSpec {
	later, gang, long, effort, labelled := step(1, 1000), step(2, 3000), step(2, 1000), step(2, 1000), step(1, 1000)
	later.After, gang.Gang, long.LongRunning, effort.BestEffort, labelled.Label = []int{0}, true, true, true, "gpu"
	return []*cuminstair.JobSpec{jobOf(step(2, 2000), later), jobOf(gang), jobOf(long), jobOf(effort), jobOf(labelled), jobOf(step(1, 10*hostCPU))}
}

// Guards against a preview that leaves something in the state of the owner: an estimate, a denial, a random number, a promise, an
// order, or a change of a worker. The pool is loaded, jobs are refused, a worker is lost, and reservations and promises are made.
func TestPreviewChangesNothing(t *testing.T) {
	p := newPool(t, 2)
	limit := quota.Amount{16 * accountCPU}
	p.s.SetAccounts([]cuminstair.ClientAccount{{Name: limitedAccount, Limit: cuminstair.Resources{CPU: limit[0]}}, {Name: "other", Weight: 5}})
	p.s.Grant(p.now, p.now, quota.Grant{Token: 1, Seq: 1, Shares: map[string]quota.Allowance{limitedAccount: {Share: limit, Limit: limit, Reach: limit}}})
	p.run(200 * time.Millisecond)
	refused, above := 0, 0
	for i := range 60 {
		if i == 30 {
			p.workers[1].crashed = true
		}
		job := fmt.Sprintf("%016x", i)
		if i%3 == 1 {
			p.specs[job] = jobOf(step(12, 1000))
			p.s.Submit(p.now, job, p.specs[job], replayQueue, "other", (&reply{}).set)
		} else if r := p.submitFor(job, 600*time.Millisecond, step(30, 1000)); r.calls > 0 && r.Outcome != dispatch.Accepted {
			refused++
		}
		p.run(20 * time.Millisecond)
		before := p.s.Dump()
		for _, spec := range previewed() {
			for _, account := range []string{"", limitedAccount, "other"} {
				v := p.s.Preview(p.now.Add(time.Duration(i%2)*50*time.Millisecond), spec, replayQueue, account)
				if v.Account != nil && v.Account.Above {
					above++
				}
			}
		}
		if p.s.Dump() != before {
			t.Fatal("the previews change the state")
		}
	}
	if refused == 0 || above == 0 {
		t.Errorf("%d jobs were refused, and %d previews were of an account above its share", refused, above)
	}
}

// Guards against a preview that decides otherwise than a submission, or places the task on another worker.
func TestPreviewIsWhatASubmissionGets(t *testing.T) {
	p := newPool(t, 2)
	p.duration = func(cuminstair.TaskID) time.Duration { return time.Minute } // no end changes the pool before the task is placed
	p.run(200 * time.Millisecond)
	accepted, refused := 0, 0
	for i := range 150 {
		spec := jobOf(step(1+i%10, 1000+1000*(i%3)))
		v := p.s.Preview(p.now, spec, replayQueue, "")
		id, r, mark := fmt.Sprintf("%016x", i), &reply{}, len(p.orders)
		p.specs[id] = spec
		p.s.Submit(p.now, id, spec, replayQueue, "", r.set)
		p.is.Equal(v.Admission.Accept, r.calls == 0) // the answer of an accepted job waits for the store
		if v.Admission.Accept {
			accepted++
		} else {
			p.is.Equal(v.Admission.Why, r.Why)
			refused++
		}
		p.run(2 * tick)
		first := v.Steps[0].Workers
		for _, o := range p.orders[mark:] {
			if o.Task.Job != id || len(first) == 0 {
				continue
			}
			best := slices.DeleteFunc(slices.Clone(first), func(w dispatch.WorkerPreview) bool { return w.Score != first[0].Score })
			p.is.True(slices.ContainsFunc(best, func(w dispatch.WorkerPreview) bool { return w.ID == o.Worker.ID }))
			break
		}
	}
	p.is.True(accepted > 10)
	p.is.True(refused > 10)
	p.is.Equal(p.s.Preview(p.now, previewed()[4], replayQueue, "").Steps[0].Ineligible["no label gpu"], 2)
	p.is.Equal(p.s.Preview(p.now, previewed()[5], replayQueue, "").Steps[0].Ineligible["too small"], 2)
}

// Guards against answers that grow with the pool.
func TestPreviewNamesFewWorkers(t *testing.T) {
	p := newPool(t, 26)
	p.run(200 * time.Millisecond)
	v := p.s.Preview(p.now, jobOf(step(1, 1000), step(1, 1000)), replayQueue, "")
	p.is.Equal(v.Steps[0].Eligible, 26)
	p.is.Equal(len(v.Steps[0].Workers)+len(v.Steps[1].Workers), 20)
}
