// Package schedlatency measures how long the goroutines of this process wait for a
// processor once they could run. It shows that the process asks for more processor time
// than it gets, whatever its quota is.
package schedlatency

import (
	"math"
	"runtime/metrics"
	"time"
)

// metricName is the runtime's histogram of the time that goroutines spend runnable before
// they run.
const metricName = "/sched/latencies:seconds"

// Meter measures from one call of Quantile to the next. It is not safe for concurrent use.
type Meter struct {
	sample []metrics.Sample
	last   []uint64
}

// New returns a meter that measures from now on.
func New() *Meter {
	m := &Meter{sample: []metrics.Sample{{Name: metricName}}}
	m.Quantile(1)
	return m
}

// Quantile returns the waiting time that a share q of the waits since the last call didn't
// exceed; zero if there were none.
func (m *Meter) Quantile(q float64) time.Duration {
	metrics.Read(m.sample)
	if m.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := m.sample[0].Value.Float64Histogram()
	d := quantile(h.Buckets, h.Counts, m.last, q)
	m.last = append(m.last[:0], h.Counts...)
	return d
}

// quantile returns the upper bound, in seconds, of the bucket that holds quantile q of the
// counts that were added to last. last may be empty.
func quantile(bounds []float64, counts, last []uint64, q float64) time.Duration {
	added := func(i int) uint64 {
		if i < len(last) {
			return counts[i] - last[i]
		}
		return counts[i]
	}
	total := uint64(0)
	for i := range counts {
		total += added(i)
	}
	if total == 0 {
		return 0
	}
	rank := uint64(math.Ceil(q * float64(total)))
	for i := range counts {
		n := added(i)
		if n < rank {
			rank -= n
			continue
		}
		b := bounds[i+1]
		if math.IsInf(b, 1) {
			b = bounds[i]
		}
		return time.Duration(b * float64(time.Second))
	}
	return 0
}
