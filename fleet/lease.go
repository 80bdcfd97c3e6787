package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/storecopy"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// recordKey returns the key of a group's record in the store.
func recordKey(g *group) string { return groupPrefix + g.name }

// acquireGroupLease writes this host as the holder to the group's record, and then finds
// out which member is the primary.
func (f *Daemon) acquireGroupLease(x context.Context, g *group) {
	f.mu.Lock()
	from, restored := g.Holder(), g.RecordRestored()
	c := g.Acquire(now())
	f.mu.Unlock()
	f.config.Log.Info("group lease requested", "group", g.name, "from", from.ID, "era", c.Era, "revision", c.Revision, "prior", c.Record.PreviousHolders, "restored", restored)
	if f.compareAndSwap(x, g, c) {
		f.discoverPrimary(x, g)
	}
}

// rewriteGroupLease writes the record of this host again after the store has come back
// from an older copy.
func (f *Daemon) rewriteGroupLease(x context.Context, g *group) {
	f.mu.Lock()
	c := g.Rewrite(now())
	f.mu.Unlock()
	f.config.Log.Info("group record rewrite requested", "group", g.name, "era", c.Era, "revision", c.Revision, "epoch", c.Record.Epoch, "primary", c.Record.Primary, "term", c.Record.Term, "target", c.Record.Target)
	if f.compareAndSwap(x, g, c) {
		f.metrics.rewrites.Inc()
	}
}

// compareAndSwap changes a group's record if it is still the one that the change
// replaces. It applies the record that the store holds afterwards and reports whether
// that is the change's, in the change's era. If the call fails, it reads the record and
// returns false.
func (f *Daemon) compareAndSwap(x context.Context, g *group, c lease.Change) bool {
	y, stop := context.WithTimeout(x, storeTimeout)
	defer stop()
	v, err := json.Marshal(c.Record)
	if err != nil {
		f.config.Log.Error("group record write failed", "group", g.name, "error", err)
		return false
	}
	t := now()
	o, err := f.writeItem(y, store.Write{Key: recordKey(g), Value: v, Conditional: true, Revision: c.Revision, Era: c.Era})
	switch {
	case err != nil:
		f.config.Log.Warn("group record write failed", "group", g.name, "error", err)
		sleep(x, storecopy.Backoff(1, nil))
		f.confirmRecord(x, g)
		return false
	case o.Conflict == nil:
		f.applyRecord(store.Item{Key: recordKey(g), Value: v, Position: o.Position}, t)
		return o.Position.Era == c.Era
	default:
		f.applyRecord(*o.Conflict, t)
		return bytes.Equal(o.Conflict.Value, v) && o.Conflict.Era == c.Era
	}
}

// confirmRecord reads the group's record from the store, through other daemons
// if the store doesn't answer this one, and applies it.
func (f *Daemon) confirmRecord(x context.Context, g *group) {
	y, stop := context.WithTimeout(x, storeTimeout)
	defer stop()
	t := now()
	i, err := f.readItem(y, recordKey(g))
	if err != nil {
		f.mu.Lock()
		g.Handle(takeover.LeaseEvent{Event: lease.ConfirmAttempt{Failed: true}}, now())
		f.mu.Unlock()
		f.config.Log.Warn("group record read failed", "group", g.name, "error", err)
		return
	}
	if i.Revision > 0 {
		f.applyRecord(i, t)
	}
}

// pingPreviousHolders checks whether the previous holders have ended: another
// process then answers at their address.
func (f *Daemon) pingPreviousHolders(x context.Context, g *group) {
	f.mu.Lock()
	l := g.UnfinishedHolders(now())
	f.mu.Unlock()
	for _, p := range l {
		y, stop := context.WithTimeout(x, controlTimeout)
		err := f.node.Call(y, membership.Host{ID: p.ID, PeerAddress: p.Address}, methodPing, nil, nil)
		stop()
		var o *peer.WrongHostError
		if errors.As(err, &o) {
			f.holderEnded(g, p.ID, o)
		}
	}
	sleep(x, previousHolderPingInterval)
}

// holderEnded handles that another process answers at the address of a previous holder.
func (f *Daemon) holderEnded(g *group, id string, o *peer.WrongHostError) {
	f.config.Log.Info("previous holder has ended", "group", g.name, "host", id, "now", o.Host)
	f.mu.Lock()
	defer f.mu.Unlock()
	g.Handle(takeover.LeaseEvent{Event: lease.ProcessEnded{ProcessID: id}}, now())
}

// transferGroupLease transfers the group's lease to the host that is to own the
// primary, because this one is draining or the other one is nearer to the primary.
func (f *Daemon) transferGroupLease(x context.Context, g *group) {
	f.mu.Lock()
	m, ok := f.table.AssumedPrimary(g.name)
	var h membership.Host
	if ok {
		h, ok = f.table.Owner(m, time.Now())
	}
	c := g.Transfer(lease.Holder{ID: h.ID, Address: h.PeerAddress}, now())
	f.mu.Unlock()
	if !ok || h.ID == f.config.Self.ID {
		sleep(x, storecopy.Backoff(1, nil))
		return
	}
	f.config.Log.Info("group lease transfer requested", "group", g.name, "to", h.ID, "revision", c.Revision)
	if f.compareAndSwap(x, g, c) {
		f.mu.Lock()
		g.handovers.record(now())
		f.mu.Unlock()
	}
}

// releaseGroupLease removes this host from the previous holders in the group's
// record, once it sends no more requests to the primary.
func (f *Daemon) releaseGroupLease(x context.Context, g *group) {
	f.mu.Lock()
	c, ok := g.Release(now())
	f.mu.Unlock()
	if ok {
		f.config.Log.Info("group lease release requested", "group", g.name, "holder", c.Record.Holder.ID)
		f.compareAndSwap(x, g, c)
	}
}
