package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// perform carries a duty out; over is called when it has ended.
func (d *PlatformDaemon) perform(a takeover.Action, over func()) {
	n := d.h.now
	switch a := a.(type) {
	case takeover.AcquireLease:
		r, rev := d.core.AcquireRecord()
		if d.h.Options.NoPreviousHolders {
			r.PreviousHolders = nil
		}
		d.swap(r, rev, func(bool) { over() })
	case takeover.ReleaseLease:
		r, rev, ok := d.core.ReleaseRecord(n)
		if !ok {
			over()
			return
		}
		d.swap(r, rev, func(bool) { over() })
	case takeover.DiscoverPrimary:
		d.survey(nil, func(l []takeover.MemberStatus) {
			d.core.Handle(takeover.MembersPolled{Statuses: l}, d.h.now)
			over()
		})
	case takeover.TransferLease:
		h, ok := d.owner(d.believed())
		if !ok || h.ID == d.host.ID {
			d.after(hostedBackoff, over)
			return
		}
		r, rev := d.core.TransferRecord(lease.Holder{ID: h.ID, Address: h.PeerAddress}, n)
		d.swap(r, rev, func(bool) { over() })
	case takeover.PollPreviousHolders:
		d.askPrior(over)
	case takeover.RecordPrimary:
		d.settle(1, over)
	case takeover.ProbePrimary:
		d.probe(over)
	case takeover.ReplacePrimary:
		d.replace(a.Reason, over)
	}
}

// store has the store do something, by way of another daemon if it doesn't answer.
func (d *PlatformDaemon) store(handle func() any, write bool, done func(any, bool)) {
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
		o := d.other()
		if o == nil {
			done(nil, false)
			return
		}
		d.call(o, "store", hostedWork, func(reply func(any)) {
			d.h.ask(o, handle, write, func(v any, ok bool) {
				if !ok {
					v = nil
				}
				reply(v)
			})
		}, func(v any, ok bool) { done(v, ok && v != nil) })
	}
	d.h.ask(d, handle, write, first)
	d.after(hostedDirect, func() { first(nil, false) })
}

// confirm asks for the record.
func (d *PlatformDaemon) confirm(over func()) {
	asked := d.h.now
	d.store(d.h.readRecord, false, func(v any, ok bool) {
		if s, is := v.(storedRecord); ok && is {
			d.see(s.record, s.revision, asked)
		} else {
			d.tell(lease.ConfirmAttempt{Failed: true})
		}
		over()
	})
}

// swap writes the record on a revision.
func (d *PlatformDaemon) swap(r lease.Record, rev uint64, done func(won bool)) {
	asked := d.h.now
	d.store(func() any { return d.h.writeRecord(d, r, rev) }, true, func(v any, ok bool) {
		s, is := v.(storedRecord)
		if ok && is {
			d.see(s.record, s.revision, asked)
			done(s.won)
			return
		}
		d.after(hostedBackoff, func() { d.confirm(func() { done(false) }) })
	})
}

// survey asks the members but one for their status.
func (d *PlatformDaemon) survey(skip *PlatformMember, done func([]takeover.MemberStatus)) {
	var l []takeover.MemberStatus
	n := 0
	for _, m := range d.h.Members {
		if m == skip {
			continue
		}
		n++
		d.status(m, func(s query.Status, ok bool) {
			a := takeover.MemberStatus{Member: m.spec(), Status: s}
			if !ok {
				a.Err = errNoAnswer
			}
			if l = append(l, a); len(l) == n {
				done(l)
			}
		})
	}
}

// status asks a member for its status on a connection of its own.
func (d *PlatformDaemon) status(m *PlatformMember, done func(query.Status, bool)) {
	delete(d.links, m.Name+" status")
	d.h.do(&call{
		from: d.Node, to: m.Node, use: "status", timeout: hostedStatus,
		handle: func(reply func(any)) { reply(m.status()) },
		done: func(v any, ok bool) {
			s, is := v.(query.Status)
			done(s, ok && is)
		},
	})
}

// askPrior finds out whether the earlier holders have ended: then another process
// answers at their address.
func (d *PlatformDaemon) askPrior(over func()) {
	for _, p := range d.core.UnfinishedHolders(d.h.now) {
		for _, o := range d.h.Daemons {
			if o.host.PeerAddress == p.Address && o.host.ID != p.ID && o.alive {
				d.call(o, "ping", hostedWork, func(reply func(any)) { reply(true) }, func(_ any, ok bool) {
					if ok {
						d.tell(lease.ProcessEnded{ProcessID: p.ID})
					}
				})
			}
		}
	}
	d.after(hostedTick, over)
}

// probe tries fresh connections to the primary.
func (d *PlatformDaemon) probe(over func()) {
	m, left := d.believed(), takeover.MaxFailedProbes
	for range takeover.MaxFailedProbes {
		sent := d.h.now
		d.h.do(&call{
			from: d.Node, to: m.Node, use: "probe", timeout: hostedStatus,
			handle: func(reply func(any)) { reply(m.position()) },
			done: func(v any, ok bool) {
				d.contact(m, v, sent, ok)
				d.core.Handle(takeover.PrimaryProbed{Failed: !ok}, d.h.now)
				if left--; left == 0 {
					over()
				}
			},
		})
	}
}

