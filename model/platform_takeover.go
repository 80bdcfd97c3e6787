package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// performAction performs an action of the group, and calls done when it has
// ended.
func (d *PlatformDaemon) performAction(a takeover.Action, done func()) {
	n := d.world.now
	switch a := a.(type) {
	case takeover.AcquireLease:
		c := d.group.Acquire(n)
		if d.world.Options.NoPreviousHolders {
			c.Record.PreviousHolders = nil
		}
		d.swapRecord(c, func(bool) { done() })
	case takeover.RewriteLease:
		d.swapRecord(d.group.Rewrite(n), func(bool) { done() })
	case takeover.ReleaseLease:
		c, ok := d.group.Release(n)
		if !ok {
			done()
			return
		}
		d.swapRecord(c, func(bool) { done() })
	case takeover.DiscoverPrimary:
		d.discoverPrimary(done)
	case takeover.TransferLease:
		h, ok := d.owner(d.knownPrimary())
		if !ok || h.ID == d.host.ID {
			d.after(actionRetryDelay, done)
			return
		}
		c := d.group.Transfer(lease.Holder{ID: h.ID, Address: h.PeerAddress}, n)
		d.swapRecord(c, func(bool) { done() })
	case takeover.PollPreviousHolders:
		d.pollPreviousHolders(done)
	case takeover.AwaitPromotion:
		if d.world.Options.NoPromotionWait && d.group.MayReplace(n) {
			d.replacePrimary(takeover.PrimaryUnusable, done)
			return
		}
		d.awaitInheritedPromotion(a.Member, done)
	case takeover.RecordPrimary:
		d.recordPrimary(1, done)
	case takeover.ProbePrimary:
		d.probePrimary(done)
	case takeover.ReplacePrimary:
		d.replacePrimary(a.Reason, done)
	}
}

// callStore sends a request to the store. If the store rejects it or doesn't
// answer within directStoreTimeout, it is sent through another daemon.
func (d *PlatformDaemon) callStore(handle func() any, write bool, done func(any, bool)) {
	answered := false
	first := func(v any, ok bool) {
		if answered {
			return
		}
		answered = true
		if ok {
			done(v, true)
			return
		}
		o := d.randomDaemon()
		if o == nil {
			done(nil, false)
			return
		}
		d.callDaemon(o, "store", callTimeout, func(reply func(any)) {
			d.world.callStoreDirectly(o, handle, write, func(v any, ok bool) {
				if !ok {
					v = nil
				}
				reply(v)
			})
		}, func(v any, ok bool) { done(v, ok && v != nil) })
	}
	d.world.callStoreDirectly(d, handle, write, first)
	d.after(directStoreTimeout, func() { first(nil, false) })
}

// confirmLease requests the record from the store.
func (d *PlatformDaemon) confirmLease(done func()) {
	requestedAt := d.world.now
	d.callStore(d.world.readRecord, false, func(v any, ok bool) {
		if s, is := v.(recordAnswer); ok && is {
			d.observeRecord(s, requestedAt)
		} else {
			d.handleLeaseEvent(lease.ConfirmAttempt{Failed: true})
		}
		done()
	})
}

// swapRecord changes the record if it is still the one that the change replaces. If
// there is no answer, the record is requested, since the write may have taken effect.
func (d *PlatformDaemon) swapRecord(c lease.Change, done func(written bool)) {
	requestedAt := d.world.now
	d.callStore(func() any { return d.world.writeRecord(d, c.Record, c.Revision) }, true, func(v any, ok bool) {
		s, is := v.(recordAnswer)
		if ok && is {
			d.observeRecord(s, requestedAt)
			done(s.written)
			return
		}
		d.after(actionRetryDelay, func() { d.confirmLease(func() { done(false) }) })
	})
}

// pollMembers requests the status of all members but skip.
func (d *PlatformDaemon) pollMembers(skip *PlatformMember, done func([]takeover.MemberStatus)) {
	var l []takeover.MemberStatus
	n := 0
	for _, m := range d.world.Members {
		if m == skip {
			continue
		}
		n++
		d.requestStatus(m, func(s query.Status, ok bool) {
			a := takeover.MemberStatus{Member: m.catalogMember(), Status: s}
			if !ok {
				a.Err = errNoAnswer
			}
			if l = append(l, a); len(l) == n {
				done(l)
			}
		})
	}
}

