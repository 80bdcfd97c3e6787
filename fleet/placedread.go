package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/outlier"
	"github.com/dragonflypick/dragonflypick/placement"
	"github.com/dragonflypick/dragonflypick/query"
)

// maxPlacedAttempts bounds the attempts to find a member for one read.
const maxPlacedAttempts = 6

// probedRead is the reason of a read that is sent to an ejected member.
const probedRead placement.Reason = "probe"

// placedTarget is a member that was chosen for a read.
type placedTarget struct {
	readTarget
	placement.Choice
	primary bool
	// report is what was known of the member, as of reportAge ago; that is negative if
	// nothing was known.
	report    placement.Report
	reportAge time.Duration
	floorAge  time.Duration
}

// executePlacedRead sends a read to the member that is expected to answer soonest,
// and to the others in turn if that fails. A read that no member can serve before its
// deadline is refused at once.
func (f *Daemon) executePlacedRead(x context.Context, r *query.Request, t time.Time) (o query.Response) {
	mayHaveRunBefore := false
	// failed is the failure of a member that has run the read.
	var failed *query.Failure
	defer func() {
		o = readAnswer{Response: o}.afterFailure(failed)
		o.MayHaveRun = o.MayHaveRun || mayHaveRunBefore
	}()
	tried := triedMembers{}
	for range maxPlacedAttempts {
		left := r.Remaining - time.Since(t)
		if left <= 0 || x.Err() != nil {
			break
		}
		c, ok := f.choosePlace(r, tried, left, true)
		if !ok || c.Hopeless {
			d, excluded := tried.wait(time.Now())
			if c.Hopeless && (!excluded || d >= left) {
				return f.refuseHopeless(c, r, left)
			}
			if d >= left || !sleep(x, min(max(d, minReplicaRetry), left)) {
				break
			}
			continue
		}
		o = f.runPlaced(x, c, r, t, tried)
		mayHaveRunBefore = mayHaveRunBefore || o.MayHaveRun || mayHaveRun(o.Failure)
		if !retryPlaced(r, o) {
			return o
		}
		if o.Failure.Reason == query.RunFailed {
			failed = o.Failure
		}
	}
	if o.Failure == nil {
		o.Reply = query.Refusal(query.Overloaded, "no member can serve the read now")
	}
	return o
}

// refuseHopeless refuses a read that no member can answer in time.
func (f *Daemon) refuseHopeless(c placedTarget, r *query.Request, left time.Duration) query.Response {
	o := query.Response{Reply: query.Refusal(query.Overloaded, "no member can serve the read in time")}
	d := hopelessRetry(c.Cost, left)
	o.Failure.RetryAfter = d + rand.N(d/2)
	f.config.Log.Debug("read refused", "id", r.ID, "group", r.Group, "member", c.member.ID, "expected-ms", c.Cost.Milliseconds(), "left-ms", left.Milliseconds(),
		"wait-ms", c.report.Wait.Milliseconds(), "lag-ms", c.report.Lag.Milliseconds(), "busy", c.report.Busy, "slot-ms", c.report.SlotTime.Milliseconds(), "catch-up-ms", c.CatchUp.Milliseconds(), "failures", c.report.Failures, "report-age-ms", c.reportAge.Milliseconds())
	return o
}

func hopelessRetry(cost, left time.Duration) time.Duration {
	return min(max(cost-left, minHopelessRetry), maxHopelessRetry)
}

// Bounds of the time after which the caller of a read that was refused is to come back,
// without jitter: soon enough for its aim, and not so soon that its few tries are used up
// before the members have room.
const (
	minHopelessRetry = 300 * time.Millisecond
	maxHopelessRetry = time.Second
)

// triedMembers holds for each member that has failed a read the time from which the
// read may be sent there again.
type triedMembers map[string]time.Time

// failed records a failure, if there is one; a member that says when to come back isn't
// asked sooner.
func (l triedMembers) failed(member string, q *query.Failure, now time.Time) {
	if q == nil {
		return
	}
	l[member] = now.Add(max(q.RetryAfter, holderRetryDelay))
}

