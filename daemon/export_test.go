package daemon

// Waiting returns the number of requests to an address that are written and have no answer yet.
func (d *Daemon) Waiting(addr string) int { return d.checker.Waiting(addr) }

// Stopping reports whether a planned stop has finished waiting for the load balancer.
func (d *Daemon) Stopping() bool {
	select {
	case <-d.stopping:
		return true
	default:
		return false
	}
}
