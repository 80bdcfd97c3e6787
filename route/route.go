// Package route chooses the member of a database group that serves a request of a
// PostgreSQL caller, by the locations of the members, the requests outstanding at
// them and the reads that they declined. It does no I/O and reads no clock.
// Package fleet routes requests on the users' platform.
package route

import (
	"sort"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// DeclineTTL is how long a replica that has declined a read is tried last.
const DeclineTTL = 100 * time.Millisecond

// Location is the location of a daemon or a backend server.
type Location struct {
	Region        string
	FailureDomain string
}

// Event is an input of Table.Handle.
type Event interface{ event() }

// ViewUpdated reports an owner's view of a group.
type ViewUpdated struct {
	Group string
	View  failover.View
}

// RequestSent reports that a request was sent to a member.
type RequestSent struct{ Member string }

// RequestEnded reports that a request sent to a member has ended.
type RequestEnded struct{ Member string }

// ReadDeclined reports that a member could not serve a read.
type ReadDeclined struct {
	Member string
	// Requirement is what the read required.
	Requirement Requirement
}

// Requirement is how current the data of a read must be.
type Requirement struct {
	// Floor is the position that the member must have reached.
	Floor logpos.Position
	// Tolerance is the accepted age of the data; zero means that the member must
	// have reached Floor.
	Tolerance time.Duration
	// AgeOnly is set if Floor doesn't apply.
	AgeOnly bool
	// OwnWrites is set if Floor applies in addition to Tolerance.
	OwnWrites bool
}

// noStricterThan reports whether a member that can't meet d can't meet e either.
func (d Requirement) noStricterThan(e Requirement) bool {
	if e.Tolerance > d.Tolerance {
		return false
	}
	return d.AgeOnly || !e.AgeOnly && !e.Floor.Less(d.Floor)
}

// decline records a read that a member could not serve.
type decline struct {
	until       time.Time
	requirement Requirement
}

func (ViewUpdated) event()  {}
func (RequestSent) event()  {}
func (RequestEnded) event() {}
func (ReadDeclined) event() {}

// Table is a daemon's routing state. It is not safe for concurrent use.
type Table struct {
	self Location
	// views holds the latest view of each group, that of the highest term.
	views map[string]failover.View
	// outstanding counts this daemon's unanswered requests at each member.
	outstanding map[string]int
	// declined holds the last read that each member could not serve.
	declined map[string]decline
}

// New returns an empty table for a daemon at the given location.
func New(self Location) *Table {
	return &Table{self: self, views: map[string]failover.View{}, outstanding: map[string]int{}, declined: map[string]decline{}}
}

// Handle applies an event.
func (t *Table) Handle(e Event, now time.Time) {
	switch x := e.(type) {
	case ViewUpdated:
		if o, ok := t.views[x.Group]; !ok || x.View.Term >= o.Term {
			t.views[x.Group] = x.View
		}
	case RequestSent:
		t.outstanding[x.Member]++
	case RequestEnded:
		if t.outstanding[x.Member]--; t.outstanding[x.Member] <= 0 {
			delete(t.outstanding, x.Member)
		}
	case ReadDeclined:
		t.declined[x.Member] = decline{until: now.Add(DeclineTTL), requirement: x.Requirement}
	}
}

// Primary returns the group's primary in the latest view, or false if none is
// known.
func (t *Table) Primary(group string) (string, bool) {
	v, ok := t.views[group]
	return v.Primary, ok && v.Primary != ""
}

// Choice is a chosen member and the reason for choosing it.
type Choice struct {
	Member string
	Reason Reason
}

// Reason is why a member was chosen.
type Reason string

// The reasons of choices.
const (
	ForWrite       Reason = "primary-for-write"
	SameDomain     Reason = "replica-same-domain"
	SameRegion     Reason = "replica-same-region"
	OtherRegion    Reason = "replica-other-region"
	PrimaryForRead Reason = "primary-for-read"
)

// ChooseForRead chooses the member for a read: the nearest replica, and among equally near
// ones that with the fewest outstanding requests. The primary comes after the
// replicas of this region and before those of other regions. Tried members are
// skipped. Members that declined a read with no stricter requirement within
// DeclineTTL come later. It returns false if no member is left.
func (t *Table) ChooseForRead(g *bundle.Group, d Requirement, tried map[string]bool, now time.Time) (Choice, bool) {
	p, _ := t.Primary(g.Name)
	type candidate struct {
		m    *bundle.Member
		cost int
		why  Reason
	}
	var l []candidate
	for i := range g.Members {
		m := &g.Members[i]
		if tried[m.Name] || m.Draining && m.Name != p {
			continue
		}
		c, why := t.cost(m, m.Name == p)
		if n, ok := t.declined[m.Name]; ok && now.Before(n.until) && n.requirement.noStricterThan(d) {
			c += costDeclined
		}
		l = append(l, candidate{m: m, cost: c, why: why})
	}
	if len(l) == 0 {
		return Choice{}, false
	}
	sort.SliceStable(l, func(i, j int) bool {
		if l[i].cost != l[j].cost {
			return l[i].cost < l[j].cost
		}
		return t.outstanding[l[i].m.Name] < t.outstanding[l[j].m.Name]
	})
	return Choice{Member: l[0].m.Name, Reason: l[0].why}, true
}

// Costs of candidates; the lowest is chosen.
const (
	costSameDomain = iota
	costSameRegion
	costPrimary
	costOtherRegion
	costPrimaryOtherRegion
	// costDeclined is added for a member that has declined a read recently.
	costDeclined = costPrimary
)

// cost returns the cost of a member and the reason for choosing it.
func (t *Table) cost(m *bundle.Member, primary bool) (int, Reason) {
	local := m.Region == t.self.Region
	switch {
	case primary && local:
		return costPrimary, PrimaryForRead
	case primary:
		return costPrimaryOtherRegion, PrimaryForRead
	case local && m.FailureDomain == t.self.FailureDomain:
		return costSameDomain, SameDomain
	case local:
		return costSameRegion, SameRegion
	default:
		return costOtherRegion, OtherRegion
	}
}
