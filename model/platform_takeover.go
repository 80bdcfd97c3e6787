package model

import (
	"github.com/dragonflypick/dragonflypick/lease"
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
