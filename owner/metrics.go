package owner

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/peer"
)

// metrics holds the metrics of served streams.
type metrics struct {
	streams      *prometheus.CounterVec
	reads        *prometheus.CounterVec
	majorityWait prometheus.Histogram
}

func newMetrics() *metrics {
	return &metrics{
		streams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_streams_total", Help: "Statement streams by rank, kind, outcome and reason.",
		}, []string{"group", "rank", "kind", "outcome", "reason"}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_reads_total", Help: "Reads served by role of the member and rank.",
		}, []string{"role", "rank"}),
		majorityWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "dragonflypick_majority_wait_seconds", Help: "Time that writes waited for a majority.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
	}
}

// Collectors returns the owner's metrics.
func (o *Owner) Collectors() []prometheus.Collector {
	return []prometheus.Collector{o.metrics.streams, o.metrics.reads, o.metrics.majorityWait}
}

// countStream counts a stream that has ended, by its outcome.
func (m *metrics) countStream(h peer.Header, v peer.Verdict) {
	r := v.Outcome
	if r == "" {
		r = peer.Done
	}
	m.streams.WithLabelValues(h.Group, bundle.Rank(h.Rank).String(), string(h.Kind), string(r), v.Reason).Inc()
}

// countRead counts a read that is being served, by the role of the member.
func (m *metrics) countRead(h peer.Header, role string) {
	m.reads.WithLabelValues(role, bundle.Rank(h.Rank).String()).Inc()
}
