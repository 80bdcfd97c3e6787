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
	"github.com/dragonflypick/dragonflypick/succession"
	"github.com/dragonflypick/dragonflypick/tenure"
)

// group is what a daemon knows of a database group. Its fields are guarded by
// the mutex of the Fleet.
type group struct {
	*succession.Group
	name    string
	history freshness.History
	// working tells that the holder's work on the group is under way, confirming that
	// its record is being asked for.
	working    bool
	confirming bool
	// lastRead is when a replica was last asked to serve a read.
	lastRead time.Time
	// positionRequest tells that the holder is being asked for the log's end.
	positionRequest chan struct{}
}

// self returns this process as a holder of groups.
func (f *Fleet) self() tenure.Party {
	return tenure.Party{ID: f.c.Self.ID, Address: f.c.Self.PeerAddress}
}

// group returns the state of a group; f.mu is held.
func (f *Fleet) group(name string) *group {
	g := f.groups[name]
	if g == nil {
		g = &group{name: name, Group: succession.New(f.self())}
		f.groups[name] = g
	}
	return g
}

// assumedPrimary returns the primary as known without being its holder: that of the
// record, or the only member that calls itself so.
func (f *Fleet) assumedPrimary(g *group) (catalog.Member, bool) {
	id, _ := g.Primary()
	if m, ok := f.members[id]; ok {
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

// viewMember returns a member in the form that the host view spreads.
func viewMember(m catalog.Member) *bundle.Member {
	return &bundle.Member{Name: m.ID, Region: m.Region, FailureDomain: m.FailureDomain}
}

// processGroups does a holder's work on all groups, or takes over groups without a
// live holder.
func (f *Fleet) processGroups() {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := now()
	for n := range f.groupNames() {
		g := f.group(n)
		if g.Confirm(t) && !g.confirming {
			g.confirming = true
			g.Handle(succession.Tenure{Event: tenure.Asking{}}, t)
			f.spawn(func(x context.Context) {
				f.confirmRecord(x, g)
				f.mu.Lock()
				g.confirming = false
				f.mu.Unlock()
			})
		}
		if g.working {
			continue
		}
		if w := f.nextTask(g, t); w != nil {
			g.working = true
			f.spawn(func(x context.Context) {
				w(x, g)
				f.mu.Lock()
				g.working = false
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

// nextTask returns the work that a group needs of this host now, or nil; f.mu is
// held.
func (f *Fleet) nextTask(g *group, t time.Time) func(context.Context, *group) {
	switch a := g.Next(f.facts(g), t).(type) {
	case succession.TakeOver:
		return f.takeOver
	case succession.Release:
		return f.release
	case succession.Discover:
		return f.discoverPrimary
	case succession.GiveAway:
		return f.handOver
	case succession.AskPrior:
		return f.pingPreviousHolders
	case succession.Record:
		return f.recordPrimary
	case succession.Probe:
		return f.probePrimary
	case succession.Replace:
		return func(x context.Context, g *group) { f.replacePrimary(x, g, a.Why) }
	default:
		return nil
	}
}

// facts returns what this host knows besides the group's own state; f.mu is held.
func (f *Fleet) facts(g *group) succession.Facts {
	o := succession.Facts{Leaving: f.draining.Load(), Registered: f.hostLease != 0, Busy: g.Prior() && f.primaryBusy(g)}
	if r, _, ok := g.Record(); ok {
		o.HolderGone = f.mayTakeOver(r.Holder.ID)
	}
	if m, ok := f.assumedPrimary(g); ok {
		h, ok := f.view.Owner(viewMember(m), time.Now())
		o.First = ok && h.ID == f.c.Self.ID
	}
	id, _ := g.Primary()
	m, ok := f.members[id]
	if !ok {
		return o
	}
	o.Listed, o.Draining = f.evictAt[id].IsZero(), m.Draining
	if h, ok := f.view.Owner(viewMember(m), time.Now()); ok && !m.Draining && m.FailureDomain != f.c.Self.FailureDomain {
		o.Nearer = topologyDistance(h, m) < topologyDistance(f.c.Self, m)
	}
	if p := f.pools[id]; p != nil {
		n, t := p.Health()
		o.Contact = &succession.Contact{Failures: n, Heard: t}
	}
	return o
}

// primaryBusy reports whether work on a group's primary goes on at this host; f.mu is
// held.
func (f *Fleet) primaryBusy(g *group) bool {
	for _, p := range f.closingPools {
		if p.Member().Group == g.name && p.Busy() > 0 {
			return true
		}
	}
	id, _ := g.Primary()
	p := f.pools[id]
	return p != nil && p.Busy() > 0
}

// alive reports whether a host is live in the view; f.mu is held.
func (f *Fleet) alive(id string) bool {
	return f.view.Alive(id, time.Now())
}

// mayTakeOver reports whether a group may be taken from its holder; f.mu is held.
func (f *Fleet) mayTakeOver(holder string) bool { return f.view.GivenUp(holder, time.Now()) }

// topologyDistance returns how far a host stands from a member: in its failure domain, in its
// region, or further.
func topologyDistance(h membership.Host, m catalog.Member) int {
	switch {
	case h.FailureDomain == m.FailureDomain:
		return 0
	case h.Region == m.Region:
		return 1
	default:
		return 2
	}
}

// observePosition notes a position that a member reported.
func (f *Fleet) observePosition(g *group, member string, p logpos.Position, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := now()
	l := f.loads.member(member)
	l.position, l.positionAt = p, t
	if !g.Counts(member, t) {
		return
	}
	was := g.Usable()
	g.Handle(succession.Observed{Member: member, Position: p, Sent: sent}, t)
	if g.Usable() {
		g.history.Add(freshness.Sample{Position: p, At: sent})
	} else if was {
		f.c.Log.Warn("primary has lost entries", "group", g.name, "member", member, "position", p.String())
	}
}

// validateReply returns a primary's reply, or what it means if it came after this host's
// time: another holder may have had the primary replaced since it was asked.
func (f *Fleet) validateReply(g *group, r *query.Request, o query.Reply) query.Reply {
	f.mu.Lock()
	ok := g.Finishing(now())
	f.mu.Unlock()
	if ok || o.Failure != nil {
		return o
	}
	why := &query.Failure{Reason: query.Aborted, Text: "the answer came after the holder's time"}
	if r.Action == query.DoCommit || r.Action == query.DoWrite && r.Use == query.Single {
		why.Reason = query.InDoubt
	}
	f.c.Log.Warn("late answer of a primary not believed", "group", g.name, "id", r.ID, "reason", why.Reason)
	if o.State == query.Open {
		o.State = query.Failed
	}
	return query.Reply{Failure: why, State: o.State}
}

// primaryGuard returns what may stop a step to the primary right before it is
// sent.
func (f *Fleet) primaryGuard(g *group, r *query.Request) func() *query.Failure {
	return func() *query.Failure {
		f.mu.Lock()
		defer f.mu.Unlock()
		t := now()
		ok := g.Serves(t)
		if r.Use == query.Later {
			ok = g.Finishing(t)
		}
		if !ok {
			return &query.Failure{Reason: query.Moved, Text: "the primary's holder has changed"}
		}
		return nil
	}
}
