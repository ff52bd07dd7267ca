package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// stop performs a planned stop. It reports unready for Settings.Wait, so that the load balancer sends no more callers,
// lets requests in flight finish, ends queued ones as not run, and hands over tickets and outcomes to a successor.
// It takes at most Settings.Stop.
func (d *Daemon) stop() error {
	d.Log.Info("stopping", "bound", d.Settings.Stop, "wait", d.Settings.Wait)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer d.Timer.After(d.Settings.Stop.D(), func(time.Time) { cancel() })()

	waited := make(chan struct{})
	defer d.Timer.After(d.Settings.Wait.D(), func(time.Time) { close(waited) })()
	d.unready.Store(true)
	if d.OnStop != nil {
		d.OnStop()
	}
	d.callers.Drain()
	select {
	case <-waited:
	case <-ctx.Done():
	}
	close(d.stopping)
	if err := d.callers.Shutdown(ctx); err != nil {
		if errors.Is(err, context.Canceled) {
			return fmt.Errorf("stop: %w", ErrStopTimeout)
		}
		return fmt.Errorf("stop: %w", err)
	}
	if d.HandOver != nil {
		if err := d.HandOver(ctx); err != nil {
			return fmt.Errorf("hand over tickets at planned stop: %w", err)
		}
	}
	d.Log.Info("stopped")
	return nil
}
