package matrix

import (
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/model"
)

func (r *run) violate(s string) { r.report.Violations = append(r.report.Violations, s) }

// check looks at the group's log and at all writes so far.
func (r *run) check(when string) {
	p := r.primary(when)
	if p == nil {
		return
	}
	l := p.Log()
	for _, x := range r.w.Writes {
		r.checkWrite(l, x, when)
	}
	for _, s := range r.w.Violations {
		r.violate(s + ", " + when)
	}
	r.w.Violations = nil
	r.checkServes(when)
}

// primary returns the group's only primary; all members must have its log.
func (r *run) primary(when string) *model.Member {
	p := r.w.Primary()
	if p == nil {
		r.violate("no primary " + when)
		return nil
	}
	_, t := p.Role()
	for _, m := range r.w.Members {
		role, u := m.Role()
		if m != p && (role == "primary" || u != t) {
			r.violate("member " + m.Name + " isn't a replica in the primary's term " + when)
		}
		if m != p && m.Log().Last() != p.Log().Last() {
			r.violate("member " + m.Name + " hasn't the primary's log " + when)
		}
	}
	return p
}

func (r *run) checkWrite(l model.Log, x model.Write, when string) {
	n, k := l.CountID(x.ID), 0
	if x.Key != "" {
		k = l.CountKey(x.Key)
	}
	switch {
	case n > 1:
		r.violate(x.ID + " ran " + strconv.Itoa(n) + " times, " + when)
	case k > 1:
		r.violate(x.Key + " ran " + strconv.Itoa(k) + " times, " + when)
	case x.Outcome == model.Done && n+k == 0:
		r.violate(x.ID + " was acknowledged and is lost, " + when)
	case x.Outcome == model.NotRun && n > 0:
		r.violate(x.ID + " was reported not run and has run, " + when)
	}
}

// checkServes looks for writes that were acknowledged lately.
func (r *run) checkServes(when string) {
	r.resume()
	n := len(r.w.Writes)
	end := r.w.Now().Add(gapTarget)
	for !r.served(n) {
		if r.w.Now().After(end) {
			r.violate("no write was acknowledged " + when)
			break
		}
		r.w.Advance(lookInterval)
	}
	r.pause()
}

// served reports whether a write after the first n was acknowledged.
func (r *run) served(n int) bool {
	for _, x := range r.w.Writes[n:] {
		if x.Outcome == model.Done {
			return true
		}
	}
	return false
}

// checkBundles looks at the bundles in force and at the ends of pushes.
func (r *run) checkBundles() {
	b := r.w.Platform.Bundle()
	if b == nil {
		r.violate("the platform has no bundle")
		return
	}
	for _, d := range r.w.Daemons {
		if d.Alive() && (d.Bundle() == nil || d.Bundle().Digest != b.Digest) {
			r.violate("host " + d.Name + " hasn't the platform's bundle")
		}
	}
	won := 0
	for n, e := range r.pushes {
		switch {
		case n != "first" && e == model.PushApplied:
			won++
		case e == model.PushSuperseded && n == b.Digest:
			r.violate("bundle " + n + " is in force and its operator was told that it isn't")
		}
	}
	if r.racers() && won != 1 {
		r.violate(strconv.Itoa(won) + " of the racing bundles won")
	}
}

// racers reports whether one race took place on a service that answered.
func (r *run) racers() bool {
	return len(r.pushes) == 3 && !r.raises(PlatformDown) && !r.raises(PlatformSlow) && !r.raises(PlatformAnswerLost)
}

func (r *run) raises(f Fault) bool { return r.p.First == f || r.p.Second == f }

// count fills in the report.
func (r *run) count() {
	for _, x := range r.w.Writes {
		switch x.Outcome {
		case model.Done:
			r.report.Done++
		case model.NotRun:
			r.report.NotRun++
		case model.InDoubt:
			r.report.InDoubt++
		}
	}
	r.report.Reads = r.w.Reads
	_, r.report.Terms = r.w.Primary().Role()
	if r.raised.IsZero() {
		r.violate("the step was never reached")
		return
	}
	r.checkSingle()
	r.report.Gap = r.gap()
	if r.bounded() && r.report.Gap > gapTarget {
		r.violate("gap in service of " + r.report.Gap.String())
	}
}

// checkSingle looks at what holds when nothing else goes wrong.
func (r *run) checkSingle() {
	if r.p.Second != "" {
		return
	}
	switch r.p.First {
	case MemberLeaving, HostLeaving:
		if r.report.InDoubt > 0 {
			r.violate("a graceful shutdown cut a request")
		}
	case SilentConnection, BrokenConnection:
		if r.report.Terms > 1+farther {
			r.violate("a connection that failed led to a promotion")
		}
	}
}

// bounded reports whether the faults leave a majority that can serve, so that
// the gap in service has a bound.
func (r *run) bounded() bool {
	if r.p.Second != "" || r.p.Wide {
		return false
	}
	switch r.p.First {
	case SuccessorKilled, LateAnswers, OwnerFrozen:
		return false
	default:
		return true
	}
}

// gap returns the longest time without an acknowledged write while the faults
// lasted.
func (r *run) gap() time.Duration {
	last, g := r.raised, time.Duration(0)
	end := r.raised.Add(faultTime)
	for _, x := range r.w.Writes {
		if x.Outcome != model.Done || x.Ended.Before(r.raised) || x.Ended.After(end) {
			continue
		}
		g = max(g, x.Ended.Sub(last))
		last = x.Ended
	}
	return max(g, end.Sub(last))
}
