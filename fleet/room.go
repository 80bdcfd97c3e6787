package fleet

import (
	"github.com/dragonflypick/dragonflypick/catalog"
)

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
