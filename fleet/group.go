package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/freshness"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/tenure"
)

// group is what a daemon knows of a database group. Its fields are guarded by
// the mutex of the Fleet.
type group struct {
	name    string
	tenure  *tenure.Tenure
	history freshness.History
	// primary and term are what the holder sends work to, empty until it has
	// found out; other daemons have them from the record.
	primary string
	term    uint64
	// found tells that the holder has asked the members for the primary.
	found bool
	// busy tells that the holder's work on the group is under way, confirming that
	// its record is being asked for.
	busy       bool
	confirming bool
	// replacing is when the replacement of the primary began, zero if none is.
	replacing time.Time
	// end is the furthest position that the primary told of, ended when it was
	// heard; a holder notes them.
	end   logpos.Position
	ended time.Time
	// nearBy is since when another host stands nearer to the primary, zero if
	// none does.
	nearBy time.Time
	// regressed tells that the primary isn't to be used: its log has lost entries,
	// or a promotion has been asked for.
	regressed bool
	// silent counts the fresh connections to the primary that failed in a row.
	silent int
	// read is when a replica was last asked to serve a read.
	read time.Time
	// asking tells that the holder is being asked for the log's end.
	asking chan struct{}
}

// self returns this process as a holder of groups.
func (f *Fleet) self() tenure.Party {
	return tenure.Party{ID: f.c.Self.ID, Address: f.c.Self.PeerAddress}
}

// group returns the state of a group; f.mu is held.
func (f *Fleet) group(name string) *group {
	g := f.groups[name]
	if g == nil {
		g = &group{name: name, tenure: tenure.New(f.self())}
		f.groups[name] = g
	}
	return g
}

// adopt takes over what the record says of the primary.
func (g *group) adopt(r tenure.Record) {
	if r.Term >= g.term && r.Primary != "" && (r.Primary != g.primary || r.Term != g.term) {
		g.primary, g.term = r.Primary, r.Term
	}
}

// serves reports whether the host may send new work to the primary now.
func (g *group) serves(now time.Time) bool {
	return g.tenure.Holds(now) && g.found && g.replacing.IsZero() && !g.regressed
}

// believed returns the primary as known without being its holder: that of the
// record, or the only member that calls itself so.
func (f *Fleet) believed(g *group) (catalog.Member, bool) {
	if m, ok := f.members[g.primary]; ok {
		return m, true
	}
	for _, m := range f.members {
		if m.Group == g.name && m.Primary {
			return m, true
		}
	}
	for _, m := range f.members {
		if m.Group == g.name {
			return m, true
		}
	}
	return catalog.Member{}, false
}

// place returns a member in the form that the host view spreads.
func place(m catalog.Member) *bundle.Member {
	return &bundle.Member{Name: m.ID, Region: m.Region, FailureDomain: m.FailureDomain}
}

// tend does a holder's work on all groups, or takes over groups without a
// live holder.
func (f *Fleet) tend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := now()
	for n := range f.groupNames() {
		g := f.group(n)
		if g.tenure.Confirm(t) && !g.confirming {
			g.confirming = true
			g.tenure.Handle(tenure.Asking{}, t)
			f.background(func(x context.Context) {
				f.confirm(x, g)
				f.mu.Lock()
				g.confirming = false
				f.mu.Unlock()
			})
		}
		if g.busy {
			continue
		}
		if w := f.duty(g, t); w != nil {
			g.busy = true
			f.background(func(x context.Context) {
				w(x, g)
				f.mu.Lock()
				g.busy = false
				f.mu.Unlock()
			})
		}
	}
}

// groupNames returns the groups that have members; f.mu is held.
func (f *Fleet) groupNames() map[string]bool {
	o := map[string]bool{}
	for _, m := range f.members {
		o[m.Group] = true
	}
	return o
}

// duty returns the work that a group needs of this host now, or nil; f.mu is
// held.
func (f *Fleet) duty(g *group, t time.Time) func(context.Context, *group) {
	r, _, known := g.tenure.Record()
	switch {
	case known && r.Holder.ID == f.c.Self.ID:
		return f.holderDuty(g, t)
	case f.releasable(g):
		return f.release
	case f.leaving.Load() || f.lease == 0 || known && !f.mayTake(r.Holder.ID):
		return nil
	}
	m, ok := f.believed(g)
	if !ok {
		return nil
	}
	if h, ok := f.view.Owner(place(m), time.Now()); ok && h.ID == f.c.Self.ID {
		return f.takeOver
	}
	return nil
}

