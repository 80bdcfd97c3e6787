package fleet

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/allowance"
	"github.com/dragonflypick/dragonflypick/assignment"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/placement"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/staleness"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// group is this daemon's state of a database group. Its fields are guarded by
// the daemon's mutex.
type group struct {
	*takeover.Group
	name string
	// table learns of each change of the group's state.
	table   *assignment.Table
	history staleness.History
	// taskRunning is set while a task of the group runs, confirming while its
	// record is being read.
	taskRunning bool
	confirming  bool
	// confirmedAt is the time for which the local copy last confirmed the lease.
	confirmedAt time.Time
	// lastReplicaRead is when a replica owned here last received a read.
	lastReplicaRead time.Time
	// ledger holds the accounts of teams; nil if rates aren't bounded. era is the
	// daemon's. closing is set while previous accountants are asked to stop;
	// loggedMode is the ledger's mode when it was last logged.
	ledger     *allowance.Ledger
	era        *eraState
	closing    bool
	loggedMode allowance.Mode
	// seen tells since when this daemon has known the positions of its callers'
	// commits. surveyedAt is when it last asked for reports on the members, and
	// reportedAt when it last sent its own to the holder.
	seen       placement.Seen
	surveyedAt time.Time
	reportedAt time.Time
	// closedPrimary is the draining primary that was last logged because it gets no new work.
	closedPrimary string
	// handovers are those of the group by this host.
	handovers handovers
	// positionRequest is set while the end of the log is being requested from the
	// holder, and closed when the request has ended.
	positionRequest chan struct{}
}

// selfHolder returns this process's identity as a holder of groups.
func (f *Daemon) selfHolder() lease.Holder {
	return lease.Holder{ID: f.config.Self.ID, Address: f.config.Self.PeerAddress}
}

// group returns the state of a group, which is created if need be; f.mu is
// held.
func (f *Daemon) group(name string) *group {
	g := f.groups[name]
	if g == nil {
		g = &group{name: name, Group: takeover.New(f.selfHolder()), table: f.table, era: &f.era, ledger: f.newLedger()}
		f.groups[name] = g
		f.tellEra(g)
	}
	return g
}

// Handle processes an event; f.mu is held.
func (g *group) Handle(e takeover.Event, now time.Time) {
	g.Group.Handle(e, now)
	s := assignment.GroupState{Holder: g.Holder().ID, PreviousHolder: g.IsPreviousHolder()}
	s.Primary, _ = g.Primary()
	g.table.SetGroup(g.name, s)
	g.observeTenure(now)
}

// startGroupTasks starts the next task of every group that has none running, and
// starts reading the group records that must be confirmed.
func (f *Daemon) startGroupTasks() {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := now()
	for _, g := range f.currentDuties() {
		f.confirmFromCopy(g, t)
		f.maintainLedger(g, t)
		if g.ConfirmDue(t) && !g.confirming {
			g.confirming = true
			g.Handle(takeover.LeaseEvent{Event: lease.ConfirmAttempt{}}, t)
			f.spawn(func(x context.Context) {
				defer f.endTask(&g.confirming)
				f.confirmRecord(x, g)
			})
		}
		if g.taskRunning {
			continue
		}
		if w := f.nextTask(g, t); w != nil {
			g.taskRunning = true
			f.spawn(func(x context.Context) {
				defer f.endTask(&g.taskRunning)
				w(x, g)
			})
		}
	}
}

// endTask clears the mark of a running task, also after a panic.
func (f *Daemon) endTask(running *bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*running = false
}

// confirmFromCopy confirms the lease of a group that this host holds from the local
// copy of the store. The copy contained all changes when it was last current, so
// that this is as good as a request made then; f.mu is held.
func (f *Daemon) confirmFromCopy(g *group, t time.Time) {
	r, ok := g.Record()
	if !ok || g.RecordRestored() || r.Holder.ID != f.config.Self.ID {
		return
	}
	i, at := f.copy.Item(recordKey(g))
	if p := g.RecordPosition(); i.Position == p && at.After(g.confirmedAt) {
		g.confirmedAt = at
		g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: r, Position: p, RequestedAt: at}}, t)
	}
}

