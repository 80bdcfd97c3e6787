package fleet

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/staleness"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// Timing of a primary's replacement.
const (
	// probeTime bounds a fresh connection; probeGap lies between two of them.
	probeTime = 800 * time.Millisecond
	probeGap  = 100 * time.Millisecond
	// statusTime bounds a question to a member.
	statusTime = 800 * time.Millisecond
	// replacedRetry is when a caller should come back that was refused during a
	// replacement: half of what a survey and a promotion take.
	replacedRetry = (statusTime + promoteTime) / 2
	// finishTime is how long a planned replacement waits for open transactions.
	finishTime = 700 * time.Millisecond
	// catchUpTime is how long it waits for a replica to hold the whole log.
	catchUpTime = 500 * time.Millisecond
	// promoteTime bounds one call; leadTime the wait for its effect.
	promoteTime = time.Second
	leadTime    = 4 * time.Second
	// leadPoll is how often a member is asked whether it leads.
	leadPoll = 30 * time.Millisecond
	// demoteTries and demotePause bound the attempts to reach a replaced primary.
	demoteTries = 10
	demotePause = 300 * time.Millisecond
	// priorInterval is how often earlier holders are asked whether they run.
	priorInterval = 100 * time.Millisecond
)

// discover finds the primary after this host has become the holder.
func (f *Daemon) discover(x context.Context, g *group) {
	l := f.survey(x, g, "")
	f.mu.Lock()
	defer f.mu.Unlock()
	g.Handle(takeover.MembersPolled{Statuses: l}, now())
	r, rev, _ := g.Record()
	id, term := g.Primary()
	f.c.Log.Info("members asked for the primary", "group", g.name, "found", g.Discovered(), "usable", g.Usable(), "member", id, "term", term, "pending", r.Target, "revision", rev)
}

// probe tries fresh connections to a silent primary.
func (f *Daemon) probe(x context.Context, g *group) {
	f.mu.Lock()
	id, _ := g.Primary()
	m, ok := f.members[id]
	f.mu.Unlock()
	if !ok {
		return
	}
	var w errgroup.Group
	for i := range takeover.MaxFailedProbes {
		w.Go(func() error {
			pause(x, time.Duration(i)*probeGap)
			y, stop := context.WithTimeout(x, probeTime)
			defer stop()
			t := now()
			c, p, err := f.c.Dialer.Dial(y, m)
			if err == nil {
				c.Close()
				f.observe(g, m.ID, p, t)
			}
			f.heard(g, m, err)
			return nil
		})
	}
	_ = w.Wait()
}

// heard notes the outcome of a probe. A member that refuses for want of
// connections lives.
func (f *Daemon) heard(g *group, m catalog.Member, err error) {
	f.mu.Lock()
	o := f.pools[m.ID]
	f.mu.Unlock()
	var q *query.Failure
	lives := err == nil || asFailure(err, &q)
	if lives && o != nil {
		o.MarkReachable()
	}
	f.mu.Lock()
	g.Handle(takeover.PrimaryProbed{Failed: !lives}, now())
	f.mu.Unlock()
	if !lives {
		f.c.Log.Info("primary doesn't answer", "group", g.name, "member", m.ID, "error", err)
	}
}

// replace has another member made primary.
func (f *Daemon) replace(x context.Context, g *group, why takeover.Reason) {
	f.mu.Lock()
	t := now()
	_, _, ok := g.IntentRecord(t)
	if !ok {
		f.mu.Unlock()
		return
	}
	old, term := g.Primary()
	g.Handle(takeover.ReplacementStarted{}, t)
	f.mu.Unlock()
	f.c.Log.Info("primary to be replaced", "group", g.name, "member", old, "term", term, "why", why)
	var w errgroup.Group
	var intended bool
	w.Go(func() error {
		intended = f.intend(x, g)
		return nil
	})
	if why == takeover.PrimaryDraining {
		f.finish(x, old)
	}
	n, ok := f.choose(x, g, old, why == takeover.PrimaryDraining)
	_ = w.Wait()
	if !ok && intended {
		f.recordPrimary(x, g)
	}
	if ok = ok && intended; ok {
		f.dropPool(old)
		ok = f.promote(x, g, n)
	}
	f.mu.Lock()
	g.Handle(takeover.ReplacementEnded{}, now())
	_, term = g.Primary()
	f.mu.Unlock()
	if !ok {
		pause(x, backoff(1))
		return
	}
	f.c.Log.Info("primary replaced", "group", g.name, "member", n.Member.ID, "term", term, "was", old, "took-ms", now().Sub(t).Milliseconds())
	f.recordPrimary(x, g)
	f.background(func(x context.Context) { f.demote(x, g, old) })
}

