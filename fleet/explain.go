package fleet

import (
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/entry"
	"github.com/dragonflypick/dragonflypick/explanation"
	"github.com/dragonflypick/dragonflypick/gap"
	"github.com/dragonflypick/dragonflypick/query"
)

// typicalDraw takes the place of the random numbers of decisions that are explained.
func typicalDraw() float64 { return 0.5 }

// Explain explains where a single statement would go now and why. It sends nothing and
// changes nothing that later requests depend on.
func (f *Daemon) Explain(q explanation.Query) (explanation.Explanation, error) {
	c := f.CallerCatalog()
	e := explanation.Explanation{Daemon: f.explainDaemon(), Request: explanation.Request{Kind: q.Kind}}
	if c == nil {
		e.Steps = []explanation.Step{{
			Name: explanation.StepConfiguration, Verdict: explanation.Refuses, Reason: "no configuration yet",
			Change: "the daemon reads the configuration, and confirms it if it names teams",
		}}
		e.Decide(explanation.Decision{})
		return e, nil
	}
	d, ok := c.Databases[q.Database]
	if !ok {
		return e, Error.Wrap(&explanation.UnknownNameError{Kind: "database", Name: q.Database})
	}
	team, ok := c.Teams[q.Team]
	if q.Team != "" && !ok {
		return e, Error.Wrap(&explanation.UnknownNameError{Kind: "team", Name: q.Team})
	}
	r := &query.Request{Team: q.Team, Floor: q.Floor}
	if q.Kind == explanation.Write {
		r.Action = query.ActionWrite
	}
	entry.SetDatabaseFields(r, d)
	e.Database = describeDatabase(d)
	e.Request.Primary = r.Primary
	if !r.Floor.IsZero() {
		e.Request.Floor = r.Floor.String()
	}
	e.Steps = append(e.Steps, explanation.Step{Name: explanation.StepConfiguration, Verdict: explanation.Passes, Reason: "version " + strconv.FormatUint(c.Version, 10) + " names the database"})
	f.explainTeam(&e, c, d, team)
	f.explainGap(&e, r)
	f.explainOverload(&e, r)
	if r.Primary {
		e.Decide(f.explainPrimary(&e, r))
	} else {
		e.Decide(f.explainRead(&e, r))
	}
	return e, nil
}

func (f *Daemon) explainDaemon() explanation.Daemon {
	s := f.config.Self
	return explanation.Daemon{
		ID: s.ID, FailureDomain: s.FailureDomain, Region: s.Region, Ready: f.Ready(), Draining: f.draining.Load(), CutOff: f.CutOff(),
		Version: f.configurationVersion(), StoreCopyMS: f.copyAgeMillis(),
	}
}

var consistencyNames = map[catalog.Consistency]string{
	catalog.PrimaryReads: "primary-reads", catalog.BoundedStaleness: "bounded-staleness", catalog.ReadYourWrites: "read-your-writes",
}

func describeDatabase(d catalog.Database) *explanation.Database {
	return &explanation.Database{
		Name: d.Name, Group: d.Group, Consistency: consistencyNames[d.Consistency], MaxAgeMS: d.MaxAge.Milliseconds(), Rank: d.Rank.String(),
		TimeoutMS: d.StatementTimeout.Milliseconds(), TargetMS: d.TargetLatency.Milliseconds(), Anonymous: d.Anonymous,
	}
}

// explainTeam adds the steps that concern the caller's team.
func (f *Daemon) explainTeam(e *explanation.Explanation, c *catalog.Catalog, d catalog.Database, t catalog.Team) {
	s := explanation.Step{Name: explanation.StepTeam, Verdict: explanation.Passes, Reason: "the database asks for no key"}
	switch {
	case t.Name != "":
		s.Reason = "the team is in the configuration"
	case c.RequiresTeam(d):
		s.Verdict, s.Reason, s.Change = explanation.Refuses, "the key belongs to no team", "the caller has the key of a team (--team explains a request of one)"
	}
	e.Steps = append(e.Steps, s)
	if t.Name == "" {
		return
	}
	e.Team = &explanation.Team{Name: t.Name, Rate: t.Rate, Burst: t.Burst}
	if f.Limiter() == nil || !isLimited(c, t.Name) {
		e.Steps = append(e.Steps, explanation.Step{Name: explanation.StepRate, Verdict: explanation.Passes, Reason: "the team's rate isn't bounded"})
		return
	}
	e.Steps = append(e.Steps, f.explainRate(e.Team, c))
}

