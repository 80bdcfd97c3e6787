package model

import (
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/staleness"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// Timing of a daemon; the daemon's own driver has the same.
const (
	hostedTick      = 80 * time.Millisecond
	hostedExchange  = 300 * time.Millisecond
	hostedRenew     = 3 * time.Second
	hostedList      = time.Second
	hostedPing      = 400 * time.Millisecond
	hostedDirect    = 400 * time.Millisecond
	hostedStatus    = 800 * time.Millisecond
	hostedWork      = time.Second
	hostedFollow    = 250 * time.Millisecond
	hostedBackoff   = 200 * time.Millisecond
	hostedCatchUp   = 500 * time.Millisecond
	hostedLeadWait  = 4 * time.Second
	hostedLeadPoll  = 30 * time.Millisecond
	hostedDemotion  = 300 * time.Millisecond
	hostedDemotions = 10
)

// PlatformDaemon is a daemon on the users' platform.
type PlatformDaemon struct {
	*Node
	h    *PlatformWorld
	host membership.Host
	// core and view are the daemon's decisions, history what it knows of the log's
	// end.
	core    *takeover.Group
	view    *membership.View
	history staleness.History
	// busy tells that a duty is under way, confirming that the record is asked
	// for.
	busy       bool
	confirming bool
	registered bool
	leaving    bool
	// heard is when the primary last answered this daemon.
	heard time.Time
	// failures counts connections to it that failed since.
	failures int
	// working counts the writes under way at the primary.
	working int
	// compared are the connections to members whose position was compared.
	compared map[*link]bool
	// answered is when the holder last answered.
	answered time.Time
}

// StartDaemon starts a daemon at a place; at the address of an earlier one, if one is
// named.
func (h *PlatformWorld) StartDaemon(p Place, address string) *PlatformDaemon {
	id := "host-" + strconv.Itoa(h.names)
	h.names++
	if address == "" {
		address = id
	}
	d := &PlatformDaemon{
		Node: h.node(id, p), h: h, heard: h.now, answered: h.now, compared: map[*link]bool{},
		host: membership.Host{ID: id, PeerAddress: address, FailureDomain: p.Domain, Region: p.Region},
	}
	d.core, d.view = takeover.New(d.party()), membership.New(d.host)
	h.Daemons = append(h.Daemons, d)
	for _, f := range []func(){d.tick, d.exchange, d.renew, d.list, d.ping, d.follow} {
		d.after(time.Duration(h.r.Float64()*float64(hostedTick)), f)
	}
	return d
}

// ReplaceProcess kills the daemon; another process starts at its address.
func (d *PlatformDaemon) ReplaceProcess(after time.Duration) {
	d.Kill()
	d.h.After(after, func() { d.h.StartDaemon(d.Location, d.host.PeerAddress) })
}

// Drain has the daemon hand over what it holds.
func (d *PlatformDaemon) Drain() {
	d.leaving = true
	d.view.Handle(membership.DrainAnnounced{ID: d.Name}, d.h.now)
	d.host.Draining = true
	d.writeEntry()
}

func (d *PlatformDaemon) party() lease.Holder {
	return lease.Holder{ID: d.host.ID, Address: d.host.PeerAddress}
}

// see takes in the record; asked is when the store was asked for it, zero for news.
func (d *PlatformDaemon) see(r lease.Record, rev uint64, asked time.Time) {
	if d.h.Options.LateValidity && !asked.IsZero() {
		asked = d.h.now
	}
	d.tell(lease.RecordObserved{Record: r, Revision: rev, RequestedAt: asked})
}

func (d *PlatformDaemon) tell(e lease.Event) {
	d.core.Handle(takeover.LeaseEvent{Event: e}, d.h.now)
}

// tick does what the group needs of the daemon.
func (d *PlatformDaemon) tick() {
	n := d.h.now
	if d.core.ConfirmDue(n) && !d.confirming {
		d.confirming = true
		d.tell(lease.ConfirmAttempt{})
		d.confirm(func() { d.confirming = false })
	}
	if !d.busy {
		if a := d.core.NextAction(d.facts(), n); a != nil {
			d.busy = true
			d.perform(a, func() { d.busy = false })
		}
	}
	d.after(hostedTick, d.tick)
}

// member returns the member with a name.
func (h *PlatformWorld) member(name string) *PlatformMember {
	for _, m := range h.Members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// owner returns the host that owns a member in the daemon's view.
func (d *PlatformDaemon) owner(m *PlatformMember) (membership.Host, bool) {
	return d.view.Owner(&bundle.Member{Name: m.Name, Region: m.Location.Region, FailureDomain: m.Location.Domain}, d.h.now)
}

// believed returns the primary as far as is known.
func (d *PlatformDaemon) believed() *PlatformMember {
	id, _ := d.core.Primary()
	if m := d.h.member(id); m != nil {
		return m
	}
	return d.h.Members[0]
}

func (d *PlatformDaemon) facts() takeover.HostState {
	n := d.h.now
	f := takeover.HostState{HostDraining: d.leaving, Registered: d.registered, WorkPending: d.working > 0}
	if r, _, ok := d.core.Record(); ok {
		f.TakeoverAllowed = d.view.TakeoverAllowed(r.Holder.ID, n)
	}
	m := d.believed()
	h, ok := d.owner(m)
	f.PreferredHolder = ok && h.ID == d.host.ID
	f.NearerHostExists = ok && d.Location.Domain != m.Location.Domain && h.FailureDomain == m.Location.Domain
	f.PrimaryListed, f.PrimaryDraining = true, m.Draining
	f.PrimaryHealth = &takeover.ConnectionHealth{Failures: d.failures, LastReply: d.heard}
	return f
}

// observe notes a position that a member reported.
func (d *PlatformDaemon) observe(m *PlatformMember, p logpos.Position, sent time.Time) {
	if !d.core.ReportsLogEnd(m.Name, d.h.now) {
		return
	}
	if !d.h.Options.NoPositionCheck {
		d.core.Handle(takeover.PositionReported{Member: m.Name, Position: p, RequestedAt: sent}, d.h.now)
	}
	if d.core.PrimaryUsable() {
		d.history.Add(staleness.Sample{Position: p, At: sent})
	}
}

// exchange asks another daemon for its record.
func (d *PlatformDaemon) exchange() {
	if o := d.other(); o != nil {
		d.call(o, "exchange", hostedWork, func(reply func(any)) {
			r, rev, ok := o.core.Record()
			if !ok {
				reply(nil)
				return
			}
			reply(storedRecord{record: r, revision: rev})
		}, func(v any, _ bool) {
			if s, ok := v.(storedRecord); ok {
				d.see(s.record, s.revision, time.Time{})
			}
		})
	}
	d.after(hostedExchange/2+time.Duration(d.h.r.Float64()*float64(hostedExchange)), d.exchange)
}

// other returns a random live daemon in the own view.
func (d *PlatformDaemon) other() *PlatformDaemon {
	var l []*PlatformDaemon
	for _, x := range d.view.Live(d.h.now) {
		if o := d.h.Host(x.ID); o != nil && o != d {
			l = append(l, o)
		}
	}
	if len(l) == 0 {
		return nil
	}
	return l[d.h.r.IntN(len(l))]
}

// call makes a call to another daemon and notes whether it answered. Only calls
// that the daemon answers by itself tell that it doesn't.
func (d *PlatformDaemon) call(o *PlatformDaemon, use string, limit time.Duration, handle func(func(any)), done func(any, bool)) {
	d.h.do(&call{
		from: d.Node, to: o.Node, use: use, timeout: limit, handle: handle,
		done: func(v any, ok bool) {
			if ok {
				d.view.Handle(membership.HostAnswered{ID: o.host.ID}, d.h.now)
				if o.host.ID == d.core.Holder().ID {
					d.answered = d.h.now
				}
			} else if use == "ping" || use == "exchange" {
				d.view.Handle(membership.LinkFailed{ID: o.host.ID}, d.h.now)
			}
			done(v, ok)
		},
	})
}

// renew keeps the own entry in the store.
func (d *PlatformDaemon) renew() {
	d.writeEntry()
	d.after(hostedRenew, d.renew)
}

func (d *PlatformDaemon) writeEntry() {
	t := d.h.now
	d.h.ask(d, func() any {
		known := d.h.hosts[d.host.ID] == d.host
		d.h.leases[d.host.ID], d.h.hosts[d.host.ID] = t, d.host
		if !known {
			d.h.spreadHosts()
		}
		return true
	}, true, func(_ any, ok bool) { d.registered = d.registered || ok })
}

// list reads the entries of all hosts.
func (d *PlatformDaemon) list() {
	d.h.ask(d, d.h.listed, false, func(v any, ok bool) {
		if l, is := v.([]membership.Host); ok && is {
			d.view.Handle(membership.ListReceived{Hosts: l}, d.h.now)
		}
	})
	d.after(hostedList, d.list)
}

// ping asks a silent holder whether it lives.
func (d *PlatformDaemon) ping() {
	o := d.h.Host(d.core.Holder().ID)
	if o != nil && o != d && d.Location.Domain == d.believed().Location.Domain && d.h.now.Sub(d.answered) >= hostedPing {
		d.call(o, "ping", hostedWork, func(reply func(any)) { reply(true) }, func(any, bool) {})
	}
	d.after(hostedPing, d.ping)
}

// follow asks the holder for the end of the log.
func (d *PlatformDaemon) follow() {
	d.after(hostedFollow, d.follow)
	o := d.h.Host(d.core.Holder().ID)
	switch {
	case o == nil:
	case o == d:
		d.refresh(func(logpos.Position, time.Duration, bool) {})
	default:
		t := d.h.now
		d.call(o, "position", hostedWork, func(reply func(any)) {
			o.refresh(func(p logpos.Position, age time.Duration, ok bool) {
				if ok {
					reply(staleness.Sample{Position: p, At: time.Time{}.Add(age)})
				} else {
					reply(nil)
				}
			})
		}, func(v any, _ bool) {
			if s, ok := v.(staleness.Sample); ok {
				d.history.Add(staleness.Sample{Position: s.Position, At: t.Add(-s.At.Sub(time.Time{}))})
			}
		})
	}
}

// refresh has a holder ask its primary for its position.
func (d *PlatformDaemon) refresh(done func(p logpos.Position, age time.Duration, ok bool)) {
	m := d.believed()
	if !d.core.MaySendWork(d.h.now) {
		done(logpos.Position{}, 0, false)
		return
	}
	d.talk(m, "position", hostedWork, func(reply func(any)) { reply(m.position()) }, func(v any, sent time.Time, ok bool) {
		p, is := v.(logpos.Position)
		if !ok || !is || !d.core.MaySendWork(d.h.now) {
			done(logpos.Position{}, 0, false)
			return
		}
		done(p, d.h.now.Sub(sent), true)
	})
}

// talk makes a call to a member; the first on a connection compares its position.
func (d *PlatformDaemon) talk(m *PlatformMember, use string, limit time.Duration, handle func(func(any)), done func(v any, sent time.Time, ok bool)) {
	if l := d.links[m.Name+" "+use]; l == nil || !d.compared[l] {
		sent := d.h.now
		d.h.do(&call{
			from: d.Node, to: m.Node, use: use, timeout: hostedStatus,
			handle: func(reply func(any)) { reply(m.position()) },
			done: func(v any, ok bool) {
				d.contact(m, v, sent, ok)
				if ok {
					d.compared[d.links[m.Name+" "+use]] = true
					d.talkOn(m, use, limit, handle, done)
				} else {
					done(nil, sent, false)
				}
			},
		})
		return
	}
	d.talkOn(m, use, limit, handle, done)
}

func (d *PlatformDaemon) talkOn(m *PlatformMember, use string, limit time.Duration, handle func(func(any)), done func(v any, sent time.Time, ok bool)) {
	sent := d.h.now
	if !d.core.MaySendWork(sent) {
		done(nil, sent, false)
		return
	}
	d.h.do(&call{
		from: d.Node, to: m.Node, use: use, timeout: limit, handle: handle,
		done: func(v any, ok bool) {
			d.contact(m, v, sent, ok)
			done(v, sent, ok)
		},
	})
}

// contact notes whether a member answered, and the position that it told.
func (d *PlatformDaemon) contact(m *PlatformMember, v any, sent time.Time, ok bool) {
	if m == d.believed() {
		d.failures++
		if ok {
			d.heard, d.failures = d.h.now, 0
		}
	}
	switch v := v.(type) {
	case logpos.Position:
		d.observe(m, v, sent)
	case ran:
		d.observe(m, v.position, sent)
	}
}

// drop breaks all connections to a member.
func (d *PlatformDaemon) drop(m *PlatformMember) {
	for _, use := range []string{"work", "position"} {
		k := m.Name + " " + use
		l := d.links[k]
		if l == nil {
			continue
		}
		for _, c := range append([]*call(nil), l.waiting...) {
			d.h.lose(c, k)
		}
		delete(d.links, k)
	}
}
