package daemon

// Stopping reports whether the wait for the load balancer is over.
func (d *Daemon) Stopping() bool {
	select {
	case <-d.stopping:
		return true
	default:
		return false
	}
}
