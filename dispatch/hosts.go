package dispatch

import (
	"time"

	"cuminstair.org/cuminstair"
)

// SetHosts passes records of the hosts that were requested at sent. They show which workers that do not answer are gone,
// so that their tasks need not wait until the leases have run out.
func (s *Service) SetHosts(now, sent time.Time, hosts []cuminstair.HostRecord) {
	byName := make(map[string]cuminstair.HostRecord, len(hosts))
	for _, h := range hosts {
		byName[h.Name] = h
	}
	for _, w := range s.workers {
		if w.gone || w.info.Host == "" {
			continue
		}
		if h, ok := byName[w.info.Host]; ok {
			s.checkHost(now, sent, w, h)
		}
	}
}

// checkHost handles the record of a worker's host that was requested at sent. The worker may have restarted since, so that the
// record proves nothing while a start may have been carried out after that.
func (s *Service) checkHost(now, sent time.Time, w *worker, h cuminstair.HostRecord) {
	o := observation{kind: observedHostDown, incarnation: w.info.Incarnation, since: sent, until: now}
	s.recordHostTaken(sent, w, h)
	down := s.hostIsDown(w, h, sent)
	if !down && !s.hostIsReplaced(w, h) {
		return
	}
	if !down {
		o.kind = observedNewHost
	}
	mayHaveStarted := w.mayRunAfter(o)
	s.Log.Info("dispatch: host of a silent worker is down or replaced", "service", s.Name, "worker", w.info.ID, "host", h.Name,
		"phase", h.Phase, "age", now.Sub(sent).Round(time.Millisecond).String(), "start under way", mayHaveStarted)
	if mayHaveStarted {
		return
	}
	if down {
		s.workerCrashed(now, w, o.kind.String(), nil)
	} else {
		s.settleSuspects(now, w)
	}
	s.workerGone(now, w, o)
}

// recordHostTaken records that the host of a worker that does not answer was taken for another pool or for maintenance, which is why the
// worker ends: it has not crashed under its tasks. As with hosts that are down, the record must be newer than the worker and its last
// answer. It doesn't prove that the worker has ended.
func (s *Service) recordHostTaken(sent time.Time, w *worker, h cuminstair.HostRecord) {
	if w.hostTaken || w.failedCalls == 0 || !w.knownSince.Before(sent) || !w.answeredAt.Before(sent) {
		return
	}
	otherPool := h.Pool != "" && h.Pool != s.Name && h.Phase != cuminstair.PhaseDown
	if !otherPool && h.Phase != cuminstair.PhaseMaintenance {
		return
	}
	s.Log.Info("dispatch: host of a silent worker was taken", "service", s.Name, "worker", w.info.ID, "host", h.Name, "phase", h.Phase, "pool", h.Pool,
		"suspects", len(w.suspects))
	w.hostTaken = true
	s.withdrawSuspicion(w)
}

// hostIsDown reports whether a worker that does not answer has ended since its host is down. The record must be newer
// than the worker: a host that was down before the worker started proves nothing.
func (s *Service) hostIsDown(w *worker, h cuminstair.HostRecord, sent time.Time) bool {
	return h.Phase == cuminstair.PhaseDown && w.failedCalls > 0 && w.knownSince.Before(sent) && w.answeredAt.Before(sent)
}

// hostIsReplaced reports whether a worker known from an earlier owner is gone since its host has another worker, is
// moving or is in maintenance. Workers in the platform's list may be newer than the record of their host, so that these
// count as gone only if their address refuses connections too; then another pool is a sign as well. A worker that is only
// missing from lists may still run.
func (s *Service) hostIsReplaced(w *worker, h cuminstair.HostRecord) bool {
	if !s.inherited[w.info.ID] || w.synced || w.listed && !w.connRefused {
		return false
	}
	replaced := h.Phase == cuminstair.PhaseMoving || h.Phase == cuminstair.PhaseMaintenance || h.Worker != "" && h.Worker != w.info.ID
	return replaced || w.connRefused && h.Pool != "" && h.Pool != s.Name
}

// NeedsHosts reports whether the records of the hosts may show that workers are gone: workers that have runs, or may have
// runs of an earlier owner, do not answer.
func (s *Service) NeedsHosts() bool {
	for id, w := range s.workers {
		if w.gone || w.failedCalls == 0 {
			continue
		}
		if len(w.attempts) > 0 || len(w.suspects) > 0 || s.inherited[id] && !w.synced {
			return true
		}
	}
	return false
}
