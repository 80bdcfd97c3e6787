package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/tenure"
)

// Timing of the daemon's own work.
const (
	// tickInterval is how often groups and pools are looked after.
	tickInterval = 80 * time.Millisecond
	// poolIdleTime is how long a pool that nobody asks for is kept.
	poolIdleTime = 20 * time.Second
	// idleMargin is added to the time that a transaction may be idle before its
	// owner ends it, as the entry does so first.
	idleMargin = 2 * time.Second
	// idleCheckTicks is the number of ticks between two searches for such transactions.
	idleCheckTicks = 20
	// holderSilence is how long a holder may be silent until it is asked whether it
	// lives.
	holderSilence = 400 * time.Millisecond
	// drainPollInterval is how often a leaving daemon looks whether it is done.
	drainPollInterval = 50 * time.Millisecond
)

// reconcile looks after groups and pools until the context ends.
func (f *Fleet) reconcile(x context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-x.Done():
			return nil
		case <-t.C:
		}
		if n%idleCheckTicks == 0 {
			f.endIdleTransactions()
		}
		f.evictRemovedMembers()
		f.processGroups()
		f.closeUnusedPools()
		f.refreshPositions()
		f.pingHolders()
	}
}

// pingHolders asks holders that have been silent whether they live. Only hosts
// of the primary's failure domain do so, as one of them takes the group over.
func (f *Fleet) pingHolders() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := time.Now()
	for _, g := range f.groups {
		r, _, ok := g.Record()
		id := r.Holder.ID
		if !ok || id == "" || id == f.c.Self.ID || n.Sub(f.lastSeen[id]) < holderSilence || n.Sub(f.lastPinged[id]) < holderSilence {
			continue
		}
		m, ok := f.assumedPrimary(g)
		if !ok || m.FailureDomain != f.c.Self.FailureDomain || f.suspected(id) {
			continue
		}
		f.lastPinged[id] = n
		f.spawn(func(x context.Context) { f.ping(x, r.Holder) })
	}
}

// ping asks a process whether it lives.
func (f *Fleet) ping(x context.Context, p tenure.Party) {
	y, stop := context.WithTimeout(x, controlTimeout)
	defer stop()
	if err := f.node.Call(y, membership.Host{ID: p.ID, PeerAddress: p.Address}, methodPing, nil, nil); err != nil {
		f.c.Log.Info("holder doesn't answer", "host", p.ID, "error", err)
		f.updateView(membership.Lost{ID: p.ID})
	}
}

// evictRemovedMembers gives up members whose entry did not come back.
func (f *Fleet) evictRemovedMembers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := time.Now()
	for id, t := range f.evictAt {
		if n.After(t) {
			f.c.Log.Info("member given up", "member", id)
			delete(f.evictAt, id)
			delete(f.members, id)
		}
	}
}

// closeUnusedPools closes pools that this host has no use for any more.
func (f *Fleet) closeUnusedPools() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := time.Now()
	for id, o := range f.pools {
		o.Sweep()
		m, ok := f.members[id]
		c := o.Member()
		switch {
		case !ok || m.Address != c.Address:
			f.retirePool(id, o, "member gone")
			o.Kill()
		case m.Born != c.Born || m.Slots != c.Slots:
			f.retirePool(id, o, "member changed")
			o.Kill()
		case f.primaryHeldElsewhere(id):
			f.retirePool(id, o, "primary of a group held elsewhere")
		case n.Sub(o.lastUsed) > poolIdleTime && !f.holdsPrimary(id):
			f.retirePool(id, o, "not wanted")
		case f.draining.Load() && !f.holdsPrimary(id):
			f.retirePool(id, o, "leaving")
		}
	}
	var l []*pool.Pool
	for _, p := range f.closingPools {
		if p.Busy() > 0 {
			l = append(l, p)
		}
	}
	f.closingPools = l
}

