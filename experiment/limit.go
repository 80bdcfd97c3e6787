package experiment

import (
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/budget"
	"github.com/dragonflypick/dragonflypick/bundle"
)

// passes reports whether an entry's budgets let a request through; if not, it
// is refused or sent to another server.
func (w *world) passes(e *entry, q *request, s int) bool {
	if !w.c.Variant.NoThrottle {
		if ok, d := e.throttle.Allow(w.flow(q, s), w.service.Float64(), w.time()); !ok {
			q.server = s
			w.spill(q, "throttled", d)
			return false
		}
	}
	q.reserved = 0
	if region(e.domain) == region(w.servers[s].domain) {
		return true
	}
	if !w.c.Variant.NoFlight {
		if q.flying = e.flight.Begin(w.servers[s].name, q.rank); !q.flying {
			w.refused(q, "in-flight", retryAfter+time.Duration(q.jitter*float64(retryAfter)))
			return false
		}
	}
	if w.c.Variant.NoLinkBudget || w.classes[q.rank].write {
		return true
	}
	n, d, ok := e.link.Reserve(q.rank, w.time())
	if !ok {
		w.land(e, q, s)
		w.refused(q, "region-link", d)
	}
	q.reserved = n
	return ok
}

// land counts a request as answered.
func (w *world) land(e *entry, q *request, s int) {
	if q.flying {
		e.flight.End(w.servers[s].name, q.rank)
	}
	q.flying = false
}

// settle gives back what was reserved of the region link, less what was used.
func (w *world) settle(e *entry, q *request, used int) {
	w.land(e, q, q.server)
	if q.reserved > 0 {
		e.link.Reconcile(q.rank, q.reserved, used, w.time())
	}
	q.reserved = 0
}

func (w *world) flow(q *request, s int) budget.Flow {
	return budget.Flow{Member: w.servers[s].name, Rank: q.rank, Caller: strconv.Itoa(q.caller)}
}

// keys are the owner and the caller that repeats are counted for.
func (w *world) keys(q *request) (string, string) {
	return "owner " + w.servers[q.server].name, "caller " + strconv.Itoa(q.caller)
}

// repeat lets the entry send a request again, if its budget allows.
func (w *world) repeat(q *request) {
	a, b := w.keys(q)
	if !w.c.Variant.NoRetryBudget && !w.entries[q.entry].retry.Take(w.time(), a, b) {
		w.refused(q, "retry-budget", retryAfter+time.Duration(q.jitter*float64(retryAfter)))
		return
	}
	d := retryPause
	if !w.c.Variant.NoRetryBudget {
		d = budget.Backoff(q.repeats, q.jitter)
	}
	q.repeats++
	w.after(d, func() { w.send(q) })
}

// overloaded takes in a refusal for load.
func (w *world) overloaded(q *request, x admission.Refuse) {
	w.entries[q.entry].throttle.RecordRefused(w.flow(q, q.server), x.RetryAfter, w.time())
	w.spill(q, string(x.Reason), x.RetryAfter)
}

// staysHome reports whether no other server of the entry's region is left for
// background work.
func (w *world) staysHome(q *request) bool {
	if q.rank != bundle.Background {
		return false
	}
	d := w.entries[q.entry].domain
	for i := q.group * domains; i < (q.group+1)*domains; i++ {
		s := w.servers[i]
		if i != q.server && !q.tried[s.name] && region(s.domain) == region(d) {
			return false
		}
	}
	return true
}

// spill sends a read that was refused for load to another server, once.
func (w *world) spill(q *request, why string, d time.Duration) {
	if w.classes[q.rank].write || q.spilled || w.staysHome(q) || w.c.Variant.NoSpill || why == string(admission.Expired) {
		w.refused(q, why, d)
		return
	}
	q.spilled = true
	q.tried[w.servers[q.server].name] = true
	w.send(q)
}

// succeeded takes in an answer.
func (w *world) succeeded(e *entry, q *request) {
	a, b := w.keys(q)
	e.retry.RecordSuccess(a, w.time())
	e.retry.RecordSuccess(b, w.time())
	e.throttle.RecordAccepted(w.flow(q, q.server), w.time())
	w.settle(e, q, w.classes[q.rank].reply)
}
