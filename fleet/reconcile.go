package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/pool"
)

// Timing of the daemon's own work.
const (
	// tickInterval is how often groups and pools are looked after.
	tickInterval = 80 * time.Millisecond
	// unwantedTime is how long a pool that nobody asks for is kept.
	unwantedTime = 20 * time.Second
	// restMargin is added to the time that a transaction may be idle before its
	// owner ends it, as the entry does so first.
	restMargin = 2 * time.Second
	// restTicks is the number of ticks between two searches for such transactions.
	restTicks = 20
	// holderSilence is how long a holder may be silent until it is asked whether it
	// lives.
	holderSilence = 400 * time.Millisecond
	// leavePoll is how often a leaving daemon looks whether it is done.
	leavePoll = 50 * time.Millisecond
)

// reconcile looks after groups and pools until the context ends.
func (f *Daemon) reconcile(x context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-x.Done():
			return nil
		case <-t.C:
		}
		if n%restTicks == 0 {
			f.endResting()
		}
		f.forgetGone()
		f.tend()
		f.tendPools()
		f.followPositions()
		f.pingHolders()
	}
}

// pingHolders asks holders that have been silent whether they live. Only hosts
// of the primary's failure domain do so, as one of them takes the group over.
func (f *Daemon) pingHolders() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := time.Now()
	for _, g := range f.groups {
		r, _, ok := g.Record()
		id := r.Holder.ID
		if !ok || id == "" || id == f.c.Self.ID || n.Sub(f.seen[id]) < holderSilence || n.Sub(f.pinged[id]) < holderSilence {
			continue
		}
		m, ok := f.believed(g)
		if !ok || m.FailureDomain != f.c.Self.FailureDomain || f.suspect(id) {
			continue
		}
		f.pinged[id] = n
		f.background(func(x context.Context) { f.ping(x, r.Holder) })
	}
}

// ping asks a process whether it lives.
func (f *Daemon) ping(x context.Context, p lease.Holder) {
	y, stop := context.WithTimeout(x, linkTimeout)
	defer stop()
	if err := f.node.Call(y, membership.Host{ID: p.ID, PeerAddress: p.Address}, methodPing, nil, nil); err != nil {
		f.c.Log.Info("holder doesn't answer", "host", p.ID, "error", err)
		f.note(membership.LinkFailed{ID: p.ID})
	}
}

// forgetGone gives up members whose entry did not come back.
func (f *Daemon) forgetGone() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := time.Now()
	for id, t := range f.gone {
		if n.After(t) {
			f.c.Log.Info("member given up", "member", id)
			delete(f.gone, id)
			delete(f.members, id)
		}
	}
}

// tendPools closes pools that this host has no use for any more.
func (f *Daemon) tendPools() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := time.Now()
	for id, o := range f.pools {
		o.Sweep()
		m, ok := f.members[id]
		c := o.Member()
		switch {
		case !ok || m.Address != c.Address:
			f.retire(id, o, "member gone")
			o.Kill()
		case m.Born != c.Born || m.Slots != c.Slots:
			f.retire(id, o, "member changed")
			o.Kill()
		case f.heldElsewhere(id):
			f.retire(id, o, "primary of a group held elsewhere")
		case n.Sub(o.wanted) > unwantedTime && !f.serving(id):
			f.retire(id, o, "not wanted")
		case f.leaving.Load() && !f.serving(id):
			f.retire(id, o, "leaving")
		}
	}
	var l []*pool.Pool
	for _, p := range f.closing {
		if p.Busy() > 0 {
			l = append(l, p)
		}
	}
	f.closing = l
}

// endResting ends transactions that their entry has left behind.
func (f *Daemon) endResting() {
	f.mu.Lock()
	d := f.restLimit()
	l := slices.Clone(f.closing)
	for _, o := range f.pools {
		l = append(l, o.Pool)
	}
	f.mu.Unlock()
	for _, p := range l {
		f.logLoad(p)
		f.background(func(context.Context) { p.EndIdleTransactions(d) })
	}
}

// logLoad tells the load of a member that requests wait for.
func (f *Daemon) logLoad(p *pool.Pool) {
	l := p.Load()
	if l.Waiting != [bundle.RankCount]int{} || l.Opening != [bundle.RankCount]int{} {
		f.c.Log.Info("member loaded", "member", p.Member().ID, "group", p.Member().Group, "running", l.Running, "waiting", l.Waiting, "opening", l.Opening,
			"connections", l.Open, "idle", l.Idle, "transactions", l.Transactions)
	}
}

// restLimit returns how long a transaction may be idle at its owner; f.mu is held.
func (f *Daemon) restLimit() time.Duration {
	if c := f.Catalog(); c != nil {
		return c.IdleInTransaction + restMargin
	}
	return restMargin
}

// serving reports whether a member is the primary of a group held here; f.mu is
// held.
func (f *Daemon) serving(member string) bool {
	g := f.group(f.members[member].Group)
	id, _ := g.Primary()
	return g.Holder().ID == f.c.Self.ID && id == member
}

// heldElsewhere reports whether a member is the primary of a group that another
// host holds, which needs all its connections; f.mu is held.
func (f *Daemon) heldElsewhere(member string) bool {
	g := f.group(f.members[member].Group)
	r, _, _ := g.Record()
	return r.Holder.ID != "" && r.Holder.ID != f.c.Self.ID && r.Primary == member
}

// retire takes a pool out of use; f.mu is held.
func (f *Daemon) retire(id string, o *owned, why string) {
	f.c.Log.Info("member no longer owned", "member", id, "why", why)
	delete(f.pools, id)
	o.Close()
	f.closing = append(f.closing, o.Pool)
}

// dropPool breaks all connections to a member.
func (f *Daemon) dropPool(id string) {
	f.mu.Lock()
	o := f.pools[id]
	if o != nil {
		f.retire(id, o, "primary replaced")
	}
	f.mu.Unlock()
	if o != nil {
		o.Kill()
	}
}

// followPositions keeps the end of the log known where replicas are read.
func (f *Daemon) followPositions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := now()
	for _, g := range f.groups {
		s, ok := g.history.Last()
		r, _, _ := g.Record()
		if n.Sub(g.read) > readMemory || ok && n.Sub(s.At) < positionInterval || g.asking != nil || r.Holder.ID == f.c.Self.ID && ok && n.Sub(s.At) < positionInterval {
			continue
		}
		f.background(func(x context.Context) { f.askPosition(x, g) })
	}
}

// leaveView makes the host leave in its own view.
func (f *Daemon) leaveView() { f.note(membership.DrainAnnounced{ID: f.c.Self.ID}) }

// Drain hands everything over that this host owns or holds. It returns when
// that is done or the context ends.
func (f *Daemon) Drain(x context.Context) {
	f.leaving.Store(true)
	f.c.Log.Info("leaving")
	f.leaveView()
	if err := f.writeSelf(x); err != nil {
		f.c.Log.Warn("leave not announced", "error", err)
	}
	for pause(x, leavePoll) {
		if f.handedOver() {
			break
		}
	}
	f.c.Log.Info("left")
}

func (f *Daemon) handedOver() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.groups {
		r, _, ok := g.Record()
		if ok && r.Holder.ID == f.c.Self.ID || g.IsPreviousHolder() {
			return false
		}
	}
	for _, p := range f.closing {
		if p.Busy() > 0 {
			return false
		}
	}
	return len(f.pools) == 0
}
