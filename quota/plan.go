package quota

import (
	"cmp"
	"slices"
	"time"
)

// Change is a share that differs by more than a tenth of its limit from the one that was last listed as changed.
type Change struct {
	Service, Account                            string
	Before, Share, Used, Wanted, Limit, Bounded Amount // Bounded: what all services together may have running
}

// changedPart is the part of a limit by which a share has to change to be listed.
const changedPart = 0.1

// duePart is the part of a limit by which a share has to change to be sent before the next round.
const duePart = 0.02

// Due reports whether a service should get its shares at once, since its owner has had no grant of this controller, or they have
// changed much since the last one.
func (l *Ledger) Due(service string) bool {
	h := l.services[service]
	if h == nil || !h.heard || !h.answered || h.exempt {
		return false
	}
	if h.lastSeq == 0 {
		return true
	}
	for name, e := range h.entries {
		if a := l.accounts[name]; a != nil && differs(e.share, e.sent, a.limit, duePart) {
			return true
		}
	}
	return false
}

// differs reports whether two shares differ by more than a part of their limit.
func differs(a, b, limit Amount, part float64) bool {
	return a.Plus(b, -1).Part(limit) > part || b.Plus(a, -1).Part(limit) > part
}

// row is an account at a service while its limit is divided.
type row struct {
	h             *serviceState
	e             *accountState
	bound         Amount // most that it may have running
	floor, demand Amount // least that it keeps, and most that it should get
	target, share Amount
}

// Plan computes new shares of all limits and returns those that have changed much. If a limit is too small for all, each service
// first gets room for one task, in the order of byUse. The rest is divided by max-min fairness, and what nobody wants evenly.
// A share may be below what the service uses: its running tasks stay in its bound, and it starts no others until some have ended.
// Otherwise a service that replaces each task that ends would keep the whole limit.
func (l *Ledger) Plan(now time.Time) []Change {
	mayRaise := true
	for _, h := range l.order {
		mayRaise = mayRaise && (h.heard || now.Sub(l.startsAt) > unheardTime)
	}
	var changes []Change
	for name, a := range l.accounts {
		if now.Sub(a.activeAt) > quietTime && !l.holds(name) {
			if !a.listed {
				delete(l.accounts, name)
			}
			continue
		}
		changes = l.planAccount(now, name, a, mayRaise, changes)
	}
	return changes
}

func (l *Ledger) holds(name string) bool {
	for _, h := range l.order {
		if h.entries[name] != nil {
			return true
		}
	}
	return false
}

func (l *Ledger) planAccount(now time.Time, name string, a *account, mayRaise bool, changes []Change) []Change {
	quiet := now.Sub(a.activeAt) > quietTime
	l.rows = l.rows[:0]
	for _, h := range l.order {
		l.rows = append(l.rows, l.rowOf(h, name, a, quiet))
	}
	divide(l.rows, a.limit, quiet)
	if !mayRaise {
		reserveUnknown(l.rows, a.highest)
	}
	var total, demand Amount
	for i := range l.rows {
		total, demand = total.Plus(l.rows[i].bound, 1), demand.Plus(l.rows[i].demand, 1)
	}
	room := Amount{}
	if mayRaise {
		room = a.limit.Plus(total, -1).Max(room)
	}
	setShares(l.rows, a.limit, room)
	for i := range l.rows {
		r := &l.rows[i]
		if r.e == nil {
			continue
		}
		if !mayRaise {
			r.share = r.share.Min(r.e.granted)
		}
		r.e.share, r.e.reach = r.share.Min(withoutOthers(a.limit, total, r.bound)), reach(r, len(l.rows), demand, a.limit)
		if differs(r.e.share, r.e.before, a.limit, changedPart) {
			changes = append(changes, Change{
				Service: r.h.name, Account: name, Before: r.e.before, Share: r.e.share, Used: r.e.used, Wanted: r.e.wanted,
				Limit: a.limit, Bounded: total,
			})
			r.e.before = r.e.share
		}
	}
	return changes
}

