package experiment

import "math"

// Constants of the exponential cost.
const (
	costBase = 1000
	// interRegionCost is added for a server in another region.
	interRegionCost = 10
)

// leastCostServer returns the untried server with the lowest exponential cost
// of the slot and the share of the region link that the request takes up.
func (w *simulation) leastCostServer(e *entry, q *request) (int, bool) {
	best, least := -1, math.Inf(1)
	for i := q.group * domainCount; i < (q.group+1)*domainCount; i++ {
		s := w.servers[i]
		if q.tried[s.name] {
			continue
		}
		f := float64(e.outstanding[i]*w.config.Fleet.Entries) / float64(w.config.Fleet.Slots*domainCount)
		d := 1 / float64(w.config.Fleet.Slots)
		c := exponentialCost(f, d)
		if region(s.domain) != region(e.domain) {
			c += exponentialCost(w.linkBacklogSeconds(s.domain), float64(w.rankLoads[q.rank].replyBytes)/w.config.Fleet.LinkRate) + interRegionCost
		}
		if s.domain != e.domain {
			c += d
		}
		if c < least {
			best, least = i, c
		}
	}
	return best, best >= 0
}

// exponentialCost returns the cost of increasing the utilization of a resource
// from f by d.
func exponentialCost(f, d float64) float64 {
	f = min(f, 3)
	return math.Pow(costBase, f+d) - math.Pow(costBase, f)
}

// linkBacklogSeconds returns the time in seconds for which messages that are
// already queued occupy the link from a failure domain.
func (w *simulation) linkBacklogSeconds(from int) float64 {
	i := 0
	if from == domainCount-1 {
		i = 1
	}
	return max(w.linkFreeAt[i]-w.now, 0).Seconds()
}
