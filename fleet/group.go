package fleet

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/staleness"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// group is what a daemon knows of a database group. Its fields are guarded by
// the mutex of the Fleet.
type group struct {
	*takeover.Group
	name    string
	history staleness.History
	// busy tells that the holder's work on the group is under way, confirming that
	// its record is being asked for.
	busy       bool
	confirming bool
	// read is when a replica was last asked to serve a read.
	read time.Time
	// asking tells that the holder is being asked for the log's end.
	asking chan struct{}
}

// self returns this process as a holder of groups.
func (f *Daemon) self() lease.Holder {
	return lease.Holder{ID: f.c.Self.ID, Address: f.c.Self.PeerAddress}
}

// group returns the state of a group; f.mu is held.
func (f *Daemon) group(name string) *group {
	g := f.groups[name]
	if g == nil {
		g = &group{name: name, Group: takeover.New(f.self())}
		f.groups[name] = g
	}
	return g
}

// believed returns the primary as known without being its holder: that of the
// record, or the only member that calls itself so.
func (f *Daemon) believed(g *group) (catalog.Member, bool) {
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

// place returns a member in the form that the host view spreads.
func place(m catalog.Member) *bundle.Member {
	return &bundle.Member{Name: m.ID, Region: m.Region, FailureDomain: m.FailureDomain}
}

// tend does a holder's work on all groups, or takes over groups without a
// live holder.
func (f *Daemon) tend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := now()
	for n := range f.groupNames() {
		g := f.group(n)
		if g.ConfirmDue(t) && !g.confirming {
			g.confirming = true
			g.Handle(takeover.LeaseEvent{Event: lease.ConfirmAttempt{}}, t)
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
func (f *Daemon) groupNames() map[string]bool {
	o := map[string]bool{}
	for _, m := range f.members {
		o[m.Group] = true
	}
	return o
}

// duty returns the work that a group needs of this host now, or nil; f.mu is
// held.
func (f *Daemon) duty(g *group, t time.Time) func(context.Context, *group) {
	switch a := g.Next(f.facts(g), t).(type) {
	case takeover.AcquireLease:
		return f.takeOver
	case takeover.ReleaseLease:
		return f.release
	case takeover.DiscoverPrimary:
		return f.discover
	case takeover.TransferLease:
		return f.giveAway
	case takeover.PollPreviousHolders:
		return f.askPrior
	case takeover.RecordPrimary:
		return f.recordPrimary
	case takeover.ProbePrimary:
		return f.probe
	case takeover.ReplacePrimary:
		return func(x context.Context, g *group) { f.replace(x, g, a.Reason) }
	default:
		return nil
	}
}

// facts returns what this host knows besides the group's own state; f.mu is held.
func (f *Daemon) facts(g *group) takeover.HostState {
	o := takeover.HostState{HostDraining: f.leaving.Load(), Registered: f.lease != 0, WorkPending: g.IsPreviousHolder() && f.busyWith(g)}
	if r, _, ok := g.Record(); ok {
		o.TakeoverAllowed = f.mayTake(r.Holder.ID)
	}
	if m, ok := f.believed(g); ok {
		h, ok := f.view.Owner(place(m), time.Now())
		o.FirstCandidate = ok && h.ID == f.c.Self.ID
	}
	id, _ := g.Primary()
	m, ok := f.members[id]
	if !ok {
		return o
	}
	o.PrimaryListed, o.PrimaryDraining = f.gone[id].IsZero(), m.Draining
	if h, ok := f.view.Owner(place(m), time.Now()); ok && !m.Draining && m.FailureDomain != f.c.Self.FailureDomain {
		o.NearerHost = gap(h, m) < gap(f.c.Self, m)
	}
	if p := f.pools[id]; p != nil {
		n, t := p.Health()
		o.PrimaryHealth = &takeover.ConnectionHealth{Failures: n, LastReply: t}
	}
	return o
}

// busyWith reports whether work on a group's primary goes on at this host; f.mu is
// held.
func (f *Daemon) busyWith(g *group) bool {
	for _, p := range f.closing {
		if p.Member().Group == g.name && p.Busy() > 0 {
			return true
		}
	}
	id, _ := g.Primary()
	p := f.pools[id]
	return p != nil && p.Busy() > 0
}

// alive reports whether a host is live in the view; f.mu is held.
func (f *Daemon) alive(id string) bool {
	return f.view.IsLive(id, time.Now())
}

// mayTake reports whether a group may be taken from its holder; f.mu is held.
func (f *Daemon) mayTake(holder string) bool { return f.view.TakeoverAllowed(holder, time.Now()) }

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

// observe notes a position that a member reported.
func (f *Daemon) observe(g *group, member string, p logpos.Position, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := now()
	l := f.table.of(member)
	l.position, l.heard = p, t
	if !g.ReportsLogEnd(member, t) {
		return
	}
	was := g.Usable()
	g.Handle(takeover.PositionReported{Member: member, Position: p, Sent: sent}, t)
	if g.Usable() {
		g.history.Add(staleness.Sample{Position: p, At: sent})
	} else if was {
		f.c.Log.Warn("primary has lost entries", "group", g.name, "member", member, "position", p.String())
	}
}

// believe returns a primary's reply, or what it means if it came after this host's
// time: another holder may have had the primary replaced since it was asked.
func (f *Daemon) believe(g *group, r *query.Request, o query.Reply) query.Reply {
	f.mu.Lock()
	ok := g.MayFinish(now())
	f.mu.Unlock()
	if ok || o.Failure != nil {
		return o
	}
	why := &query.Failure{Reason: query.Aborted, Text: "the answer came after the holder's time"}
	if r.Action == query.DoCommit || r.Action == query.DoWrite && r.Stage == query.Single {
		why.Reason = query.InDoubt
	}
	f.c.Log.Warn("late answer of a primary not believed", "group", g.name, "id", r.ID, "reason", why.Reason)
	if o.State == query.Open {
		o.State = query.Failed
	}
	return query.Reply{Failure: why, State: o.State}
}

// guardPrimary returns what may stop a step to the primary right before it is
// sent.
func (f *Daemon) guardPrimary(g *group, r *query.Request) func() *query.Failure {
	return func() *query.Failure {
		f.mu.Lock()
		defer f.mu.Unlock()
		t := now()
		ok := g.MaySend(t)
		if r.Stage == query.Later {
			ok = g.MayFinish(t)
		}
		if !ok {
			return &query.Failure{Reason: query.Moved, Text: "the primary's holder has changed"}
		}
		return nil
	}
}
