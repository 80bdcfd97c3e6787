package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/pool"
)

// Timing of the daemon's periodic tasks.
const (
	// tickInterval is how often groups and pools are checked.
	tickInterval = 80 * time.Millisecond
	// poolIdleTime is how long a pool without requests is kept.
	poolIdleTime = 20 * time.Second
	// idleMargin is added to the allowed idle time of a transaction before its
	// owner ends it, so that the entry ends it first.
	idleMargin = 2 * time.Second
	// idleCheckTicks is the number of ticks between two checks for idle
	// transactions, and for groups without a holder.
	idleCheckTicks = 20
	// holderSilence is how long a holder may be silent before it is pinged.
	holderSilence = 400 * time.Millisecond
	// drainPollInterval is how often a draining daemon checks whether it has
	// handed everything over.
	drainPollInterval = 50 * time.Millisecond
)

// reconcile runs the periodic tasks for groups and pools until the context ends.
func (f *Daemon) reconcile(x context.Context) error {
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
			f.reportUnheldGroups()
		}
		f.observeStoreEra()
		f.evictRemovedMembers()
		f.startGroupTasks()
		f.closeUnusedPools()
		f.refreshPositions()
		f.pingHolders()
	}
}

// pingHolders pings the silent holders of the groups that this host would take
// over, and the hosts that would do so before it.
func (f *Daemon) pingHolders() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := time.Now()
	for _, g := range f.currentDuties() {
		r, ok := g.Record()
		if !ok || r.Holder.ID == "" || r.Holder.ID == f.config.Self.ID {
			continue
		}
		i := f.table.Rank(g.name, n)
		if i < 0 {
			continue
		}
		f.pingSilent(membership.Host{ID: r.Holder.ID, PeerAddress: r.Holder.Address}, n)
		for _, h := range f.table.Successors(g.name, n)[:i] {
			f.pingSilent(h, n)
		}
	}
}

// pingSilent pings a host that has been silent for holderSilence; f.mu is held.
func (f *Daemon) pingSilent(h membership.Host, n time.Time) {
	if n.Sub(f.lastSeen[h.ID]) < holderSilence || n.Sub(f.lastPinged[h.ID]) < holderSilence || f.isSuspect(h.ID) {
		return
	}
	f.startPing(h, n)
}

// evictRemovedMembers evicts the members whose record was removed and not written
// again within evictDelay.
func (f *Daemon) evictRemovedMembers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := time.Now()
	for id, t := range f.evictAt {
		if n.After(t) {
			f.config.Log.Info("member evicted", "member", id)
			delete(f.evictAt, id)
			delete(f.sequences, id)
			f.table.RemoveMember(id)
			f.drains.Unlist(id, now())
			f.outliers.Forget(id)
			f.loads.forget(id)
		}
	}
}

