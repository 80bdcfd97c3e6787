package experiment

import "slices"

// endRequestsAtKilledOwner ends the requests at a killed owner: reads are
// retried and writes are in doubt.
func (w *simulation) endRequestsAtKilledOwner(o *owner, ids []uint64) {
	slices.Sort(ids)
	for _, id := range ids {
		q := o.requests[id]
		switch {
		case !w.rankLoads[q.rank].write:
			w.returnToEntry(q, func() { w.retryRequest(q) })
		default:
			q.ended = true
			w.returnToEntry(q, func() { w.report.recordInDoubt(w, q) })
		}
	}
}
