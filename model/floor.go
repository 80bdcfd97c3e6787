package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// floorTimeout bounds the request for a primary's position at an owner.
const floorTimeout = 700 * time.Millisecond

// queryFloor requests the primary's position as the floor of a read whose
// session has none, and then sends the read to an owner. The request for the
// position is repeated until the deadline.
func (d *Daemon) queryFloor(r request, n int, reply func(any)) {
	if d.world.now.Add(retryBackoff).After(r.deadline) {
		reply(ownerAnswer{outcome: NotRun, requestID: r.ID})
		return
	}
	retry := func() { d.after(retryBackoff, func() { d.queryFloor(r, n+1, reply) }) }
	m := d.selectMember(r, 2*(n+1))
	o := d.world.Owner(d, m)
	if o == nil {
		retry()
		return
	}
	d.world.startCall(&call{
		from: d.Node, to: o.Node, purpose: "floor", timeout: floorTimeout,
		handle: func(answer func(any)) { o.confirmedPosition(m, answer) },
		done: func(v any, ok bool) {
			p, _ := v.(logpos.Position)
			if !ok || p.IsZero() {
				retry()
				return
			}
			r.floor = p
			d.sendToOwner(r, 0, reply)
		},
	})
}

// confirmedPosition answers with the position of a primary once a majority has
// confirmed, after the request, that it is still the primary. If the member
// gives no answer or isn't a primary, the answer is the zero position; without
// a confirmation there is no answer.
func (d *Daemon) confirmedPosition(m *Member, answer func(any)) {
	t := d.world.now
	d.world.startCall(&call{
		from: d.Node, to: m.Node, purpose: "position", timeout: controlTimeout,
		handle: func(f func(any)) { f(controlAnswer{ok: true, status: m.status()}) },
		done: func(v any, ok bool) {
			s, _ := v.(controlAnswer)
			if !ok || s.status.Role != failover.Primary {
				answer(logpos.Position{})
				return
			}
			w := d.runWhen(func(g *failover.Group) bool {
				return d.world.Options.UnconfirmedFloor || g.ConfirmedSince(s.status.Term, t)
			}, func() { answer(s.status.Position) })
			d.after(floorTimeout, func() { w.done = true })
		},
	})
}
