package fleet

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/storecopy"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// Timing of the replacement of a primary.
const (
	// probeTimeout bounds opening a new connection; probeDelay is the delay
	// between the starts of two probes.
	probeTimeout = 800 * time.Millisecond
	probeDelay   = 100 * time.Millisecond
	// statusTimeout bounds a status request to a member.
	statusTimeout = 800 * time.Millisecond
	// replacementRetryAfter is the retry-after interval of a request that is
	// refused during a replacement: half of what a status poll and a promotion
	// call may take.
	replacementRetryAfter = (statusTimeout + promoteCallTimeout) / 2
	// transactionWait is how long a planned replacement waits for open
	// transactions.
	transactionWait = 700 * time.Millisecond
	// catchUpTimeout is how long it waits for a replica to hold the complete log.
	catchUpTimeout = 500 * time.Millisecond
	// promoteCallTimeout bounds one call to the Promoter. No further call starts after
	// promotionTimeout.
	promoteCallTimeout = time.Second
	promotionTimeout   = 4 * time.Second
	// inheritedPollTime is how long a member is polled whose promotion an earlier holder
	// has requested, before the previous holders are polled in turn.
	inheritedPollTime = 400 * time.Millisecond
	// statusPollInterval is how often a condition at a member is checked.
	statusPollInterval = 30 * time.Millisecond
	// maxDemoteAttempts and demoteRetryDelay bound the attempts to reach a
	// replaced primary.
	maxDemoteAttempts = 10
	demoteRetryDelay  = 300 * time.Millisecond
	// previousHolderPingInterval is how often previous holders are pinged.
	previousHolderPingInterval = 100 * time.Millisecond
)

