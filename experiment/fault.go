package experiment

import "slices"

// lost ends the requests of a dead owner: reads are sent again, writes that
// held a slot are in doubt, and the others were not run.
func (w *world) lost(o *owner, ids []uint64) {
	slices.Sort(ids)
	for _, id := range ids {
		q := o.requests[id]
		switch {
		case !w.classes[q.rank].write:
			w.back(q, func() { w.repeat(q) })
		default:
			q.ended = true
			w.back(q, func() { w.r.doubt(w, q) })
		}
	}
}
