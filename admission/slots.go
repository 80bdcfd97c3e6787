package admission

import (
	"math"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// fillSlots starts requests while slots are free.
func (q *Queue) fillSlots(now time.Time) []Action {
	var o []Action
	for {
		r := q.nextRequest()
		if r == nil {
			break
		}
		q.remove(r)
		r.started, r.charged = now, q.slotTime[r.Rank]
		q.running[r.ID] = r
		q.ranks[r.Rank].charge(r.Caller, r.charged, 1)
		if r.usesCredit {
			q.credit[r.Rank] -= r.charged
		}
		o = append(o, Start{ID: r.ID})
	}
	return o
}

// nextRequest returns the request to start next, or nil: first those of open
// transactions, then those of lower ranks that have credit, then by rank.
func (q *Queue) nextRequest() *request {
	for _, l := range q.inTransaction {
		if len(l) > 0 {
			return l[0]
		}
	}
	if len(q.running) >= q.c.Slots {
		return nil
	}
	for i := bundle.RankCount - 1; i > 0; i-- {
		if q.credit[i] > 0 && q.c.Shares[i] > 0 && q.ranks[i].len() > 0 {
			r := q.ranks[i].nextRequest()
			r.usesCredit = true
			return r
		}
	}
	for i := range q.ranks {
		if q.ranks[i].len() > 0 && len(q.running) < q.slotLimit(bundle.Rank(i)) {
			return q.ranks[i].nextRequest()
		}
	}
	return nil
}

func (q *Queue) finish(x Finished, now time.Time) {
	r, ok := q.running[x.ID]
	if !ok {
		return
	}
	delete(q.running, x.ID)
	d := now.Sub(r.started)
	if x.Declined {
		q.ranks[r.Rank].charge(r.Caller, d-r.charged, -1)
		return
	}
	q.slotTime[r.Rank] += time.Duration(slotTimeWeight * float64(min(d, maxSampleFactor*q.slotTime[r.Rank])-q.slotTime[r.Rank]))
	q.usage[r.Rank].add(d, now)
	q.ranks[r.Rank].charge(r.Caller, d-r.charged, -1)
	if r.usesCredit {
		q.credit[r.Rank] -= d - r.charged
	}
	for i := range q.credit {
		if q.ranks[i].len() > 0 {
			q.credit[i] = min(q.credit[i]+time.Duration(q.c.Shares[i]*float64(d)), maxCredit)
		}
	}
}

// meterTimeConstant is the time constant of a meter's exponential decay.
const meterTimeConstant = time.Second

// slotMeter measures the mean number of slots in use; the weight of older samples
// decays exponentially.
type slotMeter struct {
	sum     float64
	updated time.Time
}

func (m *slotMeter) add(d time.Duration, now time.Time) {
	m.sum = m.decayed(now) + d.Seconds()
	m.updated = now
}

func (m *slotMeter) decayed(now time.Time) float64 {
	return m.sum * math.Exp(-now.Sub(m.updated).Seconds()/meterTimeConstant.Seconds())
}

// average returns the mean number of slots in use.
func (m *slotMeter) average(now time.Time) float64 {
	return m.decayed(now) / meterTimeConstant.Seconds()
}
