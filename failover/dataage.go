package failover

import (
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
)

const (
	// minSampleInterval is the minimum time between two samples.
	minSampleInterval = 20 * time.Millisecond
	// maxSamples bounds the number of samples, and thereby the greatest age that
	// DataAge can determine.
	maxSamples = 1024
)

// sample is a position that the primary reported, and when the report was
// requested: at that time the primary's position was no later.
type sample struct {
	requestedAt time.Time
	position    logpos.Position
}

// addSample records the primary's position, which was requested at the given time, so
// that an age computed from it is never too small. Callers add no sample of a primary
// that a majority doesn't confirm, because it may have been replaced.
func (g *Group) addSample(p logpos.Position, requestedAt time.Time) {
	n := len(g.samples)
	if n > 0 && (p.Less(g.samples[n-1].position) || requestedAt.Before(g.samples[n-1].requestedAt)) {
		return
	}
	if n > 1 && requestedAt.Sub(g.samples[n-2].requestedAt) < minSampleInterval {
		g.samples[n-1] = sample{requestedAt: requestedAt, position: p}
		return
	}
	if n == maxSamples {
		g.samples = append(g.samples[:0], g.samples[maxSamples/4:]...)
	}
	g.samples = append(g.samples, sample{requestedAt: requestedAt, position: p})
}

// DataAge returns an upper bound on the age of a member's data: the time since
// the primary last had no more data than the member has now. It returns false
// if no bound is known.
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

// MemberPosition returns the position that a member last reported, or the zero
// position if it isn't a member.
func (g *Group) MemberPosition(name string) logpos.Position {
	m := g.members[name]
	if m == nil {
		return logpos.Position{}
	}
	return m.status.Position
}