// endIdleTransactions ends transactions that their entry has left behind.
func (f *Fleet) endIdleTransactions() {
	f.mu.Lock()
	d := f.idleTransactionLimit()
	l := slices.Clone(f.closingPools)
	for _, o := range f.pools {
		l = append(l, o.Pool)
	}
	f.mu.Unlock()
	for _, p := range l {
		f.logLoad(p)
		f.spawn(func(context.Context) { p.EndResting(d) })
	}
}

// logLoad tells the load of a member that requests wait for.
func (f *Fleet) logLoad(p *pool.Pool) {
	l := p.Load()
	if l.Waiting != [bundle.RankCount]int{} || l.Opening != [bundle.RankCount]int{} {
		f.c.Log.Info("member loaded", "member", p.Member().ID, "group", p.Member().Group, "running", l.Running, "waiting", l.Waiting, "opening", l.Opening,
			"connections", l.Open, "idle", l.Idle, "transactions", l.Transactions)
	}
}

// idleTransactionLimit returns how long a transaction may be idle at its owner; f.mu is held.
func (f *Fleet) idleTransactionLimit() time.Duration {
	if c := f.Catalog(); c != nil {
		return c.IdleInTransaction + idleMargin
	}
	return idleMargin
}

// holdsPrimary reports whether a member is the primary of a group held here; f.mu is
// held.
func (f *Fleet) holdsPrimary(member string) bool {
	g := f.group(f.members[member].Group)
	id, _ := g.Primary()
	return g.Holder().ID == f.c.Self.ID && id == member
}

// primaryHeldElsewhere reports whether a member is the primary of a group that another
// host holds, which needs all its connections; f.mu is held.
func (f *Fleet) primaryHeldElsewhere(member string) bool {
	g := f.group(f.members[member].Group)
	r, _, _ := g.Record()
	return r.Holder.ID != "" && r.Holder.ID != f.c.Self.ID && r.Primary == member
}

// retirePool takes a pool out of use; f.mu is held.
func (f *Fleet) retirePool(id string, o *ownedPool, why string) {
	f.c.Log.Info("member no longer owned", "member", id, "why", why)
	delete(f.pools, id)
	o.Close()
	f.closingPools = append(f.closingPools, o.Pool)
}

// killPool breaks all connections to a member.
func (f *Fleet) killPool(id string) {
	f.mu.Lock()
	o := f.pools[id]
	if o != nil {
		f.retirePool(id, o, "primary replaced")
	}
	f.mu.Unlock()
	if o != nil {
		o.Kill()
	}
}

// refreshPositions keeps the end of the log known where replicas are read.
func (f *Fleet) refreshPositions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := now()
	for _, g := range f.groups {
		s, ok := g.history.Last()
		r, _, _ := g.Record()
		if n.Sub(g.lastRead) > replicaReadWindow || ok && n.Sub(s.At) < positionInterval || g.positionRequest != nil || r.Holder.ID == f.c.Self.ID && ok && n.Sub(s.At) < positionInterval {
			continue
		}
		f.spawn(func(x context.Context) { f.requestPosition(x, g) })
	}
}

// markLeft makes the host leave in its own view.
func (f *Fleet) markLeft() { f.updateView(membership.Left{ID: f.c.Self.ID}) }

// Leave hands everything over that this host owns or holds. It returns when
// that is done or the context ends.
func (f *Fleet) Leave(x context.Context) {
	f.draining.Store(true)
	f.c.Log.Info("leaving")
	f.markLeft()
	if err := f.writeHostRecord(x); err != nil {
		f.c.Log.Warn("leave not announced", "error", err)
	}
	for sleep(x, drainPollInterval) {
		if f.handedOver() {
			break
		}
	}
	f.c.Log.Info("left")
}

func (f *Fleet) handedOver() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.groups {
		r, _, ok := g.Record()
		if ok && r.Holder.ID == f.c.Self.ID || g.Prior() {
			return false
		}
	}
	for _, p := range f.closingPools {
		if p.Busy() > 0 {
			return false
		}
	}
	return len(f.pools) == 0
}
