package fleet

import (
	"math"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/placement"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/staleness"
)

// Timing of reports on members.
const (
	// surveyInterval is how often a daemon asks for reports on all members of a
	// group, with a request that it sends anyway.
	surveyInterval = time.Second
	// reportTTL is how long a report is passed on.
	reportTTL = 2 * time.Second
	// maxReports bounds the reports in an answer.
	maxReports = 8
)

// ownReport returns a report on a member whose pool is open at this host, and the
// member's delay as of now; f.mu is held.
func (f *Daemon) ownReport(g *group, member string, rank bundle.Rank, t time.Time) (placement.Report, placement.Lag, bool) {
	p := f.pools[member]
	l := f.loads.member(member)
	if p == nil || l.positionAt.IsZero() || t.Sub(l.positionAt) > reportTTL {
		return placement.Report{}, placement.Lag{}, false
	}
	// The delay of a member that receives nothing grows without any answer of it.
	least, _ := g.history.Lag(l.position, l.positionAt)
	d := l.delay
	d.Observe(least, math.MaxInt64)
	r := placement.Report{
		Position: l.position, Lag: d.Estimate, Wait: p.EstimateWait(rank), SlotTime: l.service.SlotTime,
		Busy: l.service.Running(t) / float64(max(p.Member().Slots, 1)), Failures: l.service.Failures(t), At: t,
	}
	return r.WithDefaults(d.Known), d, true
}

// memberReport returns what is known here of a member, by its owner's last report
// unless this host owns it; f.mu is held.
func (f *Daemon) memberReport(g *group, member string, rank bundle.Rank, t time.Time) placement.Report {
	l := f.loads.member(member)
	if r, d, ok := f.ownReport(g, member, rank, t); ok {
		l.delay = d
		return r
	}
	return l.report
}

// peekReport is memberReport without any effect on later reports; f.mu is held.
func (f *Daemon) peekReport(g *group, member string, rank bundle.Rank, t time.Time) placement.Report {
	if r, _, ok := f.ownReport(g, member, rank, t); ok {
		return r
	}
	return f.loads.member(member).report
}

// reports returns the reports on a group's members that are recent enough to be
// passed on; only those on member if that isn't empty.
func (f *Daemon) reports(name, member string, rank bundle.Rank) []query.MemberReport {
	if !f.config.Features.UnevenMembers {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	g, t := f.group(name), now()
	var o []query.MemberReport
	for _, m := range f.table.GroupMembers(name) {
		if member != "" && m.ID != member || len(o) >= maxReports {
			continue
		}
		r := f.memberReport(g, m.ID, rank, t)
		if t.Sub(r.At) > reportTTL {
			continue
		}
		o = append(o, query.MemberReport{
			Member: m.ID, Position: r.Position, LagMS: r.Lag.Milliseconds(), WaitMS: r.Wait.Milliseconds(),
			SlotMS: r.SlotTime.Milliseconds(), BusyPercent: int64(100 * r.Busy), FailuresPercent: int64(100 * r.Failures), AgeMS: t.Sub(r.At).Milliseconds(),
		})
	}
	return o
}

// observeReports records reports of another daemon.
func (f *Daemon) observeReports(l []query.MemberReport) {
	if len(l) == 0 || !f.config.Features.UnevenMembers {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t := now()
	for _, r := range l[:min(len(l), maxReports)] {
		if _, ok := f.table.Member(r.Member); !ok {
			continue
		}
		k := placement.Report{
			Position: r.Position, Lag: time.Duration(r.LagMS) * time.Millisecond, Wait: time.Duration(r.WaitMS) * time.Millisecond,
			SlotTime: time.Duration(r.SlotMS) * time.Millisecond, Busy: float64(r.BusyPercent) / 100, Failures: float64(r.FailuresPercent) / 100, At: t.Add(-time.Duration(r.AgeMS) * time.Millisecond),
		}
		if o := f.loads.member(r.Member); k.At.After(o.report.At) {
			o.report = k
		}
	}
}

// statementObserver returns the function by which a member's pool reports how the
// member served a statement, or nil if nobody asks for that.
func (f *Daemon) statementObserver(member string) func(time.Duration, bool) {
	if !f.config.Features.UnevenMembers {
		return nil
	}
	return func(took time.Duration, failed bool) { f.observeStatement(member, took, failed) }
}

// observeStatement records how a member that this host owns served a statement.
func (f *Daemon) observeStatement(member string, took time.Duration, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads.member(member).service.Observe(took, failed, now())
}

// observeDelay records the position that a member reported, and what it shows of the
// member's delay in applying commits; f.mu is held.
func (l *load) observeDelay(h *staleness.History, p logpos.Position, t time.Time) {
	if l.position.Less(p) && l.advanced != nil {
		close(l.advanced)
		l.advanced = nil
	}
	l.delay.Observe(h.Lag(p, t))
}

// prepareSurvey makes a request ask for reports on its group's members if the last
// ones were asked for surveyInterval ago.
func (f *Daemon) prepareSurvey(r *query.Request) {
	if !f.config.Features.UnevenMembers || r.Stage == query.Later || r.Stage == query.Abandon {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	g, t := f.group(r.Group), now()
	if t.Sub(g.surveyedAt) >= surveyInterval {
		g.surveyedAt, r.Survey = t, true
	}
}

// observeAnswer records what the answer to a request shows of its group.
func (f *Daemon) observeAnswer(r *query.Request, o *query.Response) {
	if !f.config.Features.UnevenMembers {
		return
	}
	f.observeReports(o.Members)
	if o.Failure != nil || r.Action == query.ActionRead || o.Position.IsZero() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.group(r.Group).seen.Add(o.Position, now())
}
