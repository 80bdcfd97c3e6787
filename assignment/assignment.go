// Package assignment decides for which database groups a host may have to act: those
// that it holds or held, and those that it would take over. A host of a large fleet
// has few of them. It does no I/O and reads no clock.
//
// Package membership assigns backend servers to hosts; package takeover decides what a
// host does for a group.
package assignment

import (
	"slices"
	"strings"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/membership"
)

// Candidates is the number of hosts that watch a group's holder, so that one of them
// takes the group over when the holder and another one fail together.
const Candidates = 3

// GroupState is the part of a group's state that the assignment depends on.
type GroupState struct {
	// Holder is the ID of the process that holds the group; empty if none is known.
	Holder string
	// PreviousHolder is set if this host held the group and may still send work to
	// its primary.
	PreviousHolder bool
	// Primary is the ID of the primary as discovered or recorded; empty if unknown.
	Primary string
}

// Table holds the members and the groups' states, and what follows from them and from
// the view of the hosts. All changes pass through its methods, and what follows is
// computed again whenever one of them or the view has changed something. It is not
// safe for concurrent use.
type Table struct {
	self    string
	view    *membership.View
	members map[string]catalog.Member
	// groupMembers holds the members by group, sorted by ID. Its slices are never
	// changed, only replaced.
	groupMembers map[string][]catalog.Member
	groups       map[string]GroupState
	// version counts the changes of members and groups.
	version uint64
	// duties is valid for the inputs dutiesFor.
	duties    []string
	dutiesFor inputs
	// balanced is set if owners follow the load; owners is then valid for the inputs
	// ownersFor.
	balanced  bool
	owners    map[string]membership.Host
	ownersFor inputs
	// unheldSince is since when each group has had a primary and no holder.
	unheldSince map[string]time.Time
}

// inputs identifies a state of all that duties are computed from.
type inputs struct {
	version, viewGeneration uint64
}

// New returns an empty table of the host with the ID self.
func New(self string, v *membership.View) *Table {
	return &Table{self: self, view: v, members: map[string]catalog.Member{}, groupMembers: map[string][]catalog.Member{}, groups: map[string]GroupState{}, unheldSince: map[string]time.Time{}}
}

// Member returns the member with the given ID.
func (t *Table) Member(id string) (catalog.Member, bool) {
	m, ok := t.members[id]
	return m, ok
}

// MemberCount returns the number of members.
func (t *Table) MemberCount() int { return len(t.members) }

// GroupMembers returns the members of a group, sorted by ID. Callers don't change it.
func (t *Table) GroupMembers(group string) []catalog.Member { return t.groupMembers[group] }

// Groups returns the names of the groups that have members, in no particular order.
func (t *Table) Groups() []string {
	o := make([]string, 0, len(t.groupMembers))
	for name := range t.groupMembers {
		o = append(o, name)
	}
	return o
}

// SetMember adds or updates a member.
func (t *Table) SetMember(m catalog.Member) {
	old, ok := t.members[m.ID]
	if old == m {
		return
	}
	if ok {
		t.removeFromGroup(old)
	}
	t.members[m.ID] = m
	l := append(slices.Clone(t.groupMembers[m.Group]), m)
	slices.SortFunc(l, func(a, b catalog.Member) int { return strings.Compare(a.ID, b.ID) })
	t.groupMembers[m.Group] = l
	// Nothing is computed from how long a member remains cold, which changes often.
	if old.ColdRemaining = m.ColdRemaining; old != m {
		t.version++
	}
}

// RemoveMember removes a member, if it is known.
func (t *Table) RemoveMember(id string) {
	m, ok := t.members[id]
	if !ok {
		return
	}
	delete(t.members, id)
	t.removeFromGroup(m)
	t.version++
}

func (t *Table) removeFromGroup(m catalog.Member) {
	l := slices.DeleteFunc(slices.Clone(t.groupMembers[m.Group]), func(o catalog.Member) bool { return o.ID == m.ID })
	if len(l) == 0 {
		delete(t.groupMembers, m.Group)
		return
	}
	t.groupMembers[m.Group] = l
}

// SetGroup sets a group's state.
func (t *Table) SetGroup(name string, s GroupState) {
	if old, ok := t.groups[name]; ok && old == s {
		return
	}
	t.groups[name] = s
	t.version++
}

// AssumedPrimary returns the member that is probably a group's primary, also on hosts
// that don't hold the group: the one that its state names, else a member whose own
// record says so, else the group's first member. It returns false if the group has no
// members.
func (t *Table) AssumedPrimary(group string) (catalog.Member, bool) {
	if m, ok := t.members[t.groups[group].Primary]; ok {
		return m, true
	}
	l := t.groupMembers[group]
	for _, m := range l {
		if m.Primary {
			return m, true
		}
	}
	if len(l) > 0 {
		return l[0], true
	}
	return catalog.Member{}, false
}

// Successors returns the hosts that would take a group over one after the other, the
// first one before all others.
func (t *Table) Successors(group string, now time.Time) []membership.Host {
	m, ok := t.AssumedPrimary(group)
	if !ok {
		return nil
	}
	l := t.view.Successors(ViewMember(m), Candidates, now)
	if !t.balanced || len(l) == 0 {
		return l
	}
	h, _ := t.Owner(m, now)
	return ownerFirst(h, l, Candidates)
}

// Rank returns how many hosts would take a group over before this one, or -1 if this
// host isn't among the candidates.
func (t *Table) Rank(group string, now time.Time) int {
	return slices.IndexFunc(t.Successors(group, now), func(h membership.Host) bool { return h.ID == t.self })
}

// HasDuty reports whether this host may have to act for a group.
func (t *Table) HasDuty(group string, now time.Time) bool {
	s := t.groups[group]
	return s.Holder == t.self || s.PreviousHolder || t.Rank(group, now) >= 0
}

// Duties returns the groups with members for which this host may have to act, sorted
// by name. Callers don't change it.
func (t *Table) Duties(now time.Time) []string {
	i := inputs{version: t.version, viewGeneration: t.view.Generation(now)}
	if i == t.dutiesFor {
		return t.duties
	}
	t.duties, t.dutiesFor = nil, i
	for name := range t.groupMembers {
		if t.HasDuty(name, now) {
			t.duties = append(t.duties, name)
		}
	}
	slices.Sort(t.duties)
	return t.duties
}

// ViewMember returns a member in the form that membership.View takes.
func ViewMember(m catalog.Member) *bundle.Member {
	return &bundle.Member{Name: m.ID, Region: m.Region, FailureDomain: m.FailureDomain}
}
