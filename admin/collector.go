package admin

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypick/dragonflypick/bundle"
)

var (
	versionDesc = prometheus.NewDesc("dragonflypick_bundle_version", "Bundle version in force.", nil, nil)
	callersDesc = prometheus.NewDesc("dragonflypick_callers", "Logged-in callers.", nil, nil)
	hostsDesc   = prometheus.NewDesc("dragonflypick_hosts", "Known entry hosts.", nil, nil)
	termDesc    = prometheus.NewDesc("dragonflypick_group_term", "Term of the group's primary.", []string{"group"}, nil)
	queueDesc   = prometheus.NewDesc("dragonflypick_queue", "Waiting requests.", []string{"member", "rank"}, nil)
)

// statusCollector exports the daemon's status as metrics.
type statusCollector struct{ status func() Status }

// Describe implements prometheus.Collector.
func (c *statusCollector) Describe(d chan<- *prometheus.Desc) {
	for _, x := range []*prometheus.Desc{versionDesc, callersDesc, hostsDesc, termDesc, queueDesc} {
		d <- x
	}
}

// Collect implements prometheus.Collector.
func (c *statusCollector) Collect(m chan<- prometheus.Metric) {
	s := c.status()
	g := prometheus.GaugeValue
	m <- prometheus.MustNewConstMetric(versionDesc, g, float64(s.BundleVersion))
	m <- prometheus.MustNewConstMetric(callersDesc, g, float64(s.Callers))
	m <- prometheus.MustNewConstMetric(hostsDesc, g, float64(len(s.HostIDs)))
	for _, x := range s.Groups {
		m <- prometheus.MustNewConstMetric(termDesc, g, float64(x.Term), x.Name)
		for _, y := range x.Members {
			for i, n := range y.Queues {
				m <- prometheus.MustNewConstMetric(queueDesc, g, float64(n), y.Name, bundle.Rank(i).String())
			}
		}
	}
}
