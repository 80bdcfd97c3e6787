package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/entry"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/query"
)

// Timing of routing.
const (
	// linkTimeout bounds a control call.
	linkTimeout = time.Second
	// callMargin is how long an answer may take beyond the request's own time,
	// so that the owner's refusal arrives.
	callMargin = 150 * time.Millisecond
	// holderPause is the pause before a group's holder is looked up again.
	holderPause = 20 * time.Millisecond
	// tries bounds the members that one read is offered to.
	tries = 6
	// stallTime is how long a host may answer no call at all until reads are sent
	// elsewhere; the way to another region and a statement take a fraction of it.
	stallTime = 350 * time.Millisecond
	// isolatedRetry is when a caller of a daemon that is cut off should come back,
	// by way of another one.
	isolatedRetry = 500 * time.Millisecond
	// Assumed round trips to a host by distance.
	nearTrip   = 500 * time.Microsecond
	regionTrip = 4 * time.Millisecond
	farTrip    = 60 * time.Millisecond
)

// target is a member and the host that owns it.
type target struct {
	member catalog.Member
	host   membership.Host
	cost   time.Duration
}

// Execute runs a request on the member that suits it best.
func (f *Daemon) Execute(x context.Context, r *query.Request, pin *entry.Pin) query.Response {
	t := time.Now()
	var o query.Response
	switch {
	case pin != nil:
		o = f.executePinned(x, r, pin)
	case r.Primary:
		o = f.executePrimary(x, r, t)
	default:
		o = f.executeRead(x, r, t)
	}
	if o.Failure != nil && (o.Failure.Reason == query.Moved || o.Failure.Reason == query.Unreachable) {
		o.Failure.Reason = f.final(r)
	}
	f.decided(r, &o, t)
	return o
}

// final returns the reason that a caller is told where no member could be
// reached.
func (f *Daemon) final(r *query.Request) query.Reason {
	if r.Stage == query.Later {
		return query.Aborted
	}
	return query.Overloaded
}

// executePinned runs a request where its transaction is open.
func (f *Daemon) executePinned(x context.Context, r *query.Request, pin *entry.Pin) query.Response {
	f.mu.Lock()
	h, ok := f.view.Host(pin.Host)
	f.mu.Unlock()
	r.Member, r.Transaction = pin.Member, pin.Transaction
	if !ok {
		return query.Response{Reply: query.Refusal(query.Aborted, "the transaction's owner is gone")}
	}
	o := f.send(x, h, r, r.Remaining)
	if o.Failure != nil && o.State != query.Open && r.Stage == query.Later {
		a := query.Request{Group: r.Group, Member: r.Member, Session: r.Session, Transaction: r.Transaction, Stage: query.Abandon, Remaining: linkTimeout}
		if o.Failure.Reason == query.InDoubt || o.Failure.Reason == query.Aborted {
			f.background(func(x context.Context) { f.send(x, h, &a, linkTimeout) })
		}
	}
	return o
}

// executePrimary runs a request at the group's holder.
func (f *Daemon) executePrimary(x context.Context, r *query.Request, t time.Time) query.Response {
	var o query.Response
	hint := ""
	for n := 0; ; n++ {
		left := r.Remaining - time.Since(t)
		if left <= 0 || n > 0 && left <= holderPause || x.Err() != nil {
			if o.Failure == nil {
				o.Reply = query.Refusal(query.Overloaded, "no holder of the group was found in time")
			}
			return o
		}
		f.mu.Lock()
		h, ok := f.holder(r.Group, hint)
		alone := f.isolated()
		f.mu.Unlock()
		if alone && h.ID != f.c.Self.ID {
			o.Failure = &query.Failure{Reason: query.Overloaded, Text: "this daemon is cut off from the others", RetryAfter: isolatedRetry}
			return o
		}
		if ok {
			o = f.send(x, h, r, left)
			if o.Failure == nil || o.Failure.Reason != query.Moved && o.Failure.Reason != query.Unreachable {
				return o
			}
			if r.Action == query.DoWrite && o.Failure.Reason == query.Unreachable && o.Member != "" {
				return o
			}
			hint = o.Holder
		}
		pause(x, holderPause)
	}
}

