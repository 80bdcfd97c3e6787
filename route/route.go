// Package route decides which member of a database group serves a request. It
// does no I/O and reads no clock.
package route

import (
	"sort"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// DeclineTTL is how long a replica that has declined a read is passed over.
const DeclineTTL = 100 * time.Millisecond

// Place is where a daemon or a backend server stands.
type Place struct {
	Region        string
	FailureDomain string
}

// Event is something that the table learns.
type Event interface{ event() }

// Viewed is what an owner knows of a group.
type Viewed struct {
	Group string
	View  failover.View
}

// Sent tells that a request went to a member.
type Sent struct{ Member string }

// Ended tells that a request at a member has ended.
type Ended struct{ Member string }

// Declined tells that a member could not serve a read.
type Declined struct {
	Member string
	// Demand is what the read asked for.
	Demand Demand
}

// Demand is how fresh the data of a read must be.
type Demand struct {
	// Floor is the position that the member must have reached.
	Floor logpos.Position
	// Tolerance is the accepted age; zero accepts none.
	Tolerance time.Duration
	// AgeOnly tells that Floor doesn't hold.
	AgeOnly bool
	// OwnWrites tells that Floor holds besides Tolerance.
	OwnWrites bool
}

// noStricterThan reports whether a member that can't meet d can't meet e either.
func (d Demand) noStricterThan(e Demand) bool {
	if e.Tolerance > d.Tolerance {
		return false
	}
	return d.AgeOnly || !e.AgeOnly && !e.Floor.Less(d.Floor)
}

// decline is a read that a member could not serve.
type decline struct {
	until       time.Time
	requirement Demand
}

func (Viewed) event()   {}
func (Sent) event()     {}
func (Ended) event()    {}
func (Declined) event() {}

// Table is what a daemon knows for routing. It is not safe for concurrent use.
type Table struct {
	self Place
	// views holds the latest view of each group, by term.
	views map[string]failover.View
	// outstanding counts this daemon's requests at each member.
	outstanding map[string]int
	// declined maps a member to the last read that it could not serve.
	declined map[string]decline
}

// New returns an empty table for a daemon at the given place.
func New(self Place) *Table {
	return &Table{self: self, views: map[string]failover.View{}, outstanding: map[string]int{}, declined: map[string]decline{}}
}

// Handle takes in an event.
func (t *Table) Handle(e Event, now time.Time) {
	switch x := e.(type) {
	case Viewed:
		if o, ok := t.views[x.Group]; !ok || x.View.Term >= o.Term {
			t.views[x.Group] = x.View
		}
	case Sent:
		t.outstanding[x.Member]++
	case Ended:
		if t.outstanding[x.Member]--; t.outstanding[x.Member] <= 0 {
			delete(t.outstanding, x.Member)
		}
	case Declined:
		t.declined[x.Member] = decline{until: now.Add(DeclineTTL), requirement: x.Demand}
	}
}

// Primary returns the group's primary as last heard of, or false.
func (t *Table) Primary(group string) (string, bool) {
	v, ok := t.views[group]
	return v.Primary, ok && v.Primary != ""
}

// Choice is a decision with its reason.
type Choice struct {
	Member string
	Reason Reason
}

// Reason tells why a member was chosen.
type Reason string

// The reasons of choices.
const (
	ForWrite       Reason = "primary-for-write"
	SameDomain     Reason = "replica-same-domain"
	SameRegion     Reason = "replica-same-region"
	OtherRegion    Reason = "replica-other-region"
	PrimaryForRead Reason = "primary-for-read"
)

// Read chooses the member for a read: the nearest replica, and of equally near
// ones the one with the fewest outstanding requests; the primary comes after
// the replicas of its own region and before those of other regions. Members
// that were tried are left out, and replicas that have lately declined a read
// that asked for no more come later. It returns false if none is left.
func (t *Table) Read(g *bundle.Group, d Demand, tried map[string]bool, now time.Time) (Choice, bool) {
	p, _ := t.Primary(g.Name)
	type candidate struct {
		m    *bundle.Member
		cost int
		why  Reason
	}
	var l []candidate
	for i := range g.Members {
		m := &g.Members[i]
		if tried[m.Name] || m.Leaving && m.Name != p {
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

// The order of candidates; lower goes first.
const (
	costSameDomain = iota
	costSameRegion
	costPrimary
	costOtherRegion
	costPrimaryOtherRegion
	// costDeclined is added to a replica that has declined lately.
	costDeclined = costPrimary
)

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
