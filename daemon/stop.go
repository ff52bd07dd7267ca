package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// stop makes a planned stop: the load balancer learns that the daemon is unready, requests in flight finish, queued ones
// end as not run, and what has to be kept goes to a successor. It takes at most Settings.Stop.
func (d *Daemon) stop() error {
	d.Log.Info("stopping", "bound", d.Settings.Stop, "wait", d.Settings.Wait)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer d.Timer.After(d.Settings.Stop.D(), func(time.Time) { cancel() })()

	told := make(chan struct{})
	defer d.Timer.After(d.Settings.Wait.D(), func(time.Time) { close(told) })()
	d.unready.Store(true)
	if d.Leave != nil {
		d.Leave()
	}
	d.callers.Drain()
	select {
	case <-told:
	case <-ctx.Done():
	}
	close(d.stopping)
	if err := d.callers.Shutdown(ctx); err != nil {
		if errors.Is(err, context.Canceled) {
			return fmt.Errorf("stop: %w", ErrCut)
		}
		return fmt.Errorf("stop: %w", err)
	}
	if d.HandOver != nil {
		if err := d.HandOver(ctx); err != nil {
			return fmt.Errorf("hand over at the stop: %w", err)
		}
	}
	d.Log.Info("stopped")
	return nil
}
