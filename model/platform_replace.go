package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// replacement is a replacement of the primary that is under way.
type replacement struct {
	daemon     *PlatformDaemon
	oldPrimary *PlatformMember
	// planned means that the old primary is replaced because it drains.
	planned   bool
	startedAt time.Time
	done      func()
}

// replacePrimary replaces the primary.
func (d *PlatformDaemon) replacePrimary(reason takeover.Reason, done func()) {
	if !d.group.MayReplace(d.world.now) {
		done()
		return
	}
	r := &replacement{daemon: d, oldPrimary: d.knownPrimary(), planned: reason == takeover.PrimaryDraining, startedAt: d.world.now}
	r.done = func() {
		d.group.Handle(takeover.ReplacementEnded{}, d.world.now)
		done()
	}
	d.group.Handle(takeover.ReplacementStarted{}, d.world.now)
	r.selectCandidate()
}

// selectCandidate polls the members until one may be promoted.
func (r *replacement) selectCandidate() {
	d, skip := r.daemon, r.oldPrimary
	if r.planned {
		skip = nil
	}
	t := d.world.now
	if d.world.Options.NoPromotionWait {
		t = t.Add(lease.PromotionCallTime + lease.Validity)
	}
	d.pollMembers(skip, func(l []takeover.MemberStatus) {
		if p, ok := r.promotedMember(l); ok && d.world.Options.AnyPromotedMember {
			d.closeConnections(r.oldPrimary)
			r.finish(p, p.Status)
			return
		}
		a, ready := d.group.SelectCandidate(takeover.SelectionInput{
			Statuses: l, RequestedAt: t, OldPrimary: r.oldPrimary.Name, Planned: r.planned, CatchUpExpired: d.world.now.Sub(r.startedAt) > catchUpTimeout,
			Nearer: func(catalog.Member, catalog.Member) bool { return false },
		})
		switch ready {
		case takeover.CandidateCatchingUp:
			d.after(promotionPollInterval, r.selectCandidate)
		case takeover.NoCandidate, takeover.CandidatePending:
			d.after(actionRetryDelay, r.done)
		case takeover.CandidateLeads:
			d.closeConnections(r.oldPrimary)
			r.finish(a, a.Status)
		default:
			r.recordIntent(a, l)
		}
	})
}

// promotedMember returns the first member that leads a later term than the known primary.
func (r *replacement) promotedMember(l []takeover.MemberStatus) (takeover.MemberStatus, bool) {
	_, term := r.daemon.group.Primary()
	for _, a := range l {
		if a.Err == nil && a.Status.Primary && a.Status.Term > term && a.Member.ID != r.oldPrimary.Name {
			return a, true
		}
	}
	return takeover.MemberStatus{}, false
}

// recordIntent records that the promotion of a member may be requested, and requests it.
func (r *replacement) recordIntent(a takeover.MemberStatus, l []takeover.MemberStatus) {
	d := r.daemon
	promote := func() {
		d.closeConnections(r.oldPrimary)
		r.requestPromotion(a, d.world.now)
	}
	if d.world.Options.NoIntent {
		promote()
		return
	}
	c, ok := d.group.AnnouncePromotion(takeover.Announcement{Target: a.Member.ID, Statuses: l}, d.world.now)
	if !ok && !d.world.Options.NoPromotionWait {
		d.after(actionRetryDelay, r.done)
		return
	}
	d.swapRecord(c, func(written bool) {
		if !written {
			d.after(actionRetryDelay, r.done)
			return
		}
		promote()
	})
}

// requestPromotion requests the promotion of a member until the member is
// primary or promotionTimeout has passed since the given time.
func (r *replacement) requestPromotion(a takeover.MemberStatus, since time.Time) {
	d := r.daemon
	m := d.world.member(a.Member.ID)
	token, ok := d.group.Promotion(m.Name, d.world.now)
	if d.world.Options.NoIntent || d.world.Options.NoPromotionWait {
		ok = d.group.MayReplace(d.world.now)
	}
	if !ok || d.world.now.Sub(since) > promotionTimeout {
		d.after(actionRetryDelay, r.done)
		return
	}
	d.group.Handle(takeover.PromotionRequested{Member: m.Name, Token: token}, d.world.now)
	d.world.callPromotionService(d, func() any { return d.world.handlePromotionRequest(d, m, token) }, func(v any, answered bool) {
		answer := takeover.NoPromotionAnswer
		if accepted, is := v.(bool); answered && is {
			answer = takeover.PromotionRejected
			if accepted {
				answer = takeover.PromotionAccepted
			}
		}
		d.group.Handle(takeover.PromotionAnswered{Member: m.Name, Answer: answer}, d.world.now)
		if answer == takeover.PromotionRejected {
			d.after(actionRetryDelay, r.done)
			return
		}
		r.awaitPromotion(a, answer, since, d.world.now)
	})
}

// awaitPromotion waits until the member leads as was requested, for as long as a promotion
// may take.
func (r *replacement) awaitPromotion(a takeover.MemberStatus, answer takeover.PromotionAnswer, since, answeredAt time.Time) {
	d := r.daemon
	m := d.world.member(a.Member.ID)
	if d.world.now.Sub(answeredAt) > lease.PromotionEffectTime {
		if answer == takeover.PromotionAccepted {
			d.after(actionRetryDelay, r.done)
			return
		}
		r.requestPromotion(a, since)
		return
	}
	d.requestStatus(m, func(s query.Status, ok bool) {
		effective := d.group.LeadsAsRequested(takeover.MemberStatus{Member: a.Member, Status: s})
		if d.world.Options.NoIntent {
			_, term := d.group.Primary()
			effective = s.Primary && s.Term > term
		}
		if ok && effective {
			r.finish(a, s)
			return
		}
		d.after(promotionPollInterval, func() { r.awaitPromotion(a, answer, since, answeredAt) })
	})
}

// finish ends a successful replacement: it records the new primary and demotes
// the old one.
func (r *replacement) finish(a takeover.MemberStatus, s query.Status) {
	d := r.daemon
	e := takeover.PrimaryConfirmed{Member: a.Member.ID, Status: s, LogEnd: a.Status.Received}
	if d.world.Options.NoPositionCheck {
		e.LogEnd = logpos.Position{}
	}
	d.group.Handle(e, d.world.now)
	d.lastPrimaryReply, d.primaryFailures = d.world.now, 0
	d.group.Handle(takeover.ReplacementEnded{}, d.world.now)
	d.recordPrimary(3, r.done)
	d.requestDemotion(r.oldPrimary, maxDemoteAttempts)
}
