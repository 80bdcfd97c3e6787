package experiment

import (
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/budget"
	"github.com/dragonflypick/dragonflypick/bundle"
)

// checkBudgets reports whether an entry's budgets admit a request. If not, it
// refuses the request or sends it to another server.
func (w *simulation) checkBudgets(e *entry, q *request, s int) bool {
	if !w.config.Variant.NoThrottle {
		if ok, d := e.throttle.Allow(w.budgetFlow(q, s), w.serviceRand.Float64(), w.currentTime()); !ok {
			q.server = s
			w.spillRequest(q, "throttled", d)
			return false
		}
	}
	q.reservedBytes = 0
	if region(e.domain) == region(w.servers[s].domain) {
		return true
	}
	if !w.config.Variant.NoFlight {
		if q.inFlight = e.inFlight.Begin(w.servers[s].name, q.rank); !q.inFlight {
			w.refuseRequest(q, "in-flight", retryAfter+time.Duration(q.jitter*float64(retryAfter)))
			return false
		}
	}
	if w.config.Variant.NoLinkBudget || w.rankLoads[q.rank].write {
		return true
	}
	n, d, ok := e.link.Reserve(q.rank, w.currentTime())
	if !ok {
		w.endInFlight(e, q, s)
		w.refuseRequest(q, "region-link", d)
	}
	q.reservedBytes = n
	return ok
}

// endInFlight stops counting a request as in flight.
func (w *simulation) endInFlight(e *entry, q *request, s int) {
	if q.inFlight {
		e.inFlight.End(w.servers[s].name, q.rank)
	}
	q.inFlight = false
}

// releaseBudgets ends the request's use of the entry's budgets. Reserved bytes
// of the region link that were not used go back into its budget.
func (w *simulation) releaseBudgets(e *entry, q *request, used int) {
	w.endInFlight(e, q, q.server)
	if q.reservedBytes > 0 {
		e.link.Reconcile(q.rank, q.reservedBytes, used, w.currentTime())
	}
	q.reservedBytes = 0
}

func (w *simulation) budgetFlow(q *request, s int) budget.Flow {
	return budget.Flow{Member: w.servers[s].name, Rank: q.rank, Caller: strconv.Itoa(q.caller)}
}

// retryKeys returns the keys of the retry budgets of the request's owner and
// caller.
func (w *simulation) retryKeys(q *request) (string, string) {
	return "owner " + w.servers[q.server].name, "caller " + strconv.Itoa(q.caller)
}

// retryRequest has the entry send a request again after a backoff, if its retry
// budget allows; otherwise it refuses the request.
func (w *simulation) retryRequest(q *request) {
	a, b := w.retryKeys(q)
	if !w.config.Variant.NoRetryBudget && !w.entries[q.entry].retry.Take(w.currentTime(), a, b) {
		w.refuseRequest(q, "retry-budget", retryAfter+time.Duration(q.jitter*float64(retryAfter)))
		return
	}
	d := retryDelay
	if !w.config.Variant.NoRetryBudget {
		d = budget.Backoff(q.retries, q.jitter)
	}
	q.retries++
	w.schedule(d, func() { w.sendRequest(q) })
}

// handleRefusal handles an owner's refusal for load.
func (w *simulation) handleRefusal(q *request, x admission.Refuse) {
	w.entries[q.entry].throttle.RecordRefused(w.budgetFlow(q, q.server), x.RetryAfter, w.currentTime())
	w.spillRequest(q, string(x.Reason), x.RetryAfter)
}

// regionExhausted reports whether a background request has no untried server
// left in the entry's region, which keeps it from being sent to another region.
func (w *simulation) regionExhausted(q *request) bool {
	if q.rank != bundle.Background {
		return false
	}
	d := w.entries[q.entry].domain
	for i := q.group * domainCount; i < (q.group+1)*domainCount; i++ {
		s := w.servers[i]
		if i != q.server && !q.tried[s.name] && region(s.domain) == region(d) {
			return false
		}
	}
	return true
}

// spillRequest sends a read that was refused for load to another server, once.
func (w *simulation) spillRequest(q *request, reason string, d time.Duration) {
	if w.rankLoads[q.rank].write || q.spilled || w.regionExhausted(q) || w.config.Variant.NoSpill || reason == string(admission.Expired) {
		w.refuseRequest(q, reason, d)
		return
	}
	q.spilled = true
	q.tried[w.servers[q.server].name] = true
	w.sendRequest(q)
}

// recordSuccessInBudgets updates the entry's budgets and throttle after an
// answer.
func (w *simulation) recordSuccessInBudgets(e *entry, q *request) {
	a, b := w.retryKeys(q)
	e.retry.RecordSuccess(a, w.currentTime())
	e.retry.RecordSuccess(b, w.currentTime())
	e.throttle.RecordAccepted(w.budgetFlow(q, q.server), w.currentTime())
	w.releaseBudgets(e, q, w.rankLoads[q.rank].replyBytes)
}
