// Package overload decides what an entry refuses by itself, before it spends more on a
// request than a refusal costs: operations that this host has no processor time for, and
// operations that the backend server's owner would refuse. The package does no I/O, reads
// no clock and draws no random numbers.
//
// The load that it answers: callers ask for more than there is room for, for seconds, and
// come back when they are refused. Passing a request on to its owner costs about as much
// as serving it, so that a host which passes on all of them has no time left for those
// that could be served. Requests of open transactions are never refused here: their
// operations have been paid for in part.
package overload

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// UpdateInterval is the time between two updates of a Gauge.
const UpdateInterval = 100 * time.Millisecond

const (
	// targetDelay is how long each step of a statement may wait for the processor.
	targetDelay = 4 * time.Millisecond
	// rise is by how much the level rises in an interval in which work waits for twice
	// targetDelay, maxRise by how much it rises at most, and fall by how much it falls in
	// one in which work doesn't wait.
	rise    = 0.003
	maxRise = 0.2
	fall    = 0.08
	// highestShare bounds the share of a rank that is refused. What is left shows when
	// there is room again.
	highestShare = 0.98
	// minReturn and maxReturn bound the time after which refused callers are to return.
	minReturn = 250 * time.Millisecond
	maxReturn = 4 * time.Second
)

// Gauge decides which new operations a host refuses because its processor is short. It is
// not safe for concurrent use.
type Gauge struct {
	// level is the number of ranks that are refused, the least urgent first; its fraction
	// is the share of the next rank.
	level float64
}

// Update changes the level by how long work has waited for the processor in the last
// UpdateInterval.
func (g *Gauge) Update(delay time.Duration) {
	x := float64(delay)/float64(targetDelay) - 1
	if x > 0 {
		g.level += min(rise*x, maxRise)
	} else {
		g.level += fall * x
	}
	g.level = min(max(g.level, 0), bundle.RankCount)
}

// Level returns the number of ranks that are refused.
func (g *Gauge) Level() float64 { return g.level }

// Share returns the share of a rank's new operations that are refused.
func (g *Gauge) Share(r bundle.Rank) float64 {
	return min(max(g.level-float64(bundle.RankCount-1-r), 0), highestShare)
}

// Refuse reports whether a new operation is refused, and after which time its caller is to
// return: when half of the rank would be served, if work stopped waiting now. chance and
// jitter are random numbers between 0 and 1.
func (g *Gauge) Refuse(r bundle.Rank, chance, jitter float64) (time.Duration, bool) {
	s := g.Share(r)
	if chance >= s {
		return 0, false
	}
	d := minReturn + time.Duration(float64(UpdateInterval)*max(g.level-float64(bundle.RankCount-1-r)-0.5, 0)/fall)
	return min(d+time.Duration(jitter*float64(d)), maxReturn), true
}
