package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/entry"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/storecopy"
)

// Timing and limits of routing.
const (
	// controlTimeout bounds a control call to another daemon.
	controlTimeout = time.Second
	// replyMargin is how long a call may take beyond the request's own time limit,
	// so that a refusal by the owner still arrives.
	replyMargin = 150 * time.Millisecond
	// holderRetryDelay is the delay before a group's holder is looked up again.
	holderRetryDelay = 20 * time.Millisecond
	// maxReadAttempts bounds the attempts to find a member for one read.
	maxReadAttempts = 6
	// stallTimeout is how long a host may answer no request at all before reads
	// are sent elsewhere. A round trip to another region and a statement take a
	// fraction of it.
	stallTimeout = 350 * time.Millisecond
	// isolatedRetryAfter is the retry-after interval of a request that is refused
	// because this daemon is cut off; the caller should retry through another
	// daemon.
	isolatedRetryAfter = 500 * time.Millisecond
	// lostRetryAfter is the least retry-after interval of a request whose group can't get
	// a holder before the store is back; outages take seconds.
	lostRetryAfter = 500 * time.Millisecond
	// Assumed round trips to a host, by its location.
	sameDomainRTT  = 500 * time.Microsecond
	sameRegionRTT  = 4 * time.Millisecond
	otherRegionRTT = 60 * time.Millisecond
)

// readTarget is a member that may serve a read, the host that owns it and the
// predicted time that the read takes there.
type readTarget struct {
	member catalog.Member
	host   membership.Host
	cost   time.Duration
}

// Execute runs a request: at the owner of its open transaction, at the primary,
// or on the member with the least predicted cost.
func (f *Daemon) Execute(x context.Context, r *query.Request, pin *entry.Pin) query.Response {
	t := time.Now()
	var o query.Response
	if q := f.refuseShort(r); q != nil {
		o = query.Response{Reply: query.Reply{Failure: q}, RefusedFor: reasonProcessor}
		f.recordOverload(r, &o, t)
		return o
	}
	if !f.contain("request", func() { o = f.routeWithinRoom(x, r, pin, t) }) {
		o = query.Response{Reply: query.Reply{Failure: lostFailure(r, "the request ended in a panic")}}
	}
	o.MayHaveRun = o.MayHaveRun || mayHaveRun(o.Failure)
	if o.Failure != nil && (o.Failure.Reason == query.Moved || o.Failure.Reason == query.Unreachable) {
		o.Failure.Reason = f.finalReason(r)
	}
	if o.RefusedFor != "" {
		f.recordOverload(r, &o, t)
		return o
	}
	f.recordOutcome(r, &o, t)
	return o
}

// mayHaveRun reports whether a member may have received a request that failed.
func mayHaveRun(q *query.Failure) bool {
	if q == nil {
		return true
	}
	switch q.Reason {
	case query.Overloaded, query.Lagging, query.TooManyConnections, query.WrongMember, query.Moved:
		return false
	default:
		return true
	}
}

// route sends a request to where it can run.
func (f *Daemon) route(x context.Context, r *query.Request, pin *entry.Pin, t time.Time) query.Response {
	switch {
	case pin != nil:
		return f.executePinned(x, r, pin)
	case r.Primary:
		return f.executePrimary(x, r, t)
	default:
		return f.executeRead(x, r, t)
	}
}

// finalReason returns the reason that the caller receives if no member could be
// reached.
func (f *Daemon) finalReason(r *query.Request) query.Reason {
	if r.Stage == query.Later {
		return query.Aborted
	}
	return query.Overloaded
}

// executePinned runs a request at the host where its transaction is open. If the
// request is aborted or its outcome is in doubt, the transaction is rolled back
// there.
func (f *Daemon) executePinned(x context.Context, r *query.Request, pin *entry.Pin) query.Response {
	f.mu.Lock()
	h, ok := f.view.Host(pin.Host)
	f.mu.Unlock()
	r.Member, r.Transaction = pin.Member, pin.Transaction
	if !ok {
		return query.Response{Reply: query.Refusal(query.Aborted, "the transaction's owner is gone")}
	}
	o := f.executeAt(x, h, r, r.Remaining)
	if o.Failure != nil && o.State != query.Open && r.Stage == query.Later {
		a := query.Request{Group: r.Group, Member: r.Member, Session: r.Session, Transaction: r.Transaction, Stage: query.Abandon, Remaining: controlTimeout}
		if o.Failure.Reason == query.InDoubt || o.Failure.Reason == query.Aborted {
			f.spawn(func(x context.Context) { f.executeAt(x, h, &a, controlTimeout) })
		}
	}
	return o
}

