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

// commit is an entry of a group's log.
type commit struct {
	at     Position
	writes map[string]string
	// attempts are the ids of the writes.
	attempts []string
	session  string
	// made is when the primary committed it; acknowledged when a client was told,
	// zero if none was.
	made         time.Time
	acknowledged time.Time
	rolledBack   bool
}

// group is a database group; its mutex guards its members and its log.
type group struct {
	mu      sync.Mutex
	name    string
	lag     time.Duration
	members []*member
	commits []*commit
	// promoted holds, for each term above the first, when its primary took over.
	promoted map[int]time.Time
	broken   func(rule, format string, a ...any)
}

// applied returns the commits that a member's log shows now; g.mu is held.
func (g *group) applied(m *member, now time.Time) []*commit {
	n := 0
	for n < len(m.log) && (m.primary || !now.Before(m.log[n].made.Add(g.lag))) {
		n++
	}
	return m.log[:n]
}

// position returns the end of what a member shows; g.mu is held.
func (g *group) position(m *member, now time.Time) Position {
	l := g.applied(m, now)
	if len(l) == 0 {
		return Position{Term: 1}
	}
	return l[len(l)-1].at
}

// received returns the end of a member's log; g.mu is held.
func (m *member) received() Position {
	if len(m.log) == 0 {
		return Position{Term: 1}
	}
	return m.log[len(m.log)-1].at
}

// append adds a commit to the primary's log and to those replicas that receive;
// g.mu is held.
func (g *group) append(m *member, c *commit, now time.Time) {
	n := m.received().Number + 1
	c.at, c.made = Position{Term: m.term, Number: n}, now
	m.log = append(m.log, c)
	g.commits = append(g.commits, c)
	for _, o := range g.members {
		if o != m && !o.primary && !o.down && !o.deaf && o.term == m.term {
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
	g.promoted[m.term] = now
	kept := map[*commit]bool{}
	for _, c := range m.log {
		kept[c] = true
	}
	for _, c := range g.commits {
		c.rolledBack = c.rolledBack || !kept[c]
	}
	for _, o := range g.members {
		if o != m && !o.primary && !o.down {
			o.term, o.log = m.term, append([]*commit(nil), m.log...)
		}
	}
}

// demote makes a replaced primary a replica of the newest one; g.mu is held.
func (g *group) demote(m *member) {
	for _, o := range g.members {
		if o.primary && o.term > m.term {
			m.primary, m.term = false, o.term
			m.log = append([]*commit(nil), o.log...)
		}
	}
}

// checkRead notes a read that lacks a commit acknowledged before it was asked
// for; g.mu is held.
func (g *group) checkRead(m *member, r *asked, now time.Time) {
	if r == nil {
		return
	}
	shown := map[*commit]bool{}
	for _, c := range g.applied(m, now) {
		shown[c] = true
	}
	for _, c := range g.commits {
		if c.rolledBack || c.acknowledged.IsZero() || shown[c] {
			continue
		}
		own := r.own && c.session == r.session && c.acknowledged.Before(r.sent)
		if own || c.acknowledged.Before(r.sent.Add(-r.age)) {
			g.broken("STALE", "%s at %s lacks %s, acknowledged %s before", r.id, m.id, c.at, r.sent.Sub(c.acknowledged))
			return
		}
	}
}

// acknowledge notes that a client was told of a commit.
func (g *group) acknowledge(attempt string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.commits {
		for _, a := range c.attempts {
			if a != attempt || !c.acknowledged.IsZero() {
				continue
			}
			c.acknowledged = now
			if t, ok := g.promoted[c.at.Term+1]; ok && c.made.After(t) {
				g.broken("ONE", "%s was committed at %s after the promotion", attempt, c.at)
			}
		}
	}
}

// present returns how many commits hold an attempt's write.
func (g *group) present(attempt string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, c := range g.commits {
		for _, a := range c.attempts {
			if a == attempt && !c.rolledBack {
				n++
			}
		}
	}
	return n
}
