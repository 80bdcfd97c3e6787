// Package pressure makes entries refuse the least urgent work of an overloaded backend
// server by themselves. Gauge is the part of the server's owner: it turns what its queue
// refuses into a level for each rank, which travels on the owner's answers. Table is the
// part of an entry: it refuses that share of each rank's requests. The package does no
// I/O, reads no clock and draws no random numbers.
//
// The load that it answers: callers ask for more than a server can do, for seconds. Its
// queue refuses the excess, the least urgent first, but each refused request has crossed
// the network and cost its owner's time. The levels hold the excess that arrives at a
// fraction, so that the queue, which knows teams and deadlines, still decides, and no
// slot is ever idle because of them.
package pressure

import (
	"math"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

const (
	// updateInterval is the time between two changes of a gauge's levels. It is longer
	// than a round trip to another region, after which a change shows.
	updateInterval = 100 * time.Millisecond
	// targetRefused is the share of the arriving requests that the queue is left to
	// refuse while the server is overloaded.
	targetRefused = 0.25
	// rateWeight is the weight of the newest interval in the rates of arrivals and
	// starts, smoothing the part of a computed change of a level that is made at once.
	rateWeight = 0.4
	smoothing  = 0.4
	// release is the factor by which a level falls in an interval in which the queue
	// refuses nothing.
	release = 0.7
	// minLevel is the least level above zero.
	minLevel = 0.02
)

// highestLevels bound the levels of the ranks. What is left shows when there is room
// again. Urgent requests are always decided on by the queue.
var highestLevels = Levels{bundle.Routine: 0.9, bundle.Background: 0.95}

// Levels holds for each rank the share of requests that entries refuse.
type Levels [bundle.RankCount]float64

// IsZero reports whether nothing is to be refused.
func (l Levels) IsZero() bool { return l == Levels{} }

// State is what an owner tells entries about a server.
type State struct {
	Levels Levels `json:"l"`
	// Returns is for each rank the time within which the server has room for the
	// callers that were refused.
	Returns [bundle.RankCount]time.Duration `json:"r"`
}

// Gauge computes the levels of one backend server. It is not safe for concurrent use.
type Gauge struct {
	levels  Levels
	ranks   [bundle.RankCount]rankGauge
	updated time.Time
}

// rankGauge measures the requests of one rank.
type rankGauge struct {
	// arrived, started and refused count since the last update; refused counts by
	// account, which is a team or a session.
	arrived, started int
	refused          map[string]int
	// arrivals, starts and wanted are the mean numbers in an interval. wanted includes
	// what entries refused.
	arrivals, starts, wanted float64
}

// Arrived records a request at the queue of the server.
func (g *Gauge) Arrived(r bundle.Rank) { g.ranks[r].arrived++ }

// Started records that a request got a slot.
func (g *Gauge) Started(r bundle.Rank) { g.ranks[r].started++ }

// Refused records that the queue refused a request of an account.
func (g *Gauge) Refused(r bundle.Rank, account string) {
	if g.ranks[r].refused == nil {
		g.ranks[r].refused = map[string]int{}
	}
	g.ranks[r].refused[account]++
}

// RefusedByEntries returns how many requests of a rank entries have refused since the
// last update, as far as the levels tell.
func (g *Gauge) RefusedByEntries(r bundle.Rank) int {
	return int(float64(g.ranks[r].arrived) * g.levels[r] / (1 - g.levels[r]))
}

// Due reports whether the levels are to be updated.
func (g *Gauge) Due(now time.Time) bool { return now.Sub(g.updated) >= updateInterval }

// Update changes the levels by what has happened since the last update. While the
// server is stalled its refusals don't count: it isn't overloaded but fails, and
// requests that wait may be served when it recovers.
func (g *Gauge) Update(stalled bool, now time.Time) {
	intervals := max(now.Sub(g.updated)/updateInterval, 1)
	g.updated = now
	for r := range g.ranks {
		if stalled {
			g.ranks[r].refused = nil
		}
		l := g.ranks[r].next(g.levels[r], float64(intervals))
		if l < minLevel {
			l = 0
		}
		g.levels[r] = min(l, highestLevels[r])
	}
}

// next returns the next level, a number of intervals after the last one.
func (g *rankGauge) next(level, intervals float64) float64 {
	all, most := 0, 0
	for _, n := range g.refused {
		all += n
		most = max(most, n)
	}
	// An account that asks for far more than others waits behind itself.
	common := all - most
	arrived := float64(max(g.arrived-most, 0))
	g.arrivals += rateWeight * (arrived - g.arrivals)
	g.starts += rateWeight * (float64(g.started) - g.starts)
	g.wanted += rateWeight * (arrived/(1-level) - g.wanted)
	g.arrived, g.started, g.refused = 0, 0, nil
	if common == 0 {
		return level * math.Pow(release, intervals)
	}
	to := 1 - g.starts/((1-targetRefused)*max(g.wanted, 1))
	return level + smoothing*(max(to, 0)-level)
}

// Levels returns the present levels.
func (g *Gauge) Levels() Levels { return g.levels }
