package matrix

import (
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/model"
)

func (r *run) addViolation(s string) { r.report.Violations = append(r.report.Violations, s) }

// check looks at the group's log and at all writes so far.
func (r *run) check(when string) {
	p := r.checkMembers(when)
	if p == nil {
		return
	}
	l := p.Log()
	for _, x := range r.w.Writes {
		r.checkWrite(l, x, when)
	}
	for _, s := range r.w.Violations {
		r.addViolation(s + ", " + when)
	}
	r.w.Violations = nil
	r.checkAvailability(when)
}

// checkMembers returns the group's only primary; all members must have its log.
func (r *run) checkMembers(when string) *model.Member {
	p := r.w.Primary()
	if p == nil {
		r.addViolation("no primary " + when)
		return nil
	}
	_, t := p.Role()
	for _, m := range r.w.Members {
		role, u := m.Role()
		if m != p && (role == "primary" || u != t) {
			r.addViolation("member " + m.Name + " isn't a replica in the primary's term " + when)
		}
		if m != p && m.Log().Last() != p.Log().Last() {
			r.addViolation("member " + m.Name + " hasn't the primary's log " + when)
		}
	}
	return p
}

func (r *run) checkWrite(l model.Log, x model.Write, when string) {
	n, k := l.Count(x.ID), 0
	if x.Key != "" {
		k = l.CountKey(x.Key)
	}
	switch {
	case n > 1:
		r.addViolation(x.ID + " ran " + strconv.Itoa(n) + " times, " + when)
	case k > 1:
		r.addViolation(x.Key + " ran " + strconv.Itoa(k) + " times, " + when)
	case x.Outcome == model.Done && n+k == 0:
		r.addViolation(x.ID + " was acknowledged and is lost, " + when)
	case x.Outcome == model.NotRun && n > 0:
		r.addViolation(x.ID + " was reported not run and has run, " + when)
	}
}

// checkAvailability looks for writes that were acknowledged lately.
func (r *run) checkAvailability(when string) {
	r.resumeSessions()
	n := len(r.w.Writes)
	end := r.w.Now().Add(maxServiceGap)
	for !r.writeAcknowledged(n) {
		if r.w.Now().After(end) {
			r.addViolation("no write was acknowledged " + when)
			break
		}
		r.w.Run(pollInterval)
	}
	r.pauseSessions()
}

// writeAcknowledged reports whether a write after the first n was acknowledged.
func (r *run) writeAcknowledged(n int) bool {
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
		r.addViolation("the platform has no bundle")
		return
	}
	for _, d := range r.w.Daemons {
		if d.Alive() && (d.Bundle() == nil || d.Bundle().Digest != b.Digest) {
			r.addViolation("host " + d.Name + " hasn't the platform's bundle")
		}
	}
	won := 0
	for n, e := range r.pushes {
		switch {
		case n != "first" && e == model.Won:
			won++
		case e == model.Superseded && n == b.Digest:
			r.addViolation("bundle " + n + " is in force and its operator was told that it isn't")
		}
	}
	if r.pushesRaced() && won != 1 {
		r.addViolation(strconv.Itoa(won) + " of the racing bundles won")
	}
}

// pushesRaced reports whether one race took place on a service that answered.
func (r *run) pushesRaced() bool {
	return len(r.pushes) == 3 && !r.hasFault(PlatformDown) && !r.hasFault(PlatformSlow) && !r.hasFault(PlatformAnswerLost)
}

func (r *run) hasFault(f Fault) bool { return r.p.First == f || r.p.Second == f }

// summarize fills in the report.
func (r *run) summarize() {
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
	if r.injectedAt.IsZero() {
		r.addViolation("the step was never reached")
		return
	}
	r.checkSingleFault()
	r.report.Gap = r.longestGap()
	if r.gapBounded() && r.report.Gap > maxServiceGap {
		r.addViolation("gap in service of " + r.report.Gap.String())
	}
}

// checkSingleFault looks at what holds when nothing else goes wrong.
func (r *run) checkSingleFault() {
	if r.p.Second != "" {
		return
	}
	switch r.p.First {
	case PrimaryDraining, HostDraining:
		if r.report.InDoubt > 0 {
			r.addViolation("a graceful shutdown cut a request")
		}
	case SilentConnection, BrokenConnection:
		if r.report.Terms > 1+extraFailovers {
			r.addViolation("a connection that failed led to a promotion")
		}
	}
}

// gapBounded reports whether the faults leave a majority that can serve, so that
// the gap in service has a bound.
func (r *run) gapBounded() bool {
	if r.p.Second != "" || r.p.FiveMembers {
		return false
	}
	switch r.p.First {
	case NewPrimaryKilled, MessagesReordered, OwnerFrozen:
		return false
	default:
		return true
	}
}

// longestGap returns the longest time without an acknowledged write while the faults
// lasted.
func (r *run) longestGap() time.Duration {
	last, g := r.injectedAt, time.Duration(0)
	end := r.injectedAt.Add(faultDuration)
	for _, x := range r.w.Writes {
		if x.Outcome != model.Done || x.Ended.Before(r.injectedAt) || x.Ended.After(end) {
			continue
		}
		g = max(g, x.Ended.Sub(last))
		last = x.Ended
	}
	return max(g, end.Sub(last))
}
