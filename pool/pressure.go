package pool

import (
	"slices"
	"sync"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/pressure"
	"github.com/dragonflypick/dragonflypick/query"
)

// pressureGauge measures how overloaded a pool's member is.
type pressureGauge struct {
	mu    sync.Mutex
	gauge pressure.Gauge
	// excess holds the teams in excess that were logged at loggedAt.
	excess   []string
	loggedAt time.Time
}

// account returns the name under which a request's refusals are counted.
func account(r *query.Request) string {
	if r.Team != "" {
		return r.Team
	}
	return r.Session
}

// executeCounted runs a function for a request that needs a slot of its own. If no
// other member may serve it, it counts whether it got one.
func (p *Pool) executeCounted(r *query.Request, run func() query.Reply) query.Reply {
	if !p.config.EarlyRefusal || !r.Primary {
		return run()
	}
	g := &p.pressure
	g.mu.Lock()
	g.gauge.Arrived(r.Rank)
	g.mu.Unlock()
	o := run()
	g.mu.Lock()
	defer g.mu.Unlock()
	if f := o.Failure; f != nil && f.Reason == query.Overloaded && f.RetryAfter > 0 {
		g.gauge.Refused(r.Rank, account(r))
	} else {
		g.gauge.Started(r.Rank)
	}
	return o
}

// Pressure returns what entries are to know about the member, or nil if it isn't
// overloaded.
func (p *Pool) Pressure() *pressure.State {
	if !p.config.EarlyRefusal {
		return nil
	}
	g := &p.pressure
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := time.Now(); g.gauge.Due(n) {
		p.updatePressure(n)
	}
	l := g.gauge.Levels()
	if l.IsZero() {
		return nil
	}
	return &pressure.State{Levels: l, Returns: p.slots.Returns()}
}

// updatePressure updates the levels and logs when the member becomes overloaded or
// isn't any more, and which teams use far more than their share; p.pressure.mu is
// held.
func (p *Pool) updatePressure(n time.Time) {
	g := &p.pressure
	for r := range bundle.Rank(bundle.RankCount) {
		p.slots.RefusedElsewhere(r, g.gauge.RefusedByEntries(r))
	}
	old := g.gauge.Levels()
	g.gauge.Update(p.slots.Stalled(), n)
	if l := g.gauge.Levels(); l.IsZero() != old.IsZero() {
		p.config.Log.Info("member pressure changed", "member", p.config.Member.ID, "levels", l, "was", old, "waiting", p.slots.Depth())
	}
	if e := p.slots.TeamsInExcess(); !slices.Equal(e, g.excess) && n.Sub(g.loggedAt) >= excessLogInterval {
		p.config.Log.Info("teams over their share of a member", "member", p.config.Member.ID, "teams", e[:min(len(e), maxLoggedTeams)], "count", len(e))
		g.excess, g.loggedAt = e, n
	}
}

const (
	// maxLoggedTeams bounds the teams that a log line names.
	maxLoggedTeams = 5
	// excessLogInterval is the least time between two lines about the teams in excess,
	// among which a team near the limit is every other moment.
	excessLogInterval = time.Second
)

// PressureLevels returns the share of each rank's requests that entries are told to
// refuse.
func (p *Pool) PressureLevels() pressure.Levels {
	p.pressure.mu.Lock()
	defer p.pressure.mu.Unlock()
	return p.pressure.gauge.Levels()
}
