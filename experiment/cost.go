package experiment

import "math"

// Constants of the exponential cost.
const (
	costBase = 1000
	costHop  = 10
)

// cheapest picks the untried server with the least exponential cost of the
// slots and the region link that the request takes up.
func (w *world) cheapest(e *entry, q *request) (int, bool) {
	best, least := -1, math.Inf(1)
	for i := q.group * domains; i < (q.group+1)*domains; i++ {
		s := w.servers[i]
		if q.tried[s.name] {
			continue
		}
		f := float64(e.outstanding[i]*w.c.Fleet.Entries) / float64(w.c.Fleet.Slots*domains)
		d := 1 / float64(w.c.Fleet.Slots)
		c := exponential(f, d)
		if region(s.domain) != region(e.domain) {
			c += exponential(w.linkUse(s.domain), float64(w.classes[q.rank].reply)/w.c.Fleet.Link) + costHop
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

// exponential is the cost of raising the use of a resource from f by d.
func exponential(f, d float64) float64 {
	f = min(f, 3)
	return math.Pow(costBase, f+d) - math.Pow(costBase, f)
}

// linkUse returns how much of a second the link from a failure domain is
// booked ahead.
func (w *world) linkUse(from int) float64 {
	i := 0
	if from == domains-1 {
		i = 1
	}
	return max(w.links[i]-w.now, 0).Seconds()
}
