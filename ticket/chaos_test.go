package ticket_test

import (
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair/ticket"
)

// kill ends a daemon without a hand-over and schedules its restart.
func (w *world) kill(d *daemon) {
	if !d.up {
		return
	}
	d.up = false
	w.publish(d.home, ticket.Member{})
	w.restart(d)
}

func (w *world) restart(d *daemon) { w.after(time.Second+w.upTo(4*time.Second), func() { w.boot(d) }) }

// stop starts a planned stop. The store is sealed, the runs in flight get 500 ms, and then the tickets are handed over.
func (w *world) stop(d *daemon) {
	if !d.up {
		return
	}
	d.store.Seal()
	w.runOn(d, 500*time.Millisecond, func() { w.export(d) }, func() {})
}

func (w *world) export(d *daemon) {
	to := w.successor(d)
	if to == nil {
		w.kill(d)
		return
	}
	h, err := d.store.Export(w.now, to.home)
	if err != nil {
		return // the daemon is already stopping
	}
	data, err := h.Encode()
	if err != nil {
		w.faultf("encode hand-over: %v", err)
		return
	}
	w.handOver(d, to, to.home, data, 0)
}

func (w *world) successor(d *daemon) *daemon {
	for range 20 {
		if o := w.daemons[w.rand.IntN(len(w.daemons))]; o != d && o.up {
			return o
		}
	}
	return nil
}

// handOver sends the tickets to one process of the successor, identified by home. It sends them again to that process
// as long as no answer arrives, and to another daemon only if it is proved that the first one imported nothing.
func (w *world) handOver(d, to *daemon, home ticket.Home, data []byte, tries int) {
	finish := func() {
		w.publish(d.home, ticket.Member{Left: true, Successor: home})
		w.runOn(d, w.upTo(time.Second), func() {
			d.up = false
			w.restart(d)
		}, func() {})
	}
	retry := func() {
		if tries > 3 {
			finish() // the successor may have the tickets
			return
		}
		w.runOn(d, 300*time.Millisecond, func() { w.handOver(d, to, home, data, tries+1) }, func() {})
	}
	if w.partitioned(d, to) || w.chance(w.loss) || to.home != home {
		retry()
		return
	}
	w.runOn(to, w.upTo(50*time.Millisecond), func() {
		err := w.importAt(to, data)
		switch {
		case w.partitioned(d, to) || w.chance(w.loss):
			w.runOn(d, 0, retry, func() {})
		case err != nil:
			w.runOn(d, 0, func() { w.redirect(d, data, tries) }, func() {})
		default:
			w.runOn(d, 0, finish, func() {})
		}
	}, func() { w.runOn(d, 0, retry, func() {}) })
}

func (w *world) importAt(to *daemon, data []byte) error {
	h, err := ticket.DecodeHandover(data)
	if err != nil {
		w.faultf("decode hand-over: %v", err)
		return err
	}
	err = to.store.Import(w.now, h)
	if err != nil && !errors.Is(err, ticket.ErrStopping) && !errors.Is(err, ticket.ErrFull) {
		w.faultf("import hand-over: %v", err)
	}
	return err
}

// redirect picks another successor after a refusal, but only if the first try was refused: after a lost answer, the
// first successor may have imported the tickets.
func (w *world) redirect(d *daemon, data []byte, tries int) {
	to := w.successor(d)
	if to == nil || tries > 0 {
		w.kill(d) // no other daemon is up, or the successor may have imported the tickets
		return
	}
	d.store.Redirect(to.home)
	w.handOver(d, to, to.home, data, 0)
}

// injectFailure causes one random failure.
func (w *world) injectFailure() {
	d := w.daemons[w.rand.IntN(len(w.daemons))]
	switch w.rand.IntN(4) {
	case 0:
		w.kill(d)
	case 1:
		w.stop(d)
	case 2:
		d.paused = w.now.Add(w.upTo(8 * time.Second))
	default:
		for _, o := range w.daemons {
			w.partition[o] = w.chance(0.5)
		}
		w.after(w.upTo(10*time.Second), func() { clear(w.partition) })
	}
}
