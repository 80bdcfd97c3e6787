package fleet

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypick/dragonflypick/overload"
	"github.com/dragonflypick/dragonflypick/schedlatency"
)

// delayQuantile selects the scheduling delay that tells how short the processor is.
const delayQuantile = 0.9

func newSchedulingDelay() prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "dragonflypick_scheduling_delay_seconds", Help: "Time that nine in ten goroutines waited at most for a processor in the last 100 ms.",
	})
}

// watchProcessor measures how short the processor is until the context ends.
func (f *Daemon) watchProcessor(x context.Context) error {
	m := schedlatency.New()
	t := time.NewTicker(overload.UpdateInterval)
	defer t.Stop()
	var since time.Time
	peak := 0.0
	for {
		select {
		case <-x.Done():
			return nil
		case <-t.C:
		}
		d := m.Quantile(delayQuantile)
		f.metrics.schedulingDelay.Set(d.Seconds())
		l := f.overload.update(d)
		peak = max(peak, l)
		switch {
		case l > 0 && since.IsZero():
			since, peak = time.Now(), l
			f.config.Log.Warn("processor overloaded", "delay-us", d.Microseconds(), "level", l, "copy-age-ms", f.copyAgeMillis())
		case l == 0 && !since.IsZero():
			f.config.Log.Info("processor no longer overloaded", "took-ms", time.Since(since).Milliseconds(), "peak-level", peak, "copy-age-ms", f.copyAgeMillis())
			since = time.Time{}
		}
	}
}
