package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/membership"
)

// Timing of an entry.
const (
	retryPause  = 30 * time.Millisecond
	answerGrace = 2 * time.Second
)

// submit takes a request from a caller and answers it.
func (d *Daemon) submit(r request, reply func(any)) {
	r.deadline = d.w.now.Add(deadline)
	if !r.read {
		d.w.reach(Classified, r.Statement)
	}
	if r.read && !r.known {
		d.findFloor(r, 0, reply)
		return
	}
	d.attempt(r, 0, reply)
}

// attempt sends a request to an owner, and again while it is not run and its
// deadline allows.
func (d *Daemon) attempt(r request, n int, reply func(any)) {
	m := d.choose(r, n)
	again := func() {
		if d.w.now.Add(retryPause).After(r.deadline) {
			reply(verdict{outcome: NotRun, echo: r.ID})
			return
		}
		d.after(retryPause, func() { d.attempt(r, n+1, reply) })
	}
	o := d.w.Owner(d, m)
	if o == nil {
		again()
		return
	}
	r.member = m.Name
	if !r.read {
		d.w.reach(Sent, r.Statement)
	}
	d.w.do(&call{
		from: d.Node, to: o.Node, use: "statement", timeout: r.deadline.Sub(d.w.now) + answerGrace,
		caller: true, probed: true,
		handle: func(answer func(any)) { o.serve(r, answer) },
		done: func(v any, ok bool) {
			if !ok {
				d.lost(o, r, again, reply)
				return
			}
			d.view.Handle(membership.HostAnswered{ID: o.Name}, d.w.now)
			x := v.(verdict)
			if x.primary != "" {
				d.primary = x.primary
			}
			if x.outcome == NotRun {
				again()
				return
			}
			reply(x)
		},
	})
}

// lost deals with an owner that gave no answer.
func (d *Daemon) lost(o *Daemon, r request, again func(), reply func(any)) {
	d.view.Handle(membership.LinkFailed{ID: o.Name}, d.w.now)
	if r.read || d.w.Options.RetryInDoubt {
		again()
		return
	}
	reply(verdict{outcome: InDoubt, echo: r.ID})
}

// choose picks the member for a request: the primary for a write, any for a
// read. Later attempts turn to other members, in case the entry's knowledge is
// old.
func (d *Daemon) choose(r request, n int) *Member {
	if r.read && n == 0 {
		return d.w.Members[d.w.r.IntN(len(d.w.Members))]
	}
	if m := d.w.Member(d.primary); m != nil && n%2 == 0 {
		return m
	}
	return d.w.Members[n%len(d.w.Members)]
}
