package fleet

import (
	"strconv"
	"strings"
	"time"

	"github.com/dragonflypick/dragonflypick/explanation"
	"github.com/dragonflypick/dragonflypick/placement"
	"github.com/dragonflypick/dragonflypick/query"
)

// explainPrimary adds the steps of a request that only the primary may run, and returns
// where it would go.
func (f *Daemon) explainPrimary(e *explanation.Explanation, r *query.Request) explanation.Decision {
	h, found := f.findHolder(r.Group, "")
	p := f.describePrimary(r)
	p.Holder, p.Reachable = h.ID, found == holderFound
	e.Primary = p
	if f.config.Features.Pressure {
		e.Steps = append(e.Steps, f.explainPressure(p, r))
	}
	s := explanation.Step{Name: explanation.StepHolder, Verdict: explanation.Passes, RetryAfterMS: gapReturnMS(e)}
	switch {
	case found == holderOutOfReach:
		s.Verdict, s.Reason, s.RetryAfterMS = explanation.Refuses, "this daemon is cut off from the others", isolatedRetryAfter.Milliseconds()
		s.Change = "this daemon reaches the others; until then another daemon may serve"
	case found == holderLost:
		s.Verdict, s.Reason, s.RetryAfterMS = explanation.Refuses, "the holder of group "+r.Group+" doesn't answer, and the store can't be reached", lostRetryAfter.Milliseconds()
		s.Change = "this daemon reaches the store, or one that does; until then another daemon may serve"
	case found == holderUnknown:
		s.Verdict, s.Reason = explanation.Waits, "no reachable holder of group "+r.Group+" is known"
		s.Change = "a reachable host holds the group within the database's timeout"
	case h.ID == f.config.Self.ID && f.explainBlock(r.Group, &s):
	case h.ID == f.config.Self.ID && f.explainWait(r, &s):
	case h.ID == f.config.Self.ID && !p.Serving:
		s.Verdict, s.Reason = explanation.Waits, "the primary is being replaced, or the group's lease is not confirmed"
		s.RetryAfterMS = max(s.RetryAfterMS, replacementRetryAfter.Milliseconds())
		s.Change = "the group has a primary and this host's lease of it is confirmed within the database's timeout"
	default:
		s.Verdict, s.RetryAfterMS = explanation.Asks, 0
		s.Reason = "host " + h.ID + " still holds group " + r.Group + " and " + describeQueue(p.Report, r)
	}
	e.Steps = append(e.Steps, s)
	return explanation.Decision{Member: p.Member, Host: h.ID, Reason: "primary"}
}

// explainBlock tells that and why a group's primary has failed and can't be replaced, if
// so.
func (f *Daemon) explainBlock(group string, s *explanation.Step) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(group)
	if !f.replacementBlocked(g) {
		return false
	}
	b, _ := g.Blocked(now())
	s.Verdict, s.RetryAfterMS = explanation.Refuses, blockedReplacementRetryAfter.Milliseconds()
	s.Reason = "the primary has failed, or is to be returned; the furthest member that answers (" + b.Candidate + " at " + b.Position.String() + ") may lack acknowledged commits, needed is " + b.Needed.String()
	s.Change = "the primary or one of the members " + strings.Join(b.Missing, ", ") + " answers again; or an operator accepts the loss, by a configuration in which the group's commits wait for no replica"
	return true
}

// explainWait tells that and why a group's primary can't be used and is replaced too late for a
// request, if so.
func (f *Daemon) explainWait(r *query.Request, s *explanation.Step) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, t := f.group(r.Group), now()
	d := f.primaryBlockedFor(g)
	if d <= r.Remaining {
		return false
	}
	why := "has failed"
	if id, _ := g.Primary(); !f.drains.MayStart(id, t) {
		why = "is to be returned and gets no new work any more"
	}
	s.Verdict, s.RetryAfterMS = explanation.Refuses, (d + replacementRetryAfter).Milliseconds()
	s.Reason = "the primary " + why + "; it can be replaced in " + d.Round(time.Millisecond).String() + ", when what an earlier holder of the group has sent can't arrive any more"
	s.Change = "that time has passed, or the earlier holder has ended or released the group"
	return true
}

