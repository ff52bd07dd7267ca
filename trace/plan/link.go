package plan

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/tables"
	"cuminstair.org/cuminstair/wave"
)

// link connects one process of a daemon with the platform and the other daemons. It implements the delay of a slow
// platform itself, since the delay of the stand-in would block the only thread of the replay.
type link struct {
	d    *daemon
	boot int
}

// waitReply waits for a response of the platform. It returns false if the process ended in the meantime.
func (l *link) waitReply(d time.Duration) bool {
	if d > 0 || l.d.paused {
		l.d.p.wait(d)
	}
	return l.d.live && l.d.boots == l.boot && (l.d.p.current == nil || !l.d.p.current.ended)
}

// read waits for the response to a read. The client times out after tables.DefaultTimeout.
func (l *link) read() error {
	slow := l.d.p.replyDelay
	if !l.waitReply(min(slow, tables.DefaultTimeout)) || slow > tables.DefaultTimeout {
		return fmt.Errorf("read: %w", cuminstair.ErrUnavailable)
	}
	return nil
}

// write waits for the response delay of the platform and then executes fn. If the client times out, fn is still
// executed after the delay. If the process ends during a wait without a timeout, fn is not executed.
func (l *link) write(fn func() error) error {
	slow := l.d.p.replyDelay
	if slow > tables.DefaultTimeout {
		l.d.p.clock.After(slow, func(time.Time) { _ = fn() })
		l.waitReply(tables.DefaultTimeout)
		return fmt.Errorf("no response in time: %w", cuminstair.ErrUncertain)
	}
	if !l.waitReply(slow) {
		return fmt.Errorf("the process ended: %w", cuminstair.ErrUncertain)
	}
	return fn()
}

// Commit implements cuminstair.Table.
func (l *link) Commit(_ context.Context, c cuminstair.Commit) (uint64, error) {
	if l.d.pauseInCommit && l.d.live && writesHost(c) {
		l.d.pauseInCommit, l.d.paused = false, true
		l.waitReply(0)
	}
	var version uint64
	err := l.write(func() error {
		var err error
		version, err = l.d.p.commit(c)
		return err
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

// Rows implements cuminstair.Table.
func (l *link) Rows(ctx context.Context, prefix string, since uint64) ([]cuminstair.Row, uint64, error) {
	if err := l.read(); err != nil {
		return nil, 0, err
	}
	return l.d.p.service.Rows(ctx, prefix, since)
}

// PutObject implements cuminstair.Objects.
func (l *link) PutObject(ctx context.Context, hash string, data []byte) error {
	if err := l.read(); err != nil {
		return err
	}
	return l.d.p.service.PutObject(ctx, hash, data)
}

// GetObject implements cuminstair.Objects.
func (l *link) GetObject(ctx context.Context, hash string) ([]byte, error) {
	if err := l.read(); err != nil {
		return nil, err
	}
	return l.d.p.service.GetObject(ctx, hash)
}

// Hosts implements cuminstair.HostList.
func (l *link) Hosts(ctx context.Context) ([]cuminstair.HostStatus, error) {
	if err := l.read(); err != nil {
		return nil, err
	}
	return l.d.p.service.Hosts(ctx)
}

// Act implements cuminstair.HostList.
func (l *link) Act(ctx context.Context, id, host string, action cuminstair.HostAction) error {
	return l.write(func() error {
		before := l.d.p.service.HostState(host)
		err := l.d.p.service.Act(ctx, id, host, action)
		if err == nil || errors.Is(err, cuminstair.ErrUncertain) {
			l.d.p.recordAction(id, host, before)
		}
		return err
	})
}

// writesHost reports whether a commit writes a host row, that is, is a step of planned work.
func writesHost(c cuminstair.Commit) bool {
	return slices.ContainsFunc(c.Puts, func(put cuminstair.Put) bool { return strings.HasPrefix(put.Key, wave.HostPrefix) })
}

// StartTask implements cuminstair.Tasks.
func (l *link) StartTask(ctx context.Context, t cuminstair.Task) error {
	return l.write(func() error {
		l.d.p.record(WhatTasks, t.Worker, t.Job)
		return l.d.p.service.StartTask(ctx, t)
	})
}

// ActTasks implements cuminstair.Tasks.
func (l *link) ActTasks(ctx context.Context, action cuminstair.TaskAction, ids []string) error {
	return l.write(func() error { return l.d.p.service.ActTasks(ctx, action, ids) })
}

// Usage implements cuminstair.Tasks.
func (l *link) Usage(ctx context.Context, since uint64) ([]cuminstair.Usage, uint64, error) {
	if err := l.read(); err != nil {
		return nil, 0, err
	}
	return l.d.p.service.Usage(ctx, since)
}

// Forward implements cuminstair.Peers. No caller request is forwarded in a replay.
func (l *link) Forward(context.Context, string, *cuminstair.Message) *cuminstair.Message {
	return &cuminstair.Message{}
}

// Confirm implements cuminstair.Peers.
func (l *link) Confirm(_ context.Context, names []string, host string) (missing []string) {
	for _, name := range names {
		if o := l.d.p.daemon(name); o == nil || !o.running() || host != "" && !o.idle(host) {
			missing = append(missing, name)
		}
	}
	return missing
}

// Record implements cuminstair.Recorder.
func (l *link) Record(x cuminstair.Decision) {
	if x.Kind == kindJob {
		l.d.p.record(WhatJobs, x.Choice, x.ID)
	}
}
