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
		r := q.nextRequest(now)
		if r == nil {
			break
		}
		q.remove(r)
		if len(q.running) == 0 {
			q.progressAt = now
		}
		r.started, r.charged, r.order = now, q.slotTime[r.Rank], q.started
		q.started++
		q.running[r.ID] = r
		q.ranks[r.Rank].charge(r, r.charged, 1)
		if r.usesCredit {
			q.credit[r.Rank] -= r.charged
		}
		o = append(o, Start{ID: r.ID})
	}
	return o
}

// nextRequest returns the request to start next, or nil: first those of open
// transactions, then those of teams that aren't in excess, then all others.
func (q *Queue) nextRequest(now time.Time) *request {
	for _, l := range q.inTransaction {
		if len(l) > 0 {
			return l[0]
		}
	}
	if q.occupied(now) >= q.config.Slots {
		return nil
	}
	if len(q.shares.excess) > 0 {
		if r := q.nextOutsideTx(true, now); r != nil {
			return r
		}
	}
	return q.nextOutsideTx(false, now)
}

// nextOutsideTx returns the request to start next of those outside of transactions,
// or nil: first those of lower ranks that have credit, then by rank. With skipExcess
// those of teams in excess are left out.
func (q *Queue) nextOutsideTx(skipExcess bool, now time.Time) *request {
	next := func(i int) *request {
		l := q.ranks[i]
		switch {
		case l.len() == 0:
			return nil
		case skipExcess && q.shares.has(l.nextRequest()):
			return l.nextExcept(q.shares.has)
		default:
			return l.nextRequest()
		}
	}
	for i := bundle.RankCount - 1; i > 0; i-- {
		if q.credit[i] > 0 && q.config.Shares[i] > 0 {
			if r := next(int(i)); r != nil {
				r.usesCredit = true
				return r
			}
		}
	}
	for i := range q.ranks {
		if q.occupied(now) < q.slotLimit(bundle.Rank(i)) {
			if r := next(i); r != nil {
				return r
			}
		}
	}
	return nil
}

func (q *Queue) finish(x Finished, now time.Time) []Action {
	r, ok := q.running[x.ID]
	if !ok {
		return nil
	}
	delete(q.running, x.ID)
	if now.Before(r.Deadline) {
		q.progressAt, q.answeredAt = now, now
	}
	if r.late {
		q.late--
	}
	d := now.Sub(r.started)
	switch {
	case r.overdue:
		// The server has used the slot for others meanwhile.
		q.ranks[r.Rank].charge(r, 0, -1)
		return nil
	case x.Declined:
		q.ranks[r.Rank].charge(r, d-r.charged, -1)
		return nil
	}
	f := time.Duration(maxSampleFactor)
	if !now.Before(r.Deadline) {
		f = unansweredSampleFactor
	}
	q.slotTime[r.Rank] += time.Duration(slotTimeWeight * float64(min(d, f*q.slotTime[r.Rank])-q.slotTime[r.Rank]))
	q.usage[r.Rank].add(d, now)
	q.shares.record(r, d, now)
	q.ranks[r.Rank].charge(r, d-r.charged, -1)
	if r.usesCredit {
		q.credit[r.Rank] -= d - r.charged
	}
	for i := range q.credit {
		if q.ranks[i].len() > 0 {
			q.credit[i] = min(q.credit[i]+time.Duration(q.config.Shares[i]*float64(d)), maxCredit)
		}
	}
	return q.countOvertaken(r, now)
}

// Time constants of a meter's exponential decay.
const (
	meterTimeConstant = time.Second
	// fastMeterTimeConstant follows a burst within a fraction of a statement's time
	// limit.
	fastMeterTimeConstant = 250 * time.Millisecond
)

// slotMeter measures the mean number of slots in use; the weight of older samples
// decays exponentially.
type slotMeter struct {
	sum     float64
	updated time.Time
	// fast selects fastMeterTimeConstant.
	fast bool
}

func (m *slotMeter) timeConstant() time.Duration {
	if m.fast {
		return fastMeterTimeConstant
	}
	return meterTimeConstant
}

func (m *slotMeter) add(d time.Duration, now time.Time) {
	m.sum = m.decayed(now) + d.Seconds()
	m.updated = now
}

func (m *slotMeter) decayed(now time.Time) float64 {
	return m.sum * math.Exp(-now.Sub(m.updated).Seconds()/m.timeConstant().Seconds())
}

// average returns the mean number of slots in use.
func (m *slotMeter) average(now time.Time) float64 {
	return m.decayed(now) / m.timeConstant().Seconds()
}