// excludes reports whether the read isn't to be sent to a member yet.
func (l triedMembers) excludes(member string, now time.Time) bool { return now.Before(l[member]) }

// wait returns how long it takes until the next of the excluded members may be tried
// again, or false if none is excluded.
func (l triedMembers) wait(now time.Time) (d time.Duration, excluded bool) {
	for id, t := range l {
		if w := t.Sub(now); l.excludes(id, now) && (!excluded || w < d) {
			d, excluded = w, true
		}
	}
	return d, excluded
}

// retryPlaced reports whether a read that failed may be sent to another member. A
// single read that a member failed has no effect and may run again.
func retryPlaced(r *query.Request, o query.Response) bool {
	if o.State == query.Failed {
		return false
	}
	return retryElsewhere(o.Failure) || o.Failure != nil && r.Stage == query.Single && o.Failure.Reason == query.RunFailed
}

// choosePlace chooses a member for a read among those not yet tried. probe allows it
// to be an ejected one.
func (f *Daemon) choosePlace(r *query.Request, tried triedMembers, left time.Duration, probe bool) (placedTarget, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := now()
	g := f.group(r.Group)
	l, due := f.placementCandidates(g, r, tried, t, f.memberReport)
	if !probe {
		due = -1
	}
	o, ok := decidePlace(l, due, r, f.placementRead(g, r, left, t), t, rand.Float64)
	if !ok {
		return o, false
	}
	if o.Reason == probedRead {
		f.outliers.Handle(outlier.ProbeStarted{Member: o.member.ID}, t)
		f.metrics.outlierEvents.WithLabelValues(outlierProbed).Inc()
	}
	role := roleReplica
	if o.primary {
		role = rolePrimary
	}
	f.metrics.placements.WithLabelValues(role, string(o.Reason)).Inc()
	return o, true
}

// placementRead returns what matters of a read for its placement; f.mu is held.
func (f *Daemon) placementRead(g *group, r *query.Request, left time.Duration, t time.Time) placement.Read {
	return placement.Read{Floor: r.Floor, FloorAge: g.seen.Age(r.Floor, t), MaxAge: r.MaxAge, Left: left}
}

// decidePlace chooses one of the candidates for a read. due is the index of one to which
// a probe is due, or -1. It changes nothing.
func decidePlace(l []placementCandidate, due int, r *query.Request, q placement.Read, t time.Time, random func() float64) (placedTarget, bool) {
	targets := make([]placement.Candidate, len(l))
	for i := range l {
		targets[i] = l[i].candidate
	}
	c, ok := placement.Choose(q, targets, t, random)
	if !ok {
		return placedTarget{}, false
	}
	if due >= 0 && r.Stage == query.Single && q.Left > minProbeTime && targets[due].CatchUp(q, t) <= 0 {
		c = placement.Choice{Index: due, Cost: targets[due].Cost(0, t), Patience: minReplicaRetry, Reason: probedRead}
	}
	m := l[c.Index]
	o := placedTarget{readTarget: m.readTarget, Choice: c, primary: m.candidate.Primary, report: m.candidate.Report, reportAge: -1, floorAge: q.FloorAge}
	if !o.report.At.IsZero() {
		o.reportAge = t.Sub(o.report.At)
	}
	return o, true
}

// minProbeTime is the least time that a read must have left to be sent to an ejected
// member: enough to be sent elsewhere if that doesn't answer.
const minProbeTime = 800 * time.Millisecond

// placementCandidate is a member that may be chosen.
type placementCandidate struct {
	readTarget
	candidate placement.Candidate
}

// reportFunc returns what is known of a member.
type reportFunc func(g *group, member string, rank bundle.Rank, t time.Time) placement.Report

