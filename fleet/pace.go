package fleet

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/pace"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
)

// Timing and limits of what hosts tell each other about the members' pace.
const (
	// freshAge is how long after its start a member may still be slow.
	freshAge = 10 * time.Second
	// paceMaxAge is how long the limits that another owner found are used. The usual
	// times of statements are used without a bound.
	paceMaxAge = 10 * time.Second
	// paceEvery and limitedPaceEvery are how many responses are sent for each that
	// tells the pace, while the member uses all slots and while it doesn't. The first
	// is a multiple of the second.
	paceEvery        = 16
	limitedPaceEvery = 4
	// maxKnownPaces bounds the members whose pace is known, including those that
	// have left.
	maxKnownPaces = 1024
)

// knownPace is what is known of a member's pace.
type knownPace struct {
	state pace.State
	at    time.Time
	// startMillis is the member's start when the state was told.
	startMillis int64
}

// paceConfig returns the pacing of a member's new pool, nil if it is off; f.mu is
// held.
func (f *Daemon) paceConfig(m catalog.Member) *pool.PaceConfig {
	if !f.config.Features.UnevenMembers {
		return nil
	}
	c := &pool.PaceConfig{Observe: f.countPaceDecision}
	if m.StartMillis > 0 {
		c.Fresh = time.Since(time.UnixMilli(m.StartMillis)).Abs() < freshAge
	}
	c.Known = f.knownPaceOf(m, now())
	return c
}

// knownPaceOf returns what is known of a member's pace, or else the usual times of
// another member of its group; f.mu is held.
func (f *Daemon) knownPaceOf(m catalog.Member, n time.Time) *pace.State {
	k, ok := f.paces[m.ID]
	if !ok {
		for _, o := range f.table.GroupMembers(m.Group) {
			if k, ok = f.paces[o.ID]; ok {
				break
			}
		}
	}
	if !ok {
		return nil
	}
	s := k.state
	if _, own := f.paces[m.ID]; !own || k.startMillis != m.StartMillis || n.Sub(k.at) > paceMaxAge {
		s = pace.State{Usual: s.Usual}
	}
	return &s
}

// tellPace adds the pace of a member that this host owns to some of the responses
// to other hosts.
func (f *Daemon) tellPace(o *query.Response) {
	if !f.config.Features.UnevenMembers || o.Member == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[o.Member]
	if p == nil {
		return
	}
	p.responses++
	if p.responses%limitedPaceEvery != 0 {
		return
	}
	s, ok := p.Pace()
	if ok && (s.Limit < p.Member().Slots || p.responses%paceEvery == 0) {
		o.Pace = &s
	}
}

// learnPace records the pace of a member that its owner has told; f.mu is held.
func (f *Daemon) learnPace(o *query.Response) {
	if o.Pace == nil || !f.config.Features.UnevenMembers {
		return
	}
	if m, ok := f.table.Member(o.Member); ok {
		f.recordPace(m, *o.Pace)
	}
}

// keepPace records the pace that a pool of this host has found; f.mu is held.
func (f *Daemon) keepPace(p *pool.Pool) {
	if s, ok := p.Pace(); ok {
		f.recordPace(p.Member(), s)
	}
}

// recordPace records a member's pace; f.mu is held.
func (f *Daemon) recordPace(m catalog.Member, s pace.State) {
	if _, ok := f.paces[m.ID]; !ok && len(f.paces) >= maxKnownPaces {
		for id := range f.paces {
			if _, ok := f.table.Member(id); !ok {
				delete(f.paces, id)
			}
		}
	}
	f.paces[m.ID] = knownPace{state: s, at: now(), startMillis: m.StartMillis}
}

// newPaceDecisions returns the counter of decisions on members' limits.
func newPaceDecisions() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "dragonflypick_pace_decisions_total", Help: "Decisions on the number of statements that a member runs at a time, by reason and direction.",
	}, []string{"reason", "direction"})
}

// countPaceDecision counts a decision on a member's limit.
func (f *Daemon) countPaceDecision(c pace.Change) {
	d := "keep"
	switch {
	case c.To > c.From:
		d = "rise"
	case c.To < c.From:
		d = "fall"
	}
	f.metrics.paceDecisions.WithLabelValues(string(c.Reason), d).Inc()
}

var (
	paceLimit    = prometheus.NewDesc("dragonflypick_member_statement_limit", "Statements that a member owned by this host runs at a time.", []string{"member"}, nil)
	paceOpenings = prometheus.NewDesc("dragonflypick_member_opening_limit", "Connections that are opened at a time to a member owned by this host.", []string{"member"}, nil)
)

// paceCollector collects the limits of the members that this host owns.
type paceCollector struct{ f *Daemon }

// Describe implements prometheus.Collector.
func (c paceCollector) Describe(o chan<- *prometheus.Desc) {
	o <- paceLimit
	o <- paceOpenings
}

// Collect implements prometheus.Collector.
func (c paceCollector) Collect(o chan<- prometheus.Metric) {
	c.f.mu.Lock()
	l := map[string]pace.State{}
	for id, p := range c.f.pools {
		if s, ok := p.Pace(); ok {
			l[id] = s
		}
	}
	c.f.mu.Unlock()
	for id, s := range l {
		o <- prometheus.MustNewConstMetric(paceLimit, prometheus.GaugeValue, float64(s.Limit), id)
		o <- prometheus.MustNewConstMetric(paceOpenings, prometheus.GaugeValue, float64(s.Openings), id)
	}
}
