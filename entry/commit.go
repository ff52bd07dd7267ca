package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/ownership"
)

// sendBatch commits the next batch of records unless a commit is in flight.
func (r *runner) sendBatch(ctx context.Context, now time.Time) {
	if r.inflight != nil || now.Before(r.retryAt) {
		return
	}
	b := r.state.Batch(now)
	if b == nil || b.Empty() {
		return
	}
	r.owner.Seq++
	r.owner.Unsettled = r.unsettled(now)
	r.inflight, r.sentAt, r.uncertain, r.hedges = b, now, false, 0
	r.sentTx = cuminstair.Tx{Puts: append(b.Puts, r.ownerPut()), Deletes: b.Deletes, Checks: []cuminstair.RecordCheck{r.ownerCheck()}}
	go r.commit(ctx, r.sentTx, r.owner.Seq)
	r.hedge(ctx, r.owner.Seq)
}

// hedge sends the transaction in flight again if it has no answer after several times the usual latency, because a
// store may lose answers. The check of the owner record's version lets only one attempt take effect, and an answer to
// any attempt settles all.
func (r *runner) hedge(ctx context.Context, seq int64) {
	r.d.Timer.After(max(hedgeMinDelay, hedgeFactor*r.latency)<<r.hedges, func(time.Time) {
		// post fails only if the runner has ended; then nothing is left to send.
		_ = r.post(func(time.Time) {
			if r.inflight == nil || r.owner.Seq != seq || r.ended {
				return
			}
			r.hedges++
			if r.hedges <= maxHedges {
				go r.commit(ctx, r.sentTx, seq)
				r.hedge(ctx, seq)
			}
		})
	})
}

func (r *runner) ownerKey() cuminstair.RecordKey {
	return cuminstair.RecordKey{Table: ownership.Table, Part: r.service, Key: ownership.OwnerKey}
}

func (r *runner) ownerCheck() cuminstair.RecordCheck {
	return cuminstair.RecordCheck{RecordKey: r.ownerKey(), Version: r.version}
}

func (r *runner) ownerPut() cuminstair.RecordPut {
	// Encoding an Owner can't fail.
	data, _ := json.Marshal(r.owner)
	return cuminstair.RecordPut{RecordKey: r.ownerKey(), Value: data}
}

func (r *runner) commit(ctx context.Context, tx cuminstair.Tx, seq int64) {
	sent := r.d.Timer.Now()
	version, err := r.d.Store.Commit(ctx, tx)
	r.d.Metrics.observeStoreWrite(err, r.d.Timer.Now().Sub(sent))
	r.post(func(now time.Time) {
		if r.inflight == nil || r.owner.Seq != seq {
			return // the answer to another attempt has settled it
		}
		r.handleCommit(ctx, now, sent, version, err)
	})
}

// handleCommit handles the answer to a commit. A write without an answer is sent again unchanged: its check lets it
// take effect at most once, and the sequence number in the owner record shows whether it did.
func (r *runner) handleCommit(ctx context.Context, now, sent time.Time, version uint64, err error) {
	b := r.inflight
	var conflict *cuminstair.Conflict
	switch {
	case err == nil:
		r.batchCommitted(now, sent, sent, b, version)
	case errors.As(err, &conflict):
		o, v := conflictOwner(conflict)
		if o == r.owner {
			r.batchCommitted(now, sent, r.sentAt, b, v) // an earlier attempt was stored
			return
		}
		r.state.Depose("the store has another owner record: " + o.Name)
	case errors.Is(err, cuminstair.ErrMalformed):
		// The store refuses every attempt at this transaction, the earlier ones too.
		r.logRefused(r.sentTx)
		r.inflight = nil
		r.state.Refused(now, b)
	case !errors.Is(err, cuminstair.ErrUncertain) && !r.uncertain && r.hedges == 0:
		// No attempt took effect, so the jobs of the batch may be refused.
		r.writeFailed(now, err)
		r.state.NotStored(b)
		r.inflight, r.retryAt = nil, now.Add(commitRetry)
	default:
		r.writeFailed(now, err)
		r.uncertain = true
		tx, seq := r.sentTx, r.owner.Seq
		r.d.Timer.After(commitRetry, func(time.Time) { go r.commit(ctx, tx, seq) })
	}
}

// logRefused logs the largest record of a transaction that the store refuses as malformed: most likely it exceeds a row. The owner then
// writes smaller transactions, and logs the record that the store refuses alone.
func (r *runner) logRefused(tx cuminstair.Tx) {
	largest := slices.MaxFunc(tx.Puts, func(a, b cuminstair.RecordPut) int { return cmp.Compare(len(a.Value), len(b.Value)) })
	r.d.Log.Warn("entry: the store refuses a transaction", "service", r.service, "entries", len(tx.Puts)+len(tx.Deletes),
		"largest", largest.Table+"/"+largest.Key, "bytes", len(largest.Value))
}

// batchCommitted handles a batch that has been stored. sent is when the call was sent that showed it, and wroteAt the earliest time at
// which it may have been stored: other daemons take this one for alive from then on.
func (r *runner) batchCommitted(now, sent, wroteAt time.Time, b *dispatch.Batch, version uint64) {
	r.version = version
	r.inflight = nil
	took := now.Sub(sent)
	r.latency = max(took, r.latency+(took-r.latency)/8)
	r.setConfirmed(sent)
	r.wroteAt = wroteAt
	r.offered = r.offered && r.owner.Seq <= r.offeredSeq
	if at := r.d.wroteAt.Load(); at == nil || wroteAt.After(*at) {
		r.d.wroteAt.Store(&wroteAt)
	}
	if !r.failingSince.IsZero() {
		r.d.Log.Info("entry: dependency regained", "dependency", "writes of "+r.service, "after", now.Sub(r.failingSince).Round(time.Millisecond).String())
		r.failingSince = time.Time{}
	}
	r.state.Stored(now, b)
}

// writeLatency returns how long a write takes at present; the write in flight counts with the time that it has taken.
func (r *runner) writeLatency(now time.Time) time.Duration {
	if r.inflight == nil {
		return r.latency
	}
	return max(r.latency, now.Sub(r.sentAt))
}

func (r *runner) writeFailed(now time.Time, err error) {
	if r.failingSince.IsZero() {
		r.failingSince = now
		r.d.Log.Warn("entry: dependency lost", "dependency", "writes of "+r.service, "error", err)
	}
}

// conflictOwner returns the owner record of a conflict and its version.
func conflictOwner(c *cuminstair.Conflict) (ownership.Owner, uint64) {
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