// placementCandidates returns the members of a group that may serve a read, and the
// index of one to which a probe is due, or -1. report is memberReport or peekReport; f.mu
// is held.
func (f *Daemon) placementCandidates(g *group, r *query.Request, tried triedMembers, t time.Time, report reportFunc) (o []placementCandidate, due int) {
	due = -1
	p, known := f.table.AssumedPrimary(g.name)
	members := f.table.GroupMembers(g.name)
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	standings := f.outliers.Standings(ids, t)
	for i, m := range members {
		primary := known && p.ID == m.ID
		h, ok := f.ownerOf(m, primary)
		if !ok || m.Draining || tried.excludes(m.ID, time.Now()) {
			continue
		}
		l := f.loads.member(m.ID)
		c := placement.Candidate{
			Member: m.ID, Primary: primary, Slots: m.Slots, RTT: f.assumedRTT(h.Region, h.FailureDomain), InFlight: l.inFlight,
			Share: standings[i].Share, Report: report(g, m.ID, r.Rank, t),
		}
		if time.Since(l.unreachableAt) < unreachablePenalty {
			c.RTT += unreachablePenalty
		}
		if standings[i].ProbeDue {
			due = len(o)
		}
		o = append(o, placementCandidate{readTarget: readTarget{member: m, host: h}, candidate: c})
	}
	return o, due
}

// executePlaced runs a read at the owner of the chosen member and records what the
// answer shows of the member.
func (f *Daemon) executePlaced(x context.Context, c placedTarget, r *query.Request, t time.Time) query.Response {
	q := *r
	q.Member, q.Patience, q.FloorAge = c.member.ID, max(c.Patience, time.Millisecond), c.floorAge
	f.mu.Lock()
	l := f.loads.member(c.member.ID)
	l.inFlight++
	f.mu.Unlock()
	o := f.executeAt(x, c.host, &q, r.Remaining-time.Since(t))
	f.mu.Lock()
	l.inFlight--
	if o.Failure != nil && o.Member == "" && x.Err() == nil && (o.Failure.Reason == query.Unreachable || o.Failure.Reason == query.Moved) {
		l.unreachableAt = time.Now()
	}
	if o.Member != "" {
		l.report = l.report.Answered(o.QueueWait, o.Position, now())
	}
	f.mu.Unlock()
	if x.Err() == nil {
		f.observeOutcome(c, &o)
	}
	o.Placement = &query.Placement{Reason: string(c.Reason), Expected: c.Cost, CatchUp: c.CatchUp, ReportAge: c.reportAge}
	return o
}

// observeOutcome records the outcome of a read that its owner answered. A refusal by
// the owner, or for lack of data, says nothing of the member.
func (f *Daemon) observeOutcome(c placedTarget, o *query.Response) {
	if o.Member == "" {
		return
	}
	f.mu.Lock()
	slot := f.memberReport(f.group(c.member.Group), c.member.ID, 0, now()).SlotTime
	f.mu.Unlock()
	switch {
	case o.Failure == nil:
		f.observeOutlier(c, outlier.Answered{Member: c.member.ID, Took: slot})
	case o.Failure.Reason == query.Unreachable, o.Failure.Reason == query.RunFailed, o.Failure.Reason == query.Aborted, o.Failure.Reason == query.TimedOut:
		f.observeOutlier(c, outlier.Failed{Member: c.member.ID})
	}
}

// observeOutlier applies an event to the judgement of a member and logs a change.
func (f *Daemon) observeOutlier(c placedTarget, e outlier.Event) {
	f.mu.Lock()
	if _, ok := f.table.Member(c.member.ID); !ok {
		f.mu.Unlock()
		return
	}
	d := f.outliers.Handle(e, now())
	f.mu.Unlock()
	if d == outlier.Unchanged {
		return
	}
	l := f.config.Log.With("member", c.member.ID, "group", c.member.Group, "failures", c.report.Failures, "slot-ms", c.report.SlotTime.Milliseconds(),
		"wait-ms", c.report.Wait.Milliseconds(), "report-age-ms", c.reportAge.Milliseconds())
	switch d {
	case outlier.Ejected:
		f.metrics.outlierEvents.WithLabelValues(outlierEjected).Inc()
		l.Info("member ejected from reads")
	case outlier.Returned:
		f.metrics.outlierEvents.WithLabelValues(outlierReturned).Inc()
		l.Info("member returned to reads")
	}
}
