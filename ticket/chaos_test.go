package ticket_test

import (
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair/ticket"
)

// kill ends a daemon without notice; another run starts later.
func (w *world) kill(d *daemon) {
	if !d.up {
		return
	}
	d.up = false
	w.tell(d.home, ticket.Member{})
	w.restart(d)
}

func (w *world) restart(d *daemon) { w.after(time.Second+w.upTo(4*time.Second), func() { w.boot(d) }) }

// stop ends a daemon as planned: no new runs, a time for those in flight, then the hand-over.
func (w *world) stop(d *daemon) {
	if !d.up {
		return
	}
	d.store.Seal()
	w.on(d, 500*time.Millisecond, func() { w.export(d) }, func() {})
}

func (w *world) export(d *daemon) {
	to := w.successor(d)
	if to == nil {
		w.kill(d)
		return
	}
	h, err := d.store.Export(w.now, to.home)
	if err != nil {
		return // stopped twice
	}
	data, err := h.Encode()
	if err != nil {
		w.faultf("encode: %v", err)
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

// handOver sends the tickets, again to the same run while its answer is lost, and to another one only if it is proved
// that this one imported nothing.
func (w *world) handOver(d, to *daemon, run ticket.Home, data []byte, tries int) {
	left := func() {
		w.tell(d.home, ticket.Member{Left: true, Successor: run})
		w.on(d, w.upTo(time.Second), func() {
			d.up = false
			w.restart(d)
		}, func() {})
	}
	again := func() {
		if tries > 3 {
			left() // the successor may have the tickets
			return
		}
		w.on(d, 300*time.Millisecond, func() { w.handOver(d, to, run, data, tries+1) }, func() {})
	}
	if w.severed(d, to) || w.chance(w.loss) || to.home != run {
		again()
		return
	}
	w.on(to, w.upTo(50*time.Millisecond), func() {
		err := w.importAt(to, data)
		switch {
		case w.severed(d, to) || w.chance(w.loss):
			w.on(d, 0, again, func() {})
		case err != nil:
			w.on(d, 0, func() { w.redirect(d, data, tries) }, func() {})
		default:
			w.on(d, 0, left, func() {})
		}
	}, func() { w.on(d, 0, again, func() {}) })
}

func (w *world) importAt(to *daemon, data []byte) error {
	h, err := ticket.DecodeHandover(data)
	if err != nil {
		w.faultf("decode: %v", err)
		return err
	}
	err = to.store.Import(w.now, h)
	if err != nil && !errors.Is(err, ticket.ErrStopping) && !errors.Is(err, ticket.ErrFull) {
		w.faultf("import: %v", err)
	}
	return err
}

// redirect picks another successor after a refusal. The first try was refused, so that no earlier one can have been
// imported either.
func (w *world) redirect(d *daemon, data []byte, tries int) {
	to := w.successor(d)
	if to == nil || tries > 0 {
		w.kill(d) // an earlier try to this successor may have been imported
		return
	}
	d.store.Redirect(to.home)
	w.handOver(d, to, to.home, data, 0)
}

// trouble causes one failure of a random kind.
func (w *world) trouble() {
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
			w.cut[o] = w.chance(0.5)
		}
		w.after(w.upTo(10*time.Second), func() { clear(w.cut) })
	}
}
