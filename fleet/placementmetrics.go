package fleet

import "github.com/prometheus/client_golang/prometheus"

// placementMetrics show where reads go and why.
type placementMetrics struct {
	// placements counts the reads by the member's role and the reason of the choice.
	placements *prometheus.CounterVec
	// catchUp measures how long reads waited for a replica's log.
	catchUp prometheus.Histogram
	// hedgedReads counts the reads that were slower than expected, by what was done.
	hedgedReads *prometheus.CounterVec
	// outlierEvents counts the ejections, probes and returns of members.
	outlierEvents *prometheus.CounterVec
}

// Values of the label of hedgedReads.
const (
	hedgeSent     = "sent"
	hedgeWon      = "won"
	hedgeNoBudget = "no-budget"
	hedgeNoMember = "no-member"
)

// Values of the label of outlierEvents.
const (
	outlierEjected  = "ejected"
	outlierProbed   = "probed"
	outlierReturned = "returned"
)

// Values of the label role of placements.
const (
	rolePrimary = "primary"
	roleReplica = "replica"
)

func newPlacementMetrics() placementMetrics {
	return placementMetrics{
		placements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_read_placements_total", Help: "Reads by the role of the chosen member and the reason of the choice.",
		}, []string{"role", "reason"}),
		catchUp: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "dragonflypick_read_catch_up_seconds", Help: "Time that reads waited at a replica's owner for the replica's log.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 10),
		}),
		hedgedReads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_read_hedges_total", Help: "Reads that were not answered in the expected time, by what was done.",
		}, []string{"result"}),
		outlierEvents: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_outlier_events_total", Help: "Ejections, probes and returns of members by this daemon.",
		}, []string{"event"}),
	}
}