// alive reports whether a host is live in the view; f.mu is held.
func (f *Fleet) alive(id string) bool {
	return f.view.Alive(id, time.Now())
}

// mayTake reports whether a group may be taken from its holder: the platform has
// given the holder up or it leaves, or it doesn't answer this host while most
// others do, so that it is not this host that is cut off; f.mu is held.
func (f *Fleet) mayTake(holder string) bool {
	h, ok := f.view.Host(holder)
	if !ok || h.Leaving {
		return true
	}
	return !f.alive(holder) && !f.isolated() && len(f.liveOthers()) >= len(f.view.Suspects(time.Now()))
}

// holderDuty returns the work of the holder; f.mu is held.
func (f *Fleet) holderDuty(g *group, t time.Time) func(context.Context, *group) {
	switch {
	case !g.tenure.Holds(t):
		return nil
	case !g.found:
		return f.discover
	case f.leaving.Load():
		return f.giveAway
	case len(g.tenure.Waiting(t)) > 0:
		return f.askPrior
	}
	if f.better(g, t) {
		return f.giveAway
	}
	return f.watchPrimary(g, t)
}

// gap returns how far a host stands from a member: in its failure domain, in its
// region, or further.
func gap(h membership.Host, m catalog.Member) int {
	switch {
	case h.FailureDomain == m.FailureDomain:
		return 0
	case h.Region == m.Region:
		return 1
	default:
		return 2
	}
}

// betterTime is how long another host has to stand nearer to the primary before
// it is given the group, so that short suspicions don't move it.
const betterTime = 2 * time.Second

// better reports whether another host has stood nearer to the primary for a
// while; f.mu is held.
func (f *Fleet) better(g *group, t time.Time) bool {
	m, ok := f.members[g.primary]
	if ok && !m.Draining && m.FailureDomain != f.c.Self.FailureDomain {
		h, ok := f.view.Owner(place(m), time.Now())
		if ok && gap(h, m) < gap(f.c.Self, m) {
			if g.nearBy.IsZero() {
				g.nearBy = t
			}
			return t.Sub(g.nearBy) > betterTime
		}
	}
	g.nearBy = time.Time{}
	return false
}

// key returns the store's key of a group.
func key(g *group) string { return groupPrefix + g.name }

// takeOver makes this host the holder.
func (f *Fleet) takeOver(x context.Context, g *group) {
	f.mu.Lock()
	r, rev, known := g.tenure.Record()
	n := g.tenure.Take()
	f.mu.Unlock()
	if !known {
		rev = 0
	}
	f.c.Log.Info("group taken over", "group", g.name, "from", r.Holder.ID, "revision", rev, "prior", n.Prior)
	f.swap(x, g, n, rev)
}

// swap writes a group's record if it still has the revision, and takes in what
// stands there afterwards.
func (f *Fleet) swap(x context.Context, g *group, r tenure.Record, rev uint64) bool {
	y, stop := context.WithTimeout(x, readTimeout)
	defer stop()
	v, err := json.Marshal(r)
	if err != nil {
		f.c.Log.Error("group record not written", "group", g.name, "error", err)
		return false
	}
	t := now()
	w := store.Write{Key: key(g), Value: v, Conditional: true, Revision: rev}
	n, err := f.write(y, w)
	var c *store.ConflictError
	switch {
	case err == nil:
		f.takeRecord(store.Item{Key: key(g), Value: v, Revision: n}, t)
		return true
	case errors.As(err, &c):
		f.takeRecord(c.Item, t)
	default:
		f.c.Log.Warn("group record not written", "group", g.name, "error", err)
		pause(x, backoff(1))
		f.confirm(x, g)
	}
	return false
}