// nextTask returns the task that this host has to run for a group now, or nil;
// f.mu is held.
func (f *Daemon) nextTask(g *group, t time.Time) func(context.Context, *group) {
	switch a := g.NextAction(f.hostState(g), t).(type) {
	case takeover.AcquireLease:
		return f.acquireGroupLease
	case takeover.RewriteLease:
		return f.rewriteGroupLease
	case takeover.ReleaseLease:
		return f.releaseGroupLease
	case takeover.DiscoverPrimary:
		return f.discoverPrimary
	case takeover.TransferLease:
		return f.transferGroupLease
	case takeover.PollPreviousHolders:
		return f.pingPreviousHolders
	case takeover.AwaitPromotion:
		return func(x context.Context, g *group) { f.awaitInheritedPromotion(x, g, a.Member) }
	case takeover.RecordPrimary:
		return f.recordPrimary
	case takeover.RecordMembers:
		return f.recordMembers
	case takeover.ProbePrimary:
		return f.probePrimary
	case takeover.ReplacePrimary:
		return func(x context.Context, g *group) { f.replacePrimary(x, g, a.Reason) }
	default:
		return nil
	}
}

// hostState returns what the decision on the next task depends on in addition to
// the group's own state; f.mu is held.
func (f *Daemon) hostState(g *group) takeover.HostState {
	o := takeover.HostState{HostDraining: f.draining.Load(), Registered: f.hostLease != 0, WorkPending: g.IsPreviousHolder() && f.primaryBusy(g)}
	if r, ok := g.Record(); ok {
		o.TakeoverAllowed = f.mayTakeOver(r.Holder.ID)
	}
	if m, ok := f.table.AssumedPrimary(g.name); ok {
		h, ok := f.table.Owner(m, time.Now())
		o.PreferredHolder = ok && h.ID == f.config.Self.ID
	}
	if n, ok := f.syncReplicas(g); ok && n > 0 {
		o.Members = f.listedMembers(g)
	}
	id, _ := g.Primary()
	m, ok := f.table.Member(id)
	if !ok {
		return o
	}
	o.FarFromPrimary = m.Region != f.config.Self.Region
	o.PrimaryListed, o.PrimaryDraining = f.evictAt[id].IsZero(), m.Draining
	if h, ok := f.table.Owner(m, time.Now()); ok && !m.Draining && m.FailureDomain != f.config.Self.FailureDomain {
		o.NearerHostExists = topologyDistance(h, m) < topologyDistance(f.config.Self, m)
	} else if ok && f.config.Features.UnevenMembers && !m.Draining {
		o.NearerHostExists = g.handovers.due(now()) && f.strongerHostExists(h)
	}
	if p := f.pools[id]; p != nil {
		n, t := p.Health()
		o.PrimaryHealth = &takeover.ConnectionHealth{Failures: n, LastReply: t}
	}
	return o
}

// primaryBusy reports whether this host runs requests or transactions on a
// group's primary; f.mu is held.
func (f *Daemon) primaryBusy(g *group) bool {
	for _, p := range f.closingPools {
		if p.Member().Group == g.name && p.Busy() > 0 {
			return true
		}
	}
	id, _ := g.Primary()
	p := f.pools[id]
	return p != nil && p.Busy() > 0
}

// isLive reports whether a host is live in this daemon's view; f.mu is held.
func (f *Daemon) isLive(id string) bool {
	return f.view.IsLive(id, time.Now())
}

// mayTakeOver reports whether a group may be taken over from its holder; f.mu
// is held.
func (f *Daemon) mayTakeOver(holder string) bool { return f.view.TakeoverAllowed(holder, time.Now()) }

// topologyDistance returns 0 if a host and a member are in the same failure
// domain, 1 if they are in the same region, and 2 otherwise.
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

