package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// viewTimeout bounds asking an owner for its primary's position.
const viewTimeout = 700 * time.Millisecond

// findFloor asks for the primary's position for a session that knows no floor,
// again and again until the deadline.
func (d *Daemon) findFloor(r request, n int, reply func(any)) {
	if d.w.now.Add(retryPause).After(r.deadline) {
		reply(verdict{outcome: NotRun, echo: r.ID})
		return
	}
	again := func() { d.after(retryPause, func() { d.findFloor(r, n+1, reply) }) }
	m := d.choose(r, 2*(n+1))
	o := d.w.Owner(d, m)
	if o == nil {
		again()
		return
	}
	d.w.do(&call{
		from: d.Node, to: o.Node, use: "floor", timeout: viewTimeout,
		handle: func(answer func(any)) { o.position(m, answer) },
		done: func(v any, ok bool) {
			p, _ := v.(logpos.Position)
			if !ok || p.IsZero() {
				again()
				return
			}
			r.floor = p
			d.attempt(r, 0, reply)
		},
	})
}

// position answers with the position of a primary, once a majority has
// confirmed after the question that it is still the primary; else with the
// zero position.
func (d *Daemon) position(m *Member, answer func(any)) {
	t := d.w.now
	d.w.do(&call{
		from: d.Node, to: m.Node, use: "position", timeout: controlTimeout,
		handle: func(f func(any)) { f(reply{ok: true, status: m.status()}) },
		done: func(v any, ok bool) {
			s, _ := v.(reply)
			if !ok || s.status.Role != failover.Primary {
				answer(logpos.Position{})
				return
			}
			w := d.await(func(g *failover.Group) bool {
				return d.w.Options.UnconfirmedFloor || g.ConfirmedSince(s.status.Term, t)
			}, func() { answer(s.status.Position) })
			d.after(viewTimeout, func() { w.over = true })
		},
	})
}
