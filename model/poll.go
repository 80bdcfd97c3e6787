package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
)

// reply is a member's answer on a control connection.
type reply struct {
	ok     bool
	status failover.Status
}

// control runs f at a member and gives its report to done. Where the open
// connection gives no answer, a fresh one is tried. Answers that come late or
// twice are given to done as well.
func (d *Daemon) control(m *Member, f func() bool, done func(failover.Status, bool)) {
	if d.w.Options.NoFailover {
		return
	}
	d.ask(m, f, done, d.links[m.Name+" control"] != nil)
}

func (d *Daemon) ask(m *Member, f func() bool, done func(failover.Status, bool), again bool) {
	end := func(v any) {
		r, _ := v.(reply)
		done(r.status, r.ok)
	}
	d.w.do(&call{
		from: d.Node, to: m.Node, use: "control", timeout: controlTimeout, late: end,
		handle: func(answer func(any)) {
			ok := f()
			answer(reply{ok: ok, status: m.status()})
		},
		done: func(v any, ok bool) {
			if !ok && again {
				d.ask(m, f, done, false)
				return
			}
			end(v)
		},
	})
}

// poll asks a member for its report, again and again.
func (d *Daemon) poll(m *Member) {
	d.polled[m.Name]++
	d.pollOn(m, d.links[m.Name+" status"] != nil)
}

func (d *Daemon) pollOn(m *Member, again bool) {
	t := d.w.now
	report := func(v any) {
		d.handle(failover.StatusReported{Member: m.Name, Status: v.(reply).status, RequestedAt: t})
	}
	d.w.do(&call{
		from: d.Node, to: m.Node, use: "status", timeout: controlTimeout, late: report,
		handle: func(answer func(any)) { answer(reply{ok: true, status: m.status()}) },
		done: func(v any, ok bool) {
			switch {
			case ok:
				report(v)
				d.pollAfter(m, pollInterval, true)
			case again:
				d.pollOn(m, false)
			default:
				d.handle(failover.PollFailed{Member: m.Name})
				d.pollAfter(m, failInterval, false)
			}
		},
	})
}

// pollAfter polls after a pause, which a waiting write ends.
func (d *Daemon) pollAfter(m *Member, p time.Duration, alive bool) {
	if alive && len(d.waiters) > 0 {
		d.after(busyInterval, func() { d.poll(m) })
		return
	}
	n := d.polled[m.Name]
	d.hurried[m.Name] = alive
	d.after(p, func() {
		if d.polled[m.Name] == n {
			delete(d.hurried, m.Name)
			d.poll(m)
		}
	})
}
