package failover

import (
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
)

const (
	// minSampleInterval is the least time between two samples.
	minSampleInterval = 20 * time.Millisecond
	// maxSamples bounds the samples, and so the greatest age that is known.
	maxSamples = 1024
)

// addSample is a position that the primary had at the moment at or after it.
type sample struct {
	requestedAt time.Time
	position    logpos.Position
}

// addSample records the primary's position. The time is when the request for it
// left, so that an age computed from it is never too small. A primary that a
// majority doesn't confirm gives no sample: it may have been replaced.
func (g *Group) addSample(p logpos.Position, at time.Time) {
	n := len(g.samples)
	if n > 0 && (p.Less(g.samples[n-1].position) || at.Before(g.samples[n-1].requestedAt)) {
		return
	}
	if n > 1 && at.Sub(g.samples[n-2].requestedAt) < minSampleInterval {
		g.samples[n-1] = sample{requestedAt: at, position: p}
		return
	}
	if n == maxSamples {
		g.samples = append(g.samples[:0], g.samples[maxSamples/4:]...)
	}
	g.samples = append(g.samples, sample{requestedAt: at, position: p})
}

// DataAge returns an upper bound of how old a member's data are: the time since
// the primary was last known to hold no more than the member does now. It
// returns false if no bound is known.
func (g *Group) DataAge(name string, now time.Time) (time.Duration, bool) {
	m := g.members[name]
	if m == nil || !m.reported {
		return 0, false
	}
	for i := len(g.samples) - 1; i >= 0; i-- {
		if !m.status.Position.Less(g.samples[i].position) {
			return now.Sub(g.samples[i].requestedAt), true
		}
	}
	return 0, false
}

// MemberPosition returns the last position that a member has reported.
func (g *Group) MemberPosition(name string) logpos.Position {
	m := g.members[name]
	if m == nil {
		return logpos.Position{}
	}
	return m.status.Position
}
