package intake

import "syscall"

// Descriptors returns how many descriptors the process may open: the figure of the settings, if any, but no more than the
// system allows.
func Descriptors(settings int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return settings
	}
	const most = 1 << 20 // the system may have no limit
	allowed := int(min(limit.Cur, most))
	if settings > 0 {
		return min(settings, allowed)
	}
	return allowed
}
