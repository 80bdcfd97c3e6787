package fleet

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/entry"
	"github.com/dragonflypick/dragonflypick/gap"
	"github.com/dragonflypick/dragonflypick/pressure"
	"github.com/dragonflypick/dragonflypick/query"
)

// room is what this daemon knows as an entry about the room that groups have. It
// guards itself, so that requests needn't take the daemon's lock for it.
type room struct {
	mu       sync.Mutex
	gaps     *gap.Table
	pressure *pressure.Table
	gapCount prometheus.GaugeFunc
	// refusals counts the requests that this entry refused without sending them.
	refusals *prometheus.CounterVec
}

func newRoom() *room {
	r := &room{
		gaps: gap.New(), pressure: pressure.NewTable(),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_entry_refusals_total", Help: "Requests that the entry refused without sending them, since the primary is overloaded, by rank.",
		}, []string{"rank"}),
	}
	r.gapCount = prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "dragonflypick_entry_gaps", Help: "Groups, each for primary work and for replica reads, that couldn't serve when last tried.",
	}, func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(r.gaps.Count(time.Now()))
	})
	return r
}

// routeWithinRoom routes a request and records what its outcome tells about the room
// of its group.
func (f *Daemon) routeWithinRoom(x context.Context, r *query.Request, pin *entry.Pin, t time.Time) query.Response {
	if !f.config.Features.Pressure || pin != nil {
		return f.route(x, r, pin, t)
	}
	if q := f.checkPressure(r); q != nil {
		return query.Response{Reply: query.Reply{Failure: q}}
	}
	o := f.route(x, r, pin, t)
	f.observeGap(r, &o, t)
	return o
}

// checkPressure returns a refusal if the primary that has to serve a request is
// overloaded and the request is one of those that entries refuse.
func (f *Daemon) checkPressure(r *query.Request) *query.Failure {
	if !r.Primary {
		return nil
	}
	v := f.decidePressure(r, rand.Float64)
	if !v.Refuse {
		return nil
	}
	f.room.refusals.WithLabelValues(r.Rank.String()).Inc()
	return &query.Failure{Reason: query.Overloaded, Text: pressureText(v), RetryAfter: v.RetryAfter}
}

// decidePressure decides whether a request for a primary is refused.
func (f *Daemon) decidePressure(r *query.Request, random func() float64) pressure.Verdict {
	f.room.mu.Lock()
	defer f.room.mu.Unlock()
	return f.room.pressure.Decide(pressure.Request{Group: r.Group, Rank: r.Rank, Chance: random(), Jitter: random()}, time.Now())
}

func pressureText(v pressure.Verdict) string {
	return "the primary is overloaded, level " + strconv.FormatFloat(v.Level, 'f', 2, 64)
}

// observePressure records what an answer tells about a group's primary.
func (f *Daemon) observePressure(r *query.Request, o *query.Response) {
	if !f.config.Features.Pressure || !r.Primary || o.Member == "" {
		return
	}
	var s pressure.State
	if o.Pressure != nil {
		s = *o.Pressure
	}
	f.room.mu.Lock()
	defer f.room.mu.Unlock()
	f.room.pressure.Observe(r.Group, s, time.Now())
}

// observeGap records whether the group served a request that arrived at t, and
// otherwise sets when the caller is to return.
func (f *Daemon) observeGap(r *query.Request, o *query.Response, t time.Time) {
	f.room.mu.Lock()
	defer f.room.mu.Unlock()
	k, n := gap.Key{Group: r.Group, Primary: r.Primary}, time.Now()
	switch {
	case o.Failure == nil:
		f.room.gaps.Served(k)
		return
	case o.Unavailable || r.Primary && (o.Failure.Reason == query.Moved || o.Failure.Reason == query.Unreachable):
		f.room.gaps.Blocked(k, t, n)
	default:
		return
	}
	if d, ok := f.room.gaps.ReturnAfter(k, r.Rank, rand.Float64(), n); ok && o.Failure.Reason.NotRun() {
		o.Failure.RetryAfter = d
	}
}

// meanRate is the mean rate of the teams of a configuration.
type meanRate struct {
	catalog *catalog.Catalog
	rate    float64
}

// teamWeight returns a team's share of a member's slot time relative to other teams:
// its rate relative to the mean rate, so that a team within its rate has the room
// that it was promised. A team without a rate has the mean.
func (f *Daemon) teamWeight(team string) float64 {
	c := f.Catalog()
	if c == nil || c.Teams[team].Rate <= 0 {
		return 1
	}
	m := f.meanTeamRate.Load()
	if m == nil || m.catalog != c {
		m = newMeanRate(c)
		f.meanTeamRate.Store(m)
	}
	return c.Teams[team].Rate / m.rate
}

func newMeanRate(c *catalog.Catalog) *meanRate {
	s, n := 0.0, 0
	for _, t := range c.Teams {
		if t.Rate > 0 {
			s += t.Rate
			n++
		}
	}
	return &meanRate{catalog: c, rate: s / float64(max(n, 1))}
}

var pressureLevel = prometheus.NewDesc("dragonflypick_member_pressure_level", "Share of the requests for a member owned by this host that entries are told to refuse, by rank.", []string{"member", "rank"}, nil)

// pressureCollector collects the levels of the members that this host owns.
type pressureCollector struct{ f *Daemon }

// Describe implements prometheus.Collector.
func (c pressureCollector) Describe(o chan<- *prometheus.Desc) { o <- pressureLevel }

// Collect implements prometheus.Collector.
func (c pressureCollector) Collect(o chan<- prometheus.Metric) {
	if !c.f.config.Features.Pressure {
		return
	}
	c.f.mu.Lock()
	l := map[string]pressure.Levels{}
	for id, p := range c.f.pools {
		l[id] = p.PressureLevels()
	}
	c.f.mu.Unlock()
	for id, k := range l {
		for r, x := range k {
			o <- prometheus.MustNewConstMetric(pressureLevel, prometheus.GaugeValue, x, id, bundle.Rank(r).String())
		}
	}
}