// confirm asks the store for the record, or another daemon if the store doesn't
// answer.
func (f *Fleet) confirm(x context.Context, g *group) {
	y, stop := context.WithTimeout(x, readTimeout)
	defer stop()
	t := now()
	i, err := f.read(y, key(g))
	if err != nil {
		f.mu.Lock()
		g.tenure.Handle(tenure.Asking{Failed: true}, now())
		f.mu.Unlock()
		f.c.Log.Warn("group record not confirmed", "group", g.name, "error", err)
		return
	}
	if i.Revision > 0 {
		f.takeRecord(i, t)
	}
}

// askPrior finds out whether the earlier holders have ended.
func (f *Fleet) askPrior(x context.Context, g *group) {
	f.mu.Lock()
	l := g.tenure.Waiting(now())
	f.mu.Unlock()
	for _, p := range l {
		y, stop := context.WithTimeout(x, linkTimeout)
		err := f.node.Call(y, membership.Host{ID: p.ID, PeerAddress: p.Address}, methodPing, nil, nil)
		stop()
		var o *peer.OtherError
		if errors.As(err, &o) {
			f.c.Log.Info("earlier holder has ended", "group", g.name, "host", p.ID, "now", o.Host)
			f.mu.Lock()
			g.tenure.Handle(tenure.Ended{Host: p.ID}, now())
			f.mu.Unlock()
		}
	}
	pause(x, priorInterval)
}

// giveAway passes the group to another host, since this one leaves or another
// one stands nearer to the primary.
func (f *Fleet) giveAway(x context.Context, g *group) {
	f.mu.Lock()
	m, ok := f.believed(g)
	var h membership.Host
	if ok {
		h, ok = f.view.Owner(place(m), time.Now())
	}
	_, rev, _ := g.tenure.Record()
	r := g.tenure.Give(tenure.Party{ID: h.ID, Address: h.PeerAddress}, now())
	f.mu.Unlock()
	if !ok || h.ID == f.c.Self.ID {
		pause(x, backoff(1))
		return
	}
	f.c.Log.Info("group passed on", "group", g.name, "to", h.ID, "revision", rev)
	f.swap(x, g, r, rev)
}

// releasable reports whether this host is an earlier holder whose work has
// ended; f.mu is held.
func (f *Fleet) releasable(g *group) bool {
	r, rev, known := g.tenure.Record()
	if !known || rev == 0 || !slices.Contains(r.Prior, f.self()) {
		return false
	}
	for _, p := range f.closing {
		if p.Member().Group == g.name && p.Busy() > 0 {
			return false
		}
	}
	if o := f.pools[g.primary]; o != nil && o.Busy() > 0 {
		return false
	}
	return true
}

// release tells the new holder that this host sends no more work.
func (f *Fleet) release(x context.Context, g *group) {
	f.mu.Lock()
	g.tenure.Handle(tenure.Finished{}, now())
	r, ok := g.tenure.Released()
	_, rev, _ := g.tenure.Record()
	f.mu.Unlock()
	if ok {
		f.c.Log.Info("group released", "group", g.name, "holder", r.Holder.ID)
		f.swap(x, g, r, rev)
	}
}

// observe notes a position that the primary told of.
func (f *Fleet) observe(g *group, member string, p logpos.Position, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.table.of(member)
	l.position, l.heard = p, now()
	if member != g.primary || !g.tenure.Holds(now()) {
		return
	}
	if p.Less(g.end) && sent.After(g.ended) {
		if !g.regressed {
			f.c.Log.Warn("primary has lost entries", "group", g.name, "member", member, "position", p.String(), "had", g.end.String())
		}
		g.regressed = true
		return
	}
	if g.end.Less(p) {
		g.end, g.ended = p, now()
	}
	g.history.Add(freshness.Sample{Position: p, At: sent})
}

// guardPrimary returns what may stop a step to the primary right before it is
// sent.
func (f *Fleet) guardPrimary(g *group, r *query.Request) func() *query.Failure {
	return func() *query.Failure {
		f.mu.Lock()
		defer f.mu.Unlock()
		t := now()
		ok := g.serves(t)
		if r.Use == query.Later {
			ok = g.tenure.Finishing(t)
		}
		if !ok {
			return &query.Failure{Reason: query.Moved, Text: "the primary's holder has changed"}
		}
		return nil
	}
}
