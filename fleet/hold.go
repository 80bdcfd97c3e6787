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
	"github.com/dragonflypick/dragonflypick/takeover"
)

// key returns the store's key of a group.
func key(g *group) string { return groupPrefix + g.name }

// takeOver makes this host the holder.
func (f *Daemon) takeOver(x context.Context, g *group) {
	f.mu.Lock()
	from := g.Holder()
	n, rev := g.AcquireRecord()
	f.mu.Unlock()
	f.c.Log.Info("group taken over", "group", g.name, "from", from.ID, "revision", rev, "prior", n.PreviousHolders)
	f.swap(x, g, n, rev)
}

// swap writes a group's record if it still has the revision, and takes in what
// stands there afterwards.
func (f *Daemon) swap(x context.Context, g *group, r lease.Record, rev uint64) bool {
	y, stop := context.WithTimeout(x, readTimeout)
	defer stop()
	v, err := json.Marshal(r)
	if err != nil {
		f.c.Log.Error("group record not written", "group", g.name, "error", err)
		return false
	}
	t := now()
	o, err := f.write(y, store.Write{Key: key(g), Value: v, Conditional: true, Revision: rev})
	switch {
	case err != nil:
		f.c.Log.Warn("group record not written", "group", g.name, "error", err)
		pause(x, backoff(1))
		f.confirm(x, g)
		return false
	case o.Conflict == nil:
		f.takeRecord(store.Item{Key: key(g), Value: v, Revision: o.Revision}, t)
		return true
	default:
		f.takeRecord(*o.Conflict, t)
		return bytes.Equal(o.Conflict.Value, v)
	}
}

// confirm asks the store for the record, or another daemon if the store doesn't
// answer.
func (f *Daemon) confirm(x context.Context, g *group) {
	y, stop := context.WithTimeout(x, readTimeout)
	defer stop()
	t := now()
	i, err := f.read(y, key(g))
	if err != nil {
		f.mu.Lock()
		g.Handle(takeover.LeaseEvent{Event: lease.ConfirmAttempt{Failed: true}}, now())
		f.mu.Unlock()
		f.c.Log.Warn("group record not confirmed", "group", g.name, "error", err)
		return
	}
	if i.Revision > 0 {
		f.takeRecord(i, t)
	}
}

// askPrior finds out whether the earlier holders have ended.
func (f *Daemon) askPrior(x context.Context, g *group) {
	f.mu.Lock()
	l := g.UnfinishedHolders(now())
	f.mu.Unlock()
	for _, p := range l {
		y, stop := context.WithTimeout(x, linkTimeout)
		err := f.node.Call(y, membership.Host{ID: p.ID, PeerAddress: p.Address}, methodPing, nil, nil)
		stop()
		var o *peer.OtherError
		if errors.As(err, &o) {
			f.c.Log.Info("earlier holder has ended", "group", g.name, "host", p.ID, "now", o.Host)
			f.mu.Lock()
			g.Handle(takeover.LeaseEvent{Event: lease.ProcessEnded{ProcessID: p.ID}}, now())
			f.mu.Unlock()
		}
	}
	pause(x, priorInterval)
}

// giveAway passes the group to another host, since this one leaves or another
// one stands nearer to the primary.
func (f *Daemon) giveAway(x context.Context, g *group) {
	f.mu.Lock()
	m, ok := f.believed(g)
	var h membership.Host
	if ok {
		h, ok = f.view.Owner(place(m), time.Now())
	}
	r, rev := g.TransferRecord(lease.Holder{ID: h.ID, Address: h.PeerAddress}, now())
	f.mu.Unlock()
	if !ok || h.ID == f.c.Self.ID {
		pause(x, backoff(1))
		return
	}
	f.c.Log.Info("group passed on", "group", g.name, "to", h.ID, "revision", rev)
	f.swap(x, g, r, rev)
}

// release tells the new holder that this host sends no more work.
func (f *Daemon) release(x context.Context, g *group) {
	f.mu.Lock()
	r, rev, ok := g.ReleaseRecord(now())
	f.mu.Unlock()
	if ok {
		f.c.Log.Info("group released", "group", g.name, "holder", r.Holder.ID)
		f.swap(x, g, r, rev)
	}
}
