package model

import (
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/drain"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/staleness"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// Timing of a daemon. The values follow package fleet, which does the same I/O
// between real daemons.
const (
	platformTickInterval         = 80 * time.Millisecond
	recordExchangeInterval       = 300 * time.Millisecond
	hostRenewInterval            = 3 * time.Second
	platformHostListPollInterval = time.Second
	holderPingInterval           = 400 * time.Millisecond
	// directStoreTimeout is how long the store has to answer before a request
	// goes through another daemon.
	directStoreTimeout = 400 * time.Millisecond
	// memberTimeout bounds requests for a member's status or position.
	memberTimeout = 800 * time.Millisecond
	// callTimeout bounds calls to other daemons, position queries and reads on
	// replicas.
	callTimeout    = time.Second
	logEndInterval = 250 * time.Millisecond
	// actionRetryDelay is the delay after a failed action.
	actionRetryDelay = 200 * time.Millisecond
	// catchUpTimeout is how long a replacement waits for replicas to catch up.
	catchUpTimeout = 500 * time.Millisecond
	// promotionTimeout is how long a replacement waits for a promotion; after
	// half of it the promotion is requested again.
	promotionTimeout      = 4 * time.Second
	promotionPollInterval = 30 * time.Millisecond
	demoteRetryDelay      = 300 * time.Millisecond
	maxDemoteAttempts     = 10
	// drainMargin is how much sooner the last new work is sent to a draining member.
	drainMargin = time.Second
)

// PlatformDaemon is a daemon that agrees on the group's holder and primary with
// others through the platform's store.
type PlatformDaemon struct {
	*Node
	world *PlatformWorld
	host  membership.Host
	// group decides on takeovers, view on hosts and owners; logEndHistory holds
	// the observed positions of the end of the log.
	group         *takeover.Group
	view          *membership.View
	logEndHistory staleness.History
	// actionPending means that an action of the group is under way,
	// confirmPending that the record is being requested from the store.
	actionPending  bool
	confirmPending bool
	// registered means that the store has the daemon's host record.
	registered bool
	draining   bool
	// drains holds the members that are to be returned to the platform.
	drains *drain.Notices
	// tickedAt is when the daemon last looked at the members; zero before the first tick.
	tickedAt time.Time
	// lastPrimaryReply is when the primary last answered this daemon.
	lastPrimaryReply time.Time
	// primaryFailures counts the calls to the primary that failed since then.
	primaryFailures int
	// pendingWrites counts the writes that run on the primary through this
	// daemon.
	pendingWrites int
	// positionChecked holds the connections on which the member's position was
	// compared.
	positionChecked map[*connection]bool
	// lastHolderReply is when the holder last answered this daemon.
	lastHolderReply time.Time
	// era is the store's era, and eraSince when this daemon or one that told it
	// first heard of it.
	era      uint64
	eraSince time.Time
}

// StartDaemon starts a daemon, at the given address or, if that is empty, at a
// new one.
func (w *PlatformWorld) StartDaemon(p Location, address string) *PlatformDaemon {
	id := "host-" + strconv.Itoa(w.hostsStarted)
	w.hostsStarted++
	if address == "" {
		address = id
	}
	d := &PlatformDaemon{
		Node: w.newNode(id, p), world: w, lastPrimaryReply: w.now, lastHolderReply: w.now, positionChecked: map[*connection]bool{},
		drains: drain.New(platformDrainTime - drainMargin),
		host:   membership.Host{ID: id, PeerAddress: address, FailureDomain: p.FailureDomain, Region: p.Region},
	}
	d.group, d.view = takeover.New(d.identity()), membership.New(d.host)
	w.Daemons = append(w.Daemons, d)
	for _, f := range []func(){d.tick, d.loadRecord, d.exchangeRecords, d.renewHostRecord, d.pollHostList, d.pingHolder, d.queryLogEnd} {
		d.after(time.Duration(w.random.Float64()*float64(platformTickInterval)), f)
	}
	return d
}

// ReplaceProcess kills the daemon; another process starts at its address after
// the given time.
func (d *PlatformDaemon) ReplaceProcess(after time.Duration) {
	d.Kill()
	d.world.After(after, func() { d.world.StartDaemon(d.Location, d.host.PeerAddress) })
}

// Drain makes the daemon drain: it takes no new callers and hands over the
// lease.
func (d *PlatformDaemon) Drain() {
	d.draining = true
	d.view.Handle(membership.DrainAnnounced{ID: d.Name}, d.world.now)
	d.host.Draining = true
	d.writeHostRecord()
}

// identity returns the daemon's identity as a holder.
func (d *PlatformDaemon) identity() lease.Holder {
	return lease.Holder{ID: d.host.ID, Address: d.host.PeerAddress}
}

// observeRecord passes a received record to the group. requestedAt is the time
// of the request to the store; it is zero if the record came without a request
// or from another daemon.
func (d *PlatformDaemon) observeRecord(a recordAnswer, requestedAt time.Time) {
	d.observeEra(a.position.Era, d.world.now)
	if d.world.Options.ValidityFromAnswer && !requestedAt.IsZero() {
		requestedAt = d.world.now
	}
	d.handleLeaseEvent(lease.RecordObserved{Record: a.record, Position: a.position, RequestedAt: requestedAt})
}

// observeEra handles the store's era, which had started by the given time.
func (d *PlatformDaemon) observeEra(era uint64, since time.Time) {
	if d.world.Options.NoEraWait {
		since = since.Add(-lease.SettleTime)
	}
	if era > d.era || era == d.era && since.Before(d.eraSince) {
		d.era, d.eraSince = era, since
		d.handleLeaseEvent(lease.EraObserved{Era: era, Since: since})
	}
}

func (d *PlatformDaemon) handleLeaseEvent(e lease.Event) {
	d.group.Handle(takeover.LeaseEvent{Event: e}, d.world.now)
}

// tick confirms the lease when this is due and performs the group's next
// action.
func (d *PlatformDaemon) tick() {
	n := d.world.now
	for _, m := range d.world.Members {
		d.drains.Observe(drain.Observed{Server: m.Name, Draining: m.draining, Known: !d.tickedAt.IsZero(), After: d.tickedAt}, n)
	}
	d.tickedAt = n
	if d.group.ConfirmDue(n) && !d.confirmPending {
		d.confirmPending = true
		d.handleLeaseEvent(lease.ConfirmAttempt{})
		d.confirmLease(func() { d.confirmPending = false })
	}
	if !d.actionPending {
		if a := d.group.NextAction(d.hostState(), n); a != nil {
			d.actionPending = true
			d.performAction(a, func() { d.actionPending = false })
		}
	}
	d.after(platformTickInterval, d.tick)
}

// member returns the member with the given name, or nil.
func (w *PlatformWorld) member(name string) *PlatformMember {
	for _, m := range w.Members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// owner returns the host that owns a member according to the daemon's view.
func (d *PlatformDaemon) owner(m *PlatformMember) (membership.Host, bool) {
	return d.view.Owner(&bundle.Member{Name: m.Name, Region: m.Location.Region, FailureDomain: m.Location.FailureDomain}, d.world.now)
}

// knownPrimary returns the last known primary; the first member if none is
// known.
func (d *PlatformDaemon) knownPrimary() *PlatformMember {
	id, _ := d.group.Primary()
	if m := d.world.member(id); m != nil {
		return m
	}
	return d.world.Members[0]
}

func (d *PlatformDaemon) hostState() takeover.HostState {
	n := d.world.now
	f := takeover.HostState{HostDraining: d.draining, Registered: d.registered, WorkPending: d.pendingWrites > 0}
	if r, ok := d.group.Record(); ok {
		f.TakeoverAllowed = d.view.TakeoverAllowed(r.Holder.ID, n)
	}
	m := d.knownPrimary()
	h, ok := d.owner(m)
	f.PreferredHolder = ok && h.ID == d.host.ID
	f.NearerHostExists = ok && d.Location.FailureDomain != m.Location.FailureDomain && h.FailureDomain == m.Location.FailureDomain
	f.FarFromPrimary = d.Location.Region != m.Location.Region
	f.PrimaryListed, f.PrimaryDraining = true, m.draining
	f.PrimaryHealth = &takeover.ConnectionHealth{Failures: d.primaryFailures, LastReply: d.lastPrimaryReply}
	return f
}

// maySendNewWork reports whether new work may be sent to the primary.
func (d *PlatformDaemon) maySendNewWork() bool {
	n := d.world.now
	return d.group.MaySendWork(n) && (d.world.Options.NoDrainBound || d.drains.MayStart(d.knownPrimary().Name, n))
}

// observePosition handles a position that a member reported.
func (d *PlatformDaemon) observePosition(m *PlatformMember, p logpos.Position, sent time.Time) {
	if !d.group.ReportsLogEnd(m.Name, d.world.now) {
		return
	}
	if !d.world.Options.NoPositionCheck {
		d.group.Handle(takeover.PositionReported{Member: m.Name, Position: p, RequestedAt: sent}, d.world.now)
	}
	if d.group.PrimaryUsable() && !d.group.PrimaryDoubted() {
		d.logEndHistory.Add(staleness.Sample{Position: p, At: sent})
	}
}

// randomDaemon returns a random daemon that is live according to the daemon's
// view, or nil.
func (d *PlatformDaemon) randomDaemon() *PlatformDaemon {
	var l []*PlatformDaemon
	for _, x := range d.view.Live(d.world.now) {
		if o := d.world.Daemon(x.ID); o != nil && o != d {
			l = append(l, o)
		}
	}
	if len(l) == 0 {
		return nil
	}
	return l[d.world.random.IntN(len(l))]
}

// loadRecord reads the group's record when the daemon starts, until the store or another daemon
// has told it.
func (d *PlatformDaemon) loadRecord() {
	if _, known := d.group.Record(); known {
		return
	}
	d.world.callStoreDirectly(d, d.world.readRecord, false, func(v any, ok bool) {
		if s, is := v.(recordAnswer); ok && is {
			d.observeRecord(s, time.Time{})
		}
	})
	d.after(platformHostListPollInterval, d.loadRecord)
}

// pollHostList reads the host records every platformHostListPollInterval.
func (d *PlatformDaemon) pollHostList() {
	d.world.callStoreDirectly(d, d.world.validHosts, false, func(v any, ok bool) {
		if l, is := v.([]membership.Host); ok && is {
			d.view.Handle(membership.ListReceived{Hosts: l}, d.world.now)
		}
	})
	d.after(platformHostListPollInterval, d.pollHostList)
}

// pingHolder pings a holder that hasn't answered for holderPingInterval, if the
// daemon is in the failure domain of the primary.
func (d *PlatformDaemon) pingHolder() {
	o := d.world.Daemon(d.group.Holder().ID)
	if o != nil && o != d && d.Location.FailureDomain == d.knownPrimary().Location.FailureDomain && d.world.now.Sub(d.lastHolderReply) >= holderPingInterval {
		d.callDaemon(o, "ping", callTimeout, func(reply func(any)) { reply(true) }, func(any, bool) {})
	}
	d.after(holderPingInterval, d.pingHolder)
}

// queryLogEnd requests the end of the log from the holder every logEndInterval.
func (d *PlatformDaemon) queryLogEnd() {
	d.after(logEndInterval, d.queryLogEnd)
	o := d.world.Daemon(d.group.Holder().ID)
	switch {
	case o == nil:
	case o == d:
		d.queryPosition(func(logpos.Position, time.Duration, bool) {})
	default:
		t := d.world.now
		d.callDaemon(o, "position", callTimeout, func(reply func(any)) {
			o.queryPosition(func(p logpos.Position, age time.Duration, ok bool) {
				if ok {
					reply(staleness.Sample{Position: p, At: time.Time{}.Add(age)})
				} else {
					reply(nil)
				}
			})
		}, func(v any, _ bool) {
			if s, ok := v.(staleness.Sample); ok {
				d.logEndHistory.Add(staleness.Sample{Position: s.Position, At: t.Add(-s.At.Sub(time.Time{}))})
			}
		})
	}
}

// queryPosition requests the position of the primary; only the holder may do
// so. age is the time since the request was sent.
func (d *PlatformDaemon) queryPosition(done func(p logpos.Position, age time.Duration, ok bool)) {
	m := d.knownPrimary()
	if !d.group.MaySendWork(d.world.now) {
		done(logpos.Position{}, 0, false)
		return
	}
	d.callMember(m, "position", callTimeout, func(reply func(any)) { reply(m.position()) }, func(v any, sent time.Time, ok bool) {
		p, is := v.(logpos.Position)
		if !ok || !is || !d.group.MaySendWork(d.world.now) {
			done(logpos.Position{}, 0, false)
			return
		}
		done(p, d.world.now.Sub(sent), true)
	})
}