// discoverPrimary polls the members and determines the primary as soon as the answers
// suffice; later ones are handled by themselves.
func (d *PlatformDaemon) discoverPrimary(done func()) {
	var l []takeover.MemberStatus
	t, discovered := d.world.now, false
	for _, m := range d.world.Members {
		d.requestStatus(m, func(s query.Status, ok bool) {
			a := takeover.MemberStatus{Member: m.catalogMember(), Status: s}
			if !ok {
				a.Err = errNoAnswer
			}
			if discovered {
				d.group.Handle(takeover.MemberAnswered{MemberStatus: a}, d.world.now)
				return
			}
			if l = append(l, a); len(l) == len(d.world.Members) || d.group.MayDiscover(l, len(d.world.Members)) {
				discovered = true
				d.group.Handle(takeover.MembersPolled{Statuses: l, RequestedAt: t}, d.world.now)
				done()
			}
		})
	}
}

// requestStatus requests a member's status on a new connection.
func (d *PlatformDaemon) requestStatus(m *PlatformMember, done func(query.Status, bool)) {
	delete(d.connections, m.Name+" status")
	d.world.startCall(&call{
		from: d.Node, to: m.Node, purpose: "status", timeout: memberTimeout,
		handle: func(reply func(any)) { reply(m.status()) },
		done: func(v any, ok bool) {
			s, is := v.(query.Status)
			done(s, ok && is)
		},
	})
}

// pollPreviousHolders checks whether the processes of previous holders have
// ended: they have if another process answers at their address.
func (d *PlatformDaemon) pollPreviousHolders(done func()) {
	for _, p := range d.group.UnfinishedHolders(d.world.now) {
		for _, o := range d.world.Daemons {
			if o.host.PeerAddress == p.Address && o.host.ID != p.ID && o.alive {
				d.callDaemon(o, "ping", callTimeout, func(reply func(any)) { reply(true) }, func(_ any, ok bool) {
					if ok {
						d.handleLeaseEvent(lease.ProcessEnded{ProcessID: p.ID})
					}
				})
			}
		}
	}
	d.after(platformTickInterval, done)
}

// probePrimary sends MaxFailedProbes probes to the primary at once and passes
// their results to the group.
func (d *PlatformDaemon) probePrimary(done func()) {
	m, left := d.knownPrimary(), takeover.MaxFailedProbes
	for range takeover.MaxFailedProbes {
		sent := d.world.now
		d.world.startCall(&call{
			from: d.Node, to: m.Node, purpose: "probe", timeout: memberTimeout,
			handle: func(reply func(any)) { reply(m.position()) },
			done: func(v any, ok bool) {
				d.recordContact(m, v, sent, ok)
				d.group.Handle(takeover.PrimaryProbed{Failed: !ok}, d.world.now)
				if left--; left == 0 {
					done()
				}
			},
		})
	}
}

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

// awaitInheritedPromotion asks a member, whose promotion an earlier holder has requested,
// whether it leads, and then finds out about the primary.
func (d *PlatformDaemon) awaitInheritedPromotion(member string, done func()) {
	m := d.world.member(member)
	d.requestStatus(m, func(s query.Status, ok bool) {
		if !ok || !d.group.LeadsAsRequested(takeover.MemberStatus{Member: m.catalogMember(), Status: s}) {
			d.after(promotionPollInterval, done)
			return
		}
		d.group.Handle(takeover.PromotionEffective{}, d.world.now)
		d.discoverPrimary(done)
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

// recordPrimary writes the primary into the record.
func (d *PlatformDaemon) recordPrimary(attempts int, done func()) {
	c, ok := d.group.NamePrimary(d.world.now)
	if !ok || attempts == 0 {
		done()
		return
	}
	d.swapRecord(c, func(written bool) {
		if written {
			done()
			return
		}
		d.recordPrimary(attempts-1, done)
	})
}

// requestDemotion notifies a replaced primary that it has been replaced, with
// up to the given number of attempts.
func (d *PlatformDaemon) requestDemotion(m *PlatformMember, attempts int) {
	id, term := d.group.Primary()
	if attempts == 0 || id == m.Name {
		return
	}
	delete(d.connections, m.Name+" demote")
	d.world.startCall(&call{
		from: d.Node, to: m.Node, purpose: "demote", timeout: memberTimeout,
		handle: func(reply func(any)) {
			m.demote(term)
			reply(true)
		},
		done: func(_ any, ok bool) {
			if !ok {
				d.after(demoteRetryDelay, func() { d.requestDemotion(m, attempts-1) })
			}
		},
	})
}
