package admission

import (
	"math"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// fill starts requests while slots are free.
func (q *Queue) fill(now time.Time) []Action {
	var o []Action
	for {
		r := q.next()
		if r == nil {
			break
		}
		q.remove(r)
		r.started, r.charged = now, q.cost[r.Rank]
		q.running[r.ID] = r
		q.lines[r.Rank].charge(r.Caller, r.charged, 1)
		if r.onShare {
			q.credit[r.Rank] -= r.charged
		}
		o = append(o, Start{ID: r.ID})
	}
	return o
}

// next returns the request that is to run next, or nil.
func (q *Queue) next() *request {
	for _, l := range q.held {
		if len(l) > 0 {
			return l[0]
		}
	}
	if len(q.running) >= q.c.Slots {
		return nil
	}
	for i := bundle.RankCount - 1; i > 0; i-- {
		if q.credit[i] > 0 && q.c.Shares[i] > 0 && q.lines[i].len() > 0 {
			r := q.lines[i].first()
			r.onShare = true
			return r
		}
	}
	for i := range q.lines {
		if q.lines[i].len() > 0 && len(q.running) < q.slots(bundle.Rank(i)) {
			return q.lines[i].first()
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
		q.lines[r.Rank].charge(r.Caller, d-r.charged, -1)
		return
	}
	q.cost[r.Rank] += time.Duration(costWeight * float64(min(d, costGrowth*q.cost[r.Rank])-q.cost[r.Rank]))
	q.load[r.Rank].add(d, now)
	q.lines[r.Rank].charge(r.Caller, d-r.charged, -1)
	if r.onShare {
		q.credit[r.Rank] -= d - r.charged
	}
	for i := range q.credit {
		if q.lines[i].len() > 0 {
			q.credit[i] = min(q.credit[i]+time.Duration(q.c.Shares[i]*float64(d)), creditCap)
		}
	}
}

// meterTime is the time constant of a meter.
const meterTime = time.Second

// meter measures slot time a second, with older samples fading.
type meter struct {
	sum float64
	at  time.Time
}

func (m *meter) add(d time.Duration, now time.Time) {
	m.sum = m.faded(now) + d.Seconds()
	m.at = now
}

func (m *meter) faded(now time.Time) float64 {
	return m.sum * math.Exp(-now.Sub(m.at).Seconds()/meterTime.Seconds())
}

// rate returns the number of slots in use on average.
func (m *meter) rate(now time.Time) float64 { return m.faded(now) / meterTime.Seconds() }
