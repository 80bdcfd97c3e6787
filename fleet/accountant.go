package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
	return allowance.NewLedger(f.config.Self.ID, allowance.Bounds{Window: r.Window, Overage: r.Overage})
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
		if peer.ShowsEnd(err) {
			o, err = allowance.Handover{Closed: true}, nil
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
	k := f.Catalog()
	if g.ledger == nil || k == nil {
		return allowance.Reply{Mode: allowance.Closed}
	}
	t := now()
	g.observeTenure(t)
	o := g.ledger.Lend(c, func(team string) (allowance.Limit, bool) {
		n := k.Teams[team]
		if n.Rate <= 0 {
			return allowance.Limit{}, false
		}
		if l := accountingGroups(k, team); slices.Contains(l, g.name) {
			return f.shareOf(n, len(l)), true
		}
		return allowance.Limit{}, true
	}, f.movedUntil, t)
	for _, x := range o.Grants {
		f.metrics.lent.WithLabelValues(f.teamLabel(x.Team)).Add(float64(x.Count + x.Promised))
	}
	return o
}

// shareOf returns the share of one of n accountants in a team's limit.
func (f *Daemon) shareOf(t catalog.Team, n int) allowance.Limit {
	m := float64(n)
	return allowance.Limit{Rate: t.Rate / m, Burst: t.Burst / m, Slack: f.config.Features.Rates.Slack / m}
}

// accountants is the number of a team's accountants. Two of them lend more than a team
// usually asks, so that the failure of one is not felt.
const accountants = 3

// accountingGroups returns the groups whose holders are a team's accountants.
func accountingGroups(c *catalog.Catalog, team string) []string {
	var names [accountants + 1]string
	var scores [accountants + 1]uint64
	n := 0
	for name := range c.Groups {
		i := min(n, accountants)
		names[i], scores[i] = name, xxhash.Sum64String(team+"\x00"+name)
		for ; i > 0 && (scores[i] > scores[i-1] || scores[i] == scores[i-1] && names[i] < names[i-1]); i-- {
			names[i], names[i-1] = names[i-1], names[i]
			scores[i], scores[i-1] = scores[i-1], scores[i]
		}
		n = min(n+1, accountants)
	}
	return slices.Clone(names[:n])
}

// observeGroups notes that accountants may have changed with the groups; f.mu is held.
func (f *Daemon) observeGroups(old, k *catalog.Catalog) {
	if old == nil || maps.EqualFunc(old.Groups, k.Groups, func(catalog.Group, catalog.Group) bool { return true }) {
		return
	}
	f.movedUntil = now().Add(allowance.MovedTime)
}
