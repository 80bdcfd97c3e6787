package model

import (
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// Error is the class of all failures of this package.
var Error = errs.Class("model")

// errNoAnswer stands for a member that gave no status.
var errNoAnswer = Error.New("no answer")

// Habits of the callers of a hosted world.
const (
	// hostedPause lies between two requests of a session.
	hostedPause = 120 * time.Millisecond
	// hostedPatience is how long a caller waits for an answer.
	hostedPatience = 4 * time.Second
	// hostedAge is the accepted age of data at a replica.
	hostedAge = 1500 * time.Millisecond
)

// hostedWrite is a caller's write.
type hostedWrite struct {
	id string
	// runs counts how often it was committed, last at position and time at.
	runs     int
	position logpos.Position
	at       time.Time
	// acked is when the caller was told that it is done.
	acked time.Time
	// lost tells that a promotion rolled it back.
	lost bool
}

// shown reports whether a log holds the write.
func (x *hostedWrite) shown(l Log) bool {
	n := int(x.position.Offset)
	return n > 0 && n <= len(l) && l[n-1].Statement.ID == x.id
}

// hostedAnswer is what a caller is told.
type hostedAnswer struct {
	// done tells that the request was done, notRun that it wasn't; neither that
	// this is in doubt.
	done, notRun bool
	log          Log
}

// act lets a session make its next request.
func (h *PlatformWorld) act(session int) {
	h.After(hostedPause, func() { h.act(session) })
	var l []*PlatformDaemon
	for _, d := range h.Daemons {
		if d.alive && !d.leaving {
			l = append(l, d)
		}
	}
	if len(l) == 0 {
		return
	}
	d := l[h.r.IntN(len(l))]
	switch h.r.IntN(3) {
	case 0:
		x := &hostedWrite{id: "s" + strconv.Itoa(session) + "-" + strconv.Itoa(len(h.writes))}
		h.writes = append(h.writes, x)
		h.request(d, func(reply func(any)) { d.write(x, reply) }, func(a hostedAnswer) { h.acknowledge(x, a) })
	case 1:
		t := h.now
		h.request(d, func(reply func(any)) { d.readPrimary(reply) }, func(a hostedAnswer) { h.compare(a, t, "primary") })
	default:
		t, m := h.now, h.Members[h.r.IntN(len(h.Members))]
		h.request(d, func(reply func(any)) { d.readReplica(m, reply) }, func(a hostedAnswer) { h.compare(a, t.Add(-hostedAge), "replica") })
	}
}

// request sends a caller's request to a daemon.
func (h *PlatformWorld) request(d *PlatformDaemon, handle func(func(any)), done func(hostedAnswer)) {
	h.do(&call{
		from: h.callers, to: d.Node, use: "caller", timeout: hostedPatience, handle: handle,
		done: func(v any, ok bool) {
			if a, is := v.(hostedAnswer); ok && is {
				done(a)
			}
		},
	})
}

// acknowledge checks the answer to a write.
func (h *PlatformWorld) acknowledge(x *hostedWrite, a hostedAnswer) {
	switch {
	case a.notRun && x.runs > 0:
		h.violate("a write was reported not run and has run")
	case !a.done:
	case x.runs != 1:
		h.violate("an acknowledged write ran " + strconv.Itoa(x.runs) + " times")
	default:
		h.AcknowledgedWrites++
		x.acked = h.now
		for _, e := range h.effects {
			if e.at.Before(x.at) && e.term > x.position.Term {
				h.trace("%s was committed at %s in term %d", x.id, x.at.Sub(epoch), x.position.Term)
				h.violate("a replaced primary's write was acknowledged")
				break
			}
		}
	}
}

// compare checks that a read shows the writes acknowledged before a time.
func (h *PlatformWorld) compare(a hostedAnswer, before time.Time, what string) {
	if !a.done {
		return
	}
	h.AnsweredReads++
	for _, x := range h.writes {
		if !x.acked.IsZero() && x.acked.Before(before) && !x.lost && !x.shown(a.log) {
			h.violate("a read at a " + what + " doesn't show an acknowledged write")
			return
		}
	}
}

// atHolder runs something at the group's holder.
func (d *PlatformDaemon) atHolder(use string, work func(o *PlatformDaemon, reply func(any)), reply func(any)) {
	o := d.h.Host(d.core.Holder().ID)
	if o == nil {
		reply(hostedAnswer{notRun: true})
		return
	}
	if o == d {
		work(d, reply)
		return
	}
	d.call(o, use, hostedPatience, func(r func(any)) { work(o, r) }, func(v any, ok bool) {
		a, is := v.(hostedAnswer)
		if !ok || !is {
			a = hostedAnswer{}
		}
		reply(a)
	})
}

// write has the holder run a write.
func (d *PlatformDaemon) write(x *hostedWrite, reply func(any)) {
	d.atHolder("write", func(o *PlatformDaemon, reply func(any)) {
		if !o.core.MaySendWork(d.h.now) {
			reply(hostedAnswer{notRun: true})
			return
		}
		m := o.believed()
		o.working++
		o.talk(m, "work", hostedPatience, func(r func(any)) {
			m.after(statementCost, func() { r(m.write(x)) })
		}, func(v any, _ time.Time, ok bool) {
			o.working--
			r, is := v.(ran)
			valid := o.core.MayFinishTransactions(d.h.now) || d.h.Options.LateAnswers
			reply(hostedAnswer{done: ok && is && r.ok && valid, notRun: ok && is && !r.ok})
		})
	}, reply)
}

// readPrimary has the holder run a read.
func (d *PlatformDaemon) readPrimary(reply func(any)) {
	d.atHolder("read", func(o *PlatformDaemon, reply func(any)) {
		if !o.core.MaySendWork(d.h.now) {
			reply(hostedAnswer{notRun: true})
			return
		}
		m := o.believed()
		o.talk(m, "work", hostedPatience, func(r func(any)) {
			m.after(statementCost, func() { r(m.read(logpos.Position{}, true)) })
		}, func(v any, _ time.Time, ok bool) {
			r, is := v.(ran)
			valid := o.core.MayFinishTransactions(d.h.now) || d.h.Options.LateAnswers
			reply(hostedAnswer{done: ok && is && r.ok && valid, log: r.log})
		})
	}, reply)
}

// readReplica has the owner of a member run a read there.
func (d *PlatformDaemon) readReplica(m *PlatformMember, reply func(any)) {
	h, ok := d.owner(m)
	o := d.h.Host(h.ID)
	if !ok || o == nil {
		reply(hostedAnswer{notRun: true})
		return
	}
	work := func(o *PlatformDaemon, reply func(any)) {
		p, ok := o.history.Floor(d.h.now.Add(-hostedAge), logpos.Position{})
		if !ok && !d.h.Options.NoFloor {
			reply(hostedAnswer{notRun: true})
			return
		}
		if d.h.Options.NoFloor {
			p = logpos.Position{}
		}
		o.h.do(&call{
			from: o.Node, to: m.Node, use: "replica", timeout: hostedWork,
			handle: func(r func(any)) { m.after(statementCost, func() { r(m.read(p, false)) }) },
			done: func(v any, ok bool) {
				r, is := v.(ran)
				reply(hostedAnswer{done: ok && is && r.ok, log: r.log})
			},
		})
	}
	if o == d {
		work(d, reply)
		return
	}
	d.call(o, "replica-read", hostedPatience, func(r func(any)) { work(o, r) }, func(v any, ok bool) {
		a, is := v.(hostedAnswer)
		if !ok || !is {
			a = hostedAnswer{}
		}
		reply(a)
	})
}