// discoverPrimary finds out which member is the primary, after this host has
// become the holder.
func (f *Daemon) discoverPrimary(x context.Context, g *group) {
	t := now()
	f.mu.Lock()
	m := f.table.GroupMembers(g.name)
	f.mu.Unlock()
	c := f.requestStatuses(m)
	l, ok := f.awaitStatuses(x, g, c, len(m))
	if !ok {
		return
	}
	if n := len(m) - len(l); n > 0 {
		f.spawn(func(x context.Context) { f.observeLateStatuses(x, g, c, n) })
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	g.Handle(takeover.MembersPolled{Statuses: l, RequestedAt: t}, now())
	r, _ := g.Record()
	id, term := g.Primary()
	f.config.Log.Info("primary discovery finished", "group", g.name, "found", g.PrimaryDiscovered(), "usable", g.PrimaryUsable(), "member", id, "term", term, "pending", r.Target, "uncertain", r.PrimaryUncertain, "position", g.RecordPosition().String(), "answers", len(l), "took-ms", now().Sub(t).Milliseconds())
}

// requestStatuses requests the status of each member; the channel receives them all.
func (f *Daemon) requestStatuses(l []catalog.Member) <-chan takeover.MemberStatus {
	c := make(chan takeover.MemberStatus, len(l))
	for _, m := range l {
		f.spawn(func(x context.Context) {
			s := takeover.MemberStatus{Member: m, Err: Error.Wrap(context.Canceled)}
			// Also after a panic, which ends only this task.
			defer func() { c <- s }()
			s.Status, s.Err = f.memberStatus(x, m)
		})
	}
	return c
}

// awaitStatuses returns the statuses of count members, or those that suffice to discover
// the primary; false if the context ends first.
func (f *Daemon) awaitStatuses(x context.Context, g *group, c <-chan takeover.MemberStatus, count int) ([]takeover.MemberStatus, bool) {
	var l []takeover.MemberStatus
	for len(l) < count {
		select {
		case s := <-c:
			l = append(l, s)
		case <-x.Done():
			return nil, false
		}
		f.mu.Lock()
		enough := g.MayDiscover(l, count)
		f.mu.Unlock()
		if enough {
			break
		}
	}
	return l, true
}

// observeLateStatuses handles the n statuses that discoverPrimary didn't wait for.
func (f *Daemon) observeLateStatuses(x context.Context, g *group, c <-chan takeover.MemberStatus, n int) {
	for range n {
		select {
		case s := <-c:
			f.mu.Lock()
			g.Handle(takeover.MemberAnswered{MemberStatus: s}, now())
			f.mu.Unlock()
		case <-x.Done():
			return
		}
	}
}

// probePrimary opens new connections to a silent primary to check whether it
// responds.
func (f *Daemon) probePrimary(x context.Context, g *group) {
	f.mu.Lock()
	id, _ := g.Primary()
	m, ok := f.table.Member(id)
	f.mu.Unlock()
	if !ok {
		return
	}
	var w errgroup.Group
	for i := range takeover.MaxFailedProbes {
		w.Go(func() error {
			sleep(x, time.Duration(i)*probeDelay)
			y, stop := context.WithTimeout(x, probeTimeout)
			defer stop()
			t := now()
			c, p, err := f.config.Dialer.Dial(y, m, "")
			if err == nil {
				c.Close()
				f.observePosition(g, m.ID, p, t)
			}
			f.handleProbe(g, m, err)
			return nil
		})
	}
	_ = w.Wait()
}

// handleProbe records the outcome of a probe. A member that refuses the session is
// alive; it may have no connections left, for example. If another member answers, the
// primary's address has been given away.
func (f *Daemon) handleProbe(g *group, m catalog.Member, err error) {
	f.mu.Lock()
	o := f.pools[m.ID]
	f.mu.Unlock()
	var q *query.Failure
	alive := err == nil || asFailure(err, &q) && q.Reason != query.WrongMember
	if alive && o != nil {
		o.MarkReachable()
	}
	f.mu.Lock()
	g.Handle(takeover.PrimaryProbed{Failed: !alive}, now())
	f.mu.Unlock()
	if !alive {
		f.config.Log.Info("primary probe failed", "group", g.name, "member", m.ID, "error", err)
	}
}

// replacePrimary promotes another member and demotes the old primary.
func (f *Daemon) replacePrimary(x context.Context, g *group, why takeover.Reason) {
	f.mu.Lock()
	t := now()
	if !g.MayReplace(t) {
		f.mu.Unlock()
		return
	}
	old, term := g.Primary()
	f.mu.Unlock()
	planned := why == takeover.PrimaryDraining
	if planned && !f.hasCandidate(x, g, old) {
		sleep(x, blockedRetryDelay)
		return
	}
	f.mu.Lock()
	g.Handle(takeover.ReplacementStarted{}, t)
	f.mu.Unlock()
	f.config.Log.Info("primary replacement started", "group", g.name, "member", old, "term", term, "why", why)
	n, ok := f.preparePromotion(x, g, old, planned)
	if ok {
		ok = f.promoteMember(x, g, n)
	}
	f.mu.Lock()
	g.Handle(takeover.ReplacementEnded{}, now())
	_, term = g.Primary()
	d := storecopy.Backoff(1, nil)
	if f.replacementBlocked(g) {
		d = blockedRetryDelay
	}
	f.mu.Unlock()
	if !ok {
		sleep(x, d)
		return
	}
	f.config.Log.Info("primary replaced", "group", g.name, "member", n.Member.ID, "term", term, "was", old, "took-ms", now().Sub(t).Milliseconds())
	f.recordPrimary(x, g)
	f.spawn(func(x context.Context) { f.demoteMember(x, g, old) })
}

// recordIntent writes to the group's record that the promotion of a member may be requested
// from now on, and reports whether that succeeded.
func (f *Daemon) recordIntent(x context.Context, g *group, a selection) bool {
	f.mu.Lock()
	c, ok := g.AnnouncePromotion(takeover.Announcement{Target: a.Member.ID, Statuses: a.statuses}, now())
	f.mu.Unlock()
	return ok && f.compareAndSwap(x, g, c)
}

// awaitTransactions waits up to transactionWait for the open transactions at a
// member to end.
func (f *Daemon) awaitTransactions(x context.Context, member string) {
	f.mu.Lock()
	o := f.pools[member]
	f.mu.Unlock()
	for t := time.Now(); o != nil && o.Busy() > 0 && time.Since(t) < transactionWait; {
		if !sleep(x, statusPollInterval) {
			return
		}
	}
}

// nearer reports whether a is nearer to this host than b.
func (f *Daemon) nearer(a, b catalog.Member) bool {
	return f.assumedRTT(a.Region, a.FailureDomain) < f.assumedRTT(b.Region, b.FailureDomain)
}

// recordPrimary writes the new primary to the group's record, in up to three
// attempts.
func (f *Daemon) recordPrimary(x context.Context, g *group) {
	for range 3 {
		f.mu.Lock()
		c, ok := g.NamePrimary(now())
		f.mu.Unlock()
		if !ok || f.compareAndSwap(x, g, c) {
			return
		}
	}
}

// NotDemotedError reports a member that is still a primary after its demotion.
type NotDemotedError struct{ Member string }

func (e *NotDemotedError) Error() string { return "member " + e.Member + " is still a primary" }

// requestDemotion demotes a member. Its answer is its status afterwards.
func (f *Daemon) requestDemotion(x context.Context, m catalog.Member, term uint64) error {
	y, stop := context.WithTimeout(x, statusTimeout)
	defer stop()
	c, _, err := f.config.Dialer.Dial(y, m, "")
	if err != nil {
		return err
	}
	defer c.Close()
	o, err := c.RunStep(query.Demote{Term: term}, time.Now().Add(statusTimeout))
	if err != nil {
		return err
	}
	s, err := f.config.Decoder.Status(o)
	if err == nil && s.Primary {
		err = Error.Wrap(&NotDemotedError{Member: m.ID})
	}
	return err
}

// demoteMember demotes a replaced primary, in up to maxDemoteAttempts attempts, as
// the member may not be reachable yet.
func (f *Daemon) demoteMember(x context.Context, g *group, old string) {
	for range maxDemoteAttempts {
		f.mu.Lock()
		m, ok := f.table.Member(old)
		id, term := g.Primary()
		ok = ok && id != old
		f.mu.Unlock()
		if !ok {
			return
		}
		err := f.requestDemotion(x, m, term)
		f.config.Log.Info("demotion requested", "group", g.name, "member", old, "term", term, "error", err)
		if err == nil {
			return
		}
		if !sleep(x, demoteRetryDelay) {
			return
		}
	}
}
