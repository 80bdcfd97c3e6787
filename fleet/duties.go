package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
)

// holderCandidates is the number of hosts that watch a group's holder, so that
// one of them takes the group over when the holder and another one fail together.
const holderCandidates = 3

// duties are the groups that a host may have to act for: those that it holds or
// held, and those that it would take over. A host of a large fleet has few of
// them, and its periodic tasks run through these only.
type duties struct {
	groups []*group
	// generation is the generation of the view that groups was computed from.
	generation uint64
	// stale is set when a group, a member or a record has changed since.
	stale bool
}

// currentDuties returns the groups that this host may have to act for; f.mu is
// held.
func (f *Daemon) currentDuties() []*group {
	n := time.Now()
	if v := f.view.Generation(n); v != f.duties.generation {
		f.duties.generation, f.duties.stale = v, true
	}
	if !f.duties.stale {
		return f.duties.groups
	}
	f.duties.groups, f.duties.stale = nil, false
	for name := range f.groupMembers {
		if g := f.group(name); f.hasDuty(g, n) {
			f.duties.groups = append(f.duties.groups, g)
		}
	}
	// group marks the duties as stale when it creates a group.
	f.duties.stale = false
	return f.duties.groups
}

// hasDuty reports whether this host may have to act for a group; f.mu is held.
func (f *Daemon) hasDuty(g *group, n time.Time) bool {
	r, _, _ := g.Record()
	if r.Holder.ID == f.config.Self.ID || g.IsPreviousHolder() {
		return true
	}
	m, ok := f.assumedPrimary(g)
	return ok && f.successorRank(m, n) >= 0
}

// successorRank returns how many hosts would take a group over before this one if
// the member is its primary, or -1 if this host isn't among the candidates; f.mu
// is held.
func (f *Daemon) successorRank(m catalog.Member, n time.Time) int {
	for i, h := range f.view.Successors(viewMember(m), holderCandidates, n) {
		if h.ID == f.config.Self.ID {
			return i
		}
	}
	return -1
}

// setMember adds or updates a member; f.mu is held.
func (f *Daemon) setMember(m catalog.Member) {
	f.removeMember(m.ID)
	f.members[m.ID] = m
	l := append(slices.Clone(f.groupMembers[m.Group]), m)
	slices.SortFunc(l, func(a, b catalog.Member) int { return strings.Compare(a.ID, b.ID) })
	f.groupMembers[m.Group] = l
}

// removeMember removes a member, if it is known; f.mu is held.
func (f *Daemon) removeMember(id string) {
	m, ok := f.members[id]
	if !ok {
		return
	}
	f.duties.stale = true
	delete(f.members, id)
	l := slices.DeleteFunc(slices.Clone(f.groupMembers[m.Group]), func(o catalog.Member) bool { return o.ID == id })
	if len(l) == 0 {
		delete(f.groupMembers, m.Group)
		return
	}
	f.groupMembers[m.Group] = l
}
