package fleet

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypick/dragonflypick/explanation"
	"github.com/dragonflypick/dragonflypick/overload"
	"github.com/dragonflypick/dragonflypick/query"
)

// What is short when the entry refuses a request by itself, in metrics and logs.
const (
	reasonProcessor = "processor"
	reasonServer    = "server"
)

// overloadLogInterval is the number of operations refused by the entry of which one is
// logged: a line takes more processor time than the refusal.
const overloadLogInterval = 16

// overloadState is what this daemon knows as an entry about shortages. It guards itself,
// so that a refusal needn't take the daemon's lock.
type overloadState struct {
	mu    sync.Mutex
	gauge overload.Gauge
	table *overload.Table
	// refusals counts the operations refused by the entry, by rank and reason.
	refusals *prometheus.CounterVec
	// level is that of the gauge.
	level prometheus.Gauge
	// refused counts the refusals, to log one in overloadLogInterval.
	refused atomic.Uint64
}

func newOverloadState() *overloadState {
	return &overloadState{
		table: overload.NewTable(),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_overload_refusals_total", Help: "Operations that the entry refused without passing them on, by rank and by what is short.",
		}, []string{"rank", "short"}),
		level: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dragonflypick_processor_overload_level", Help: "Number of ranks, the least urgent first, whose new operations are refused because the processor is short.",
		}),
	}
}

// update changes the gauge by the last scheduling delay and returns its level.
func (s *overloadState) update(delay time.Duration) float64 {
	s.mu.Lock()
	s.gauge.Update(delay)
	l := s.gauge.Level()
	s.mu.Unlock()
	s.level.Set(l)
	return l
}

// refuseShort returns a refusal of a new operation that this host has no processor time
// for.
func (f *Daemon) refuseShort(r *query.Request) *query.Failure {
	if r.Stage != query.Single && r.Stage != query.First {
		return nil
	}
	o := f.overload
	o.mu.Lock()
	d, refused := o.gauge.Refuse(r.Rank, rand.Float64(), rand.Float64())
	o.mu.Unlock()
	if !refused {
		return nil
	}
	return &query.Failure{Reason: query.Overloaded, Text: "this daemon is overloaded", RetryAfter: d}
}

// refuseFullPrimary returns a refusal of a request for a primary whose queue is known to
// be too long for it.
func (f *Daemon) refuseFullPrimary(r *query.Request, left time.Duration) *query.Failure {
	f.mu.Lock()
	m, ok := f.table.AssumedPrimary(r.Group)
	f.mu.Unlock()
	if !ok {
		return nil
	}
	return f.refuseFull(r, left, m.ID)
}

// refuseFullRead returns a refusal of a read if all members that may serve it have queues
// that are known to be too long for it.
func (f *Daemon) refuseFullRead(r *query.Request, left time.Duration) *query.Failure {
	f.mu.Lock()
	l := f.readTargets(r, nil, rand.Float64)
	f.mu.Unlock()
	ids := make([]string, 0, len(l))
	for _, c := range l {
		ids = append(ids, c.member.ID)
	}
	return f.refuseFull(r, left, ids...)
}

// refuseFull returns a refusal if all members, one at least, are known to be too full for
// a request.
func (f *Daemon) refuseFull(r *query.Request, left time.Duration, members ...string) *query.Failure {
	o := f.overload
	o.mu.Lock()
	defer o.mu.Unlock()
	n, jitter := time.Now(), rand.Float64()
	var soonest time.Duration
	for i, id := range members {
		d, full := o.table.Full(id, r.Rank, left, jitter, n)
		if !full {
			return nil
		}
		if i == 0 || d < soonest {
			soonest = d
		}
	}
	if len(members) == 0 {
		return nil
	}
	return &query.Failure{Reason: query.Overloaded, Text: "the members are known to be overloaded", RetryAfter: soonest}
}

// observeWait records the wait that a member's owner predicts for requests like r.
func (f *Daemon) observeWait(r *query.Request, o *query.Response) {
	if o.Member == "" {
		return
	}
	s := f.overload
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Observe(o.Member, r.Rank, o.QueueWait, time.Now())
}

// recordOverload counts a request that arrived at t and that this daemon refused by itself,
// and logs one in overloadLogInterval.
func (f *Daemon) recordOverload(r *query.Request, o *query.Response, t time.Time) {
	f.metrics.requests.WithLabelValues(r.Rank.String(), string(o.Failure.Reason)).Inc()
	f.overload.refusals.WithLabelValues(r.Rank.String(), o.RefusedFor).Inc()
	if f.overload.refused.Add(1)%overloadLogInterval != 1 {
		return
	}
	skipped, ok := f.failureLines.take(time.Now())
	if !ok {
		return
	}
	f.config.Log.Info("request failed", "id", r.ID, "session", r.Session, "team", r.Team, "group", r.Group, "rank", r.Rank.String(), "use", r.Stage, "action", r.Action,
		"primary", r.Primary, "short", o.RefusedFor, "took-ms", time.Since(t).Milliseconds(), "reason", o.Failure.Reason, "detail", o.Failure.Text,
		"retry-after-ms", o.Failure.RetryAfter.Milliseconds(), "logged-of", overloadLogInterval, "skipped-lines", skipped)
}

// explainOverload adds the steps by which this daemon refuses a request by itself because
// of an overload, if there is one.
func (f *Daemon) explainOverload(e *explanation.Explanation, r *query.Request) {
	o := f.overload
	o.mu.Lock()
	share := o.gauge.Share(r.Rank)
	d, refused := o.gauge.Refuse(r.Rank, typicalDraw(), typicalDraw())
	o.mu.Unlock()
	if share > 0 {
		s := explanation.Step{
			Name: explanation.StepOverload, Verdict: explanation.Passes,
			Reason: "the processor is short: " + strconv.FormatFloat(100*share, 'f', 0, 64) + " in 100 such operations are refused here",
		}
		if refused {
			s.Verdict, s.RetryAfterMS = explanation.Refuses, d.Milliseconds()
			s.Change = "this daemon has processor time again, or the database has a more urgent rank; until then another daemon may serve"
		}
		e.Steps = append(e.Steps, s)
	}
	var q *query.Failure
	switch {
	case r.Primary:
		q = f.refuseFullPrimary(r, r.Remaining)
	case !f.config.Features.UnevenMembers:
		q = f.refuseFullRead(r, r.Remaining)
	}
	if q != nil {
		e.Steps = append(e.Steps, explanation.Step{
			Name: explanation.StepOverload, Verdict: explanation.Refuses, Reason: q.Text, RetryAfterMS: q.RetryAfter.Milliseconds(),
			Change: "a member's queue is shorter than the database's timeout of " + r.Remaining.String(),
		})
	}
}