// explainRate tells whether an operation of a team would be let in, and fills in what is
// known of the team's accountants.
func (f *Daemon) explainRate(t *explanation.Team, c *catalog.Catalog) explanation.Step {
	var refused refusals
	var o *explanation.Step
	for _, name := range f.nearestAccountants(c, t.Name) {
		a, r := f.peekAccountant(name, t.Name)
		t.Accountants = append(t.Accountants, a)
		switch {
		case o != nil:
		case a.Tokens > 0:
			o = &explanation.Step{Verdict: explanation.Passes, Reason: strconv.Itoa(a.Tokens) + " tokens of group " + name + "'s accountant are in stock here"}
		case r == nil:
			o = &explanation.Step{Verdict: explanation.Asks, Reason: "the accountant at group " + name + "'s holder " + a.Host + " lends a token"}
		case r.reason == refusedCutOff:
			o = refusedStep(r, "this daemon reaches the others; until then another daemon may serve")
		default:
			refused.add(r)
		}
	}
	switch {
	case o != nil:
	case refused.rate != nil:
		o = refusedStep(refused.rate, "an accountant of the team has a token again, or the team has a higher rate")
		for _, a := range t.Accountants {
			if a.Group == refused.rate.group {
				o.RetryAfterMS = a.RetryAfterMS
			}
		}
	default:
		o = refusedStep(refused.unknown, "the holder of one of the accountants' groups is reachable")
		o.Verdict = explanation.Waits
	}
	o.Name = explanation.StepRate
	return *o
}

func refusedStep(r *refusal, change string) *explanation.Step {
	return &explanation.Step{Verdict: explanation.Refuses, Reason: refusalTexts[r.reason], RetryAfterMS: r.retryAfter.Milliseconds(), Change: change}
}

// peekAccountant returns what is known of an accountant of a team, and the refusal that
// an operation gets without the accountant being asked, if any. It takes no token.
func (f *Daemon) peekAccountant(group, team string) (explanation.Accountant, *refusal) {
	h, found := f.findHolder(group, "")
	a := explanation.Accountant{Group: group, Host: h.ID, Reachable: found == holderFound, RefusedMS: -1}
	t := now()
	f.rates.mu.Lock()
	defer f.rates.mu.Unlock()
	if b := f.rates.borrowers[group]; b != nil {
		a.Tokens = b.Stock(team, t)
		if u, ok := b.recentRefusal(team, t); ok {
			r := u.refusal
			a.RefusedMS, a.RetryAfterMS = t.Sub(u.at).Milliseconds(), u.nextReturn(t).Milliseconds()
			return a, &r
		}
	}
	switch {
	case found == holderOutOfReach:
		return a, &refusal{reason: refusedCutOff, retryAfter: isolatedRetryAfter}
	case found != holderFound:
		return a, &refusal{reason: refusedUnreachable, retryAfter: unknownRetryAfter}
	}
	return a, nil
}

// explainGap fills in what is known of a time in which the group can't serve.
func (f *Daemon) explainGap(e *explanation.Explanation, r *query.Request) {
	if !f.config.Features.Pressure {
		return
	}
	f.room.mu.Lock()
	defer f.room.mu.Unlock()
	k, t := gap.Key{Group: r.Group, Primary: r.Primary}, time.Now()
	if d, ok := f.room.gaps.Since(k, t); ok {
		back, _ := f.room.gaps.ReturnAfter(k, r.Rank, typicalDraw(), t)
		e.Gap = &explanation.Gap{SinceMS: d.Milliseconds(), ReturnMS: back.Milliseconds()}
	}
}

// gapReturnMS returns about when a caller is told to return that waited for its group in
// vain, zero if nothing is told.
func gapReturnMS(e *explanation.Explanation) int64 {
	if e.Gap == nil {
		return 0
	}
	return e.Gap.ReturnMS
}
