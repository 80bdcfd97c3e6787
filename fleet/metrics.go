package fleet

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypick/dragonflypick/contain"
	"github.com/dragonflypick/dragonflypick/entry"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/storecopy"
)

// metrics counts requests by outcome and measures their latency.
type metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	// storeCalls counts the calls to the store by purpose.
	storeCalls *prometheus.CounterVec
	// pool counts the connections to members.
	pool *pool.Metrics
	// denied counts the callers that were denied because of their key.
	denied *prometheus.CounterVec
	// configurationVersion is the version of the configuration in force.
	configurationVersion prometheus.Gauge
	// storeEra is the era of the store; rewrites counts the group records that were
	// written again because the store had lost them.
	storeEra prometheus.Gauge
	rewrites prometheus.Counter
	// unheldGroups is the number of groups that have a primary and no holder.
	unheldGroups prometheus.Gauge
	placementMetrics
	// copyAge is the time since the local copy of the store was known to be current.
	copyAge prometheus.GaugeFunc
	rateMetrics
	// schedulingDelay is how long goroutines wait for a processor.
	schedulingDelay prometheus.Gauge
	// blockedReplacements counts the replacements of a primary that were given up since an
	// acknowledged commit might have been lost, by group.
	blockedReplacements *prometheus.CounterVec
	// closedPrimaries counts the draining primaries that got no new work any more before
	// they were replaced, by group.
	closedPrimaries *prometheus.CounterVec
	// paceDecisions counts the decisions on members' limits.
	paceDecisions *prometheus.CounterVec
}

// Purposes of the calls to the store.
const (
	purposeLoad         = "load"
	purposeWatch        = "watch"
	purposeHostLease    = "host-lease"
	purposeHostRecord   = "host-record"
	purposeHostRenewal  = "host-renewal"
	purposeGroupRead    = "group-read"
	purposeGroupWrite   = "group-write"
	purposeRelayedRead  = "relayed-read"
	purposeRelayedWrite = "relayed-write"
)

func (m *metrics) countStoreCall(purpose string) { m.storeCalls.WithLabelValues(purpose).Inc() }

func newMetrics(c *storecopy.Copy) *metrics {
	return &metrics{
		rateMetrics: newRateMetrics(), placementMetrics: newPlacementMetrics(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_requests_total", Help: "Statements by rank and outcome.",
		}, []string{"rank", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "dragonflypick_request_seconds", Help: "Time from a statement's arrival to its outcome.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}, []string{"rank"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_store_calls_total", Help: "Calls to the platform's store by purpose; host renewals and relayed calls included.",
		}, []string{"purpose"}),
		blockedReplacements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_blocked_replacements_total", Help: "Attempts to replace a failed primary that were given up, since an acknowledged commit might have been lost, by group.",
		}, []string{"group"}),
		closedPrimaries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_closed_primaries_total", Help: "Draining primaries that got no new work any more before they were replaced, by group.",
		}, []string{"group"}),
		pool: pool.NewMetrics(),
		denied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_denied_total", Help: "Sessions, operations and statements of transactions whose key belongs to no team, by stage.",
		}, []string{"stage"}),
		configurationVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dragonflypick_configuration_version", Help: "Version of the configuration in force; 0 before the first.",
		}),
		storeEra: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dragonflypick_store_era", Help: "How often the platform's store has come back from an older copy.",
		}),
		rewrites: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dragonflypick_group_records_rewritten_total", Help: "Group records written again because the store had come back from an older copy.",
		}),
		unheldGroups: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dragonflypick_groups_without_holder", Help: "Groups that have had a primary and no holder for a second.",
		}),
		paceDecisions: newPaceDecisions(), schedulingDelay: newSchedulingDelay(),
		copyAge: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "dragonflypick_store_copy_age_seconds", Help: "Time since the local copy of the store was known to contain all changes; -1 if it never was.",
		}, func() float64 {
			if d, ok := c.Age(now()); ok {
				return d.Seconds()
			}
			return -1
		}),
	}
}

// Collectors returns the collectors to register with a metrics server.
func (f *Daemon) Collectors() []prometheus.Collector {
	l := append(append(f.node.Collectors(), contain.Collectors()...), f.metrics.pool.Collectors()...)
	return append(l, f.metrics.requests, f.metrics.latency, f.metrics.storeCalls, f.metrics.configurationVersion, f.metrics.storeEra, f.metrics.rewrites, f.metrics.blockedReplacements, f.metrics.closedPrimaries, f.metrics.unheldGroups, f.metrics.copyAge, f.metrics.schedulingDelay, f.metrics.denied,
		f.metrics.admitted, f.metrics.refused, f.metrics.lent, f.metrics.lendCalls, f.metrics.paceDecisions, paceCollector{f},
		f.metrics.placements, f.metrics.catchUp, f.metrics.hedgedReads, f.metrics.outlierEvents, f.overload.refusals, f.overload.level, f.room.gapCount, f.room.refusals, pressureCollector{f})
}

// CountDenied counts a denial.
func (f *Daemon) CountDenied(g entry.Stage) { f.metrics.denied.WithLabelValues(string(g)).Inc() }

// recordOutcome counts and logs the outcome of a request that arrived at t. Of the
// successful requests it logs one in LogEvery.
func (f *Daemon) recordOutcome(r *query.Request, o *query.Response, t time.Time) {
	if r.Stage == query.Abandon {
		return
	}
	d := time.Since(t)
	w := "done"
	if o.Failure != nil {
		w = string(o.Failure.Reason)
	}
	f.metrics.requests.WithLabelValues(r.Rank.String(), w).Inc()
	f.metrics.latency.WithLabelValues(r.Rank.String()).Observe(d.Seconds())
	if o.Failure == nil && (f.config.LogEvery == 0 || f.succeeded.Add(1)%f.config.LogEvery != 0) {
		return
	}
	skipped := uint64(0)
	if o.Failure != nil {
		var ok bool
		if skipped, ok = f.failureLines.take(time.Now()); !ok {
			return
		}
	}
	l := f.config.Log.With("id", r.ID, "session", r.Session, "team", r.Team, "group", r.Group, "rank", r.Rank.String(), "use", r.Stage, "action", r.Action,
		"primary", r.Primary, "floor", r.Floor.String(), "max-age-ms", r.MaxAge.Milliseconds(), "member", o.Member, "owner", o.Owner,
		"position", o.Position.String(), "took-ms", d.Milliseconds(), "queue-ms", o.QueueWait.Milliseconds())
	if p := o.Placement; p != nil {
		l = l.With("placement", p.Reason, "expected-ms", p.Expected.Milliseconds(), "catch-up-ms", p.CatchUp.Milliseconds(), "report-age-ms", p.ReportAge.Milliseconds())
	}
	if o.Failure != nil {
		l.Info("request failed", "reason", w, "detail", o.Failure.Text, "retry-after-ms", o.Failure.RetryAfter.Milliseconds(), "skipped-lines", skipped)
		return
	}
	l.Info("request done")
}
