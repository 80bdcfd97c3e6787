package assignment

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
)

// UnheldTime is how long a group may have a primary and no holder before that is a
// finding: a takeover takes less while the store answers.
const UnheldTime = time.Second

// UnheldGroup is a group that nobody holds although it has a primary.
type UnheldGroup struct {
	Name string
	// Since is when this host first noticed it.
	Since time.Time
	// Primary is the member that is probably the primary.
	Primary catalog.Member
	// Candidates are the IDs of the hosts that would take the group over, as this
	// host sees it, the first one before the others.
	Candidates []string
	// Candidate is set if this host is one of them.
	Candidate bool
}

// FindUnheld returns the groups that have had a primary and no holder for UnheldTime,
// sorted by name. It is called at short intervals. While there are any, the duties are
// computed again.
func (t *Table) FindUnheld(now time.Time) []UnheldGroup {
	var o []UnheldGroup
	for name, l := range t.groupMembers {
		if t.isHeld(name) || !slices.ContainsFunc(l, func(m catalog.Member) bool { return m.Primary && !m.Draining }) {
			delete(t.unheldSince, name)
			continue
		}
		since, ok := t.unheldSince[name]
		if !ok {
			t.unheldSince[name], since = now, now
		}
		if now.Sub(since) >= UnheldTime {
			o = append(o, t.describeUnheld(name, since, now))
		}
	}
	for name := range t.unheldSince {
		if t.groupMembers[name] == nil {
			delete(t.unheldSince, name)
		}
	}
	if len(o) > 0 {
		t.version++
	}
	slices.SortFunc(o, func(a, b UnheldGroup) int { return cmp.Compare(a.Name, b.Name) })
	return o
}

// isHeld reports whether a group's holder is known and in the view of the hosts.
func (t *Table) isHeld(group string) bool {
	h := t.groups[group].Holder
	if h == "" {
		return false
	}
	_, ok := t.view.Host(h)
	return ok
}

func (t *Table) describeUnheld(name string, since, now time.Time) UnheldGroup {
	u := UnheldGroup{Name: name, Since: since}
	u.Primary, _ = t.AssumedPrimary(name)
	for _, h := range t.Successors(name, now) {
		u.Candidates = append(u.Candidates, h.ID)
	}
	u.Candidate = slices.Contains(u.Candidates, t.self)
	return u
}
