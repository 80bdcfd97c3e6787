package matrix

import (
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/model"
)

func (r *run) addViolation(s string) { r.report.Violations = append(r.report.Violations, s) }

// checkGuarantees checks the members, all writes so far and the availability.
// The text when ends each violation that it adds.
func (r *run) checkGuarantees(when string) {
	p := r.checkMembers(when)
	if p == nil {
		return
	}
	l := p.Log()
	for _, x := range r.world.Writes {
		r.checkWrite(l, x, when)
	}
	for _, s := range r.world.Violations {
		r.addViolation(s + ", " + when)
	}
	r.world.Violations = nil
	r.checkAvailability(when)
}

// checkMembers returns the group's primary, or nil. It checks that there is
// only one and that all other members are replicas in its term with the same
// log.
func (r *run) checkMembers(when string) *model.Member {
	p := r.world.Primary()
	if p == nil {
		r.addViolation("no primary " + when)
		return nil
	}
	_, t := p.Role()
	for _, m := range r.world.Members {
		role, u := m.Role()
		if m != p && (role == "primary" || u != t) {
			r.addViolation("member " + m.Name + " isn't a replica in the primary's term " + when)
		}
		if m != p && m.Log().Last() != p.Log().Last() {
			r.addViolation("member " + m.Name + " doesn't have the primary's log " + when)
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
		r.addViolation(x.ID + " ran " + strconv.Itoa(n) + " times, " + when)
	case k > 1:
		r.addViolation(x.Key + " ran " + strconv.Itoa(k) + " times, " + when)
	case x.Outcome == model.Done && n+k == 0:
		r.addViolation(x.ID + " was acknowledged but is lost, " + when)
	case x.Outcome == model.NotRun && n > 0:
		r.addViolation(x.ID + " was reported as not run but has run, " + when)
	}
}

// checkAvailability checks that a new write is acknowledged within
// maxWriteGap.
func (r *run) checkAvailability(when string) {
	r.resumeSessions()
	n := len(r.world.Writes)
	end := r.world.Now().Add(maxWriteGap)
	for !r.writeAcknowledged(n) {
		if r.world.Now().After(end) {
			r.addViolation("no write was acknowledged " + when)
			break
		}
		r.world.Advance(pollInterval)
	}
	r.pauseSessions()
}

// writeAcknowledged reports whether a write after the first n was acknowledged.
func (r *run) writeAcknowledged(n int) bool {
	for _, x := range r.world.Writes[n:] {
		if x.Outcome == model.Done {
			return true
		}
	}
	return false
}

// checkBundles checks that all daemons have the platform's bundle, and that the
// results of the pushes agree with it.
func (r *run) checkBundles() {
	b := r.world.Platform.Bundle()
	if b == nil {
		r.addViolation("the platform has no bundle")
		return
	}
	for _, d := range r.world.Daemons {
		if d.Alive() && (d.Bundle() == nil || d.Bundle().Digest != b.Digest) {
			r.addViolation("host " + d.Name + " doesn't have the platform's bundle")
		}
	}
	won := 0
	for n, e := range r.pushes {
		switch {
		case n != "first" && e == model.PushApplied:
			won++
		case e == model.PushSuperseded && n == b.Digest:
			r.addViolation("bundle " + n + " is in force but its push was reported as superseded")
		}
	}
	if r.pushesRaced() && won != 1 {
		r.addViolation(strconv.Itoa(won) + " of the concurrent pushes succeeded")
	}
}

// pushesRaced reports whether exactly one pair of concurrent pushes was made,
// on a platform without faults.
func (r *run) pushesRaced() bool {
	return len(r.pushes) == 3 && !r.hasFault(PlatformDown) && !r.hasFault(PlatformSlow) && !r.hasFault(PlatformAnswerLost)
}

func (r *run) hasFault(f Fault) bool { return r.plan.First == f || r.plan.Second == f }

// summarize fills in the report and checks its numbers.
func (r *run) summarize() {
	for _, x := range r.world.Writes {
		switch x.Outcome {
		case model.Done:
			r.report.Done++
		case model.NotRun:
			r.report.NotRun++
		case model.InDoubt:
			r.report.InDoubt++
		}
	}
	r.report.Reads = r.world.Reads
	_, r.report.Terms = r.world.Primary().Role()
	if r.injectedAt.IsZero() {
		r.addViolation("the step was never reached")
		return
	}
	r.checkSingleFault()
	r.report.WriteGap = r.longestWriteGap()
	if r.writeGapBounded() && r.report.WriteGap > maxWriteGap {
		r.addViolation("gap in service of " + r.report.WriteGap.String())
	}
}

// checkSingleFault checks the guarantees that hold only if there is no second
// fault.
func (r *run) checkSingleFault() {
	if r.plan.Second != "" {
		return
	}
	switch r.plan.First {
	case PrimaryDraining, HostDraining:
		if r.report.InDoubt > 0 {
			r.addViolation("a graceful shutdown left a request in doubt")
		}
	case SilentConnection, BrokenConnection:
		if r.report.Terms > 1+extraFailovers {
			r.addViolation("a failed connection led to a promotion")
		}
	}
}

// writeGapBounded reports whether the faults leave a majority that can serve,
// so that maxWriteGap applies.
func (r *run) writeGapBounded() bool {
	if r.plan.Second != "" || r.plan.FiveMembers {
		return false
	}
	switch r.plan.First {
	case NewPrimaryKilled, MessagesReordered, OwnerFrozen:
		return false
	default:
		return true
	}
}

// longestWriteGap returns the longest time without an acknowledged write while
// the faults lasted.
func (r *run) longestWriteGap() time.Duration {
	last, g := r.injectedAt, time.Duration(0)
	end := r.injectedAt.Add(faultDuration)
	for _, x := range r.world.Writes {
		if x.Outcome != model.Done || x.Ended.Before(r.injectedAt) || x.Ended.After(end) {
			continue
		}
		g = max(g, x.Ended.Sub(last))
		last = x.Ended
	}
	return max(g, end.Sub(last))
}