// holder returns the host that holds a group; f.mu is held.
func (f *Daemon) holder(name, hint string) (membership.Host, bool) {
	if hint != "" {
		if h, ok := f.view.Host(hint); ok {
			return h, true
		}
	}
	g := f.groups[name]
	if g == nil {
		return membership.Host{}, false
	}
	r, _, ok := g.Record()
	if !ok || r.Holder.ID == "" {
		return membership.Host{}, false
	}
	h, ok := f.view.Host(r.Holder.ID)
	return h, ok && !f.suspect(h.ID)
}

// suspect reports whether a host is passed over because it didn't answer; f.mu
// is held.
func (f *Daemon) suspect(id string) bool {
	return f.view.IsSuspect(id, time.Now())
}

// executeRead offers a read to the members in the order of predicted cost.
func (f *Daemon) executeRead(x context.Context, r *query.Request, t time.Time) query.Response {
	var o query.Response
	tried := map[string]int{}
	for range tries {
		left := r.Remaining - time.Since(t)
		if left <= 0 || x.Err() != nil {
			break
		}
		c, ok := f.choice(r, tried)
		if !ok {
			if !pause(x, min(holderPause, left)) {
				break
			}
			clear(tried)
			continue
		}
		if c.wait(r) && !pause(x, min(c.cost, left)) {
			break
		}
		tried[c.member.ID]++
		o = f.sendRead(x, c, r, t)
		if !again(o.Failure) || o.State == query.Failed {
			return o
		}
	}
	if o.Failure == nil {
		o.Reply = query.Refusal(query.Overloaded, "no member can serve the read now")
	}
	return o
}

// wait reports whether the member is to be given time to catch up first.
func (c target) wait(r *query.Request) bool { return c.cost > r.MaxAge/8 && c.cost < r.Remaining/2 }

