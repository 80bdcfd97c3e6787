// Package site is a stand-in of the users' platform on loopback: members that
// speak the line protocol, the metadata store, promotions, and clients. It
// notes every broken promise.
package site

import (
	"fmt"
	"sync"
	"time"
)

// Position is a place in a group's log.
type Position struct{ Term, Number int }

func (p Position) less(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Number < q.Number
}

func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Term, p.Number) }

// logEntry is an entry of a group's log.
type logEntry struct {
	position Position
	writes   map[string]string
	// statementIDs are the ids of the writes.
	statementIDs []string
	session      string
	// committedAt is when the primary committed it; acknowledged when a client was told,
	// zero if none was.
	committedAt    time.Time
	acknowledgedAt time.Time
	rolledBack     bool
}

// group is a database group; its mutex guards its members and its log.
type group struct {
	mu      sync.Mutex
	name    string
	lag     time.Duration
	members []*member
	entries []*logEntry
	// promotedAt holds, for each term above the first, when its primary took over.
	promotedAt      map[int]time.Time
	reportViolation func(rule, format string, a ...any)
}

// applied returns the commits that a member's log shows now; g.mu is held.
func (g *group) applied(m *member, now time.Time) []*logEntry {
	n := 0
	for n < len(m.log) && (m.primary || !now.Before(m.log[n].committedAt.Add(g.lag))) {
		n++
	}
	return m.log[:n]
}

// appliedPosition returns the end of what a member shows; g.mu is held.
func (g *group) appliedPosition(m *member, now time.Time) Position {
	l := g.applied(m, now)
	if len(l) == 0 {
		return Position{Term: 1}
	}
	return l[len(l)-1].position
}

// receivedPosition returns the end of a member's log; g.mu is held.
func (m *member) receivedPosition() Position {
	if len(m.log) == 0 {
		return Position{Term: 1}
	}
	return m.log[len(m.log)-1].position
}

// append adds a commit to the primary's log and to those replicas that receive;
// g.mu is held.
func (g *group) append(m *member, c *logEntry, now time.Time) {
	n := m.receivedPosition().Number + 1
	c.position, c.committedAt = Position{Term: m.term, Number: n}, now
	m.log = append(m.log, c)
	g.entries = append(g.entries, c)
	for _, o := range g.members {
		if o != m && !o.primary && !o.down && !o.replicationStopped && o.term == m.term {
			o.log = append(o.log, c)
		}
	}
}

// promote makes a member primary of the next term; g.mu is held.
func (g *group) promote(m *member, now time.Time) {
	t := 0
	for _, o := range g.members {
		t = max(t, o.term)
	}
	m.primary, m.term = true, t+1
	g.promotedAt[m.term] = now
	kept := map[*logEntry]bool{}
	for _, c := range m.log {
		kept[c] = true
	}
	for _, c := range g.entries {
		c.rolledBack = c.rolledBack || !kept[c]
	}
	for _, o := range g.members {
		if o != m && !o.primary && !o.down {
			o.term, o.log = m.term, append([]*logEntry(nil), m.log...)
		}
	}
}

// demote makes a replaced primary a replica of the newest one; g.mu is held.
func (g *group) demote(m *member) {
	for _, o := range g.members {
		if o.primary && o.term > m.term {
			m.primary, m.term = false, o.term
			m.log = append([]*logEntry(nil), o.log...)
		}
	}
}

// checkRead notes a read that lacks a commit acknowledged before it was asked
// for; g.mu is held.
func (g *group) checkRead(m *member, r *statement, now time.Time) {
	if r == nil {
		return
	}
	shown := map[*logEntry]bool{}
	for _, c := range g.applied(m, now) {
		shown[c] = true
	}
	for _, c := range g.entries {
		if c.rolledBack || c.acknowledgedAt.IsZero() || shown[c] {
			continue
		}
		own := r.ownWrites && c.session == r.session && c.acknowledgedAt.Before(r.sent)
		if own || c.acknowledgedAt.Before(r.sent.Add(-r.maxStaleness)) {
			g.reportViolation("STALE", "%s at %s lacks %s, acknowledged %s before", r.id, m.id, c.position, r.sent.Sub(c.acknowledgedAt))
			return
		}
	}
}

// recordAcknowledgment notes that a client was told of a commit.
func (g *group) recordAcknowledgment(attempt string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.entries {
		for _, a := range c.statementIDs {
			if a != attempt || !c.acknowledgedAt.IsZero() {
				continue
			}
			c.acknowledgedAt = now
			if t, ok := g.promotedAt[c.position.Term+1]; ok && c.committedAt.After(t) {
				g.reportViolation("ONE", "%s was committed at %s after the promotion", attempt, c.position)
			}
		}
	}
}

// countWrites returns how many commits hold an attempt's write.
func (g *group) countWrites(attempt string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, c := range g.entries {
		for _, a := range c.statementIDs {
			if a == attempt && !c.rolledBack {
				n++
			}
		}
	}
	return n
}
