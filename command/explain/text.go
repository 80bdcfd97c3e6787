package explain

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/dragonflypick/dragonflypick/explanation"
)

// printText prints an explanation for people: the decision first, then its steps, then
// what they rest on.
func printText(out io.Writer, e explanation.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	p := printer{w}
	p.decision(e.Decision)
	p.linef("\nSTEP\tVERDICT\tWHY")
	for _, s := range e.Steps {
		p.linef("%s\t%s\t%s", s.Name, s.Verdict, s.Reason)
	}
	p.linef("")
	p.daemon(e)
	p.team(e.Team)
	if m := e.Primary; m != nil {
		p.linef("primary\t%s, held by %s, reachable %t; level %.2f told %s; %s", known(m.Member), known(m.Holder), m.Reachable, m.Level, age(m.LevelMS), report(m.Report))
	}
	if g := e.Gap; g != nil {
		p.linef("gap\tthe group couldn't serve such requests since %d ms; callers return after about %d ms", g.SinceMS, g.ReturnMS)
	}
	p.candidates(e)
	return w.Flush()
}

type printer struct{ w io.Writer }

func (p printer) linef(format string, a ...any) { _, _ = fmt.Fprintf(p.w, format+"\n", a...) }

func (p printer) decision(d explanation.Decision) {
	switch d.Outcome {
	case explanation.Sent:
		p.linef("sent to %s at host %s: %s", known(d.Member), known(d.Host), d.Reason)
		if d.CostMS > 0 {
			p.linef("  answer expected after %d ms, of which %d ms until the member has the data", d.CostMS, d.CatchUpMS)
		}
		if d.HedgeMS > 0 {
			p.linef("  without an answer after %d ms perhaps also to a second member", d.HedgeMS)
		}
	case explanation.Waiting:
		p.linef("waits, and is refused if nothing changes, because %s", d.Reason)
	default:
		p.linef("refused because %s", d.Reason)
	}
	if d.RetryAfterMS > 0 {
		p.linef("  the caller is told to come back after about %d ms", d.RetryAfterMS)
	}
	for _, c := range d.Conditions {
		p.linef("  if %s", c)
	}
	for i, c := range d.Changes {
		if i == 0 {
			p.linef("  would be served if %s", c)
			continue
		}
		p.linef("  and if %s", c)
	}
}

func (p printer) daemon(e explanation.Explanation) {
	d := e.Daemon
	p.linef("daemon\t%s in %s, %s; ready %t, draining %t, cut off %t; configuration %d; copy of the store %s", d.ID, known(d.FailureDomain), known(d.Region), d.Ready, d.Draining, d.CutOff, d.Version, age(d.StoreCopyMS))
	if b := e.Database; b != nil {
		p.linef("database\t%s in group %s: %s, accepted age %d ms, rank %s, timeout %d ms, target %d ms, anonymous %t", b.Name, b.Group, b.Consistency, b.MaxAgeMS, b.Rank, b.TimeoutMS, b.TargetMS, b.Anonymous)
	}
	if r := e.Request; r.Floor != "" {
		p.linef("floor\t%s, known here for %d ms", r.Floor, r.FloorMS)
	}
}

func (p printer) team(t *explanation.Team) {
	if t == nil {
		return
	}
	p.linef("team\t%s: rate %g, burst %g", t.Name, t.Rate, t.Burst)
	for _, a := range t.Accountants {
		s := "not refused lately"
		if a.RefusedMS >= 0 {
			s = "refused " + age(a.RefusedMS) + ", next return after " + strconv.FormatInt(a.RetryAfterMS, 10) + " ms"
		}
		p.linef("accountant\tgroup %s at %s, reachable %t; %d tokens in stock here; %s", a.Group, known(a.Host), a.Reachable, a.Tokens, s)
	}
}

func (p printer) candidates(e explanation.Explanation) {
	if len(e.Candidates) > 0 {
		p.linef("\nMEMBER\tROLE\tOWNER\tSHARE\tROUND TRIP\tIN FLIGHT\tCATCH-UP\tCOST\tREPORT")
	}
	for _, c := range e.Candidates {
		role, mark := "replica", ""
		if c.Primary {
			role = "primary"
		}
		if c.Chosen {
			mark = " <-"
		}
		p.linef("%s%s\t%s\t%s\t%.2f\t%.1f ms\t%d\t%d ms\t%d ms\t%s", c.Member, mark, role, c.Owner, c.Share, float64(c.RoundTripUS)/1000, c.InFlight, c.CatchUpMS, c.CostMS, report(c.Report))
	}
	for _, s := range e.Skipped {
		p.linef("%s\tnot considered: %s", s.Member, s.Reason)
	}
}

func known(s string) string {
	if s == "" {
		return "(unknown)"
	}
	return s
}

func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return strconv.FormatInt(ms, 10) + " ms ago"
}

func report(r *explanation.Report) string {
	if r == nil {
		return "no report"
	}
	return fmt.Sprintf("%s: log %s, lag %d ms, wait %d ms, slot %d ms, busy %.2f, failures %.2f", age(r.AgeMS), r.Position, r.LagMS, r.WaitMS, r.SlotMS, r.Busy, r.Failures)
}
