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

// DefaultRegionLinkRate is a host's share of the link between regions in bytes
// a second: a sixth of 30 Mbit/s.
const DefaultRegionLinkRate = 30_000_000 / 8 / 6

// inFlightRetryAfter is the minimum retry-after interval while too many
// requests to another region are unanswered.
const inFlightRetryAfter = 500 * time.Millisecond

// Reasons of refusals by the entry because of load.
const (
	reasonOverloaded = "overloaded"
	reasonExpired    = "expired"
	reasonRegionLink = "region-link"
	reasonInFlight   = "in-flight"
)

// entryBudgets are the budgets for the requests that this daemon sends to owners.
type entryBudgets struct {
	throttle *budget.Throttle
	link     *budget.Link
	inFlight budget.InFlight
}

func newEntryBudgets(rate float64) entryBudgets {
	if rate <= 0 {
		rate = DefaultRegionLinkRate
	}
	return entryBudgets{
		throttle: budget.NewThrottle(budget.DefaultThrottle()), link: budget.NewLink(budget.DefaultLink(rate, 1)),
		inFlight: budget.InFlight{Limit: budget.DefaultInFlight},
	}
}

// routingMetrics counts routing decisions by rank and reason, and selects those
// that are logged.
type routingMetrics struct {
	routed  *prometheus.CounterVec
	refused *prometheus.CounterVec
	// logEvery N logs one in N decisions; zero and one log all.
	logEvery uint64
	count    atomic.Uint64
}

func newRoutingMetrics(every uint64) *routingMetrics {
	return &routingMetrics{
		logEvery: every,
		routed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_routed_total", Help: "Statements sent to owners by rank and reason of the choice.",
		}, []string{"rank", "reason"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_entry_refused_total", Help: "Statements refused at the entry by rank and reason.",
		}, []string{"rank", "reason"}),
	}
}

func (s *routingMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{s.routed, s.refused}
}

// shouldLog reports whether the next decision is logged.
func (s *routingMetrics) shouldLog() bool { return s.logEvery <= 1 || s.count.Add(1)%s.logEvery == 0 }

// refuseRequest counts and logs a refusal and returns it as an error.
func (d *Daemon) refuseRequest(q caller.Request, member, reason string, retryAfter time.Duration) error {
	k := bundle.Rank(q.Header.Rank).String()
	d.routingMetrics.refused.WithLabelValues(k, reason).Inc()
	if d.routingMetrics.shouldLog() {
		d.config.Log.Debug("statement refused", "group", q.Header.Group, "member", member, "rank", k, "reason", reason, "retry-after", retryAfter)
	}
	if reason != reasonOverloaded {
		member = ""
	}
	return Error.Wrap(&caller.RouteError{Reason: reason, RetryAfter: retryAfter, Member: member})
}

// throttleKey returns the throttle's key for a request to a member.
func throttleKey(q caller.Request, member string) budget.Flow {
	return budget.Flow{Member: member, Rank: bundle.Rank(q.Header.Rank), Caller: q.Header.Caller}
}

// recordVerdict updates the throttle with an owner's verdict.
func (l *entryBudgets) recordVerdict(q caller.Request, member string, v peer.Verdict) {
	switch v.Outcome {
	case "", peer.Done:
		l.throttle.RecordAccepted(throttleKey(q, member), time.Now())
	case peer.NotRun:
		if v.Reason == reasonOverloaded || v.Reason == reasonExpired {
			l.throttle.RecordRefused(throttleKey(q, member), v.RetryAfter, time.Now())
		}
	}
}

// admit reserves what a request to a member needs in the budgets, and returns the
// route, still without a stream. It fails if a budget is exhausted, and for a
// spilled background request to another region.
func (r *router) admit(q caller.Request, m *bundle.Member) (caller.Route, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	otherRegion := m.Region != r.daemon.config.Host.Region
	k := bundle.Rank(q.Header.Rank)
	ok, d := r.budgets.throttle.Allow(throttleKey(q, m.Name), rand.Float64(), time.Now())
	if q.Spilled && otherRegion && k == bundle.Background {
		ok, d = false, routeRetryAfter
	}
	if !ok {
		return caller.Route{}, r.daemon.refuseRequest(q, m.Name, reasonOverloaded, d)
	}
	if !otherRegion {
		return caller.Route{Member: m.Name, Rank: k}, nil
	}
	if !r.budgets.inFlight.Begin(m.Name, k) {
		return caller.Route{}, r.daemon.refuseRequest(q, m.Name, reasonInFlight, inFlightRetryAfter+time.Duration(rand.Float64()*float64(inFlightRetryAfter)))
	}
	if q.Header.Kind != peer.KindRead {
		return caller.Route{Member: m.Name, Rank: k, OtherRegion: true}, nil
	}
	n, d, ok := r.budgets.link.Reserve(k, time.Now())
	if !ok {
		r.budgets.inFlight.End(m.Name, k)
		return caller.Route{}, r.daemon.refuseRequest(q, m.Name, reasonRegionLink, d)
	}
	return caller.Route{Member: m.Name, Rank: k, OtherRegion: true, ReservedBytes: n}, nil
}

// release returns to the budgets what admit reserved for a request.
func (l *entryBudgets) release(t caller.Route) {
	if t.OtherRegion {
		l.inFlight.End(t.Member, t.Rank)
	}
	if t.ReservedBytes > 0 {
		l.link.Reconcile(t.Rank, t.ReservedBytes, t.ReceivedBytes, time.Now())
	}
}