// executePrimary runs a request at the group's holder. It retries after Moved and
// Unreachable, except for a write that may have reached a member.
func (f *Daemon) executePrimary(x context.Context, r *query.Request, t time.Time) (o query.Response) {
	hint, mayHaveRunBefore := "", false
	defer func() { o.MayHaveRun = mayHaveRunBefore }()
	for n := 0; ; n++ {
		left := r.Remaining - time.Since(t)
		if left <= 0 || n > 0 && left <= holderRetryDelay || x.Err() != nil {
			if o.Failure == nil {
				o.Reply = query.Refusal(query.Overloaded, "no holder of the group was found in time")
				o.Unavailable = true
			}
			return o
		}
		h, why := f.findHolder(r.Group, hint)
		switch why {
		case holderOutOfReach:
			o.Failure = &query.Failure{Reason: query.Overloaded, Text: "this daemon is cut off from the others", RetryAfter: isolatedRetryAfter}
			return o
		case holderLost:
			o.Failure = &query.Failure{Reason: query.Overloaded, Text: "the group has no holder, and the store can't be reached", RetryAfter: lostRetryAfter + rand.N(lostRetryAfter)}
			return o
		case holderFound:
			if q := f.refuseFullPrimary(r, left); q != nil {
				return query.Response{Reply: query.Reply{Failure: q}, RefusedFor: reasonServer}
			}
			o = f.executeAt(x, h, r, left)
			mayHaveRunBefore = mayHaveRunBefore || mayHaveRun(o.Failure)
			if o.Failure == nil || o.Failure.Reason != query.Moved && o.Failure.Reason != query.Unreachable {
				return o
			}
			if r.Action == query.ActionWrite && o.Failure.Reason == query.Unreachable && o.Member != "" {
				return o
			}
			hint = o.Holder
		}
		sleep(x, holderRetryDelay)
	}
}

// holderSearch is the result of looking for a group's holder.
type holderSearch int

const (
	holderFound holderSearch = iota
	// holderUnknown means that another one may become known soon.
	holderUnknown
	// holderOutOfReach means that this daemon is cut off from all others.
	holderOutOfReach
	// holderLost means that the holder doesn't answer, and that this daemon can't learn of
	// another one, since it hears nothing of the store.
	holderLost
)

// findHolder looks for the host that holds a group, as holderHost does.
func (f *Daemon) findHolder(name, hint string) (membership.Host, holderSearch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, known := f.holderHost(name, hint)
	switch {
	case f.isolated() && h.ID != f.config.Self.ID:
		return h, holderOutOfReach
	case known:
		return h, holderFound
	}
	if age, ok := f.copy.Age(now()); ok && storecopy.IsLate(f.currentOverlay(), age) {
		return h, holderLost
	}
	return h, holderUnknown
}

// holderHost returns the host with ID hint if this daemon's view contains it, else
// the host that holds the group according to its record; f.mu is held.
func (f *Daemon) holderHost(name, hint string) (membership.Host, bool) {
	if hint != "" {
		if h, ok := f.view.Host(hint); ok {
			return h, true
		}
	}
	g := f.groups[name]
	if g == nil {
		return membership.Host{}, false
	}
	r, ok := g.Record()
	if !ok || r.Holder.ID == "" {
		return membership.Host{}, false
	}
	h, ok := f.view.Host(r.Holder.ID)
	return h, ok && !f.isSuspect(h.ID)
}

// executeRead sends a read to one member after the other, in the order of
// predicted cost, until one serves it.
func (f *Daemon) executeRead(x context.Context, r *query.Request, t time.Time) (o query.Response) {
	if f.config.Features.UnevenMembers {
		return f.executePlacedRead(x, r, t)
	}
	mayHaveRunBefore := false
	defer func() { o.MayHaveRun = mayHaveRunBefore }()
	tried := map[string]int{}
	for range maxReadAttempts {
		left := r.Remaining - time.Since(t)
		if left <= 0 || x.Err() != nil {
			break
		}
		if q := f.refuseFullRead(r, left); q != nil {
			return query.Response{Reply: query.Reply{Failure: q}, RefusedFor: reasonServer}
		}
		c, ok := f.cheapestTarget(r, tried, rand.Float64)
		if !ok {
			if !sleep(x, min(holderRetryDelay, left)) {
				break
			}
			clear(tried)
			continue
		}
		if c.shouldWait(r) && !sleep(x, min(c.cost, left)) {
			break
		}
		tried[c.member.ID]++
		o = f.executeReadAt(x, c, r, t)
		mayHaveRunBefore = mayHaveRunBefore || mayHaveRun(o.Failure)
		if !retryElsewhere(o.Failure) || o.State == query.Failed {
			return o
		}
	}
	if o.Failure == nil {
		o.Reply = query.Refusal(query.Overloaded, "no member can serve the read now")
	}
	return o
}

