package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/ownership"
)

// write sends the next batch, unless one is under way.
func (r *runner) write(ctx context.Context, now time.Time) {
	if r.inflight != nil || now.Before(r.again) {
		return
	}
	b := r.state.Batch(now)
	if b == nil || b.Empty() {
		return
	}
	r.owner.Seq++
	r.inflight, r.sentAt, r.maybe, r.hedges = b, now, false, 0
	r.sentTx = cuminstair.Tx{Puts: append(b.Puts, r.ownerPut()), Deletes: b.Deletes, Checks: []cuminstair.RecordCheck{r.check()}}
	go r.commit(ctx, r.sentTx, r.owner.Seq)
	r.hedge(ctx, r.owner.Seq)
}

// hedge sends the transaction under way once more if it has no answer when several usual times have passed. It answers
// stores that lose answers: the condition lets one sending take effect, and any answer settles all of them.
func (r *runner) hedge(ctx context.Context, seq int64) {
	r.d.Timer.After(max(hedgeLeast, hedgeFactor*r.latency)<<r.hedges, func(time.Time) {
		// Nothing is left to send when the runner has ended.
		_ = r.post(func(time.Time) {
			if r.inflight == nil || r.owner.Seq != seq || r.ended {
				return
			}
			r.hedges++
			if r.hedges <= hedgeMost {
				go r.commit(ctx, r.sentTx, seq)
				r.hedge(ctx, seq)
			}
		})
	})
}

func (r *runner) ownerKey() cuminstair.RecordKey {
	return cuminstair.RecordKey{Table: ownership.Table, Part: r.service, Key: ownership.OwnerKey}
}

func (r *runner) check() cuminstair.RecordCheck {
	return cuminstair.RecordCheck{RecordKey: r.ownerKey(), Version: r.version}
}

func (r *runner) ownerPut() cuminstair.RecordPut {
	// An Owner always encodes.
	data, _ := json.Marshal(r.owner)
	return cuminstair.RecordPut{RecordKey: r.ownerKey(), Value: data}
}

func (r *runner) commit(ctx context.Context, tx cuminstair.Tx, seq int64) {
	sent := r.d.Timer.Now()
	version, err := r.d.Store.Commit(ctx, tx)
	r.d.Metrics.store(err, r.d.Timer.Now().Sub(sent))
	r.post(func(now time.Time) {
		if r.inflight == nil || r.owner.Seq != seq {
			return // another sending has settled it
		}
		r.committed(ctx, now, sent, version, err)
	})
}

// committed settles the batch under way. A write without an answer is sent again as it was: its condition lets it take
// effect once at most, and the sequence number in the owner record tells whether it did.
func (r *runner) committed(ctx context.Context, now, sent time.Time, version uint64, err error) {
	b := r.inflight
	var conflict *cuminstair.Conflict
	switch {
	case err == nil:
		r.settle(now, sent, b, version)
	case errors.As(err, &conflict):
		o, v := ownerOf(conflict)
		if o == r.owner {
			r.settle(now, sent, b, v)
			return
		}
		r.state.Depose("the store has another owner record: " + o.Name)
	case !errors.Is(err, cuminstair.ErrUncertain) && !r.maybe && r.hedges == 0:
		// Nothing was done by any sending, so that its jobs may be refused.
		r.failed(now, err)
		r.state.Dropped(b)
		r.inflight, r.again = nil, now.Add(commitRetry)
	default:
		r.failed(now, err)
		r.maybe = true
		tx, seq := r.sentTx, r.owner.Seq
		r.d.Timer.After(commitRetry, func(time.Time) { go r.commit(ctx, tx, seq) })
	}
}

func (r *runner) settle(now, sent time.Time, b *dispatch.Batch, version uint64) {
	r.version = version
	r.inflight = nil
	took := now.Sub(sent)
	r.latency = max(took, r.latency+(took-r.latency)/8)
	r.confirm0(sent)
	if !r.failing.IsZero() {
		r.d.Log.Info("entry: dependency regained", "dependency", "writes of "+r.service, "after", now.Sub(r.failing).Round(time.Millisecond).String())
		r.failing = time.Time{}
	}
	r.state.Stored(now, b)
}

func (r *runner) failed(now time.Time, err error) {
	if r.failing.IsZero() {
		r.failing = now
		r.d.Log.Warn("entry: dependency lost", "dependency", "writes of "+r.service, "error", err)
	}
}

// ownerOf returns the owner record of a conflict and its version.
func ownerOf(c *cuminstair.Conflict) (ownership.Owner, uint64) {
	for _, rec := range c.Records {
		if rec.Key != ownership.OwnerKey || rec.Table != ownership.Table {
			continue
		}
		var o ownership.Owner
		if err := json.Unmarshal(rec.Value, &o); err == nil {
			return o, rec.Version
		}
	}
	return ownership.Owner{}, 0
}
