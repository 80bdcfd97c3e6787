package pace_test

import (
	"math"

	"github.com/dragonflypick/dragonflypick/pace"
)

// The controls below are those that docs/design/pace.md weighs.

// fixed sends what the server has slots for, and one statement more.
type fixed struct{}

func (fixed) limit(float64) int               { return modelSlots + 1 }
func (fixed) answered(pace.Answered, float64) {}

// ramp raises the limit from 1 to all slots in ten seconds.
type ramp struct{}

func (ramp) limit(t float64) int             { return min(1+int(t/2), modelSlots+1) }
func (ramp) answered(pace.Answered, float64) {}

// meanWindow is the mean time of the last answers of any kind.
type meanWindow struct {
	sum float64
	n   int
}

// add returns the mean when there are enough answers for a limit.
func (m *meanWindow) add(a pace.Answered, limit float64) (float64, bool) {
	m.sum, m.n = m.sum+a.Took.Seconds(), m.n+1
	if m.n < int(8*limit) {
		return 0, false
	}
	o := m.sum / float64(m.n)
	*m = meanWindow{}
	return o, true
}

// usualTime is the mean time of the model's statements, with their tail.
var usualTime = (modelTimes[0] + modelTimes[1] + modelTimes[2]) / 3 * 1.18

// additive raises the limit by 1 while the mean time is in line, and lowers it by a
// factor otherwise.
type additive struct {
	l float64
	w meanWindow
}

func (c *additive) limit(float64) int { return int(c.l) }

func (c *additive) answered(a pace.Answered, _ float64) {
	if m, ok := c.w.add(a, c.l); ok {
		if m > 1.5*usualTime {
			c.l = max(1, 0.7*c.l)
		} else {
			c.l = min(modelSlots+1, c.l+1)
		}
	}
}

// gradient follows the ratio of the long-term to the short-term mean time.
type gradient struct {
	l, long float64
	w       meanWindow
}

func (c *gradient) limit(float64) int { return int(c.l) }

func (c *gradient) answered(a pace.Answered, _ float64) {
	c.long += 0.002 * (a.Took.Seconds() - c.long)
	if m, ok := c.w.add(a, c.l); ok {
		g := min(max(1.5*c.long/m, 0.5), 1)
		c.l = min(max(0.8*c.l+0.2*(c.l*g+math.Sqrt(c.l)), 1), modelSlots+1)
	}
}

// delay estimates the statements that wait at the server from the least mean time.
type delay struct {
	l, least float64
	w        meanWindow
}

func (c *delay) limit(float64) int { return int(c.l) }

func (c *delay) answered(a pace.Answered, _ float64) {
	if m, ok := c.w.add(a, c.l); ok {
		if c.least == 0 || m < c.least {
			c.least = m
		}
		switch q := c.l * (1 - c.least/m); {
		case q < 1:
			c.l = min(modelSlots+1, c.l+1)
		case q > 2:
			c.l = max(1, c.l-1)
		}
	}
}
