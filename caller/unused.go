package caller

import (
	"net"
	"net/http"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
)

// unusedLimit is how long a connection on which nothing was received yet may hold up a stop. HTTP clients open more
// connections than they use, and http.Server.Shutdown waits 5 s for each, which is longer than the bound of the stop.
const unusedLimit = 500 * time.Millisecond

// unused knows the connections on which nothing was received yet. It is safe for concurrent use.
type unused struct {
	timer cuminstair.Timer

	mu    sync.Mutex
	conns map[net.Conn]time.Time // when it was accepted
}

// changed takes the new state of a connection.
func (u *unused) changed(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state != http.StateNew {
		delete(u.conns, c)
		return
	}
	if u.conns == nil {
		u.conns = map[net.Conn]time.Time{}
	}
	u.conns[c] = u.timer.Now()
}

// close closes the connections that were accepted unusedLimit ago.
func (u *unused) close(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c, since := range u.conns {
		if now.Sub(since) >= unusedLimit {
			_ = c.Close()
		}
	}
}