// again reports whether a read may be offered to another member.
func again(q *query.Failure) bool {
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

// choice returns the member with the least predicted cost for a read.
func (f *Daemon) choice(r *query.Request, tried map[string]int) (target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := time.Now()
	g := f.group(r.Group)
	var best target
	for _, m := range f.members {
		if m.Group != r.Group || m.Draining || tried[m.ID] > 0 {
			continue
		}
		p, known := f.believed(g)
		primary := known && p.ID == m.ID
		h, ok := f.ownerOf(m, primary)
		if !ok {
			continue
		}
		age := r.MaxAge
		if primary {
			age = -1
		}
		c := f.distance(h.Region, h.FailureDomain) + f.table.of(m.ID).cost(m.Slots, age, n)
		c += time.Duration(rand.Int64N(int64(time.Millisecond)))
		if best.member.ID == "" || c < best.cost {
			best = target{member: m, host: h, cost: c}
		}
	}
	return best, best.member.ID != ""
}

// ownerOf returns the host that owns a member; f.mu is held.
func (f *Daemon) ownerOf(m catalog.Member, primary bool) (membership.Host, bool) {
	if primary {
		if h, ok := f.holder(m.Group, ""); ok && f.alive(h.ID) {
			return h, true
		}
	}
	return f.view.Owner(place(m), time.Now())
}

// distance returns the assumed round trip to a place.
func (f *Daemon) distance(region, domain string) time.Duration {
	switch {
	case domain == f.c.Self.FailureDomain:
		return nearTrip
	case region == f.c.Self.Region:
		return regionTrip
	default:
		return farTrip
	}
}

// sendRead sends a read to a member and notes what that tells of its load.
func (f *Daemon) sendRead(x context.Context, c target, r *query.Request, t time.Time) query.Response {
	q := *r
	q.Member = c.member.ID
	f.mu.Lock()
	l := f.table.of(c.member.ID)
	l.under++
	f.mu.Unlock()
	o := f.send(x, c.host, &q, r.Remaining-time.Since(t))
	f.mu.Lock()
	defer f.mu.Unlock()
	n := time.Now()
	l.under--
	l.queue, l.told = o.QueueWait, n
	if o.Failure == nil {
		if n.Sub(l.lagged) > loadMemory/3 {
			l.lag = 0
		}
		return o
	}
	switch o.Failure.Reason {
	case query.Lagging:
		l.lag, l.lagged = r.MaxAge+max(o.Failure.RetryAfter, holderPause), n
	case query.Unreachable, query.Moved, query.TooManyConnections:
		l.failed = n
	}
	return o
}

// send has a host run a request, this one included.
func (f *Daemon) send(x context.Context, h membership.Host, r *query.Request, left time.Duration) query.Response {
	q := *r
	q.Remaining = left
	if r.Stage == query.First {
		q.Transaction = r.Session + "#" + strconv.FormatUint(f.attempts.Add(1), 36)
	}
	o := f.sendNamed(x, h, &q, left)
	o.Owner, o.Transaction = h.ID, q.Transaction
	return o
}

// sendNamed has a host run a request whose transaction has its name.
func (f *Daemon) sendNamed(x context.Context, h membership.Host, r *query.Request, left time.Duration) query.Response {
	if h.ID == f.c.Self.ID {
		return f.serve(x, r)
	}
	y, stop := context.WithTimeout(x, left+callMargin)
	defer stop()
	if r.Action == query.DoRead && r.Stage != query.Later && !r.Primary {
		defer f.watchStall(h.ID, stop)()
	}
	var o query.Response
	err := f.node.Call(y, h, methodExecute, r, &o)
	if err == nil {
		f.mu.Lock()
		f.answered[h.ID] = time.Now()
		f.mu.Unlock()
		return o
	}
	o = query.Response{}
	o.Failure = &query.Failure{Reason: query.Unreachable, Text: err.Error()}
	var u *peer.UnsentError
	if errors.As(err, &u) {
		return o
	}
	switch {
	case r.Action == query.DoCommit, r.Stage == query.Single && r.Action == query.DoWrite:
		o.Failure.Reason = query.InDoubt
	case r.Stage == query.Later, r.Stage == query.First:
		o.Failure.Reason = query.Aborted
	}
	if r.Stage == query.First {
		a := query.Request{Group: r.Group, Member: r.Member, Session: r.Session, Transaction: r.Transaction, Stage: query.Abandon, Remaining: linkTimeout}
		f.background(func(x context.Context) { f.abandon(x, h, a) })
	}
	return o
}

// watchStall gives a call up if the host answers no call at all for a while, as
// one that is frozen does. The result ends the watch.
func (f *Daemon) watchStall(host string, giveUp func()) func() bool {
	start := time.Now()
	var t *time.Timer
	set := make(chan struct{})
	t = time.AfterFunc(stallTime, func() {
		<-set
		f.mu.Lock()
		a := f.answered[host]
		f.mu.Unlock()
		if a.Before(start) {
			giveUp()
			return
		}
		t.Reset(stallTime)
		start = a
	})
	close(set)
	return t.Stop
}

// abandon rolls back a transaction that may have been opened at a host.
func (f *Daemon) abandon(x context.Context, h membership.Host, r query.Request) {
	y, stop := context.WithTimeout(x, linkTimeout)
	defer stop()
	var o query.Response
	if err := f.node.Call(y, h, methodExecute, &r, &o); err != nil {
		f.c.Log.Debug("transaction not abandoned", "host", h.ID, "session", r.Session, "error", err)
	}
}

// liveOthers returns the other live hosts; f.mu is held.
func (f *Daemon) liveOthers() []membership.Host {
	return slices.DeleteFunc(f.view.Live(time.Now()), func(h membership.Host) bool { return h.ID == f.c.Self.ID })
}

// someLive returns a few other live hosts in random order.
func (f *Daemon) someLive() []membership.Host {
	f.mu.Lock()
	l := f.liveOthers()
	f.mu.Unlock()
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(len(l), askedPeers)]
}

// isolated reports whether this host is cut off from all others that the
// platform lists; f.mu is held.
func (f *Daemon) isolated() bool { return f.view.Isolated(time.Now()) }
