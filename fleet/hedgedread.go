package fleet

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/budget"
	"github.com/dragonflypick/dragonflypick/outlier"
	"github.com/dragonflypick/dragonflypick/query"
)

const (
	// minHedgeDelay is the least time after which a read that isn't answered is sent
	// to a second member. Few statements of a healthy member take longer.
	minHedgeDelay = 250 * time.Millisecond
	// hedgeDelayFactor times the predicted time is the usual delay.
	hedgeDelayFactor = 3
	// probeHedgeDelay is the delay for reads that are sent to an ejected member.
	probeHedgeDelay = 150 * time.Millisecond
	// hedgeReportAge is how old the report on a second member may be.
	hedgeReportAge = 2 * time.Second
	// promptReportAge and promptWait are the limits within which a report shows that
	// a member can answer at once.
	promptReportAge = time.Second
	promptWait      = 50 * time.Millisecond
)

// hedgeBudget returns the limits of hedged reads without probes: one in 20 reads of a
// group, and a few at once when a member stops answering.
func hedgeBudget() budget.RetryConfig {
	return budget.RetryConfig{Ratio: 0.05, Burst: 3, Rate: 0.2}
}

// hedgeReadAfter returns after which time a read is sent to a second member, or false if
// that would be too late.
func hedgeReadAfter(c placedTarget, r *query.Request, left time.Duration) (time.Duration, bool) {
	if r.Stage != query.Single {
		return 0, false
	}
	if c.Reason == probedRead {
		return probeHedgeDelay, true
	}
	d := max(minHedgeDelay, hedgeDelayFactor*c.Cost)
	return d, d < left*3/5
}

// runPlaced runs a read at the chosen member. If that doesn't answer in the expected
// time, and the budget allows it, it also runs the read at another one and returns
// the first success.
func (f *Daemon) runPlaced(x context.Context, c placedTarget, r *query.Request, t time.Time, tried triedMembers) query.Response {
	left := r.Remaining - time.Since(t)
	delay, ok := hedgeReadAfter(c, r, left)
	if !ok {
		o := f.executePlaced(x, c, r, t)
		tried.failed(c.member.ID, o.Failure, time.Now())
		return o
	}
	// The slower attempt isn't canceled: a call that is given up makes its link
	// suspect, and the answer tells something of the member.
	answers := make(chan readAnswer, 2)
	tried[c.member.ID] = time.Now().Add(left)
	f.startRead(x, c, *r, t, answers)
	late := time.After(delay)
	var o query.Response
	for pending, hedged := 1, false; pending > 0; {
		select {
		case a := <-answers:
			pending--
			if a.Failure == nil {
				f.recordHedgeResult(r, hedged, a.member != c.member.ID)
				return a.Response
			}
			tried.failed(a.member, a.Failure, time.Now())
			a.MayHaveRun = o.MayHaveRun || mayHaveRun(a.Failure)
			o = a.afterFailure(o.Failure)
		case <-late:
			if c.expectedPromptly() {
				f.observeOutlier(c, outlier.Silent{Member: c.member.ID})
			}
			if h, ok := f.chooseHedge(r, tried, r.Remaining-time.Since(t), c.Reason == probedRead); ok {
				hedged, pending = true, pending+1
				tried[h.member.ID] = time.Now().Add(left)
				f.startRead(x, h, *r, t, answers)
			}
		}
	}
	return o
}

// readAnswer is the answer to a read that was sent to a member.
type readAnswer struct {
	member string
	query.Response
}

// afterFailure returns the answer to a read that another member has failed before: a
// refusal doesn't replace the failure of a member that has run the read, since it would
// say that the read hasn't run.
func (a readAnswer) afterFailure(before *query.Failure) query.Response {
	if before != nil && !before.Reason.NotRun() && a.Failure != nil && a.Failure.Reason.NotRun() {
		a.Failure = before
	}
	return a.Response
}

// startRead runs a read at a member and sends the answer to answers. It may outlive the
// request, of which r is a copy.
func (f *Daemon) startRead(x context.Context, c placedTarget, r query.Request, t time.Time, answers chan<- readAnswer) {
	f.spawn(func(context.Context) {
		o := query.Response{Reply: query.Reply{Failure: lostFailure(&r, "the read ended in a panic")}}
		defer func() { answers <- readAnswer{c.member.ID, o} }()
		o = f.executePlaced(x, c, &r, t)
	})
}

// expectedPromptly reports whether the member was known to be able to answer at once,
// so that its silence counts against it: the read waits neither for its log nor in
// its queue, and not for the end of the group's log either.
func (c placedTarget) expectedPromptly() bool {
	return c.CatchUp <= 0 && c.reportAge >= 0 && c.reportAge < promptReportAge && c.report.Wait < promptWait
}

// chooseHedge chooses a second member for a read that isn't answered in time. There
// is none if the budget is used up, or if no other member is known to answer in time: a
// read that would only wait there adds to an overload, and where no member has been
// heard of lately the links are to blame. A probe, which was sent to a bad member, needs
// no budget.
func (f *Daemon) chooseHedge(r *query.Request, tried triedMembers, left time.Duration, probe bool) (placedTarget, bool) {
	c, ok := f.choosePlace(r, tried, left, false)
	if !ok || c.Cost > left/2 || c.reportAge < 0 || c.reportAge > hedgeReportAge {
		f.metrics.hedgedReads.WithLabelValues(hedgeNoMember).Inc()
		return placedTarget{}, false
	}
	f.mu.Lock()
	ok = probe || f.hedges.Take(now(), r.Group)
	f.mu.Unlock()
	if !ok || !f.takeSpareToken(r.Team) {
		f.metrics.hedgedReads.WithLabelValues(hedgeNoBudget).Inc()
		return placedTarget{}, false
	}
	f.metrics.hedgedReads.WithLabelValues(hedgeSent).Inc()
	return c, true
}

// recordHedgeResult adds a success to the budget and counts a hedge that was faster.
func (f *Daemon) recordHedgeResult(r *query.Request, hedged, won bool) {
	f.mu.Lock()
	f.hedges.RecordSuccess(r.Group, now())
	f.mu.Unlock()
	if hedged && won {
		f.metrics.hedgedReads.WithLabelValues(hedgeWon).Inc()
	}
}
