package health

import "slices"

// ChecksHost reports whether the daemon self checks a host. It uses rendezvous hashing over the live daemons of the data
// centre: each host is checked by exactly one of them, and when a daemon joins or leaves, only the hosts that it
// checks get another checker. It returns true if daemons does not contain self, so that no host is left unchecked.
func ChecksHost(host string, daemons []string, self string) bool {
	if !slices.Contains(daemons, self) {
		return true
	}
	own := weight(host, self)
	for _, d := range daemons {
		if w := weight(host, d); w > own || (w == own && d > self) {
			return false
		}
	}
	return true
}

// weight returns an FNV-1a hash of both names after a finaliser, without which the last bytes have too little effect.
func weight(host, daemon string) uint64 {
	h := uint64(14695981039346656037)
	for _, s := range [...]string{host, "\x00", daemon} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