// rowOf returns the row of a service. The share of one that has not answered can't shrink; of one that never answered this
// controller, nothing is known, so that it counts with an even part.
func (l *Ledger) rowOf(h *serviceState, name string, a *account, quiet bool) row {
	if !h.heard {
		even := Amount{}
		for i := range even {
			even[i] = a.limit[i] / len(l.order)
		}
		return row{h: h, bound: even, floor: even, demand: even, target: even}
	}
	if h.exempt {
		return row{h: h}
	}
	e := h.entries[name]
	if e == nil {
		if quiet {
			return row{h: h}
		}
		e = &accountState{}
		h.entries[name] = e
	}
	r := row{h: h, e: e, bound: e.bound, demand: e.used.Max(e.wanted)}
	switch {
	case !h.answered:
		r.floor, r.demand = e.bound, e.bound
	case h.unsettled:
		r.floor, r.demand = e.bound, r.demand.Max(e.bound)
	}
	r.target = r.floor
	return r
}

// reserveUnknown raises the bound of a service of which nothing is known to what the others leave of the highest limit: an earlier controller
// may have granted it that, and a cut of the limit takes nothing from what runs. It is the first of such services, since
// together they have no more.
func reserveUnknown(rows []row, highest Amount) {
	unknown := -1
	for i := range rows {
		switch r := &rows[i]; {
		case r.h.heard:
			highest = highest.Plus(r.bound, -1)
		case unknown < 0:
			unknown = i
		}
	}
	if unknown >= 0 {
		rows[unknown].bound = rows[unknown].bound.Max(highest)
	}
}

// divide sets the targets of the rows.
func divide(rows []row, limit Amount, quiet bool) {
	left, surplus := limit, limit
	for i := range rows {
		left, surplus = left.Plus(rows[i].floor, -1), surplus.Plus(rows[i].demand, -1)
	}
	short := !fits(surplus, limit)
	if short {
		left = addUnits(rows, limit, left)
	}
	for i := range limit {
		if limit[i] > 0 && left[i] > 0 {
			left[i] = fill(rows, i, left[i])
		}
	}
	if short {
		left = roundToWholeTasks(rows, limit, left)
	}
	if !quiet {
		spreadRest(rows, left)
	}
}

// roundToWholeTasks takes from each row the remainder that is too small for a task, and gives it to rows that can start a task with
// it, first to those whose last grant had room for that task. Otherwise each service would leave the room of half a task unused.
func roundToWholeTasks(rows []row, limit, left Amount) Amount {
	list := byUse(rows, limit)
	for _, r := range list {
		if !r.h.unsettled {
			rest := r.target.Plus(r.wholeTasks(limit), -1)
			r.target, left = r.target.Plus(rest, -1), left.Plus(rest, 1)
		}
	}
	for _, had := range [...]bool{true, false} {
		for _, r := range list {
			more := r.target.Plus(r.e.unit, 1)
			after := left.Plus(r.e.unit, -1)
			if r.e.unit.IsZero() || had != fits(r.e.sent.Plus(more, -1), limit) || !fits(after, limit) || !fits(r.demand.Plus(more, -1), limit) {
				continue
			}
			left, r.target = after, more
		}
	}
	return left
}

// wholeTasks returns the part of the target of a row that whole tasks can use: its runs and waiting ones of the largest size.
func (r *row) wholeTasks(limit Amount) Amount {
	base := r.e.used
	if !fits(r.target.Plus(base, -1), limit) {
		base = Amount{}
	}
	tasks := -1
	for i, unit := range r.e.unit {
		if limit[i] == 0 || unit == 0 {
			continue
		}
		if n := (r.target[i] - base[i]) / unit; tasks < 0 || n < tasks {
			tasks = n
		}
	}
	if tasks < 0 {
		return r.target
	}
	whole := base.Plus(r.e.unit, tasks)
	for i, unit := range r.e.unit {
		if limit[i] == 0 || unit == 0 {
			whole[i] = r.target[i]
		}
	}
	return whole.Min(r.target)
}

// spreadRest divides what nobody wants evenly among the services that answer.
func spreadRest(rows []row, left Amount) {
	answering := 0
	for n := range rows {
		if r := &rows[n]; r.e != nil && r.h.answered {
			answering++
		}
	}
	for n := range rows {
		if r := &rows[n]; r.e != nil && r.h.answered {
			for i := range left {
				r.target[i] += max(0, left[i]) / answering
			}
		}
	}
}