// describeQueue tells what the queue at the primary's owner decides, and by what was last
// told of it.
func describeQueue(p *explanation.Report, r *query.Request) string {
	s := "its queue for the primary has room within " + r.Remaining.String()
	if p == nil {
		return s + " (not reported)"
	}
	return s + " (predicted wait " + strconv.FormatInt(p.WaitMS, 10) + " ms, told " + strconv.FormatInt(p.AgeMS, 10) + " ms ago)"
}

// describePrimary returns what is known of a group's primary.
func (f *Daemon) describePrimary(r *query.Request) *explanation.Primary {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, t := f.group(r.Group), now()
	id, _ := g.Primary()
	o := &explanation.Primary{Serving: g.MaySendWork(t) && f.drains.MayStart(id, t), LevelMS: -1}
	if m, ok := f.table.AssumedPrimary(r.Group); ok {
		o.Member = m.ID
		o.Report = describeReport(f.peekReport(g, m.ID, r.Rank, t), t)
	}
	return o
}

// explainPressure tells whether the entry refuses a request of the rank, and fills in
// the level by which it does.
func (f *Daemon) explainPressure(p *explanation.Primary, r *query.Request) explanation.Step {
	v := f.decidePressure(r, typicalDraw)
	p.Level = v.Level
	f.room.mu.Lock()
	p.LevelMS = explanation.AgeMS(f.room.pressure.ToldAt(r.Group), time.Now())
	f.room.mu.Unlock()
	s := explanation.Step{Name: explanation.StepPressure, Verdict: explanation.Passes, Reason: "the primary has told no overload for the rank"}
	share := strconv.FormatFloat(100*v.Level, 'f', 0, 64) + " in 100 such requests are refused here"
	switch {
	case v.Refuse:
		s.Verdict, s.Reason, s.RetryAfterMS = explanation.Refuses, pressureText(v)+": "+share, v.RetryAfter.Milliseconds()
		s.Change = "the primary has room for rank " + r.Rank.String() + " again, or the database has a more urgent rank"
	case v.Level > 0:
		s.Reason = pressureText(v) + ": only " + share
	}
	return s
}

// explainRead adds the step that chooses a member for a read, and returns where the read
// would go.
func (f *Daemon) explainRead(e *explanation.Explanation, r *query.Request) explanation.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config.Features.UnevenMembers {
		return f.explainPlaced(e, r)
	}
	var d explanation.Decision
	best := -1
	l := f.readTargets(r, nil, typicalDraw)
	for i, c := range l {
		if best < 0 || c.cost < l[best].cost {
			best = i
		}
		e.Candidates = append(e.Candidates, explanation.Candidate{
			Member: c.member.ID, Owner: c.host.ID, Slots: c.member.Slots, RoundTripUS: f.assumedRTT(c.host.Region, c.host.FailureDomain).Microseconds(),
			InFlight: f.loads.member(c.member.ID).inFlight, Share: 1, CostMS: c.cost.Milliseconds(),
		})
	}
	if best >= 0 {
		e.Candidates[best].Chosen = true
		d = explanation.Decision{Member: l[best].member.ID, Host: l[best].host.ID, Reason: "least predicted cost", CostMS: l[best].cost.Milliseconds()}
	}
	f.explainSkipped(e, r)
	e.Steps = append(e.Steps, placementStep(e, best >= 0))
	return d
}

