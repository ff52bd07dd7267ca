package daemon

// Waiting returns how many requests to an address are written and wait for their answers.
func (d *Daemon) Waiting(addr string) int { return d.checker.Waiting(addr) }

// Stopping reports whether the wait for the load balancer is over.
func (d *Daemon) Stopping() bool {
	select {
	case <-d.stopping:
		return true
	default:
		return false
	}
}
