package pace

import (
	"math"
	"time"
)

const (
	// slowOpening is the factor beyond the usual time from which an opening is slow.
	slowOpening = 3
	// openingFall is the factor by which the limit falls after a slow opening.
	openingFall = 0.7
)

// openings finds how many connections are opened at a time: one more for each opening
// that takes the usual time, fewer after slow and refused ones.
type openings struct {
	// limit is between 1 and maximum.
	limit    float64
	maximum  float64
	usual    usual
	lastFall time.Time
}

func newOpenings(c Config, now time.Time) openings {
	n := float64(c.Connections)
	o := openings{limit: min(n, float64(c.Slots)), maximum: n, lastFall: now.Add(-busyInterval)}
	if c.Cold > 0 || c.Fresh {
		o.limit = max(1, math.Floor(o.limit/2))
	}
	return o
}

func (o *openings) current() int { return int(o.limit) }

func (o *openings) opened(took time.Duration, now time.Time) {
	x := math.Log(max(took, minTook).Seconds())
	slow := o.usual.known() && x > o.usual.mean+math.Log(slowOpening)
	o.usual.add(x)
	if slow {
		o.fall(openingFall, now)
		return
	}
	o.limit = min(o.limit+1, o.maximum)
}

func (o *openings) refused(now time.Time) { o.fall(0.5, now) }

// fall lowers the limit, once for each overload.
func (o *openings) fall(factor float64, now time.Time) {
	if d := now.Sub(o.lastFall); d >= 0 && d < busyInterval {
		return
	}
	o.lastFall = now
	o.limit = max(1, o.limit*factor)
}
