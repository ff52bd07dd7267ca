package local

import (
	"context"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
)

var _ cuminstair.Platform = (*Link)(nil)

// Link is the connection of one daemon to the platform. It can be disconnected, and it records when the host list first
// showed each state of a host. It is safe for concurrent use.
type Link struct {
	Platform cuminstair.Platform
	Timer    cuminstair.Timer

	mu           sync.Mutex
	disconnected bool
	shown        map[string]time.Time // by host and state: when the list first showed it
}

// SetDisconnected disconnects or reconnects the daemon. While it is disconnected, every call fails and has no effect.
func (l *Link) SetDisconnected(disconnected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = disconnected
}

// Shown returns the time at which the host list first showed a host in a state, or the zero time if it has not yet.
func (l *Link) Shown(host, state string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shown[host+" "+state]
}

func (l *Link) check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.disconnected {
		return cuminstair.ErrUnavailable
	}
	return nil
}

// Commit implements cuminstair.Table.
func (l *Link) Commit(ctx context.Context, c cuminstair.Commit) (uint64, error) {
	if err := l.check(); err != nil {
		return 0, err
	}
	return l.Platform.Commit(ctx, c)
}

// Rows implements cuminstair.Table.
func (l *Link) Rows(ctx context.Context, prefix string, since uint64) ([]cuminstair.Row, uint64, error) {
	if err := l.check(); err != nil {
		return nil, 0, err
	}
	return l.Platform.Rows(ctx, prefix, since)
}

// PutObject implements cuminstair.Objects.
func (l *Link) PutObject(ctx context.Context, hash string, data []byte) error {
	if err := l.check(); err != nil {
		return err
	}
	return l.Platform.PutObject(ctx, hash, data)
}

// GetObject implements cuminstair.Objects.
func (l *Link) GetObject(ctx context.Context, hash string) ([]byte, error) {
	if err := l.check(); err != nil {
		return nil, err
	}
	return l.Platform.GetObject(ctx, hash)
}

// Hosts implements cuminstair.HostList.
func (l *Link) Hosts(ctx context.Context) ([]cuminstair.HostStatus, error) {
	if err := l.check(); err != nil {
		return nil, err
	}
	list, err := l.Platform.Hosts(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shown == nil {
		l.shown = map[string]time.Time{}
	}
	for _, h := range list {
		key := h.Name + " " + h.State
		if l.shown[key].IsZero() {
			l.shown[key] = l.Timer.Now()
		}
	}
	return list, err
}

// Act implements cuminstair.HostList.
func (l *Link) Act(ctx context.Context, id, host string, action cuminstair.HostAction) error {
	if err := l.check(); err != nil {
		return err
	}
	return l.Platform.Act(ctx, id, host, action)
}

// StartTask implements cuminstair.Tasks.
func (l *Link) StartTask(ctx context.Context, t cuminstair.Task) error {
	if err := l.check(); err != nil {
		return err
	}
	return l.Platform.StartTask(ctx, t)
}

// ActTasks implements cuminstair.Tasks.
func (l *Link) ActTasks(ctx context.Context, action cuminstair.TaskAction, ids []string) error {
	if err := l.check(); err != nil {
		return err
	}
	return l.Platform.ActTasks(ctx, action, ids)
}

// Usage implements cuminstair.Tasks.
func (l *Link) Usage(ctx context.Context, since uint64) ([]cuminstair.Usage, uint64, error) {
	if err := l.check(); err != nil {
		return nil, 0, err
	}
	return l.Platform.Usage(ctx, since)
}
