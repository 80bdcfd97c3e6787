package fleet

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/dragonflypick/dragonflypick/allowance"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
)

// newLedger returns the ledger of a group, or nil if rates aren't bounded.
func (f *Daemon) newLedger() *allowance.Ledger {
	r := f.config.Features.Rates
	if r == nil {
		return nil
	}
	return allowance.NewLedger(f.config.Self.ID, allowance.Bounds{Window: r.Window, Overage: r.Overage, Slack: r.Slack})
}

// observeTenure tells the group's ledger who holds the lease; the daemon's mutex is
// held.
func (g *group) observeTenure(t time.Time) {
	if g.ledger == nil {
		return
	}
	r, ok := g.Record()
	if !ok {
		return
	}
	s := allowance.Standing{
		Holder: r.Holder.ID, Epoch: r.Epoch, Era: r.Era, Holds: g.HoldsLease(t), ConfirmedAt: g.ConfirmedAt(),
		Unsettled: !g.Settled(t), First: g.era.known && g.era.first && r.Epoch == 1,
	}
	for _, h := range g.UnfinishedHolders(t) {
		s.Unfinished = append(s.Unfinished, h.ID)
	}
	g.ledger.Observe(s, t)
}

// maintainLedger keeps the ledger of a group up to date, and asks previous accountants
// to stop lending; f.mu is held.
func (f *Daemon) maintainLedger(g *group, t time.Time) {
	if g.ledger == nil {
		return
	}
	was := g.ledger.Mode(t)
	g.observeTenure(t)
	if m := g.ledger.Mode(t); m != g.loggedMode {
		f.config.Log.Info("lending of tokens changed", "group", g.name, "mode", m, "was", was, "epoch", g.ledger.Epoch(), "rivals", g.ledger.Rivals(), "confirmed-ms", t.Sub(g.ConfirmedAt()).Milliseconds())
		g.loggedMode = m
	}
	if g.closing || len(g.ledger.Rivals()) == 0 {
		return
	}
	g.closing = true
	f.spawn(func(x context.Context) {
		defer f.endTask(&g.closing)
		f.closeRivals(x, g)
	})
}

// closeRivals asks the previous accountants of a group to stop lending.
func (f *Daemon) closeRivals(x context.Context, g *group) {
	f.mu.Lock()
	e, ids := g.ledger.Epoch(), g.ledger.Rivals()
	var l []lease.Holder
	for _, h := range g.UnfinishedHolders(now()) {
		for _, id := range ids {
			if h.ID == id {
				l = append(l, h)
			}
		}
	}
	f.mu.Unlock()
	for _, h := range l {
		y, stop := context.WithTimeout(x, controlTimeout)
		var o allowance.Handover
		err := f.node.Call(y, membership.Host{ID: h.ID, PeerAddress: h.Address}, methodClose, allowance.CloseCall{Group: g.name, Epoch: e}, &o)
		stop()
		var w *peer.WrongHostError
		if errors.As(err, &w) {
			f.holderEnded(g, h.ID, w)
			continue
		}
		if err != nil {
			f.config.Log.Debug("previous accountant does not answer", "group", g.name, "host", h.ID, "error", err)
			continue
		}
		f.config.Log.Info("previous accountant answered", "group", g.name, "host", h.ID, "closed", o.Closed, "complete", o.Complete, "accounts", len(o.Accounts))
		f.mu.Lock()
		t := now()
		g.observeTenure(t)
		g.ledger.Import(h.ID, e, o, t)
		f.mu.Unlock()
	}
	sleep(x, previousHolderPingInterval)
}

// closeLedger answers the request of a later accountant to lend nothing any more.
func (f *Daemon) closeLedger(c allowance.CloseCall) allowance.Handover {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(c.Group)
	if g.ledger == nil {
		return allowance.Handover{Closed: true}
	}
	t := now()
	g.observeTenure(t)
	return g.ledger.Close(c.Epoch, t)
}

// lend answers a borrower's call.
func (f *Daemon) lend(c allowance.Call) allowance.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(c.Group)
	if g.ledger == nil {
		return allowance.Reply{Mode: allowance.Closed}
	}
	t, k := now(), f.Catalog()
	g.observeTenure(t)
	o := g.ledger.Lend(c, func(team string) (allowance.Limit, bool) {
		n, ok := k.Teams[team]
		return allowance.Limit{Rate: n.Rate, Burst: n.Burst}, ok && n.Rate > 0
	}, f.movedUntil, t)
	for _, x := range o.Grants {
		f.metrics.lent.WithLabelValues(f.teamLabel(x.Team)).Add(float64(x.Count + x.Promised))
	}
	return o
}

// askForTokens sends a call to an accountant and handles the reply. It returns a host
// to which the next call should go, and the delay before it.
func (f *Daemon) askForTokens(x context.Context, b *borrower, h membership.Host, c allowance.Call) (string, time.Duration) {
	o, err := f.callLend(x, h, c)
	f.rates.mu.Lock()
	defer f.rates.mu.Unlock()
	switch {
	case err != nil:
		f.metrics.lendCalls.WithLabelValues("failed").Inc()
		b.Fail(c)
		return "", accountantRetryDelay
	case o.Holder != "" || o.Mode == allowance.Closed:
		f.metrics.lendCalls.WithLabelValues("not-lending").Inc()
		b.Fail(c)
		if o.Holder == "" {
			return "", lendingRetryDelay
		}
		return o.Holder, accountantRetryDelay
	}
	f.metrics.lendCalls.WithLabelValues("answered").Inc()
	b.deliver(b.Answer(c, o, now()))
	if o.Mode != allowance.Full && o.Mode != allowance.Reduced {
		return "", lendingRetryDelay
	}
	return "", 0
}

func (f *Daemon) callLend(x context.Context, h membership.Host, c allowance.Call) (allowance.Reply, error) {
	if h.ID == f.config.Self.ID {
		return f.lend(c), nil
	}
	y, stop := context.WithTimeout(x, allowance.LoanTime)
	defer stop()
	var o allowance.Reply
	err := f.node.Call(y, h, methodLend, c, &o)
	return o, err
}

// observeGroups notes that accountants may have changed with the groups; f.mu is held.
func (f *Daemon) observeGroups(old, k *catalog.Catalog) {
	if old == nil || maps.EqualFunc(old.Groups, k.Groups, func(catalog.Group, catalog.Group) bool { return true }) {
		return
	}
	f.movedUntil = now().Add(allowance.MovedTime)
}