// replacement is a replacement under way.
type replacement struct {
	d       *PlatformDaemon
	old     *PlatformMember
	planned bool
	began   time.Time
	over    func()
}

func (d *PlatformDaemon) replace(why takeover.Reason, over func()) {
	r := &replacement{d: d, old: d.believed(), planned: why == takeover.PrimaryDraining, began: d.h.now}
	r.over = func() {
		d.core.Handle(takeover.ReplacementEnded{}, d.h.now)
		over()
	}
	n, rev, ok := d.core.IntentRecord(d.h.now)
	if !ok {
		over()
		return
	}
	d.core.Handle(takeover.ReplacementStarted{}, d.h.now)
	if d.h.Options.NoIntent {
		r.choose()
		return
	}
	d.swap(n, rev, func(won bool) {
		if !won {
			d.after(hostedBackoff, r.over)
			return
		}
		r.choose()
	})
}

// choose waits for a member that may be promoted.
func (r *replacement) choose() {
	d, skip := r.d, r.old
	if r.planned {
		skip = nil
	}
	d.survey(skip, func(l []takeover.MemberStatus) {
		a, ready := d.core.SelectCandidate(takeover.SelectionInput{
			Statuses: l, OldPrimary: r.old.Name, Planned: r.planned, CatchUpExpired: d.h.now.Sub(r.began) > hostedCatchUp,
			Nearer: func(catalog.Member, catalog.Member) bool { return false },
		})
		switch ready {
		case takeover.CandidateCatchingUp:
			d.after(hostedLeadPoll, r.choose)
		case takeover.NoCandidate:
			d.settle(3, func() { d.after(hostedBackoff, r.over) })
		default:
			d.drop(r.old)
			r.promote(a, d.h.now)
		}
	})
}

// promote asks for the promotion until the member leads.
func (r *replacement) promote(a takeover.MemberStatus, since time.Time) {
	d := r.d
	m := d.h.member(a.Member.ID)
	token, term, ok := d.core.Promotion(d.h.now)
	if d.h.Options.NoIntent {
		_, rev, may := d.core.IntentRecord(d.h.now)
		token, ok = rev, may
		_, term = d.core.Primary()
	}
	switch {
	case !ok || d.h.now.Sub(since) > hostedLeadWait:
		d.after(hostedBackoff, r.over)
		return
	case d.core.AlreadyPrimary(a):
		r.led(a, a.Status)
		return
	}
	d.core.Handle(takeover.PromotionRequested{}, d.h.now)
	d.h.ask(d, func() any { return d.h.promote(d, m, token) }, true, func(v any, answered bool) {
		if done, is := v.(bool); answered && is && !done {
			d.after(hostedBackoff, r.over)
			return
		}
		r.await(a, term, since, d.h.now)
	})
}

// await waits until the member leads a term above the given one.
func (r *replacement) await(a takeover.MemberStatus, term uint64, since, asked time.Time) {
	d := r.d
	m := d.h.member(a.Member.ID)
	if d.h.now.Sub(asked) > hostedLeadWait/2 {
		r.promote(a, since)
		return
	}
	d.status(m, func(s query.Status, ok bool) {
		if ok && s.Primary && s.Term > term {
			r.led(a, s)
			return
		}
		d.after(hostedLeadPoll, func() { r.await(a, term, since, asked) })
	})
}

// led ends a replacement that has succeeded.
func (r *replacement) led(a takeover.MemberStatus, s query.Status) {
	d := r.d
	e := takeover.PrimaryConfirmed{Member: a.Member.ID, Status: s, LogEnd: a.Status.Received}
	if d.h.Options.NoPositionCheck {
		e.LogEnd = logpos.Position{}
	}
	d.core.Handle(e, d.h.now)
	d.heard, d.failures = d.h.now, 0
	d.core.Handle(takeover.ReplacementEnded{}, d.h.now)
	d.settle(3, r.over)
	d.demote(r.old, hostedDemotions)
}

// settle records the primary.
func (d *PlatformDaemon) settle(tries int, over func()) {
	n, rev, ok := d.core.PrimaryRecord(d.h.now)
	if !ok || tries == 0 {
		over()
		return
	}
	d.swap(n, rev, func(won bool) {
		if won {
			over()
			return
		}
		d.settle(tries-1, over)
	})
}

// demote tells a replaced primary that it is one.
func (d *PlatformDaemon) demote(m *PlatformMember, tries int) {
	id, term := d.core.Primary()
	if tries == 0 || id == m.Name {
		return
	}
	delete(d.links, m.Name+" demote")
	d.h.do(&call{
		from: d.Node, to: m.Node, use: "demote", timeout: hostedStatus,
		handle: func(reply func(any)) {
			m.demote(term)
			reply(true)
		},
		done: func(_ any, ok bool) {
			if !ok {
				d.after(hostedDemotion, func() { d.demote(m, tries-1) })
			}
		},
	})
}
