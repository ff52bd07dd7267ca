package caller

// Queued returns how many requests wait for a place.
func (d *Decisions) Queued() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiters)
}
