package caller

// Queued returns how many requests wait for an admission slot.
func (d *Decisions) Queued() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiters)
}
