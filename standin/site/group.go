// Package site is a stand-in for the users' platform on loopback: members that
// speak its line protocol, its metadata store and its promotion service. It also
// has clients that put load on daemons, and records every violation of the
// guarantees that clients rely on. Packages cluster and process instead run the
// PostgreSQL daemon, on the stand-in platform of package kv.
package site

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Position is a place in a group's log.
type Position struct{ Term, Number int }

func (p Position) less(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Number < q.Number
}

func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Term, p.Number) }

// logEntry is a committed transaction in a group's log.
type logEntry struct {
	position Position
	writes   []write
	// commitID is the ID of the COMMIT of a transaction, empty for a single write.
	commitID  string
	sessionID string
	// committedAt is when the primary committed the entry; acknowledgedAt is
	// when a client received the acknowledgment, zero if none did.
	committedAt    time.Time
	acknowledgedAt time.Time
	rolledBack     bool
}

// write is what a statement has written.
type write struct{ item, data, id string }

// has reports whether an entry holds the write or the COMMIT of a statement.
func (c *logEntry) has(statementID string) bool {
	return c.commitID == statementID || slices.ContainsFunc(c.writes, func(w write) bool { return w.id == statementID })
}

// group is a database group; its mutex guards its members and their logs.
type group struct {
	mu   sync.Mutex
	name string
	// lag is the replication lag of the replicas.
	lag time.Duration
	// syncReplicas is how many replicas receive a commit before it is acknowledged.
	syncReplicas int
	members      []*member
	// entries holds all committed entries, also those rolled back by a promotion.
	entries []*logEntry
	// promotedAt holds the time of the promotion that started each term above 1.
	promotedAt map[int]time.Time
	// stutter draws the answers that members repeat; nil if they repeat none.
	stutter         *rand.Rand
	reportViolation func(rule, format string, a ...any)
}

// appliedEntries returns the entries of a member's log that its reads return now:
// on the primary all, on a replica those that are at least as old as the lag. g.mu
// is held.
func (g *group) appliedEntries(m *member, now time.Time) []*logEntry {
	n := 0
	for n < len(m.log) && (m.primary || !now.Before(m.log[n].committedAt.Add(g.lag))) {
		n++
	}
	return m.log[:n]
}

// appliedPosition returns the position of the last applied entry; g.mu is held.
func (g *group) appliedPosition(m *member, now time.Time) Position {
	l := g.appliedEntries(m, now)
	if len(l) == 0 {
		return Position{Term: 1}
	}
	return l[len(l)-1].position
}

// receivedPosition returns the position of the last entry in a member's log;
// g.mu is held.
func (m *member) receivedPosition() Position {
	if len(m.log) == 0 {
		return Position{Term: 1}
	}
	return m.log[len(m.log)-1].position
}

// appendEntry adds an entry to the logs of the primary and of the replicas that
// replicate from it; g.mu is held.
func (g *group) appendEntry(m *member, c *logEntry, now time.Time) {
	n := m.receivedPosition().Number + 1
	c.position, c.committedAt = Position{Term: m.term, Number: n}, now
	m.log = append(m.log, c)
	g.entries = append(g.entries, c)
	g.replicate(m)
}

// replicate sends the replicas that follow a primary what they lack of its log; g.mu is
// held.
func (g *group) replicate(m *member) {
	for _, o := range g.members {
		if o != m && !o.primary && !o.down && !o.replicationStopped && o.term == m.term {
			o.log = append(o.log, m.log[min(len(o.log), len(m.log)):]...)
		}
	}
}

// isReplicated reports whether enough replicas have received an entry of a primary for its
// acknowledgment; g.mu is held.
func (g *group) isReplicated(m *member, c *logEntry) bool {
	n := 0
	for _, o := range g.members {
		if o != m && slices.Contains(o.log[max(0, min(len(o.log), c.position.Number-1)):], c) {
			n++
		}
	}
	return n >= g.syncReplicas
}

// awaitReplicas waits until enough replicas have received an entry of a primary. It
// returns false, and ends the session, if the member stops or the entry is rolled back
// first. g.mu is held, but not all the while.
func (g *group) awaitReplicas(s *backendSession, c *logEntry) bool {
	for !g.isReplicated(s.member, c) {
		g.mu.Unlock()
		time.Sleep(replicationPoll)
		g.mu.Lock()
		if s.member.down || s.incarnation != s.member.incarnation || c.rolledBack {
			s.incarnation = endedIncarnation
			return false
		}
		if s.member.primary {
			g.replicate(s.member)
		}
	}
	return true
}

// endedIncarnation is the incarnation of sessions that end.
const endedIncarnation = -1

// replicationPoll is how often a commit checks whether replicas have received it.
const replicationPoll = 2 * time.Millisecond

// promote makes a member the primary of the next term and copies its log to the
// running replicas. Entries missing from its log count as rolled back. g.mu is
// held.
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
		if !kept[c] && !c.rolledBack && !c.acknowledgedAt.IsZero() && g.syncReplicas > 0 {
			g.reportViolation("LOST", "%s was acknowledged and isn't in the log of %s, which is promoted", c.position, m.id)
		}
		c.rolledBack = c.rolledBack || !kept[c]
	}
	for _, o := range g.members {
		if o != m && !o.primary && !o.down {
			o.term, o.log = m.term, append([]*logEntry(nil), m.log...)
		}
	}
}

// demote makes m a replica of a primary with a higher term, if there is one; g.mu
// is held.
func (g *group) demote(m *member) {
	for _, o := range g.members {
		if o.primary && o.term > m.term {
			m.primary, m.term = false, o.term
			m.log = append([]*logEntry(nil), o.log...)
		}
	}
}

// checkRead reports a read as STALE if the member has not applied an
// acknowledged entry that the read must return: an entry acknowledged longer
// ago than the read's staleness limit or, with ownWrites, an earlier write of
// the same session. g.mu is held.
func (g *group) checkRead(m *member, r *statement, now time.Time) {
	if r == nil {
		return
	}
	shown := map[*logEntry]bool{}
	for _, c := range g.appliedEntries(m, now) {
		shown[c] = true
	}
	for _, c := range g.entries {
		if c.rolledBack || c.acknowledgedAt.IsZero() || shown[c] {
			continue
		}
		own := r.ownWrites && c.sessionID == r.sessionID && c.acknowledgedAt.Before(r.sent)
		if own || c.acknowledgedAt.Before(r.sent.Add(-r.maxStaleness)) {
			g.reportViolation("STALE", "%s at %s lacks %s, acknowledged %s before", r.id, m.id, c.position, r.sent.Sub(c.acknowledgedAt))
			return
		}
	}
}

// recordAcknowledgment records that a client received the acknowledgment of a
// write. It reports a violation of ONE if the write was committed after the next
// term began.
func (g *group) recordAcknowledgment(statementID string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.entries {
		if !c.acknowledgedAt.IsZero() || !c.has(statementID) {
			continue
		}
		c.acknowledgedAt = now
		if c.rolledBack && g.syncReplicas > 0 {
			g.reportViolation("LOST", "%s was acknowledged after it had been rolled back", c.position)
		}
		if t, ok := g.promotedAt[c.position.Term+1]; ok && c.committedAt.After(t) {
			g.reportViolation("ONE", "%s was committed at %s after the promotion of the next term", statementID, c.position)
		}
	}
}

// countWrites adds how often each write is in the log. Writes that were rolled back don't
// count.
func (g *group) countWrites(o map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.entries {
		for _, w := range c.writes {
			if !c.rolledBack {
				o[w.id]++
			}
		}
	}
}
