package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// Replication timing.
const (
	// pullBackoff is the pause after a failed pull.
	pullBackoff = 20 * time.Millisecond
	// maxPullWait is how long a primary without new entries delays its answer.
	maxPullWait = 500 * time.Millisecond
	// pullTimeout bounds a pull.
	pullTimeout = 900 * time.Millisecond
)

// logBatch is the answer to a pull.
type logBatch struct {
	ok bool
	// diverged means that the requested position isn't in the primary's log,
	// which has logLength entries.
	diverged  bool
	logLength int
	entries   []LogEntry
}

// pullLog requests entries from the primary repeatedly while the epoch lasts.
func (m *Member) pullLog(epoch uint64) {
	if m.epoch != epoch {
		return
	}
	p := m.world.Member(m.primary)
	if p == nil {
		return
	}
	retry := func(d time.Duration) { m.after(d, func() { m.pullLog(epoch) }) }
	a, t := m.log.Last(), m.term
	m.world.startCall(&call{
		from: m.Node, to: p.Node, purpose: "replication", timeout: pullTimeout,
		handle: func(reply func(any)) { p.answerPull(a, t, m.world.now.Add(maxPullWait), reply) },
		done: func(v any, ok bool) {
			b, _ := v.(logBatch)
			if !ok || !b.ok {
				retry(pullBackoff)
				return
			}
			if m.epoch == epoch {
				m.lastContact = m.world.now
			}
			d := time.Duration(0)
			if len(b.entries) > 0 || b.diverged {
				d = m.Lag
			}
			m.after(d, func() {
				m.applyBatch(b, a, epoch)
				retry(0)
			})
		},
	})
}

// applyBatch adds the entries of a batch to the log, or removes entries if the
// log has diverged. A batch of an earlier epoch has no effect.
func (m *Member) applyBatch(b logBatch, after logpos.Position, epoch uint64) {
	if m.epoch != epoch || m.log.Last() != after {
		return
	}
	switch {
	case b.diverged:
		m.log = m.log[:min(len(m.log)-1, b.logLength)]
	default:
		m.log = append(m.log[:len(m.log):len(m.log)], b.entries...)
	}
}

// answerPull answers a pull; if it has no new entries, it waits for some until
// the given time.
func (m *Member) answerPull(p logpos.Position, term uint64, until time.Time, reply func(any)) {
	n := int(p.Offset)
	switch {
	case m.role != failover.Primary || m.term != term:
		reply(logBatch{})
	case n > len(m.log) || n > 0 && m.log[n-1].Position != p:
		reply(logBatch{ok: true, diverged: true, logLength: len(m.log)})
	case n < len(m.log):
		reply(logBatch{ok: true, entries: append([]LogEntry(nil), m.log[n:]...)})
	case !m.world.now.Before(until):
		reply(logBatch{ok: true})
	default:
		waiting := true
		f := func() {
			if waiting {
				waiting = false
				m.answerPull(p, term, until, reply)
			}
		}
		m.pullWaiters = append(m.pullWaiters, f)
		m.after(until.Sub(m.world.now), f)
	}
}
