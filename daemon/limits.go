package daemon

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypick/dragonflypick/budget"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/caller"
	"github.com/dragonflypick/dragonflypick/peer"
)

// DefaultRegionLink is a host's part of the link between regions in bytes a
// second: a sixth of 30 Mbit/s.
const DefaultRegionLink = 30_000_000 / 8 / 6

// flightRetryAfter is the least come-back time while too many requests to
// another region are unanswered.
const flightRetryAfter = 500 * time.Millisecond

// Reasons of refusals at the entry.
const (
	reasonOverloaded = "overloaded"
	reasonExpired    = "expired"
	reasonLink       = "region-link"
	reasonFlight     = "in-flight"
)

// limits are the budgets of what this daemon sends to owners.
type limits struct {
	throttle *budget.Throttle
	link     *budget.Link
	flight   budget.InFlight
}

func newLimits(rate float64) limits {
	if rate <= 0 {
		rate = DefaultRegionLink
	}
	return limits{
		throttle: budget.NewThrottle(budget.DefaultThrottle()), link: budget.NewLink(budget.DefaultLink(rate, 1)),
		flight: budget.InFlight{Limit: budget.DefaultInFlight},
	}
}

// decisions counts routing decisions by rank and reason, and picks those that
// are logged.
type decisions struct {
	routed  *prometheus.CounterVec
	refused *prometheus.CounterVec
	// every is N if one in N decisions is logged; zero and one log all.
	every uint64
	n     atomic.Uint64
}

func newDecisions(every uint64) *decisions {
	return &decisions{
		every: every,
		routed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_routed_total", Help: "Statements sent to owners by rank and reason of the choice.",
		}, []string{"rank", "reason"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_entry_refused_total", Help: "Statements refused at the entry by rank and reason.",
		}, []string{"rank", "reason"}),
	}
}

func (s *decisions) collectors() []prometheus.Collector {
	return []prometheus.Collector{s.routed, s.refused}
}

// logged reports whether the next decision is logged.
func (s *decisions) logged() bool { return s.every <= 1 || s.n.Add(1)%s.every == 0 }

// refuse counts and logs a refusal, and returns it as an error.
func (d *Daemon) refuse(q caller.Request, member, why string, after time.Duration) error {
	k := bundle.Rank(q.Header.Rank).String()
	d.decisions.refused.WithLabelValues(k, why).Inc()
	if d.decisions.logged() {
		d.c.Log.Debug("statement refused", "group", q.Header.Group, "member", member, "rank", k, "reason", why, "retry-after", after)
	}
	if why != reasonOverloaded {
		member = ""
	}
	return Error.Wrap(&caller.RouteError{Reason: why, RetryAfter: after, Member: member})
}

func flow(q caller.Request, member string) budget.Flow {
	return budget.Flow{Member: member, Rank: bundle.Rank(q.Header.Rank), Caller: q.Header.Caller}
}

// learn takes in an owner's answer.
func (l *limits) learn(q caller.Request, member string, v peer.Verdict) {
	switch v.Outcome {
	case "", peer.Done:
		l.throttle.RecordAccepted(flow(q, member), time.Now())
	case peer.NotRun:
		if v.Reason == reasonOverloaded || v.Reason == reasonExpired {
			l.throttle.RecordRefused(flow(q, member), v.RetryAfter, time.Now())
		}
	}
}

// pass reports whether the budgets let a request through to a member; it
// returns the route without its stream.
func (r *router) pass(q caller.Request, m *bundle.Member) (caller.Route, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	far := m.Region != r.d.c.Host.Region
	k := bundle.Rank(q.Header.Rank)
	ok, d := r.limits.throttle.Allow(flow(q, m.Name), rand.Float64(), time.Now())
	if q.Spilled && far && k == bundle.Background {
		ok, d = false, routeRetryAfter
	}
	if !ok {
		return caller.Route{}, r.d.refuse(q, m.Name, reasonOverloaded, d)
	}
	if !far {
		return caller.Route{Member: m.Name, Rank: k}, nil
	}
	if !r.limits.flight.Begin(m.Name, k) {
		return caller.Route{}, r.d.refuse(q, m.Name, reasonFlight, flightRetryAfter+time.Duration(rand.Float64()*float64(flightRetryAfter)))
	}
	if q.Header.Kind != peer.KindRead {
		return caller.Route{Member: m.Name, Rank: k, Far: true}, nil
	}
	n, d, ok := r.limits.link.Reserve(k, time.Now())
	if !ok {
		r.limits.flight.End(m.Name, k)
		return caller.Route{}, r.d.refuse(q, m.Name, reasonLink, d)
	}
	return caller.Route{Member: m.Name, Rank: k, Far: true, Reserved: n}, nil
}

// end gives back what pass took for a request.
func (l *limits) end(t caller.Route) {
	if t.Far {
		l.flight.End(t.Member, t.Rank)
	}
	if t.Reserved > 0 {
		l.link.Reconcile(t.Rank, t.Reserved, t.Received, time.Now())
	}
}
