package fleet

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/freshness"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/tenure"
)

// group is what a daemon knows of a database group. Its fields are guarded by
// the mutex of the Fleet.
type group struct {
	name    string
	tenure  *tenure.Tenure
	history freshness.History
	// primary and term are what the holder sends work to, empty until it has
	// found out; other daemons have them from the record.
	primary string
	term    uint64
	// found tells that the holder has asked the members for the primary.
	found bool
	// busy tells that the holder's work on the group is under way, confirming that
	// its record is being asked for.
	busy       bool
	confirming bool
	// replacing is when the replacement of the primary began, zero if none is.
	replacing time.Time
	// end is the furthest position that the primary reported, ended when it was
	// heard; a holder notes them.
	end   logpos.Position
	ended time.Time
	// nearBy is since when another host stands nearer to the primary, zero if
	// none does.
	nearBy time.Time
	// regressed tells that the primary isn't to be used: its log has lost entries,
	// or a promotion has been asked for.
	regressed bool
	// silent counts the fresh connections to the primary that failed in a row.
	silent int
	// read is when a replica was last asked to serve a read.
	read time.Time
	// asking tells that the holder is being asked for the log's end.
	asking chan struct{}
}

// self returns this process as a holder of groups.
func (f *Fleet) self() tenure.Party {
	return tenure.Party{ID: f.c.Self.ID, Address: f.c.Self.PeerAddress}
}

// group returns the state of a group; f.mu is held.
func (f *Fleet) group(name string) *group {
	g := f.groups[name]
	if g == nil {
		g = &group{name: name, tenure: tenure.New(f.self())}
		f.groups[name] = g
	}
	return g
}

// adopt takes over what the record says of the primary.
func (g *group) adopt(r tenure.Record) {
	if r.Term >= g.term && r.Primary != "" && (r.Primary != g.primary || r.Term != g.term) {
		g.primary, g.term = r.Primary, r.Term
	}
}

// serves reports whether the host may send new work to the primary now.
func (g *group) serves(now time.Time) bool {
	return g.tenure.Holds(now) && g.found && g.replacing.IsZero() && !g.regressed
}

// believed returns the primary as known without being its holder: that of the
// record, or the only member that calls itself so.
func (f *Fleet) believed(g *group) (catalog.Member, bool) {
	if m, ok := f.members[g.primary]; ok {
		return m, true
	}
	for _, m := range f.members {
		if m.Group == g.name && m.Primary {
			return m, true
		}
	}
	for _, m := range f.members {
		if m.Group == g.name {
			return m, true
		}
	}
	return catalog.Member{}, false
}

// place returns a member in the form that the host view spreads.
func place(m catalog.Member) *bundle.Member {
	return &bundle.Member{Name: m.ID, Region: m.Region, FailureDomain: m.FailureDomain}
}

// tend does a holder's work on all groups, or takes over groups without a
// live holder.
func (f *Fleet) tend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := now()
	for n := range f.groupNames() {
		g := f.group(n)
		if g.tenure.Confirm(t) && !g.confirming {
			g.confirming = true
			g.tenure.Handle(tenure.Asking{}, t)
			f.background(func(x context.Context) {
				f.confirm(x, g)
				f.mu.Lock()
				g.confirming = false
				f.mu.Unlock()
			})
		}
		if g.busy {
			continue
		}
		if w := f.duty(g, t); w != nil {
			g.busy = true
			f.background(func(x context.Context) {
				w(x, g)
				f.mu.Lock()
				g.busy = false
				f.mu.Unlock()
			})
		}
	}
}

// groupNames returns the groups that have members; f.mu is held.
func (f *Fleet) groupNames() map[string]bool {
	o := map[string]bool{}
	for _, m := range f.members {
		o[m.Group] = true
	}
	return o
}

