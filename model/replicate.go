package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// Replication timing.
const (
	replicationRetry   = 20 * time.Millisecond
	replicationWait    = 500 * time.Millisecond
	replicationTimeout = 900 * time.Millisecond
)

// batch is the answer to a pull.
type batch struct {
	ok bool
	// diverged tells that the asked position isn't in the primary's log, which
	// has length entries.
	diverged bool
	length   int
	entries  []Entry
}

// pull asks the primary for entries, again and again while the epoch lasts.
func (m *Member) pull(epoch uint64) {
	if m.epoch != epoch {
		return
	}
	p := m.w.Member(m.primary)
	if p == nil {
		return
	}
	again := func(d time.Duration) { m.after(d, func() { m.pull(epoch) }) }
	a, t := m.log.Last(), m.term
	m.w.do(&call{
		from: m.Node, to: p.Node, use: "replication", timeout: replicationTimeout,
		handle: func(reply func(any)) { p.logAfter(a, t, m.w.now.Add(replicationWait), reply) },
		done: func(v any, ok bool) {
			b, _ := v.(batch)
			if !ok || !b.ok {
				again(replicationRetry)
				return
			}
			if m.epoch == epoch {
				m.contact = m.w.now
			}
			d := time.Duration(0)
			if len(b.entries) > 0 || b.diverged {
				d = m.Lag
			}
			m.after(d, func() {
				m.apply(b, a, epoch)
				again(0)
			})
		},
	})
}

// apply takes in a batch unless the epoch has ended.
func (m *Member) apply(b batch, after logpos.Position, epoch uint64) {
	if m.epoch != epoch || m.log.Last() != after {
		return
	}
	switch {
	case b.diverged:
		m.log = m.log[:min(len(m.log)-1, b.length)]
	default:
		m.log = append(m.log[:len(m.log):len(m.log)], b.entries...)
	}
}

// logAfter answers a pull; it waits a while for entries.
func (m *Member) logAfter(p logpos.Position, term uint64, until time.Time, reply func(any)) {
	n := int(p.Offset)
	switch {
	case m.role != failover.Primary || m.term != term:
		reply(batch{})
	case n > len(m.log) || n > 0 && m.log[n-1].Position != p:
		reply(batch{ok: true, diverged: true, length: len(m.log)})
	case n < len(m.log):
		reply(batch{ok: true, entries: append([]Entry(nil), m.log[n:]...)})
	case !m.w.now.Before(until):
		reply(batch{ok: true})
	default:
		again := true
		f := func() {
			if again {
				again = false
				m.logAfter(p, term, until, reply)
			}
		}
		m.pulls = append(m.pulls, f)
		m.after(until.Sub(m.w.now), f)
	}
}
