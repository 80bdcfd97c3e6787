package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/dragonflypick/dragonflypick/assignment"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/storecopy"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// recordKey returns the key of a group's record in the store.
func recordKey(g *group) string { return groupPrefix + g.name }

// acquireGroupLease writes this host as the holder to the group's record.
func (f *Daemon) acquireGroupLease(x context.Context, g *group) {
	f.mu.Lock()
	from := g.Holder()
	n, rev := g.AcquireRecord()
	f.mu.Unlock()
	f.config.Log.Info("group lease requested", "group", g.name, "from", from.ID, "revision", rev, "prior", n.PreviousHolders)
	f.compareAndSwap(x, g, n, rev)
}

// compareAndSwap writes a group's record if its revision is still rev. It applies
// the record that the store holds afterwards and reports whether that is r. If the
// call fails, it reads the record and returns false.
func (f *Daemon) compareAndSwap(x context.Context, g *group, r lease.Record, rev uint64) bool {
	y, stop := context.WithTimeout(x, storeTimeout)
	defer stop()
	v, err := json.Marshal(r)
	if err != nil {
		f.config.Log.Error("group record write failed", "group", g.name, "error", err)
		return false
	}
	t := now()
	o, err := f.writeItem(y, store.Write{Key: recordKey(g), Value: v, Conditional: true, Revision: rev})
	switch {
	case err != nil:
		f.config.Log.Warn("group record write failed", "group", g.name, "error", err)
		sleep(x, storecopy.Backoff(1, nil))
		f.confirmRecord(x, g)
		return false
	case o.Conflict == nil:
		f.applyRecord(store.Item{Key: recordKey(g), Value: v, Revision: o.Revision}, t)
		return true
	default:
		f.applyRecord(*o.Conflict, t)
		return bytes.Equal(o.Conflict.Value, v)
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
			f.config.Log.Info("previous holder has ended", "group", g.name, "host", p.ID, "now", o.Host)
			f.mu.Lock()
			g.Handle(takeover.LeaseEvent{Event: lease.ProcessEnded{ProcessID: p.ID}}, now())
			f.mu.Unlock()
		}
	}
	sleep(x, previousHolderPingInterval)
}

// transferGroupLease transfers the group's lease to the host that is to own the
// primary, because this one is draining or the other one is nearer to the primary.
func (f *Daemon) transferGroupLease(x context.Context, g *group) {
	f.mu.Lock()
	m, ok := f.table.AssumedPrimary(g.name)
	var h membership.Host
	if ok {
		h, ok = f.view.Owner(assignment.ViewMember(m), time.Now())
	}
	r, rev := g.TransferRecord(lease.Holder{ID: h.ID, Address: h.PeerAddress}, now())
	f.mu.Unlock()
	if !ok || h.ID == f.config.Self.ID {
		sleep(x, storecopy.Backoff(1, nil))
		return
	}
	f.config.Log.Info("group lease transfer requested", "group", g.name, "to", h.ID, "revision", rev)
	f.compareAndSwap(x, g, r, rev)
}

// releaseGroupLease removes this host from the previous holders in the group's
// record, once it sends no more requests to the primary.
func (f *Daemon) releaseGroupLease(x context.Context, g *group) {
	f.mu.Lock()
	r, rev, ok := g.ReleaseRecord(now())
	f.mu.Unlock()
	if ok {
		f.config.Log.Info("group lease release requested", "group", g.name, "holder", r.Holder.ID)
		f.compareAndSwap(x, g, r, rev)
	}
}