// shouldWait reports whether the read is to be delayed first, so that the
// member can catch up.
func (c readTarget) shouldWait(r *query.Request) bool {
	return c.cost > r.MaxAge/8 && c.cost < r.Remaining/2
}

// retryElsewhere reports whether a read that failed may be sent to another
// member.
func retryElsewhere(q *query.Failure) bool {
	if q == nil {
		return false
	}
	switch q.Reason {
	case query.Lagging, query.Moved, query.Unreachable, query.TooManyConnections, query.WrongMember, query.Overloaded:
		return true
	default:
		return false
	}
}

// cheapestTarget returns the member with the least predicted cost for a read
// among those not yet tried.
func (f *Daemon) cheapestTarget(r *query.Request, tried map[string]int, random func() float64) (readTarget, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best readTarget
	for _, c := range f.readTargets(r, tried, random) {
		if best.member.ID == "" || c.cost < best.cost {
			best = c
		}
	}
	return best, best.member.ID != ""
}

// readTargets returns the members not yet tried that may serve a read, with their
// predicted costs and up to 1 ms of jitter; f.mu is held.
func (f *Daemon) readTargets(r *query.Request, tried map[string]int, random func() float64) []readTarget {
	n := time.Now()
	var o []readTarget
	for _, m := range f.table.GroupMembers(r.Group) {
		if m.Draining || tried[m.ID] > 0 {
			continue
		}
		p, known := f.table.AssumedPrimary(r.Group)
		primary := known && p.ID == m.ID
		h, ok := f.ownerOf(m, primary)
		if !ok {
			continue
		}
		age := r.MaxAge
		if primary {
			age = -1
		}
		c := f.assumedRTT(h.Region, h.FailureDomain) + f.loads.member(m.ID).cost(m.Slots, age, n)
		c += time.Duration(random() * float64(time.Millisecond))
		o = append(o, readTarget{member: m, host: h, cost: c})
	}
	return o
}

// ownerOf returns the host that owns a member, for a primary the group's holder. A
// primary whose holder can't be reached has no owner until it is taken over: no
// other host may use it. f.mu is held.
func (f *Daemon) ownerOf(m catalog.Member, primary bool) (membership.Host, bool) {
	if primary {
		if h, ok := f.holderHost(m.Group, ""); ok && f.isLive(h.ID) {
			return h, true
		}
		if r, ok := f.group(m.Group).Record(); ok && r.Holder.ID != "" && r.Holder.ID != f.config.Self.ID {
			return membership.Host{}, false
		}
	}
	return f.table.Owner(m, time.Now())
}

// assumedRTT returns the assumed round trip to a location.
func (f *Daemon) assumedRTT(region, domain string) time.Duration {
	switch {
	case domain == f.config.Self.FailureDomain:
		return sameDomainRTT
	case region == f.config.Self.Region:
		return sameRegionRTT
	default:
		return otherRegionRTT
	}
}

// executeReadAt runs a read at the owner of a member and records the load of the
// member that the reply shows.
func (f *Daemon) executeReadAt(x context.Context, c readTarget, r *query.Request, t time.Time) query.Response {
	q := *r
	q.Member = c.member.ID
	f.mu.Lock()
	l := f.loads.member(c.member.ID)
	l.inFlight++
	f.mu.Unlock()
	o := f.executeAt(x, c.host, &q, r.Remaining-time.Since(t))
	f.mu.Lock()
	defer f.mu.Unlock()
	n := time.Now()
	l.inFlight--
	l.queueWait, l.queueWaitAt = o.QueueWait, n
	if o.Failure == nil {
		if n.Sub(l.lagAt) > loadMaxAge/3 {
			l.lag = 0
		}
		return o
	}
	switch o.Failure.Reason {
	case query.Lagging:
		l.lag, l.lagAt = r.MaxAge+max(o.Failure.RetryAfter, holderRetryDelay), n
	case query.Unreachable, query.Moved, query.TooManyConnections:
		l.unreachableAt = n
	}
	return o
}
