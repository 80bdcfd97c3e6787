package fleet

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/freshness"
	"github.com/dragonflypick/dragonflypick/query"
)

// Timing of a primary's replacement.
const (
	// silenceTime is how long a primary may not answer before fresh connections
	// are tried.
	silenceTime = 300 * time.Millisecond
	// refusedTime is the same for a primary whose connections fail to open.
	refusedTime = 100 * time.Millisecond
	// probeTime bounds a fresh connection; probeGap lies between two of them.
	probeTime = 800 * time.Millisecond
	probeGap  = 100 * time.Millisecond
	// deadProbes is the number of fresh connections that fail in a row before a
	// primary is replaced, so that one lost packet doesn't do it.
	deadProbes = 2
	// statusTime bounds a question to a member.
	statusTime = 800 * time.Millisecond
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
func (f *Fleet) discover(x context.Context, g *group) {
	l := f.survey(x, g, "")
	f.mu.Lock()
	defer f.mu.Unlock()
	r, _, _ := g.tenure.Record()
	best := -1
	for i, a := range l {
		if a.err == nil && a.status.Primary && a.status.Term >= r.Term && (best < 0 || a.status.Term > l[best].status.Term) {
			best = i
		}
	}
	switch {
	case best >= 0 && (r.Target == "" || l[best].status.Term > r.Term):
		g.primary, g.term = l[best].member.ID, l[best].status.Term
	case r.Target == "" && r.Primary != "":
		g.primary, g.term = r.Primary, r.Term
	case r.Target != "":
		// A promotion was asked for and may still take effect, so the old primary
		// isn't used again.
		g.regressed = true
	default:
		return
	}
	g.found, g.silent = true, 0
	f.c.Log.Info("primary found", "group", g.name, "member", g.primary, "term", g.term, "pending", r.Target)
}

// watchPrimary returns the work that the primary's state asks for; f.mu is held.
func (f *Fleet) watchPrimary(g *group, t time.Time) func(context.Context, *group) {
	m, ok := f.members[g.primary]
	if ok && f.gone[m.ID].IsZero() && !m.Draining && !g.regressed {
		return f.probeDuty(g, m, t)
	}
	why := "removed"
	switch {
	case g.regressed:
		why = "unusable"
	case ok && m.Draining:
		why = "draining"
	}
	return func(x context.Context, g *group) { f.replace(x, g, why) }
}

// probeDuty returns the work of trying or replacing a silent primary; f.mu is
// held.
func (f *Fleet) probeDuty(g *group, m catalog.Member, t time.Time) func(context.Context, *group) {
	o := f.pools[m.ID]
	if o == nil {
		return nil
	}
	if g.silent >= deadProbes {
		return func(x context.Context, g *group) { f.replace(x, g, "silent") }
	}
	if failures, heard := o.Health(); t.Sub(heard) < silenceTime && (failures < deadProbes || t.Sub(heard) < refusedTime) {
		g.silent = 0
		return nil
	}
	return func(x context.Context, g *group) { f.probe(x, g, m) }
}

// probe tries fresh connections to a silent primary.
func (f *Fleet) probe(x context.Context, g *group, m catalog.Member) {
	var w errgroup.Group
	for i := range deadProbes {
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
func (f *Fleet) heard(g *group, m catalog.Member, err error) {
	f.mu.Lock()
	o := f.pools[m.ID]
	f.mu.Unlock()
	var q *query.Failure
	if err == nil || asFailure(err, &q) {
		if o != nil {
			o.Heard()
		}
		f.mu.Lock()
		g.silent = 0
		f.mu.Unlock()
		return
	}
	f.mu.Lock()
	g.silent++
	n := g.silent
	f.mu.Unlock()
	f.c.Log.Info("primary doesn't answer", "group", g.name, "member", m.ID, "probes", n, "error", err)
}

// replace has another member made primary.
func (f *Fleet) replace(x context.Context, g *group, why string) {
	f.mu.Lock()
	t := now()
	if !g.tenure.MayReplace(t) {
		f.mu.Unlock()
		return
	}
	old := g.primary
	g.replacing = t
	f.mu.Unlock()
	f.c.Log.Info("primary to be replaced", "group", g.name, "member", old, "term", g.term, "why", why)
	var w errgroup.Group
	var intended, ok bool
	var n answer
	w.Go(func() error {
		intended = f.intend(x, g)
		return nil
	})
	if why == "draining" {
		f.finish(x, old)
	}
	n, ok = f.choose(x, g, old, why == "draining")
	_ = w.Wait()
	if !ok && intended {
		f.recordPrimary(x, g)
	}
	if ok = ok && intended; ok {
		f.dropPool(old)
		ok = f.promote(x, g, n)
	}
	f.mu.Lock()
	g.replacing, g.silent = time.Time{}, 0
	f.mu.Unlock()
	if !ok {
		pause(x, backoff(1))
		return
	}
	f.c.Log.Info("primary replaced", "group", g.name, "member", n.member.ID, "term", g.term, "was", old, "took-ms", now().Sub(t).Milliseconds())
	f.recordPrimary(x, g)
	f.background(func(x context.Context) { f.demote(x, g, old) })
}

// pendingTarget stands in the record while a promotion may be asked for.
const pendingTarget = "pending"

// intend notes in the record that a promotion may be asked for from now on.
func (f *Fleet) intend(x context.Context, g *group) bool {
	f.mu.Lock()
	r, rev, _ := g.tenure.Record()
	ok := g.tenure.MayReplace(now())
	r.Primary, r.Term, r.Target = g.primary, max(g.term, r.Term), pendingTarget
	f.mu.Unlock()
	return ok && f.swap(x, g, r, rev)
}

// finish waits for the open transactions at a member.
func (f *Fleet) finish(x context.Context, member string) {
	f.mu.Lock()
	o := f.pools[member]
	f.mu.Unlock()
	for t := time.Now(); o != nil && o.Busy() > 0 && time.Since(t) < finishTime; {
		if !pause(x, leadPoll) {
			return
		}
	}
}

// leads reports whether a member leads already: by a promotion that was asked for
// earlier, or since the primary has come back under another ID with its log.
func (f *Fleet) leads(g *group, a answer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := a.status
	same := s.Term == g.term && a.member.ID != g.primary && !s.Received.Less(g.end) && !g.regressed
	return s.Primary && (s.Term > g.term || same)
}

// nearer reports whether a stands nearer to this host than b.
func (f *Fleet) nearer(a, b catalog.Member) bool {
	return f.distance(a.Region, a.FailureDomain) < f.distance(b.Region, b.FailureDomain)
}

// promote makes a member primary and waits until it leads.
func (f *Fleet) promote(x context.Context, g *group, a answer) bool {
	f.mu.Lock()
	r, _, _ := g.tenure.Record()
	if !g.tenure.MayReplace(now()) || r.Target == "" {
		f.mu.Unlock()
		return false
	}
	term := max(g.term, r.Term)
	f.mu.Unlock()
	if f.leads(g, a) {
		return f.lead(g, a.member, a.status)
	}
	t := time.Now()
	for time.Since(t) < leadTime && x.Err() == nil {
		f.mu.Lock()
		_, token, _ := g.tenure.Record()
		ok := g.tenure.MayReplace(now())
		// The promotion may take effect at any time from here on, so that the old
		// primary isn't used again, whatever the answer.
		g.regressed = g.regressed || ok
		f.mu.Unlock()
		if !ok {
			return false
		}
		y, stop := context.WithTimeout(x, promoteTime)
		done, err := f.c.Promoter.Promote(y, g.name, a.member.ID, f.c.Self.ID, token)
		stop()
		f.c.Log.Info("promotion asked for", "group", g.name, "member", a.member.ID, "token", token, "accepted", done, "error", err)
		if err == nil && !done {
			return false
		}
		if s, ok := f.awaitLead(x, a.member, term); ok {
			return f.lead(g, a.member, s)
		}
	}
	return false
}

// awaitLead waits until a member leads a term above the given one.
func (f *Fleet) awaitLead(x context.Context, m catalog.Member, term uint64) (query.Status, bool) {
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

// lead takes a member for the primary.
func (f *Fleet) lead(g *group, m catalog.Member, s query.Status) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g.primary, g.term, g.regressed = m.ID, s.Term, false
	g.end, g.ended = s.Received, now()
	g.history.Add(freshness.Sample{Position: s.Received, At: now()})
	return true
}

// recordPrimary writes the new primary to the group's record.
func (f *Fleet) recordPrimary(x context.Context, g *group) {
	for range 3 {
		f.mu.Lock()
		r, rev, _ := g.tenure.Record()
		ok := r.Holder.ID == f.c.Self.ID && !g.regressed
		r.Primary, r.Term, r.Target = g.primary, g.term, ""
		r.Prior = g.tenure.Waiting(now())
		f.mu.Unlock()
		if !ok || f.swap(x, g, r, rev) {
			return
		}
	}
}

// demote tells a replaced primary that it is one, as soon as it can be reached.
func (f *Fleet) demote(x context.Context, g *group, old string) {
	for range demoteTries {
		f.mu.Lock()
		m, ok := f.members[old]
		ok = ok && g.primary != old
		term := g.term
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
