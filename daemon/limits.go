package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/budget"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/caller"
	"github.com/dragonflypick/dragonflypick/peer"
)

// Limits of the link between regions.
const (
	// regionLink is the link's rate in bytes a second, each way.
	regionLink = 30_000_000 / 8
	// regionEntries is the number of entry hosts of a region that share it.
	regionEntries = 6
)

// Reasons of refusals at the entry.
const (
	reasonOverloaded = "overloaded"
	reasonExpired    = "expired"
	reasonLink       = "region-link"
)

// limits are the budgets of what this daemon sends to owners.
type limits struct {
	throttle *budget.Throttle
	link     *budget.Link
}

func newLimits() limits {
	return limits{
		throttle: budget.NewThrottle(budget.DefaultThrottle()),
		link:     budget.NewLink(budget.DefaultLink(regionLink, regionEntries)),
	}
}

func flow(q caller.Request, member string) budget.Flow {
	return budget.Flow{Member: member, Rank: bundle.Rank(q.Header.Rank), Caller: q.Header.Caller}
}

// learn takes in an owner's answer.
func (l *limits) learn(q caller.Request, member string, v peer.Verdict) {
	switch v.Outcome {
	case "", peer.Done:
		l.throttle.Accepted(flow(q, member), time.Now())
	case peer.NotRun:
		if v.Reason == reasonOverloaded || v.Reason == reasonExpired {
			l.throttle.Refused(flow(q, member), v.RetryAfter, time.Now())
		}
	}
}

// pass reports whether the budgets let a request through to a member; it
// returns the bytes of the region link that it has reserved.
func (r *router) pass(q caller.Request, m *bundle.Member) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	far := m.Region != r.d.c.Host.Region
	k := bundle.Rank(q.Header.Rank)
	ok, d := r.limits.throttle.Pass(flow(q, m.Name), rand.Float64(), time.Now())
	if q.Spilled && far && k == bundle.Background {
		ok, d = false, routeRetryAfter
	}
	if !ok {
		r.d.c.Log.Debug("statement refused", "group", q.Header.Group, "member", m.Name, "rank", k.String(), "reason", reasonOverloaded, "retry-after", d)
		return 0, Error.Wrap(&caller.RouteError{Reason: reasonOverloaded, RetryAfter: d, Member: m.Name})
	}
	if !far || q.Header.Kind != peer.KindRead {
		return 0, nil
	}
	n, d, ok := r.limits.link.Reserve(k, time.Now())
	if !ok {
		r.d.c.Log.Debug("statement refused", "group", q.Header.Group, "member", m.Name, "rank", k.String(), "reason", reasonLink, "retry-after", d)
		return 0, Error.Wrap(&caller.RouteError{Reason: reasonLink, RetryAfter: d})
	}
	return n, nil
}
