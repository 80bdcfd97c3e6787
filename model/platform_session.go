package model

import (
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// Error is the class of all errors of this package.
var Error = errs.Class("model")

// errNoAnswer is the error for a member that gave no status.
var errNoAnswer = Error.New("no answer")

// Timing of the callers of a PlatformWorld.
const (
	// platformThinkTime is the time between two requests of a session.
	platformThinkTime = 120 * time.Millisecond
	// platformCallerTimeout is how long a caller waits for an answer.
	platformCallerTimeout = 4 * time.Second
	// platformReplicaAge is the maximum age of the data in a read on a replica.
	platformReplicaAge = 1500 * time.Millisecond
)

// platformWrite is a caller's write.
type platformWrite struct {
	id string
	// commits counts the commits of the write; position and committedAt are
	// those of the last one.
	commits     int
	position    logpos.Position
	committedAt time.Time
	// acknowledgedAt is when the caller was notified that the write is done.
	acknowledgedAt time.Time
	// rolledBack means that a promotion rolled the write back.
	rolledBack bool
}

// inLog reports whether a log has the write.
func (x *platformWrite) inLog(l Log) bool {
	n := int(x.position.Offset)
	return n > 0 && n <= len(l) && l[n-1].Statement.ID == x.id
}

// callerAnswer is the answer to a caller.
type callerAnswer struct {
	// done means that the request was done, notRun that it wasn't; if neither
	// is set, the outcome is in doubt.
	done, notRun bool
	log          Log
}

// sendNextRequest sends the next request of a session to a random daemon, and
// schedules the one after it.
func (w *PlatformWorld) sendNextRequest(session int) {
	w.After(platformThinkTime, func() { w.sendNextRequest(session) })
	var l []*PlatformDaemon
	for _, d := range w.Daemons {
		if d.alive && !d.draining {
			l = append(l, d)
		}
	}
	if len(l) == 0 {
		return
	}
	d := l[w.random.IntN(len(l))]
	switch w.random.IntN(3) {
	case 0:
		x := &platformWrite{id: "s" + strconv.Itoa(session) + "-" + strconv.Itoa(len(w.writes))}
		w.writes = append(w.writes, x)
		w.sendRequest(d, func(reply func(any)) { d.runWrite(x, reply) }, func(a callerAnswer) { w.checkWrite(x, a) })
	case 1:
		t := w.now
		w.sendRequest(d, func(reply func(any)) { d.runPrimaryRead(reply) }, func(a callerAnswer) { w.checkRead(a, t, "primary") })
	default:
		t, m := w.now, w.Members[w.random.IntN(len(w.Members))]
		w.sendRequest(d, func(reply func(any)) { d.runReplicaRead(m, reply) }, func(a callerAnswer) { w.checkRead(a, t.Add(-platformReplicaAge), "replica") })
	}
}

// sendRequest sends a caller's request to a daemon.
func (w *PlatformWorld) sendRequest(d *PlatformDaemon, handle func(func(any)), done func(callerAnswer)) {
	w.startCall(&call{
		from: w.callers, to: d.Node, purpose: "caller", timeout: platformCallerTimeout, handle: handle,
		done: func(v any, ok bool) {
			if a, is := v.(callerAnswer); ok && is {
				done(a)
			}
		},
	})
}

// checkWrite checks the answer to a write.
func (w *PlatformWorld) checkWrite(x *platformWrite, a callerAnswer) {
	switch {
	case a.notRun && x.commits > 0:
		w.addViolation("a write was reported not run and has run")
	case !a.done:
	case x.commits != 1:
		w.addViolation("an acknowledged write ran " + strconv.Itoa(x.commits) + " times")
	default:
		w.AcknowledgedWrites++
		x.acknowledgedAt = w.now
		for _, e := range w.promotions {
			if e.at.Before(x.committedAt) && e.term > x.position.Term {
				w.trace("%s was committed at %s in term %d", x.id, x.committedAt.Sub(startTime), x.position.Term)
				w.addViolation("a replaced primary's write was acknowledged")
				break
			}
		}
	}
}

// checkRead checks that a read shows all writes that were acknowledged before
// the given time.
func (w *PlatformWorld) checkRead(a callerAnswer, before time.Time, memberKind string) {
	if !a.done {
		return
	}
	w.AnsweredReads++
	for _, x := range w.writes {
		if !x.acknowledgedAt.IsZero() && x.acknowledgedAt.Before(before) && !x.rolledBack && !x.inLog(a.log) {
			w.addViolation("a read at a " + memberKind + " doesn't show an acknowledged write")
			return
		}
	}
}

// runAtHolder handles a request at the group's holder, which may be the daemon
// itself.
func (d *PlatformDaemon) runAtHolder(purpose string, handle func(o *PlatformDaemon, reply func(any)), reply func(any)) {
	o := d.world.Daemon(d.group.Holder().ID)
	if o == nil {
		reply(callerAnswer{notRun: true})
		return
	}
	if o == d {
		handle(d, reply)
		return
	}
	d.callDaemon(o, purpose, platformCallerTimeout, func(r func(any)) { handle(o, r) }, func(v any, ok bool) {
		a, is := v.(callerAnswer)
		if !ok || !is {
			a = callerAnswer{}
		}
		reply(a)
	})
}

// primaryUse returns the use of the known primary for a step that is sent now.
func (d *PlatformDaemon) primaryUse(change bool) takeover.PrimaryUse {
	id, term := d.group.Primary()
	return takeover.PrimaryUse{Member: id, Term: term, Change: change}
}

// passesReply reports whether the reply to a step may be passed on.
func (d *PlatformDaemon) passesReply(u takeover.PrimaryUse) bool {
	return d.world.Options.AcceptAfterLease || d.group.PassesReply(u, d.world.now)
}

// runWrite runs a write through the holder.
func (d *PlatformDaemon) runWrite(x *platformWrite, reply func(any)) {
	d.runAtHolder("write", func(o *PlatformDaemon, reply func(any)) {
		if !o.maySendNewWork() {
			reply(callerAnswer{notRun: true})
			return
		}
		m := o.knownPrimary()
		u := o.primaryUse(true)
		o.pendingWrites++
		o.callMember(m, "work", platformCallerTimeout, func(r func(any)) {
			m.after(statementCost, func() { r(m.executeWrite(x)) })
		}, func(v any, _ time.Time, ok bool) {
			o.pendingWrites--
			r, is := v.(platformMemberAnswer)
			reply(callerAnswer{done: ok && is && r.ok && o.passesReply(u), notRun: ok && is && !r.ok})
		})
	}, reply)
}

// runPrimaryRead runs a read at the primary through the holder.
func (d *PlatformDaemon) runPrimaryRead(reply func(any)) {
	d.runAtHolder("read", func(o *PlatformDaemon, reply func(any)) {
		if !o.maySendNewWork() {
			reply(callerAnswer{notRun: true})
			return
		}
		m := o.knownPrimary()
		u := o.primaryUse(false)
		o.callMember(m, "work", platformCallerTimeout, func(r func(any)) {
			m.after(statementCost, func() { r(m.executeRead(logpos.Position{}, true)) })
		}, func(v any, _ time.Time, ok bool) {
			r, is := v.(platformMemberAnswer)
			reply(callerAnswer{done: ok && is && r.ok && o.passesReply(u), log: r.log})
		})
	}, reply)
}

// runReplicaRead runs a read at a member through the member's owner.
func (d *PlatformDaemon) runReplicaRead(m *PlatformMember, reply func(any)) {
	h, ok := d.owner(m)
	o := d.world.Daemon(h.ID)
	if !ok || o == nil || m.draining {
		reply(callerAnswer{notRun: true})
		return
	}
	handle := func(o *PlatformDaemon, reply func(any)) {
		p, ok := o.logEndHistory.Floor(d.world.now.Add(-platformReplicaAge), logpos.Position{})
		if !ok && !d.world.Options.NoFloor {
			reply(callerAnswer{notRun: true})
			return
		}
		if d.world.Options.NoFloor {
			p = logpos.Position{}
		}
		sent := d.world.now
		o.world.startCall(&call{
			from: o.Node, to: m.Node, purpose: "replica", timeout: callTimeout,
			handle: func(r func(any)) {
				m.checkDrain(sent)
				m.after(statementCost, func() { r(m.executeRead(p, false)) })
			},
			done: func(v any, ok bool) {
				r, is := v.(platformMemberAnswer)
				reply(callerAnswer{done: ok && is && r.ok, log: r.log})
			},
		})
	}
	if o == d {
		handle(d, reply)
		return
	}
	d.callDaemon(o, "replica-read", platformCallerTimeout, func(r func(any)) { handle(o, r) }, func(v any, ok bool) {
		a, is := v.(callerAnswer)
		if !ok || !is {
			a = callerAnswer{}
		}
		reply(a)
	})
}
