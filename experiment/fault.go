package experiment

import "slices"

// endRequests ends the requests of a dead owner: reads are sent again, writes that
// held a slot are in doubt, and the others were not run.
func (w *simulation) endRequests(o *owner, ids []uint64) {
	slices.Sort(ids)
	for _, id := range ids {
		q := o.requests[id]
		switch {
		case !w.classes[q.rank].write:
			w.returnToEntry(q, func() { w.retry(q) })
		default:
			q.ended = true
			w.returnToEntry(q, func() { w.report.recordInDoubt(w, q) })
		}
	}
}