// observePosition records a position that a member reported in reply to a request
// sent at the given time.
func (f *Daemon) observePosition(g *group, member string, p logpos.Position, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.IsZero() {
		f.observeNoPosition(g, member, sent)
		return
	}
	t := now()
	l := f.loads.member(member)
	if f.config.Features.UnevenMembers {
		l.observeDelay(&g.history, p, t)
	}
	l.position, l.positionAt = p, t
	if !g.ReportsLogEnd(member, t) {
		return
	}
	was := g.PrimaryDoubted()
	g.Handle(takeover.PositionReported{Member: member, Position: p, RequestedAt: sent}, t)
	switch {
	case !g.PrimaryDoubted():
		if g.PrimaryUsable() {
			g.history.Add(staleness.Sample{Position: p, At: sent})
		}
	case !was:
		f.checkDoubted(g, "it tells the lower position "+p.String())
	}
}

// observeNoPosition takes note that a member told no position when a connection was opened;
// f.mu is held.
func (f *Daemon) observeNoPosition(g *group, member string, sent time.Time) {
	was := g.PrimaryDoubted()
	g.Handle(takeover.PositionReported{Member: member, RequestedAt: sent}, now())
	if g.PrimaryDoubted() && !was {
		f.checkDoubted(g, "it tells no position")
	}
}

// observeRestart takes note that a member has started again since its last record, if it
// has; f.mu is held.
func (f *Daemon) observeRestart(old, m catalog.Member) {
	if old.StartMillis == m.StartMillis || old.StartMillis == 0 || m.StartMillis == 0 {
		return
	}
	g := f.group(m.Group)
	was := g.PrimaryDoubted()
	g.Handle(takeover.MemberRestarted{Member: m.ID}, now())
	if g.PrimaryDoubted() && !was {
		f.checkDoubted(g, "it has started again")
	}
}

// checkDoubted starts the check of the log of a group's primary, which isn't used until then;
// f.mu is held.
func (f *Daemon) checkDoubted(g *group, why string) {
	id, term := g.Primary()
	p, at := g.LogEnd()
	f.config.Log.Warn("primary may have lost its log", "group", g.name, "member", id, "term", term, "why", why, "log-end", p.String(), "log-end-age-ms", now().Sub(at).Milliseconds())
	f.spawn(func(context.Context) { f.startGroupTasks() })
}

// primaryUse is the use of a member as a group's primary for one request.
type primaryUse struct {
	daemon  *Daemon
	group   *group
	request *query.Request
	member  string
	// term is the primary's term when the request was last allowed to be sent.
	term uint64
}

// use returns the use of the member for the request's step.
func (u *primaryUse) use() takeover.PrimaryUse {
	r := u.request
	return takeover.PrimaryUse{Member: u.member, Term: u.term, Change: r.Action != query.ActionRead, InTransaction: r.Stage == query.Later}
}

// guard is the check that runs right before a step is sent to the member: whether this
// host may still use it as the primary.
func (u *primaryUse) guard() *query.Failure {
	f := u.daemon
	f.mu.Lock()
	defer f.mu.Unlock()
	t := now()
	if !u.group.MaySend(u.use(), t) || u.request.Stage != query.Later && !f.maySendNewWork(u.group, t) {
		return &query.Failure{Reason: query.Moved, Text: "the primary or its holder has changed"}
	}
	_, u.term = u.group.Primary()
	return nil
}

// validate returns a reply of the member, or a failure if it may not be passed on.
func (u *primaryUse) validate(o query.Reply) query.Reply {
	f, r := u.daemon, u.request
	f.mu.Lock()
	ok := u.group.PassesReply(u.use(), now())
	lease := u.group.MayFinishTransactions(now())
	id, term := u.group.Primary()
	f.mu.Unlock()
	if ok || o.Failure != nil {
		return o
	}
	why := &query.Failure{Reason: query.Aborted, Text: "the answer came after the holder's time"}
	if r.Action == query.ActionCommit || r.Action == query.ActionWrite && r.Stage == query.Single {
		why.Reason = query.InDoubt
	}
	f.config.Log.Warn("reply of the primary discarded", "group", u.group.name, "id", r.ID, "reason", why.Reason, "member", u.member, "term", u.term, "primary", id, "primary-term", term, "lease-valid", lease)
	if o.State == query.Open {
		o.State = query.Failed
	}
	return query.Reply{Failure: why, State: o.State}
}