// intend notes in the record that a promotion may be asked for from now on.
func (f *Daemon) intend(x context.Context, g *group) bool {
	f.mu.Lock()
	r, rev, ok := g.IntentRecord(now())
	f.mu.Unlock()
	return ok && f.swap(x, g, r, rev)
}

// finish waits for the open transactions at a member.
func (f *Daemon) finish(x context.Context, member string) {
	f.mu.Lock()
	o := f.pools[member]
	f.mu.Unlock()
	for t := time.Now(); o != nil && o.Busy() > 0 && time.Since(t) < finishTime; {
		if !pause(x, leadPoll) {
			return
		}
	}
}

// nearer reports whether a stands nearer to this host than b.
func (f *Daemon) nearer(a, b catalog.Member) bool {
	return f.distance(a.Region, a.FailureDomain) < f.distance(b.Region, b.FailureDomain)
}

// promote makes a member primary and waits until it leads.
func (f *Daemon) promote(x context.Context, g *group, a takeover.MemberStatus) bool {
	f.mu.Lock()
	_, term, ok := g.Promotion(now())
	leads := ok && g.AlreadyPrimary(a)
	f.mu.Unlock()
	switch {
	case !ok:
		return false
	case leads:
		return f.lead(g, a, a.Status)
	}
	t := time.Now()
	for time.Since(t) < leadTime && x.Err() == nil {
		f.mu.Lock()
		token, _, ok := g.Promotion(now())
		if ok {
			g.Handle(takeover.PromotionRequested{}, now())
		}
		f.mu.Unlock()
		if !ok {
			return false
		}
		y, stop := context.WithTimeout(x, promoteTime)
		done, err := f.c.Promoter.Promote(y, g.name, a.Member.ID, f.c.Self.ID, token)
		stop()
		f.c.Log.Info("promotion asked for", "group", g.name, "member", a.Member.ID, "token", token, "accepted", done, "error", err)
		if err == nil && !done {
			return false
		}
		if s, ok := f.awaitLead(x, a.Member, term); ok {
			return f.lead(g, a, s)
		}
	}
	return false
}

// awaitLead waits until a member leads a term above the given one.
func (f *Daemon) awaitLead(x context.Context, m catalog.Member, term uint64) (query.Status, bool) {
	x, stop := context.WithTimeout(x, leadTime/2)
	defer stop()
	for x.Err() == nil {
		s, err := f.ask(x, m)
		if err == nil && s.Primary && s.Term > term {
			return s, true
		}
		pause(x, leadPoll)
	}
	return query.Status{}, false
}

// lead takes the chosen member for the primary, unless it has lost its log since.
func (f *Daemon) lead(g *group, a takeover.MemberStatus, s query.Status) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g.Handle(takeover.PrimaryConfirmed{Member: a.Member.ID, Status: s, LogEnd: a.Status.Received}, now())
	if !g.Usable() {
		f.c.Log.Warn("promoted member has lost its log", "group", g.name, "member", a.Member.ID, "position", s.Received.String(), "had", a.Status.Received.String())
		return false
	}
	g.history.Add(staleness.Sample{Position: s.Received, At: now()})
	return true
}

// recordPrimary writes the new primary to the group's record.
func (f *Daemon) recordPrimary(x context.Context, g *group) {
	for range 3 {
		f.mu.Lock()
		r, rev, ok := g.PrimaryRecord(now())
		f.mu.Unlock()
		if !ok || f.swap(x, g, r, rev) {
			return
		}
	}
}

// demote tells a replaced primary that it is one, as soon as it can be reached.
func (f *Daemon) demote(x context.Context, g *group, old string) {
	for range demoteTries {
		f.mu.Lock()
		m, ok := f.members[old]
		id, term := g.Primary()
		ok = ok && id != old
		f.mu.Unlock()
		if !ok {
			return
		}
		y, stop := context.WithTimeout(x, statusTime)
		c, _, err := f.c.Dialer.Dial(y, m)
		if err == nil {
			var o query.Reply
			o, err = c.Do(query.Demote{Term: term}, time.Now().Add(statusTime))
			c.Close()
			if err == nil && o.Failure != nil {
				err = o.Failure
			}
		}
		stop()
		f.c.Log.Info("replaced primary told", "group", g.name, "member", old, "term", term, "error", err)
		if err == nil {
			return
		}
		if !pause(x, demotePause) {
			return
		}
	}
}
