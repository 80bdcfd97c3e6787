package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
)

// controlAnswer is a member's answer on a control connection.
type controlAnswer struct {
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
	d.sendControl(m, f, done, d.connections[m.Name+" control"] != nil)
}

func (d *Daemon) sendControl(m *Member, f func() bool, done func(failover.Status, bool), retry bool) {
	end := func(v any) {
		r, _ := v.(controlAnswer)
		done(r.status, r.ok)
	}
	d.w.startCall(&call{
		from: d.Node, to: m.Node, purpose: "control", timeout: controlTimeout, onLateAnswer: end,
		handle: func(answer func(any)) {
			ok := f()
			answer(controlAnswer{ok: ok, status: m.status()})
		},
		done: func(v any, ok bool) {
			if !ok && retry {
				d.sendControl(m, f, done, false)
				return
			}
			end(v)
		},
	})
}

// poll asks a member for its report, again and again.
func (d *Daemon) poll(m *Member) {
	d.pollCount[m.Name]++
	d.sendPoll(m, d.connections[m.Name+" status"] != nil)
}

func (d *Daemon) sendPoll(m *Member, retry bool) {
	t := d.w.now
	report := func(v any) {
		d.handle(failover.Reported{Member: m.Name, Status: v.(controlAnswer).status, Sent: t})
	}
	d.w.startCall(&call{
		from: d.Node, to: m.Node, purpose: "status", timeout: controlTimeout, onLateAnswer: report,
		handle: func(answer func(any)) { answer(controlAnswer{ok: true, status: m.status()}) },
		done: func(v any, ok bool) {
			switch {
			case ok:
				report(v)
				d.schedulePoll(m, pollInterval, true)
			case retry:
				d.sendPoll(m, false)
			default:
				d.handle(failover.PollFailed{Member: m.Name})
				d.schedulePoll(m, failedPollInterval, false)
			}
		},
	})
}

// schedulePoll polls after a pause, which a waiting write ends.
func (d *Daemon) schedulePoll(m *Member, p time.Duration, alive bool) {
	if alive && len(d.waiters) > 0 {
		d.after(waitingPollInterval, func() { d.poll(m) })
		return
	}
	n := d.pollCount[m.Name]
	d.earlyPoll[m.Name] = alive
	d.after(p, func() {
		if d.pollCount[m.Name] == n {
			delete(d.earlyPoll, m.Name)
			d.poll(m)
		}
	})
}
