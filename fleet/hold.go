package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/succession"
	"github.com/dragonflypick/dragonflypick/tenure"
)

// recordKey returns the store's key of a group.
func recordKey(g *group) string { return groupPrefix + g.name }

// takeOver makes this host the holder.
func (f *Fleet) takeOver(x context.Context, g *group) {
	f.mu.Lock()
	from := g.Holder()
	n, rev := g.Taken()
	f.mu.Unlock()
	f.c.Log.Info("group taken over", "group", g.name, "from", from.ID, "revision", rev, "prior", n.Prior)
	f.compareAndSwap(x, g, n, rev)
}

// compareAndSwap writes a group's record if it still has the revision, and takes in what
// stands there afterwards.
func (f *Fleet) compareAndSwap(x context.Context, g *group, r tenure.Record, rev uint64) bool {
	y, stop := context.WithTimeout(x, storeTimeout)
	defer stop()
	v, err := json.Marshal(r)
	if err != nil {
		f.c.Log.Error("group record not written", "group", g.name, "error", err)
		return false
	}
	t := now()
	o, err := f.writeItem(y, store.Write{Key: recordKey(g), Value: v, Conditional: true, Revision: rev})
	switch {
	case err != nil:
		f.c.Log.Warn("group record not written", "group", g.name, "error", err)
		sleep(x, backoff(1))
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

// confirmRecord asks the store for the record, or another daemon if the store doesn't
// answer.
func (f *Fleet) confirmRecord(x context.Context, g *group) {
	y, stop := context.WithTimeout(x, storeTimeout)
	defer stop()
	t := now()
	i, err := f.readItem(y, recordKey(g))
	if err != nil {
		f.mu.Lock()
		g.Handle(succession.Tenure{Event: tenure.Asking{Failed: true}}, now())
		f.mu.Unlock()
		f.c.Log.Warn("group record not confirmed", "group", g.name, "error", err)
		return
	}
	if i.Revision > 0 {
		f.applyRecord(i, t)
	}
}

// pingPreviousHolders finds out whether the earlier holders have ended.
func (f *Fleet) pingPreviousHolders(x context.Context, g *group) {
	f.mu.Lock()
	l := g.Waiting(now())
	f.mu.Unlock()
	for _, p := range l {
		y, stop := context.WithTimeout(x, controlTimeout)
		err := f.node.Call(y, membership.Host{ID: p.ID, PeerAddress: p.Address}, methodPing, nil, nil)
		stop()
		var o *peer.OtherError
		if errors.As(err, &o) {
			f.c.Log.Info("earlier holder has ended", "group", g.name, "host", p.ID, "now", o.Host)
			f.mu.Lock()
			g.Handle(succession.Tenure{Event: tenure.Ended{Host: p.ID}}, now())
			f.mu.Unlock()
		}
	}
	sleep(x, previousHolderPingInterval)
}

// handOver passes the group to another host, since this one leaves or another
// one stands nearer to the primary.
func (f *Fleet) handOver(x context.Context, g *group) {
	f.mu.Lock()
	m, ok := f.assumedPrimary(g)
	var h membership.Host
	if ok {
		h, ok = f.view.Owner(viewMember(m), time.Now())
	}
	r, rev := g.Given(tenure.Party{ID: h.ID, Address: h.PeerAddress}, now())
	f.mu.Unlock()
	if !ok || h.ID == f.c.Self.ID {
		sleep(x, backoff(1))
		return
	}
	f.c.Log.Info("group passed on", "group", g.name, "to", h.ID, "revision", rev)
	f.compareAndSwap(x, g, r, rev)
}

// release tells the new holder that this host sends no more work.
func (f *Fleet) release(x context.Context, g *group) {
	f.mu.Lock()
	r, rev, ok := g.Released(now())
	f.mu.Unlock()
	if ok {
		f.c.Log.Info("group released", "group", g.name, "holder", r.Holder.ID)
		f.compareAndSwap(x, g, r, rev)
	}
}