// explainPlaced is explainRead where members are uneven; f.mu is held.
func (f *Daemon) explainPlaced(e *explanation.Explanation, r *query.Request) explanation.Decision {
	g, t := f.group(r.Group), now()
	l, due := f.placementCandidates(g, r, triedMembers{}, t, f.peekReport)
	q := f.placementRead(g, r, r.Remaining, t)
	c, ok := decidePlace(l, due, r, q, t, typicalDraw)
	e.Request.FloorMS = q.FloorAge.Milliseconds()
	for i, m := range l {
		catchUp := m.candidate.CatchUp(q, t)
		e.Candidates = append(e.Candidates, explanation.Candidate{
			Member: m.candidate.Member, Owner: m.host.ID, Primary: m.candidate.Primary, Slots: m.candidate.Slots, RoundTripUS: m.candidate.RTT.Microseconds(),
			InFlight: m.candidate.InFlight, Share: m.candidate.Share, CatchUpMS: catchUp.Milliseconds(), CostMS: m.candidate.Cost(catchUp, t).Milliseconds(),
			Chosen: ok && i == c.Index && !c.Hopeless, Report: describeReport(m.candidate.Report, t),
		})
	}
	f.explainSkipped(e, r)
	s := placementStep(e, ok)
	if ok && c.Hopeless {
		s = explanation.Step{
			Name: explanation.StepPlacement, Verdict: explanation.Refuses, Reason: "no member can serve the read in time", RetryAfterMS: hopelessRetry(c.Cost, q.Left).Milliseconds(),
			Change: hopelessChange(l, q, t),
		}
	}
	e.Steps = append(e.Steps, s)
	d := explanation.Decision{Member: c.member.ID, Host: c.host.ID, Reason: string(c.Reason), CostMS: c.Cost.Milliseconds(), CatchUpMS: c.CatchUp.Milliseconds()}
	if h, ok := hedgeReadAfter(c, r, q.Left); ok {
		d.HedgeMS = h.Milliseconds()
	}
	return d
}

// placementStep is the step of a read for which a member was found, or none.
func placementStep(e *explanation.Explanation, found bool) explanation.Step {
	if found {
		return explanation.Step{Name: explanation.StepPlacement, Verdict: explanation.Passes, Reason: "a member is chosen among " + strconv.Itoa(len(e.Candidates))}
	}
	return explanation.Step{
		Name: explanation.StepPlacement, Verdict: explanation.Waits, Reason: "no member may serve the read now", RetryAfterMS: gapReturnMS(e),
		Change: "a member of the group is registered, doesn't drain and has a live owner within the database's timeout",
	}
}

// hopelessChange tells what would have to change at any one of the candidates for a read
// to be served in time.
func hopelessChange(l []placementCandidate, q placement.Read, t time.Time) string {
	s := "one of these within " + q.Left.String() + ":"
	for i, c := range l {
		if i > 0 {
			s += ";"
		}
		if k := c.candidate.CatchUp(q, t); k > q.Left {
			s += " " + c.member.ID + " has the data (predicted: in " + k.Round(time.Millisecond).String() + ")"
			continue
		}
		s += " " + c.member.ID + " has a free slot (predicted: in " + c.candidate.Report.Wait.Round(time.Millisecond).String() + ")"
	}
	return s
}

// explainSkipped fills in the members that aren't candidates; f.mu is held.
func (f *Daemon) explainSkipped(e *explanation.Explanation, r *query.Request) {
	candidates := map[string]bool{}
	for _, c := range e.Candidates {
		candidates[c.Member] = true
	}
	for _, m := range f.table.GroupMembers(r.Group) {
		switch {
		case candidates[m.ID]:
		case m.Draining:
			e.Skipped = append(e.Skipped, explanation.Skipped{Member: m.ID, Reason: "drains"})
		default:
			e.Skipped = append(e.Skipped, explanation.Skipped{Member: m.ID, Reason: "no reachable host owns it"})
		}
	}
}

// describeReport returns a report as it is explained, nil if nothing was reported.
func describeReport(r placement.Report, t time.Time) *explanation.Report {
	if r.At.IsZero() {
		return nil
	}
	return &explanation.Report{
		Position: r.Position.String(), LagMS: r.Lag.Milliseconds(), WaitMS: r.Wait.Milliseconds(), SlotMS: r.SlotTime.Milliseconds(),
		Busy: r.Busy, Failures: r.Failures, AgeMS: explanation.AgeMS(r.At, t),
	}
}