// addUnits gives each row that wants more room for one task as long as there is some, those that use least first. Without it,
// shares that are all smaller than a task would leave the limit unused.
func addUnits(rows []row, limit, left Amount) Amount {
	for _, r := range byUse(rows, limit) {
		unit := r.e.unit.Min(r.demand.Plus(r.floor, -1).Max(Amount{}))
		if after := left.Plus(unit, -1); fits(after, limit) {
			left, r.target = after, r.target.Plus(unit, 1)
		}
	}
	return left
}

// fill gives each row resource i up to its demand, by max-min fairness, and returns what nobody wants of left.
func fill(rows []row, i, left int) int {
	lacking, highest := 0, 0
	for n := range rows {
		lacking += max(0, rows[n].demand[i]-rows[n].target[i])
		highest = max(highest, rows[n].demand[i])
	}
	level := highest
	if lacking > left { // the highest level whose cost fits
		low := 0
		for low < level-1 {
			middle, cost := (low+level)/2, 0
			for n := range rows {
				cost += max(0, min(rows[n].demand[i], middle)-rows[n].target[i])
			}
			if cost > left {
				level = middle
			} else {
				low = middle
			}
		}
		level = low
	}
	for n := range rows {
		r := &rows[n]
		if more := min(r.demand[i], level) - r.target[i]; more > 0 {
			r.target[i] += more
			left -= more
		}
	}
	return left
}

// setShares sets the shares of the rows: their targets, or less if the bounds of all rows leave too little room of the limit. Room
// that is too small for all goes to whole tasks first.
func setShares(rows []row, limit, room Amount) {
	var wanted Amount
	scarce := false
	for i := range limit {
		for n := range rows {
			r := &rows[n]
			r.share[i] = min(r.target[i], r.bound[i])
			wanted[i] += r.target[i] - r.share[i]
		}
		scarce = scarce || limit[i] > 0 && wanted[i] > room[i]
	}
	if scarce {
		room, wanted = raiseByUnits(rows, limit, room, wanted)
	}
	for n := range rows {
		r := &rows[n]
		for i := range limit {
			switch more := r.target[i] - r.share[i]; {
			case limit[i] == 0:
				r.share[i] = 0
			case wanted[i] > room[i]:
				r.share[i] += int(int64(more) * int64(room[i]) / int64(wanted[i]))
			default:
				r.share[i] += more
			}
		}
	}
}

// raiseByUnits raises the shares of rows for which a task fits into the room, and returns the room that is left and the amounts that
// are still wanted.
func raiseByUnits(rows []row, limit, room, wanted Amount) (left, missing Amount) {
	for _, r := range byUse(rows, limit) {
		more := r.target.Min(r.e.used.Plus(r.e.unit, 1)).Plus(r.share, -1).Max(Amount{})
		if after := room.Plus(more, -1); !more.IsZero() && fits(after, limit) {
			room, wanted, r.share = after, wanted.Plus(more, -1), r.share.Plus(more, 1)
		}
	}
	return room, wanted
}

// fits reports whether nothing of a limited resource is missing.
func fits(left, limit Amount) bool {
	for i := range limit {
		if limit[i] > 0 && left[i] < 0 {
			return false
		}
	}
	return true
}

// byUse returns the rows that want more than they keep, those that use least, or have waited longest, first.
func byUse(rows []row, limit Amount) []*row {
	list := make([]*row, 0, len(rows))
	for i := range rows {
		if r := &rows[i]; r.e != nil && r.h.answered && r.demand != r.floor {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *row) int {
		if c := cmp.Compare(a.e.used.Part(limit), b.e.used.Part(limit)); c != 0 {
			return c
		}
		return a.e.servedAt.Compare(b.e.servedAt)
	})
	return list
}

// withoutOthers returns what the bounds of the others leave of a limit. It is less than the bound of a service while the bounds
// exceed the limit: it has been cut, or some service counts all that an earlier owner may have started.
func withoutOthers(limit, total, bound Amount) Amount {
	return limit.Plus(total, -1).Plus(bound, 1).Max(Amount{})
}

// reach returns what a row could get if it wanted everything: at least an even part, and what the others do not want. total is the
// demand of all rows.
func reach(r *row, n int, total, limit Amount) Amount {
	most := r.target
	for i := range limit {
		most[i] = max(most[i], limit[i]/n, limit[i]-total[i]+r.demand[i])
	}
	return most
}