// duty returns the work that a group needs of this host now, or nil; f.mu is
// held.
func (f *Fleet) duty(g *group, t time.Time) func(context.Context, *group) {
	r, _, known := g.tenure.Record()
	switch {
	case known && r.Holder.ID == f.c.Self.ID:
		return f.holderDuty(g, t)
	case f.releasable(g):
		return f.release
	case f.leaving.Load() || f.lease == 0 || known && !f.mayTake(r.Holder.ID):
		return nil
	}
	m, ok := f.believed(g)
	if !ok {
		return nil
	}
	if h, ok := f.view.Owner(place(m), time.Now()); ok && h.ID == f.c.Self.ID {
		return f.takeOver
	}
	return nil
}

// alive reports whether a host is live in the view; f.mu is held.
func (f *Fleet) alive(id string) bool {
	return f.view.Alive(id, time.Now())
}

// mayTake reports whether a group may be taken from its holder: the platform has
// given the holder up or it leaves, or it doesn't answer this host while most
// others do, so that it is not this host that is cut off; f.mu is held.
func (f *Fleet) mayTake(holder string) bool {
	h, ok := f.view.Host(holder)
	if !ok || h.Leaving {
		return true
	}
	return !f.alive(holder) && !f.isolated() && len(f.liveOthers()) >= len(f.view.Suspects(time.Now()))
}

// holderDuty returns the work of the holder; f.mu is held.
func (f *Fleet) holderDuty(g *group, t time.Time) func(context.Context, *group) {
	switch {
	case !g.tenure.Holds(t):
		return nil
	case !g.found:
		return f.discover
	case f.leaving.Load():
		return f.giveAway
	case len(g.tenure.Waiting(t)) > 0:
		return f.askPrior
	}
	if f.farther(g, t) {
		return f.giveAway
	}
	return f.watchPrimary(g, t)
}

// gap returns how far a host stands from a member: in its failure domain, in its
// region, or further.
func gap(h membership.Host, m catalog.Member) int {
	switch {
	case h.FailureDomain == m.FailureDomain:
		return 0
	case h.Region == m.Region:
		return 1
	default:
		return 2
	}
}

// betterTime is how long another host has to stand nearer to the primary before
// it is given the group, so that short suspicions don't move it.
const betterTime = 2 * time.Second

// farther reports whether another host has stood nearer to the primary for a
// while; f.mu is held.
func (f *Fleet) farther(g *group, t time.Time) bool {
	m, ok := f.members[g.primary]
	if ok && !m.Draining && m.FailureDomain != f.c.Self.FailureDomain {
		h, ok := f.view.Owner(place(m), time.Now())
		if ok && gap(h, m) < gap(f.c.Self, m) {
			if g.nearBy.IsZero() {
				g.nearBy = t
			}
			return t.Sub(g.nearBy) > betterTime
		}
	}
	g.nearBy = time.Time{}
	return false
}

// observe notes a position that the primary reported.
func (f *Fleet) observe(g *group, member string, p logpos.Position, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.table.of(member)
	l.position, l.heard = p, now()
	if member != g.primary || !g.tenure.Holds(now()) {
		return
	}
	if p.Less(g.end) && sent.After(g.ended) {
		if !g.regressed {
			f.c.Log.Warn("primary has lost entries", "group", g.name, "member", member, "position", p.String(), "had", g.end.String())
		}
		g.regressed = true
		return
	}
	if g.end.Less(p) {
		g.end, g.ended = p, now()
	}
	g.history.Add(freshness.Sample{Position: p, At: sent})
}

// guardPrimary returns what may stop a step to the primary right before it is
// sent.
func (f *Fleet) guardPrimary(g *group, r *query.Request) func() *query.Failure {
	return func() *query.Failure {
		f.mu.Lock()
		defer f.mu.Unlock()
		t := now()
		ok := g.serves(t)
		if r.Use == query.Later {
			ok = g.tenure.Finishing(t)
		}
		if !ok {
			return &query.Failure{Reason: query.Moved, Text: "the primary's holder has changed"}
		}
		return nil
	}
}
