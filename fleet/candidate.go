package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// pollStatus requests the status of all members of a group except skip,
// concurrently.
func (f *Daemon) pollStatus(x context.Context, g *group, skip string) []takeover.MemberStatus {
	f.mu.Lock()
	var l []takeover.MemberStatus
	for _, m := range f.table.GroupMembers(g.name) {
		if m.ID != skip {
			l = append(l, takeover.MemberStatus{Member: m})
		}
	}
	f.mu.Unlock()
	var w errgroup.Group
	var mu sync.Mutex
	for i := range l {
		w.Go(func() error {
			s, err := f.memberStatus(x, l[i].Member)
			mu.Lock()
			defer mu.Unlock()
			l[i].Status, l[i].Err = s, err
			return nil
		})
	}
	_ = w.Wait()
	return l
}

// memberStatus requests a member's status on a new connection. It retries while
// the member is overloaded.
func (f *Daemon) memberStatus(x context.Context, m catalog.Member) (query.Status, error) {
	x, stop := context.WithTimeout(x, statusTimeout)
	defer stop()
	c, _, err := f.config.Dialer.Dial(x, m, "")
	if err != nil {
		return query.Status{}, err
	}
	defer c.Close()
	d, _ := x.Deadline()
	for {
		o, err := c.RunStep(query.GetStatus{}, d)
		if err != nil {
			return query.Status{}, err
		}
		if o.Failure == nil || o.Failure.Reason != query.Overloaded || !sleep(x, statusPollInterval) {
			return f.config.Decoder.Status(o)
		}
	}
}

// syncReplicas returns how many replicas must have a commit of a group before it is
// acknowledged, or false if no configuration is known.
func (f *Daemon) syncReplicas(g *group) (int, bool) {
	k := f.Catalog()
	if k == nil {
		return 0, false
	}
	return k.Groups[g.name].SyncReplicas, true
}

// selectPromotionTarget returns the member to promote. In a planned replacement it
// waits up to catchUpTimeout for a replica to hold the primary's complete log.
func (f *Daemon) selectPromotionTarget(x context.Context, g *group, old string, planned bool) (selection, bool) {
	t := time.Now()
	c := f.selectionInput(g, old, planned)
	n, skip := c.SyncReplicas, old
	if planned {
		skip = ""
	}
	for {
		c.RequestedAt = now()
		c.Statuses, c.CatchUpExpired = f.pollStatus(x, g, skip), time.Since(t) > catchUpTimeout
		for _, a := range c.Statuses {
			if a.Err != nil {
				f.config.Log.Info("member poll failed", "group", g.name, "member", a.Member.ID, "error", a.Err)
			}
		}
		f.mu.Lock()
		a, r := g.SelectCandidate(c)
		b, loses := g.DescribeBlock(c), g.MayLoseCommits(c, a)
		f.mu.Unlock()
		switch r {
		case takeover.CandidateLeads, takeover.CandidateReady:
			o := selection{MemberStatus: a, leads: r == takeover.CandidateLeads, statuses: c.Statuses}
			f.logSelection(g, n, o, b, loses)
			return o, true
		case takeover.CandidatePending:
			f.logPending(g, c)
			return selection{}, false
		case takeover.CandidateUnsafe, takeover.NoCandidate:
			f.giveUpReplacement(g, b, replacementTry{syncReplicas: n, planned: planned, statuses: c.Statuses})
			return selection{}, false
		}
		if !sleep(x, statusPollInterval) {
			return selection{}, false
		}
	}
}

// selectionInput returns the input of a selection but for the statuses.
func (f *Daemon) selectionInput(g *group, old string, planned bool) takeover.SelectionInput {
	n, _ := f.syncReplicas(g)
	f.mu.Lock()
	defer f.mu.Unlock()
	_, listed := f.table.Member(old)
	return takeover.SelectionInput{OldPrimary: old, OldPrimaryGone: !listed || !f.evictAt[old].IsZero(), Planned: planned, Nearer: f.nearer, SyncReplicas: n}
}

// hasCandidate reports whether a draining primary can be replaced, so that its work isn't held
// back in vain.
func (f *Daemon) hasCandidate(x context.Context, g *group, old string) bool {
	c := f.selectionInput(g, old, true)
	c.RequestedAt = now()
	c.Statuses = f.pollStatus(x, g, "")
	f.mu.Lock()
	_, r := g.SelectCandidate(c)
	b := g.DescribeBlock(c)
	f.mu.Unlock()
	switch r {
	case takeover.CandidatePending:
		f.logPending(g, c)
		return false
	case takeover.CandidateUnsafe, takeover.NoCandidate:
		f.giveUpReplacement(g, b, replacementTry{syncReplicas: c.SyncReplicas, planned: true, statuses: c.Statuses})
		return false
	default:
		return true
	}
}

// replacementTry is an attempt to replace a primary for which no member was found.
type replacementTry struct {
	syncReplicas int
	planned      bool
	statuses     []takeover.MemberStatus
}

// giveUpReplacement takes note that no member can be promoted now. Requests are refused at once
// if the primary can't serve them either: it has failed and no member is sure to have all
// commits, or it has been draining for too long.
func (f *Daemon) giveUpReplacement(g *group, b takeover.Block, a replacementTry) {
	f.mu.Lock()
	id, _ := g.Primary()
	open := f.drains.MayStart(id, now())
	f.mu.Unlock()
	switch {
	case a.planned && open, !a.planned && a.syncReplicas == 0:
	default:
		f.blockReplacement(g, b)
	}
	f.config.Log.Warn("no member can be promoted", "group", g.name, "primary", id, "planned", a.planned, "open", open, "candidate", b.Candidate, "position", b.Position.String(), "needed", b.Needed.String(), "statuses", describeStatuses(a.statuses))
}

// logPending logs that no member is promoted, since promotions that were requested before
// may yet take effect.
func (f *Daemon) logPending(g *group, c takeover.SelectionInput) {
	f.mu.Lock()
	r, _ := g.Record()
	f.mu.Unlock()
	f.config.Log.Warn("no member can be promoted while another promotion may take effect", "group", g.name, "primary", c.OldPrimary, "target", r.Target, "earlier-targets", r.EarlierTargets, "target-term", r.TargetTerm, "statuses", describeStatuses(c.Statuses))
}

// describeStatuses returns a word for each status: the member, its role, its term and its
// position.
func describeStatuses(l []takeover.MemberStatus) []string {
	o := make([]string, len(l))
	for i, a := range l {
		role := "replica"
		switch {
		case a.Err != nil:
			o[i] = a.Member.ID + ":unreachable"
			continue
		case a.Status.Primary:
			role = "primary"
		}
		o[i] = fmt.Sprintf("%s:%s:%d:%s", a.Member.ID, role, a.Status.Term, a.Status.Received)
	}
	return o
}

// logSelection logs the member that is to be promoted. syncReplicas is 0 with members on
// record if an operator has changed it, to go on although commits may be lost.
func (f *Daemon) logSelection(g *group, syncReplicas int, a selection, b takeover.Block, loses bool) {
	l := []any{"group", g.name, "member", a.Member.ID, "leads", a.leads, "term", a.Status.Term, "position", a.Status.Received.String(), "needed", b.Needed.String(), "missing", b.Missing, "statuses", describeStatuses(a.statuses)}
	if syncReplicas == 0 && loses {
		f.config.Log.Warn("member selected for promotion although acknowledged commits may be lost: commits wait for no replica any more", l...)
		return
	}
	f.config.Log.Info("member selected for promotion", l...)
}