// closeUnusedPools closes the pools that this host no longer needs, and deletes
// closing pools that have become idle.
func (f *Daemon) closeUnusedPools() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := time.Now()
	for id, o := range f.pools {
		o.CloseIdle()
		m, ok := f.table.Member(id)
		c := o.Member()
		switch {
		case !ok || m.Address != c.Address:
			f.retirePool(id, o, "member removed or moved")
			o.Kill()
		case m.StartMillis != c.StartMillis || m.Slots != c.Slots:
			f.retirePool(id, o, "member changed")
			o.Kill()
		case f.primaryReplaced(o):
			f.retirePool(id, o, "primary replaced")
			o.Kill()
		case f.primaryHeldElsewhere(id):
			f.retirePool(id, o, "primary of a group held elsewhere")
		case n.Sub(o.lastUsed) > poolIdleTime && !f.holdsPrimary(id):
			f.retirePool(id, o, "not used")
		case f.draining.Load() && !f.holdsPrimary(id):
			f.retirePool(id, o, "draining")
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

// endIdleTransactions ends transactions that have been idle for so long that
// their entry must have abandoned them.
func (f *Daemon) endIdleTransactions() {
	f.mu.Lock()
	d := f.idleTransactionLimit()
	l := slices.Clone(f.closingPools)
	for _, o := range f.pools {
		l = append(l, o.Pool)
	}
	f.mu.Unlock()
	for _, p := range l {
		f.logLoad(p)
		f.spawn(func(context.Context) { p.EndIdleTransactions(d) })
	}
}

// logLoad logs the load of a member that has waiting requests.
func (f *Daemon) logLoad(p *pool.Pool) {
	l := p.Load()
	if l.WaitingStatements != [bundle.RankCount]int{} || l.WaitingTransactions != [bundle.RankCount]int{} {
		f.mu.Lock()
		s := f.loads.member(p.Member().ID).service
		f.mu.Unlock()
		f.config.Log.Info("member has waiting requests", "slot-ms", s.SlotTime.Milliseconds(), "failures", s.Failures(now()), "member", p.Member().ID, "group", p.Member().Group, "running", l.RunningStatements, "waiting", l.WaitingStatements, "opening", l.WaitingTransactions,
			"connections", l.Connections, "idle", l.IdleConnections, "transactions", l.OpenTransactions)
	}
}

// idleTransactionLimit returns how long a transaction may be idle before its
// owner ends it; f.mu is held.
func (f *Daemon) idleTransactionLimit() time.Duration {
	if c := f.Catalog(); c != nil {
		return c.IdleInTransaction + idleMargin
	}
	return idleMargin
}

// holdsPrimary reports whether a member is the primary of a group that this
// host holds; f.mu is held.
func (f *Daemon) holdsPrimary(member string) bool {
	m, ok := f.table.Member(member)
	if !ok {
		return false
	}
	g := f.group(m.Group)
	id, _ := g.Primary()
	return g.Holder().ID == f.config.Self.ID && id == member
}

// primaryReplaced reports whether a pool's member was used as the primary of its group and
// another one, or the same in a later term, is primary now; f.mu is held.
func (f *Daemon) primaryReplaced(o *ownedPool) bool {
	m := o.Member()
	id, term := f.group(m.Group).Primary()
	return o.primaryTerm != 0 && term != 0 && (id != m.ID || term != o.primaryTerm)
}

// primaryHeldElsewhere reports whether a member is the primary of a group that
// another host holds, which needs all the member's connections; f.mu is held.
func (f *Daemon) primaryHeldElsewhere(member string) bool {
	m, ok := f.table.Member(member)
	if !ok {
		return false
	}
	r, _ := f.group(m.Group).Record()
	return r.Holder.ID != "" && r.Holder.ID != f.config.Self.ID && r.Primary == member
}

// retirePool takes a pool out of use; f.mu is held.
func (f *Daemon) retirePool(id string, o *ownedPool, why string) {
	f.config.Log.Info("member pool closed", "member", id, "why", why)
	delete(f.pools, id)
	f.keepPace(o.Pool)
	o.Close()
	f.closingPools = append(f.closingPools, o.Pool)
}

// killPool retires the pool of a replaced primary and breaks all its
// connections.
func (f *Daemon) killPool(id string) {
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

// refreshPositions requests the end of the log of the groups whose replicas have
// served reads at this host within replicaReadWindow.
func (f *Daemon) refreshPositions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := now()
	for g := range f.replicaReads {
		s, ok := g.history.Last()
		r, _ := g.Record()
		if n.Sub(g.lastReplicaRead) > f.replicaWindow(g) {
			delete(f.replicaReads, g)
			continue
		}
		if ok && n.Sub(s.At) < positionInterval || g.positionRequest != nil || r.Holder.ID == f.config.Self.ID && ok && n.Sub(s.At) < positionInterval {
			continue
		}
		f.spawn(func(x context.Context) { f.requestPosition(x, g) })
	}
	f.refreshLaggingReplicas(n)
}

// markDraining marks this host as draining in its own view.
func (f *Daemon) markDraining() { f.updateView(membership.DrainAnnounced{ID: f.config.Self.ID}) }

// Drain hands over all members and groups of this host. It returns when that is
// done or the context ends.
func (f *Daemon) Drain(x context.Context) {
	f.draining.Store(true)
	f.config.Log.Info("handover started")
	f.markDraining()
	if err := f.writeHostRecord(x); err != nil {
		f.config.Log.Warn("drain announcement in the store failed", "error", err)
	}
	for sleep(x, drainPollInterval) {
		if f.handedOver() {
			break
		}
	}
	f.config.Log.Info("handover finished")
}

// handedOver reports whether this host owns no member, holds no group and runs
// no request.
func (f *Daemon) handedOver() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.groups {
		r, ok := g.Record()
		if ok && r.Holder.ID == f.config.Self.ID || g.IsPreviousHolder() {
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
